//! Uploads of weights to an in-memory origin.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ContentDigest, ModelName, VersionName};
use celeryshed_operate::model::{WeightUploadError, upload_weights};
use celeryshed_platform::{BlobClient, PlatformError};
use celeryshed_wire::{VersionSpec, WeightManifest, decode};

#[derive(Default)]
struct MemoryOrigin {
    blobs: Mutex<BTreeMap<ContentDigest, Bytes>>,
}

#[async_trait]
impl BlobClient for MemoryOrigin {
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes, PlatformError> {
        let (target, item) = ("origin".to_owned(), digest.to_string());
        let blobs = self.blobs.lock().unwrap();
        blobs.get(digest).cloned().ok_or(PlatformError::NotFound { target, item })
    }

    async fn store(&self, content: Bytes) -> Result<ContentDigest, PlatformError> {
        let digest = ContentDigest::of(&content);
        self.blobs.lock().unwrap().insert(digest, content);
        Ok(digest)
    }
}

async fn upload(
    origin: &MemoryOrigin,
    content: &[u8],
    chunk_bytes: u32,
) -> Result<VersionSpec, WeightUploadError> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), content).unwrap();
    let model = ModelName::try_from("copywriter").unwrap();
    let version = VersionName::try_from("v1").unwrap();
    upload_weights(origin, file.path(), model, version, chunk_bytes).await
}

/// Guards against a manifest whose chunks aren't at the origin or don't make up the file.
#[tokio::test]
async fn uploaded_chunks_make_up_the_file() {
    let origin = MemoryOrigin::default();
    let content: Vec<u8> = (0..2500u32).map(|index| index as u8).collect();
    let spec = upload(&origin, &content, 1000).await.unwrap();
    let manifest = origin.fetch(&spec.manifest).await.unwrap();
    let manifest = decode::<WeightManifest>(&manifest).unwrap();
    assert_eq!((spec.size_bytes, manifest.total_bytes, manifest.chunks.len()), (2500, 2500, 3));
    let mut joined = Vec::new();
    for chunk in &manifest.chunks {
        joined.extend(origin.fetch(chunk).await.unwrap());
    }
    assert_eq!(joined, content);
}

/// Guards against an empty version, which every sidecar would report as complete.
#[tokio::test]
async fn unusable_weights_are_refused() {
    let origin = MemoryOrigin::default();
    assert!(matches!(upload(&origin, b"", 1000).await, Err(WeightUploadError::Empty { .. })));
    assert!(matches!(upload(&origin, b"x", 0).await, Err(WeightUploadError::ChunkSize { .. })));
    assert!(origin.blobs.lock().unwrap().is_empty());
}
