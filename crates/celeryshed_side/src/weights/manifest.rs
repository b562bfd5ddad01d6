//! Decodes and checks the manifests of versions.

use celeryshed_base::{ByteCount, ContentDigest};
use celeryshed_core::distribution::{ChunkRef, DesiredVersion};
use celeryshed_wire::{CodecError, WeightManifest};

/// A manifest that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The content isn't an encoded manifest.
    #[error("manifest {manifest} can't be decoded: {source}")]
    Decode {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Error of the decoder.
        source: CodecError,
    },
    /// The total size differs from the one in the configuration.
    #[error(
        "manifest {manifest} has a total of {found} bytes, but the configuration has {expected}"
    )]
    Size {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Total size in the manifest, in bytes.
        found: u64,
        /// Size in the configuration, in bytes.
        expected: u64,
    },
    /// The number of chunks doesn't match the total size and the chunk size.
    #[error("manifest {manifest} lists {found} chunks, but its sizes require {expected}")]
    ChunkCount {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Number of chunks that the manifest lists.
        found: u64,
        /// Number of chunks by the total size and the chunk size.
        expected: u64,
    },
}

/// Decodes the manifest of `desired` and checks that its size matches the configuration; returns
/// its chunks in order.
///
/// ```
/// use celeryshed_base::{ByteCount, ContentDigest};
/// use celeryshed_core::distribution::DesiredVersion;
/// let manifest = ContentDigest::of(b"not a manifest");
/// let desired = DesiredVersion { manifest, size: ByteCount(1) };
/// assert!(celeryshed_side::weights::read_chunks(b"not a manifest", &desired).is_err());
/// ```
pub fn read_chunks(
    content: &[u8],
    desired: &DesiredVersion,
) -> Result<Vec<ChunkRef>, ManifestError> {
    let manifest = desired.manifest;
    let decoded = celeryshed_wire::decode::<WeightManifest>(content);
    let weights = decoded.map_err(|source| ManifestError::Decode { manifest, source })?;
    let (found, expected) = (weights.total_bytes, desired.size.0);
    if found != expected {
        return Err(ManifestError::Size { manifest, found, expected });
    }
    let chunk_bytes = u64::from(weights.chunk_bytes.max(1));
    let (found, expected) =
        (weights.chunks.len() as u64, weights.total_bytes.div_ceil(chunk_bytes));
    if found != expected {
        return Err(ManifestError::ChunkCount { manifest, found, expected });
    }
    let size_of = |index: usize| {
        let offset = index as u64 * chunk_bytes;
        ByteCount(chunk_bytes.min(weights.total_bytes - offset))
    };
    let chunks = weights.chunks.iter().enumerate();
    Ok(chunks.map(|(index, digest)| ChunkRef { digest: *digest, size: size_of(index) }).collect())
}
