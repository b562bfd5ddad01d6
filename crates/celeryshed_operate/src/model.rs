//! Uploads the weights of a model to the origin.

use std::path::Path;

use bytes::Bytes;
use celeryshed_base::{ContentDigest, ModelName, VersionName};
use celeryshed_platform::{BlobClient, PlatformError};
use celeryshed_wire::{CodecError, VersionSpec, WeightManifest, encode};
use tokio::fs::File;
use tokio::io::AsyncReadExt;

/// Default size of a chunk: 1 MiB.
pub const DEFAULT_CHUNK_BYTES: u32 = 1024 * 1024;

/// Largest accepted size of a chunk; a sidecar transfers several chunks at the same time.
const CHUNK_BYTES_LIMIT: u32 = 64 * 1024 * 1024;

/// Why the weights of a model could not be uploaded.
#[derive(Debug, thiserror::Error)]
pub enum WeightUploadError {
    /// The file can't be read.
    #[error("weights file {path} can't be read: {source}")]
    Read {
        /// Path of the weights file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is empty.
    #[error("weights file {path} is empty; at least one byte is required")]
    Empty {
        /// Path of the weights file.
        path: String,
    },
    /// The chunk size is out of range.
    #[error("chunk size {size} is out of range: accepted are 1 to {CHUNK_BYTES_LIMIT} bytes")]
    ChunkSize {
        /// The rejected size in bytes.
        size: u32,
    },
    /// The manifest can't be encoded.
    #[error("manifest can't be encoded: {0}")]
    Encode(#[from] CodecError),
    /// The origin refused a chunk or the manifest, or could not be reached.
    #[error("upload of the weights to the origin failed: {0}")]
    Origin(#[from] PlatformError),
    /// The origin reported another digest than that of the uploaded content.
    #[error("origin stored digest {stored} instead of {sent}")]
    WrongDigest {
        /// Digest of the uploaded content.
        sent: ContentDigest,
        /// Digest that the origin reported.
        stored: ContentDigest,
    },
}

type Result<T> = std::result::Result<T, WeightUploadError>;

/// Uploads the file's chunks and then their manifest to the origin; returns the specification to
/// publish.
///
/// The origin stores chunks by digest, so an interrupted upload can be repeated.
pub async fn upload_weights(
    origin: &dyn BlobClient,
    path: &Path,
    model: ModelName,
    version: VersionName,
    chunk_bytes: u32,
) -> Result<VersionSpec> {
    if !(1..=CHUNK_BYTES_LIMIT).contains(&chunk_bytes) {
        return Err(WeightUploadError::ChunkSize { size: chunk_bytes });
    }
    let path_text = path.display().to_string();
    let read_error = |source| WeightUploadError::Read { path: path_text.clone(), source };
    let mut file = File::open(path).await.map_err(read_error)?;
    let mut chunks = Vec::new();
    let mut total_bytes = 0u64;
    loop {
        let mut content = Vec::with_capacity(chunk_bytes as usize);
        let mut part = (&mut file).take(u64::from(chunk_bytes));
        part.read_to_end(&mut content).await.map_err(read_error)?;
        if content.is_empty() {
            break;
        }
        total_bytes += content.len() as u64;
        chunks.push(store_verified(origin, Bytes::from(content)).await?);
    }
    if chunks.is_empty() {
        return Err(WeightUploadError::Empty { path: path_text });
    }
    let manifest = WeightManifest {
        model: model.clone(),
        version: version.clone(),
        chunk_bytes,
        total_bytes,
        chunks,
    };
    let manifest = store_verified(origin, encode(&manifest)?).await?;
    Ok(VersionSpec { model, version, manifest, size_bytes: total_bytes })
}

async fn store_verified(origin: &dyn BlobClient, content: Bytes) -> Result<ContentDigest> {
    let sent = ContentDigest::of(&content);
    let stored = origin.store(content).await?;
    if stored == sent { Ok(sent) } else { Err(WeightUploadError::WrongDigest { sent, stored }) }
}
