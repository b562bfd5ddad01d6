//! Sources of chunks behind shaped links, with faults.

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

/// Bytes of an offer, reply included.
const OFFER_BYTES: usize = 400;

/// Which instances are dead and which transfers are corrupted.
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

fn corrupted(content: &Bytes) -> Bytes {
    let mut content = BytesMut::from(&content[..]);
    if let Some(byte) = content.first_mut() {
        *byte ^= 1;
    }
    content.freeze()
}

/// The origin.
pub(super) struct ShapedOrigin {
    pub(super) blobs: Arc<BTreeMap<ContentDigest, Bytes>>,
    pub(super) path: LinkPath,
    pub(super) own: usize,
    pub(super) faults: Arc<FaultPlan>,
}

#[async_trait]
impl BlobClient for ShapedOrigin {
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes, PlatformError> {
        let target = "origin".to_owned();
        if self.faults.is_dead(self.own) {
            return Err(PlatformError::Unreachable { target, reason: "killed".to_owned() });
        }
        let blob = self.blobs.get(digest).cloned();
        let blob = blob.ok_or(PlatformError::NotFound { target, item: digest.to_string() })?;
        self.path.travel().await;
        for slice in blob.chunks(LINK_SLICE_BYTES) {
            self.path.pass_chunk_slice(slice.len()).await;
        }
        self.path.travel().await;
        Ok(if self.faults.corrupts_next() { corrupted(&blob) } else { blob })
    }

    async fn store(&self, _: Bytes) -> Result<ContentDigest, PlatformError> {
        let (target, reason) = ("origin".to_owned(), "read only".to_owned());
        Err(PlatformError::Refused { target, reason, retry_after: None })
    }
}

/// Other sidecars: the product's client behind the links between the instances.
pub(super) struct ShapedPeers {
    pub(super) inner: HttpPeerClient,
    pub(super) own: usize,
    pub(super) addresses: Arc<BTreeMap<String, usize>>,
    pub(super) network: Arc<LinkNetwork>,
    pub(super) faults: Arc<FaultPlan>,
    /// Bodies that may leave each sender at once, by instance.
    pub(super) departures: Arc<Vec<Arc<Semaphore>>>,
}

#[async_trait]
impl PeerClient for ShapedPeers {
    async fn fetch_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        wait: Duration,
    ) -> Result<PeerReply, PeerError> {
        let killed =
            || PeerError::Unreachable { address: address.to_owned(), reason: "killed".to_owned() };
        let sender = *self.addresses.get(address).ok_or_else(killed)?;
        if self.faults.is_dead(sender) || self.faults.is_dead(self.own) {
            return Err(killed());
        }
        let path = self.network.between_instances(sender, self.own);
        path.travel().await;
        let reply = self.inner.fetch_chunk(address, chunk, wait).await?;
        path.travel().await;
        if self.faults.is_dead(sender) {
            return Err(killed());
        }
        let PeerReply::Held(stream) = reply else { return Ok(reply) };
        let corrupts = self.faults.corrupts_next();
        let departure = self.departures[sender].clone();
        let faults = self.faults.clone();
        let body = ShapedBody { stream, path, corrupts, sender, faults, departure, permit: None };
        Ok(PeerReply::Held(body.into_stream(address.to_owned())))
    }

    async fn offer_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        own: &InstanceName,
    ) -> Result<(), PeerError> {
        let asked = self.addresses.get(address).copied();
        let Some(receiver) = asked.filter(|receiver| !self.faults.is_dead(*receiver)) else {
            let (address, reason) = (address.to_owned(), "killed".to_owned());
            return Err(PeerError::Unreachable { address, reason });
        };
        let path = self.network.between_instances(self.own, receiver);
        path.pass_chunk_slice(OFFER_BYTES).await;
        path.travel().await;
        self.inner.offer_chunk(address, chunk, own).await
    }
}

struct ShapedBody {
    stream: ChunkStream,
    path: LinkPath,
    corrupts: bool,
    sender: usize,
    faults: Arc<FaultPlan>,
    /// The buffers of the loopback interface hold whole chunks, so that a sender's limit of
    /// transfers alone wouldn't limit how many bodies share its link.
    departure: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl ShapedBody {
    fn into_stream(self, address: String) -> ChunkStream {
        let state = (self, Bytes::new());
        let slices = futures::stream::unfold(state, move |(mut body, mut rest)| {
            let address = address.clone();
            async move {
                if body.permit.is_none() {
                    body.permit = body.departure.clone().acquire_owned().await.ok();
                }
                if rest.is_empty() {
                    rest = match body.stream.next().await? {
                        Ok(piece) if std::mem::take(&mut body.corrupts) => corrupted(&piece),
                        Ok(piece) => piece,
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
