//! Publishing the weights of a model.

use std::path::Path;

use bytes::Bytes;
use celeryshed_base::{ContentDigest, ModelName, VersionName};
use celeryshed_platform::{BlobClient, PlatformError};
use celeryshed_wire::{CodecError, VersionSpec, WeightManifest, encode};
use tokio::fs::File;
use tokio::io::AsyncReadExt;

/// Size of chunks when the operator names none.
pub const DEFAULT_CHUNK_BYTES: u32 = 1024 * 1024;

/// Largest accepted chunk; a sidecar holds several in transfer at once.
const CHUNK_BYTES_LIMIT: u32 = 64 * 1024 * 1024;

/// A model that could not be published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The file can't be read.
    #[error("weights {path} can't be read: {source}")]
    Read {
        /// The file.
        path: String,
        /// The reason.
        source: std::io::Error,
    },
    /// The file is empty.
    #[error("weights {path} are empty: accepted is at least one byte")]
    Empty {
        /// The file.
        path: String,
    },
    /// The chunk size is out of range.
    #[error("chunk size {size} is not accepted: 1 to {CHUNK_BYTES_LIMIT} bytes")]
    ChunkSize {
        /// The rejected size.
        size: u32,
    },
    /// The manifest has no wire form.
    #[error("manifest can't be encoded: {0}")]
    Encode(#[from] CodecError),
    /// The origin failed.
    #[error("origin didn't accept the weights: {0}")]
    Origin(#[from] PlatformError),
    /// The origin stored something else.
    #[error("origin stored {stored} instead of {sent}")]
    WrongDigest {
        /// What was sent.
        sent: ContentDigest,
        /// What the origin names.
        stored: ContentDigest,
    },
}

/// Result of this module.
type Result<T> = std::result::Result<T, PublishError>;

/// Puts the file's chunks and then their manifest at the origin; returns the specification to
/// publish.
///
/// Chunks are stored by digest, so that a publication that was cut off can simply be repeated.
pub async fn publish_weights(
    origin: &dyn BlobClient,
    path: &Path,
    model: ModelName,
    version: VersionName,
    chunk_bytes: u32,
) -> Result<VersionSpec> {
    if !(1..=CHUNK_BYTES_LIMIT).contains(&chunk_bytes) {
        return Err(PublishError::ChunkSize { size: chunk_bytes });
    }
    let shown = path.display().to_string();
    let unreadable = |source| PublishError::Read { path: shown.clone(), source };
    let mut file = File::open(path).await.map_err(unreadable)?;
    let mut chunks = Vec::new();
    let mut total_bytes = 0u64;
    loop {
        let mut content = Vec::with_capacity(chunk_bytes as usize);
        let mut part = (&mut file).take(u64::from(chunk_bytes));
        part.read_to_end(&mut content).await.map_err(unreadable)?;
        if content.is_empty() {
            break;
        }
        total_bytes += content.len() as u64;
        chunks.push(store(origin, Bytes::from(content)).await?);
    }
    if chunks.is_empty() {
        return Err(PublishError::Empty { path: shown });
    }
    let manifest = WeightManifest {
        model: model.clone(),
        version: version.clone(),
        chunk_bytes,
        total_bytes,
        chunks,
    };
    let manifest = store(origin, encode(&manifest)?).await?;
    Ok(VersionSpec { model, version, manifest, size_bytes: total_bytes })
}

async fn store(origin: &dyn BlobClient, content: Bytes) -> Result<ContentDigest> {
    let sent = ContentDigest::of(&content);
    let stored = origin.store(content).await?;
    if stored == sent { Ok(sent) } else { Err(PublishError::WrongDigest { sent, stored }) }
}
