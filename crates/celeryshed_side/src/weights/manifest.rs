//! Manifests of versions.

use celeryshed_base::{ByteCount, ContentDigest};
use celeryshed_core::distribution::{ChunkRef, DesiredVersion};
use celeryshed_wire::{CodecError, WeightManifest};

/// A manifest that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// It isn't a manifest.
    #[error("manifest {manifest} can't be decoded: {source}")]
    Decode {
        /// Its digest.
        manifest: ContentDigest,
        /// The reason.
        source: CodecError,
    },
    /// Its total contradicts the configuration.
    #[error("manifest {manifest} is of {found} bytes, but the configuration says {expected}")]
    Size {
        /// Its digest.
        manifest: ContentDigest,
        /// The manifest's total.
        found: u64,
        /// The configuration's size.
        expected: u64,
    },
    /// Its number of chunks doesn't follow from its sizes.
    #[error("manifest {manifest} lists {found} chunks, but {expected} follow from its sizes")]
    ChunkCount {
        /// Its digest.
        manifest: ContentDigest,
        /// The listed number.
        found: u64,
        /// The number that follows.
        expected: u64,
    },
}

/// Reads the manifest of `wanted` and checks it against the configuration.
///
/// ```
/// use celeryshed_base::{ByteCount, ContentDigest};
/// use celeryshed_core::distribution::DesiredVersion;
/// let manifest = ContentDigest::of(b"not a manifest");
/// let wanted = DesiredVersion { manifest, size: ByteCount(1) };
/// assert!(celeryshed_side::weights::read_chunks(b"not a manifest", &wanted).is_err());
/// ```
pub fn read_chunks(
    content: &[u8],
    wanted: &DesiredVersion,
) -> Result<Vec<ChunkRef>, ManifestError> {
    let manifest = wanted.manifest;
    let decoded = celeryshed_wire::decode::<WeightManifest>(content);
    let list = decoded.map_err(|source| ManifestError::Decode { manifest, source })?;
    let (found, expected) = (list.total_bytes, wanted.size.0);
    if found != expected {
        return Err(ManifestError::Size { manifest, found, expected });
    }
    let chunk_bytes = u64::from(list.chunk_bytes.max(1));
    let (found, expected) = (list.chunks.len() as u64, list.total_bytes.div_ceil(chunk_bytes));
    if found != expected {
        return Err(ManifestError::ChunkCount { manifest, found, expected });
    }
    let size_of = |index: usize| {
        let offset = index as u64 * chunk_bytes;
        ByteCount(chunk_bytes.min(list.total_bytes - offset))
    };
    let chunks = list.chunks.iter().enumerate();
    Ok(chunks.map(|(index, digest)| ChunkRef { digest: *digest, size: size_of(index) }).collect())
}
