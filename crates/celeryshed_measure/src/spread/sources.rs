//! Sources of chunks behind simulated links, with faults.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use celeryshed_base::{ContentDigest, InstanceName};
use celeryshed_platform::{BlobClient, PlatformError};
use celeryshed_side::weights::{ChunkStream, HttpPeerClient, PeerClient, PeerError, PeerReply};
use futures::StreamExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::links::{LINK_SLICE_BYTES, LinkNetwork, LinkPath};

/// Bytes of a chunk offer and its reply.
const OFFER_BYTES: usize = 400;

/// Faults of a run: killed instances and corrupted transfers.
#[derive(Debug)]
pub(super) struct FaultPlan {
    dead: Vec<AtomicBool>,
    corrupt_percent: u32,
    random: Mutex<StdRng>,
}

impl FaultPlan {
    pub(super) fn new(replicas: usize, corrupt_percent: u32, seed: u64) -> Self {
        let dead = (0..replicas).map(|_| AtomicBool::new(false)).collect();
        let random = Mutex::new(StdRng::seed_from_u64(seed));
        Self { dead, corrupt_percent, random }
    }

    pub(super) fn kill(&self, instance: usize) {
        self.dead[instance].store(true, Ordering::Relaxed);
    }

    pub(super) fn is_dead(&self, instance: usize) -> bool {
        self.dead[instance].load(Ordering::Relaxed)
    }

    fn corrupts_next(&self) -> bool {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random_range(0..100) < self.corrupt_percent
    }
}

fn corrupted_copy(content: &Bytes) -> Bytes {
    let mut content = BytesMut::from(&content[..]);
    if let Some(byte) = content.first_mut() {
        *byte ^= 1;
    }
    content.freeze()
}

/// The origin, as one instance reaches it.
pub(super) struct ShapedOrigin {
    pub(super) blobs: Arc<BTreeMap<ContentDigest, Bytes>>,
    pub(super) path: LinkPath,
    /// Index of the fetching instance.
    pub(super) own_index: usize,
    pub(super) faults: Arc<FaultPlan>,
}

#[async_trait]
impl BlobClient for ShapedOrigin {
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes, PlatformError> {
        let target = "origin".to_owned();
        if self.faults.is_dead(self.own_index) {
            return Err(PlatformError::Unreachable { target, reason: "killed".to_owned() });
        }
        let blob = self.blobs.get(digest).cloned();
        let blob = blob.ok_or(PlatformError::NotFound { target, item: digest.to_string() })?;
        self.path.wait_latency().await;
        for slice in blob.chunks(LINK_SLICE_BYTES) {
            self.path.pass_chunk_slice(slice.len()).await;
        }
        self.path.wait_latency().await;
        Ok(if self.faults.corrupts_next() { corrupted_copy(&blob) } else { blob })
    }

    async fn store(&self, _: Bytes) -> Result<ContentDigest, PlatformError> {
        let (target, reason) = ("origin".to_owned(), "read only".to_owned());
        Err(PlatformError::Refused { target, reason, retry_after: None })
    }
}

/// Client of one instance for other sidecars: the product's HTTP client behind simulated links.
pub(super) struct ShapedPeers {
    pub(super) inner: HttpPeerClient,
    /// Index of the instance that uses this client.
    pub(super) own_index: usize,
    /// Index of each instance by its address.
    pub(super) indexes: Arc<BTreeMap<String, usize>>,
    pub(super) network: Arc<LinkNetwork>,
    pub(super) faults: Arc<FaultPlan>,
    /// Number of bodies that an instance may send concurrently, by instance.
    pub(super) send_permits: Arc<Vec<Arc<Semaphore>>>,
}

#[async_trait]
impl PeerClient for ShapedPeers {
    async fn fetch_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        wait: Duration,
    ) -> Result<PeerReply, PeerError> {
        let killed_error =
            || PeerError::Unreachable { address: address.to_owned(), reason: "killed".to_owned() };
        let sender = *self.indexes.get(address).ok_or_else(killed_error)?;
        if self.faults.is_dead(sender) || self.faults.is_dead(self.own_index) {
            return Err(killed_error());
        }
        let path = self.network.between_instances(sender, self.own_index);
        path.wait_latency().await;
        let reply = self.inner.fetch_chunk(address, chunk, wait).await?;
        path.wait_latency().await;
        if self.faults.is_dead(sender) {
            return Err(killed_error());
        }
        let PeerReply::Held(stream) = reply else { return Ok(reply) };
        let is_corrupted = self.faults.corrupts_next();
        let send_permits = self.send_permits[sender].clone();
        let faults = self.faults.clone();
        let body = ShapedBody {
            stream,
            path,
            is_corrupted,
            sender,
            faults,
            send_permits,
            send_permit: None,
        };
        Ok(PeerReply::Held(body.into_stream(address.to_owned())))
    }

    async fn offer_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        own: &InstanceName,
    ) -> Result<(), PeerError> {
        let peer = self.indexes.get(address).copied();
        let Some(peer) = peer.filter(|peer| !self.faults.is_dead(*peer)) else {
            let (address, reason) = (address.to_owned(), "killed".to_owned());
            return Err(PeerError::Unreachable { address, reason });
        };
        let path = self.network.between_instances(self.own_index, peer);
        path.pass_chunk_slice(OFFER_BYTES).await;
        path.wait_latency().await;
        self.inner.offer_chunk(address, chunk, own).await
    }
}

/// Body of a chunk that passes the simulated link in slices.
struct ShapedBody {
    stream: ChunkStream,
    path: LinkPath,
    is_corrupted: bool,
    sender: usize,
    faults: Arc<FaultPlan>,
    /// Limits how many bodies share the sender's link. The sender's own limit of transfers can't do
    /// this, because the buffers of the loopback interface hold whole chunks.
    send_permits: Arc<Semaphore>,
    send_permit: Option<OwnedSemaphorePermit>,
}

impl ShapedBody {
    fn into_stream(self, address: String) -> ChunkStream {
        let state = (self, Bytes::new());
        let slices = futures::stream::unfold(state, move |(mut body, mut rest)| {
            let address = address.clone();
            async move {
                if body.send_permit.is_none() {
                    body.send_permit = body.send_permits.clone().acquire_owned().await.ok();
                }
                if rest.is_empty() {
                    rest = match body.stream.next().await? {
                        Ok(part) if std::mem::take(&mut body.is_corrupted) => corrupted_copy(&part),
                        Ok(part) => part,
                        Err(error) => return Some((Err(error), (body, rest))),
                    };
                }
                let slice = rest.split_to(rest.len().min(LINK_SLICE_BYTES));
                body.path.pass_chunk_slice(slice.len()).await;
                if body.faults.is_dead(body.sender) {
                    let reason = "killed".to_owned();
                    let error = PeerError::Unreachable { address, reason };
                    return Some((Err(error), (body, rest)));
                }
                Some((Ok(slice), (body, rest)))
            }
        });
        slices.boxed()
    }
}
