//! In-memory weight store or origin.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::ContentDigest;

use super::{lock, reply_lost, unreachable};
use crate::BlobClient;
use crate::HttpTimeouts;
use crate::error::{PlatformError, Result};

const TARGET: &str = "fake blobs";

/// A fault of [`FakeBlobs`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlobFault {
    /// One bit of the returned content is flipped.
    Corrupted,
    /// The service doesn't have the blob.
    NotFound,
    /// The call is refused.
    Refused {
        /// Pause that the error suggests, if any.
        retry_after: Option<Duration>,
    },
    /// The call fails as a lost reply after the idle timeout of the HTTP client.
    Stalled,
    /// No connection can be established.
    Unreachable,
}

/// Call counters of a [`FakeBlobs`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlobCounts {
    /// Fetches answered with content.
    pub fetches: u64,
    /// Bytes of content returned by fetches.
    pub bytes_fetched: u64,
    /// Blobs stored by clients.
    pub stores: u64,
}

/// In-memory blob service with fault injection.
///
/// ```
/// use celeryshed_platform::{BlobClient, fakes::{BlobFault, FakeBlobs}};
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let blobs = FakeBlobs::default();
///     let digest = blobs.insert("weights".into());
///     blobs.set_blob_fault(digest, Some(BlobFault::Corrupted));
///     assert_ne!(blobs.fetch(&digest).await.unwrap(), "weights");
///     assert_eq!(blobs.counts().bytes_fetched, 7);
/// });
/// ```
#[derive(Clone, Debug, Default)]
pub struct FakeBlobs {
    state: Arc<Mutex<BlobState>>,
}

#[derive(Debug, Default)]
struct BlobState {
    blobs: BTreeMap<ContentDigest, Bytes>,
    read_only: bool,
    fault: Option<BlobFault>,
    blob_faults: BTreeMap<ContentDigest, BlobFault>,
    latency: Duration,
    counts: BlobCounts,
}

impl FakeBlobs {
    /// Adds a blob directly, regardless of injected faults.
    pub fn insert(&self, content: Bytes) -> ContentDigest {
        let digest = ContentDigest::of(&content);
        self.lock().blobs.insert(digest, content);
        digest
    }

    /// Sets whether calls to store a blob are refused, as by the weight store.
    pub fn set_read_only(&self, read_only: bool) {
        self.lock().read_only = read_only;
    }

    /// Sets the fault of all calls; `None` clears it.
    pub fn set_fault(&self, fault: Option<BlobFault>) {
        self.lock().fault = fault;
    }

    /// Sets the fault of fetches of one blob, which overrides the fault of all calls; `None` clears
    /// it.
    pub fn set_blob_fault(&self, digest: ContentDigest, fault: Option<BlobFault>) {
        let faults = &mut self.lock().blob_faults;
        match fault {
            Some(fault) => faults.insert(digest, fault),
            None => faults.remove(&digest),
        };
    }

    /// Delays each call by `latency` on the Tokio clock.
    pub fn set_latency(&self, latency: Duration) {
        self.lock().latency = latency;
    }

    /// Returns the call counters.
    pub fn counts(&self) -> BlobCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, BlobState> {
        lock(&self.state)
    }

    fn active_fault(&self, digest: &ContentDigest) -> Option<BlobFault> {
        let state = self.lock();
        state.blob_faults.get(digest).copied().or(state.fault)
    }

    async fn delay(&self) {
        let latency = self.lock().latency;
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
    }
}

/// Applies `fault` to a call; returns whether to corrupt the content.
async fn apply_fault(fault: Option<BlobFault>, digest: &ContentDigest) -> Result<bool> {
    match fault {
        None => Ok(false),
        Some(BlobFault::Corrupted) => Ok(true),
        Some(BlobFault::NotFound) => Err(not_found(digest)),
        Some(BlobFault::Refused { retry_after }) => Err(refused("refused by fault", retry_after)),
        Some(BlobFault::Unreachable) => Err(unreachable(TARGET)),
        Some(BlobFault::Stalled) => {
            tokio::time::sleep(HttpTimeouts::for_blobs().idle).await;
            Err(reply_lost(TARGET))
        }
    }
}

fn refused(reason: &str, retry_after: Option<Duration>) -> PlatformError {
    let target = TARGET.to_owned();
    PlatformError::Refused { target, reason: reason.to_owned(), retry_after }
}

fn not_found(digest: &ContentDigest) -> PlatformError {
    PlatformError::NotFound { target: TARGET.to_owned(), item: format!("blob {digest}") }
}

fn flip_one_bit(content: Bytes) -> Bytes {
    let mut content = Vec::from(content);
    match content.first_mut() {
        Some(byte) => *byte ^= 1,
        None => content.push(0),
    }
    content.into()
}

#[async_trait]
impl BlobClient for FakeBlobs {
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes> {
        self.delay().await;
        let corrupted = apply_fault(self.active_fault(digest), digest).await?;
        let mut state = self.lock();
        let content = state.blobs.get(digest).cloned().ok_or_else(|| not_found(digest))?;
        state.counts.fetches += 1;
        state.counts.bytes_fetched += content.len() as u64;
        Ok(if corrupted { flip_one_bit(content) } else { content })
    }

    async fn store(&self, content: Bytes) -> Result<ContentDigest> {
        self.delay().await;
        let digest = ContentDigest::of(&content);
        let fault = self.lock().fault;
        apply_fault(fault, &digest).await?;
        if self.lock().read_only {
            return Err(refused("the weight store stores no blobs", None));
        }
        self.lock().counts.stores += 1;
        Ok(self.insert(content))
    }
}
