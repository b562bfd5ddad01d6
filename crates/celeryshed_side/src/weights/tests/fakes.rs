//! A fleet of sidecars in one process, with injected faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{
    ByteCount, ClockSource, ContentDigest, FenceNumber, InstanceName, LogOffset, ModelName,
    ProcessIncarnation, RegionName, ServiceName, TokenRate, UnixMillis, VersionName,
};
use celeryshed_core::configuration::{
    ConfigurationState, EndpointKind, ModelVersion, ServiceDefinition,
};
use celeryshed_core::distribution::{DistributionGoal, ExternalSource};
use celeryshed_core::membership::{MemberState, MembershipView, SideMember};
use celeryshed_platform::{BlobClient, LogClient, PlatformError};
use celeryshed_wire::{ReadReply, WeightManifest, encode};
use futures::StreamExt;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::weights::engine::{EngineError, EngineLoader, EngineState};
use crate::weights::peers::{PeerClient, PeerError, PeerReply};
use crate::weights::task::ChunkAnswer;
use crate::weights::{WeightsHandle, WeightsInputs, WeightsOptions, spawn};

/// Size of each chunk.
pub(super) const CHUNK_BYTES: u32 = 1000;

/// Fault of a sidecar that sends chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SenderFault {
    /// Changes the first byte.
    Corrupts,
    /// Sends the first half.
    Truncates,
    /// Replies but sends no content.
    Stalls,
    /// Can't be reached.
    Dead,
}

/// Weight store with injected faults.
#[derive(Default)]
pub(super) struct FakeStore {
    blobs: Mutex<BTreeMap<ContentDigest, Bytes>>,
    pub(super) down: Mutex<bool>,
    /// Bytes in all replies.
    pub(super) sent: AtomicU64,
    /// Corrupts the first reply for each blob.
    pub(super) corrupts_first: Mutex<bool>,
    corrupted: Mutex<BTreeSet<ContentDigest>>,
}

impl FakeStore {
    pub(super) fn publish(&self, name: &str, contents: &[Bytes]) -> (VersionName, ModelVersion) {
        let total_bytes = contents.iter().map(|content| content.len() as u64).sum();
        let model = ModelName::try_from("copywriter").unwrap();
        let version = VersionName::try_from(name).unwrap();
        let manifest = WeightManifest {
            model: model.clone(),
            version: version.clone(),
            chunk_bytes: CHUNK_BYTES,
            total_bytes,
            chunks: contents.iter().map(|content| ContentDigest::of(content)).collect(),
        };
        let encoded = encode(&manifest).unwrap();
        let digest = ContentDigest::of(&encoded);
        let mut blobs = self.blobs.lock().unwrap();
        blobs.insert(digest, encoded);
        blobs.extend(contents.iter().map(|c| (ContentDigest::of(c), c.clone())));
        (version, ModelVersion { model, manifest: digest, size: ByteCount(total_bytes) })
    }

    pub(super) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl BlobClient for FakeStore {
    async fn fetch(&self, digest: &ContentDigest) -> Result<Bytes, PlatformError> {
        sleep(Duration::from_millis(20)).await;
        let target = "store".to_owned();
        if *self.down.lock().unwrap() {
            return Err(PlatformError::Unreachable { target, reason: "down".to_owned() });
        }
        let blob = self.blobs.lock().unwrap().get(digest).cloned();
        let blob = blob.ok_or(PlatformError::NotFound { target, item: digest.to_string() })?;
        self.sent.fetch_add(blob.len() as u64, Ordering::Relaxed);
        let corrupts_first = *self.corrupts_first.lock().unwrap();
        let corrupt = corrupts_first && self.corrupted.lock().unwrap().insert(*digest);
        Ok(if corrupt { corrupted(&blob) } else { blob })
    }

    async fn store(&self, content: Bytes) -> Result<ContentDigest, PlatformError> {
        let digest = ContentDigest::of(&content);
        self.blobs.lock().unwrap().insert(digest, content);
        Ok(digest)
    }
}

fn corrupted(content: &Bytes) -> Bytes {
    let mut content = content.to_vec();
    content[0] ^= 1;
    Bytes::from(content)
}

/// Connections between the sidecars.
#[derive(Default)]
pub(super) struct FakeNetwork {
    pub(super) sides: Mutex<BTreeMap<String, WeightsHandle>>,
    pub(super) faults: Mutex<BTreeMap<String, SenderFault>>,
    /// Pairs of regions that can't reach each other; an address starts with its region.
    pub(super) cuts: Mutex<Vec<(String, String)>>,
}

pub(super) struct FakePeers {
    network: Arc<FakeNetwork>,
    region: String,
}

#[async_trait]
impl PeerClient for FakePeers {
    async fn fetch_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        wait: Duration,
    ) -> Result<PeerReply, PeerError> {
        sleep(Duration::from_millis(2)).await;
        let fault = self.network.faults.lock().unwrap().get(address).copied();
        let side = self.network.sides.lock().unwrap().get(address).cloned();
        let cut = self.network.cuts.lock().unwrap().iter().any(|(one, other)| {
            let (here, there) = (self.region.as_str(), address.split('/').next().unwrap());
            (here == one && there == other) || (here == other && there == one)
        });
        let dead = fault == Some(SenderFault::Dead) || cut;
        let Some(side) = side.filter(|_| !dead) else {
            let (address, reason) = (address.to_owned(), "dead".to_owned());
            return Err(PeerError::Unreachable { address, reason });
        };
        let content = match side.chunk(*chunk, wait).await {
            ChunkAnswer::Held(content) => content,
            ChunkAnswer::Pending => return Ok(PeerReply::Pending),
            ChunkAnswer::NotExpected => return Ok(PeerReply::NotExpected),
        };
        let body = match fault {
            Some(SenderFault::Corrupts) => corrupted(&content),
            Some(SenderFault::Truncates) => content.slice(..content.len() / 2),
            Some(SenderFault::Stalls) => {
                return Ok(PeerReply::Held(futures::stream::pending().boxed()));
            }
            _ => content,
        };
        Ok(PeerReply::Held(futures::stream::iter([Ok(body)]).boxed()))
    }

    async fn offer_chunk(
        &self,
        address: &str,
        chunk: &ContentDigest,
        holder: &InstanceName,
    ) -> Result<(), PeerError> {
        sleep(Duration::from_millis(2)).await;
        let side = self.network.sides.lock().unwrap().get(address).cloned();
        if let Some(side) = side {
            side.offer(*chunk, holder.clone()).await;
        }
        Ok(())
    }
}

/// Log that fails appends while it is `down`.
pub(super) struct FakeLog {
    pub(super) down: Mutex<bool>,
}

#[async_trait]
impl LogClient for FakeLog {
    async fn append(&self, _: &str, _: Vec<Bytes>) -> Result<LogOffset, PlatformError> {
        if *self.down.lock().unwrap() {
            let (target, reason) = ("log".to_owned(), "down".to_owned());
            return Err(PlatformError::Unreachable { target, reason });
        }
        Ok(LogOffset(7))
    }

    async fn read(&self, _: &str, from: LogOffset, _: u32) -> Result<ReadReply, PlatformError> {
        let now = UnixMillis(0);
        Ok(ReadReply { entries: Vec::new(), oldest_offset: from, end_offset: from, now, era: 0 })
    }
}

/// Engine that records the chunks and load commands that it receives.
#[derive(Default)]
pub(super) struct FakeEngine {
    pub(super) chunks: Mutex<BTreeMap<(ContentDigest, u32), Bytes>>,
    pub(super) live: Mutex<Option<ContentDigest>>,
    pub(super) boot_id: AtomicU64,
    pub(super) loads: Mutex<Vec<(FenceNumber, ContentDigest, u32)>>,
}

impl FakeEngine {
    pub(super) fn restart(&self) {
        self.boot_id.fetch_add(1, Ordering::Relaxed);
        self.chunks.lock().unwrap().clear();
        *self.live.lock().unwrap() = None;
    }
}

#[async_trait]
impl EngineLoader for FakeEngine {
    async fn state(&self) -> Result<EngineState, EngineError> {
        let boot_id = self.boot_id.load(Ordering::Relaxed);
        Ok(EngineState { live: *self.live.lock().unwrap(), boot_id })
    }

    async fn put_chunk(
        &self,
        manifest: &ContentDigest,
        index: u32,
        content: Bytes,
    ) -> Result<(), EngineError> {
        self.chunks.lock().unwrap().insert((*manifest, index), content);
        Ok(())
    }

    async fn load(
        &self,
        fence: FenceNumber,
        manifest: &ContentDigest,
        chunks: u32,
    ) -> Result<(), EngineError> {
        self.loads.lock().unwrap().push((fence, *manifest, chunks));
        sleep(Duration::from_millis(300)).await;
        *self.live.lock().unwrap() = Some(*manifest);
        Ok(())
    }
}

pub(super) struct FakeSide {
    pub(super) address: String,
    pub(super) handle: WeightsHandle,
    pub(super) engine: Arc<FakeEngine>,
    pub(super) members: watch::Sender<Arc<MembershipView>>,
}

/// Sidecars with the network and the platform that they share.
pub(super) struct FakeFleet {
    pub(super) network: Arc<FakeNetwork>,
    pub(super) store: Arc<FakeStore>,
    pub(super) log: Arc<FakeLog>,
    pub(super) configuration: watch::Sender<Option<Arc<ConfigurationState>>>,
    pub(super) view: MembershipView,
    pub(super) sides: Vec<FakeSide>,
    clock: ClockSource,
}

pub(super) fn service() -> ServiceName {
    ServiceName::try_from("copywriter").unwrap()
}

pub(super) fn instance(index: usize) -> InstanceName {
    InstanceName::try_from(format!("side-{index}")).unwrap()
}

/// `count` chunks, whose content depends on `seed` and the index.
pub(super) fn contents(seed: u8, count: usize) -> Vec<Bytes> {
    let chunk = |index: usize| Bytes::from(vec![seed ^ index as u8; CHUNK_BYTES as usize]);
    (0..count).map(chunk).collect()
}

impl FakeFleet {
    /// A fleet with `counts[i]` sidecars in region i; the store is in the first region.
    pub(super) fn start(counts: &[usize], adjust: impl Fn(&mut WeightsOptions)) -> Self {
        let mut fleet = Self {
            network: Arc::default(),
            store: Arc::default(),
            log: Arc::new(FakeLog { down: Mutex::new(false) }),
            configuration: watch::channel(None).0,
            view: MembershipView::default(),
            sides: Vec::new(),
            clock: ClockSource::start_at(UnixMillis(0)),
        };
        for (region, count) in counts.iter().enumerate() {
            for _ in 0..*count {
                let index = fleet.view.sides.len();
                fleet.view.sides.insert(instance(index), member(index, region));
            }
        }
        let regions: Vec<_> =
            fleet.view.sides.iter().map(|(i, m)| (i.clone(), m.clone())).collect();
        for (name, side) in regions {
            fleet.start_side(&name, &side, &adjust);
        }
        fleet
    }

    pub(super) fn start_side(
        &mut self,
        name: &InstanceName,
        side: &SideMember,
        adjust: &impl Fn(&mut WeightsOptions),
    ) {
        let home = RegionName::try_from("r0").unwrap();
        let mut options = WeightsOptions::new(home, ByteCount(10_000_000));
        options.goal = DistributionGoal::OriginBytes;
        options.seed = self.sides.len() as u64;
        options.fetch.external_sources = vec![ExternalSource::Store];
        adjust(&mut options);
        let engine = Arc::new(FakeEngine::default());
        let (members, members_receiver) = watch::channel(Arc::new(self.view.clone()));
        let region = side.region.as_str().to_owned();
        let inputs = WeightsInputs {
            instance: name.clone(),
            incarnation: ProcessIncarnation::from_u128(self.sides.len() as u128),
            region: side.region.clone(),
            service: service(),
            configuration: self.configuration.subscribe(),
            members: members_receiver,
            peers: Arc::new(FakePeers { network: self.network.clone(), region }),
            external_sources: BTreeMap::from([(ExternalSource::Store, self.store.clone() as _)]),
            log: self.log.clone(),
            engine: engine.clone(),
            clock: self.clock,
        };
        let handle = spawn(inputs, options).unwrap();
        let address = side.address.clone();
        self.network.sides.lock().unwrap().insert(address.clone(), handle.clone());
        self.sides.push(FakeSide { address, handle, engine, members });
    }

    /// Selects a version for the service.
    pub(super) fn select(&self, (name, version): &(VersionName, ModelVersion)) {
        let mut state = ConfigurationState::default();
        let definition = ServiceDefinition {
            kind: EndpointKind::Engine,
            endpoints: 15,
            slots_per_endpoint: 8,
            tokens_per_endpoint: TokenRate(100),
            version: Some(name.clone()),
        };
        state.services.insert(service(), definition);
        state.versions.insert(name.clone(), version.clone());
        self.configuration.send_replace(Some(Arc::new(state)));
    }

    /// Waits until the sides at `indices` report `manifest` live, for at most `limit`.
    pub(super) async fn wait_live(
        &self,
        indices: impl IntoIterator<Item = usize>,
        manifest: ContentDigest,
        limit: Duration,
    ) -> bool {
        let all = async {
            for index in indices {
                let mut live = self.sides[index].handle.live_version();
                live.wait_for(|live| *live == Some(manifest)).await.unwrap();
            }
        };
        tokio::time::timeout(limit, all).await.is_ok()
    }
}

pub(super) fn member(index: usize, region: usize) -> SideMember {
    let zone = format!("r{region}-a");
    SideMember {
        address: format!("r{region}/{index}"),
        incarnation: None,
        zone: zone.as_str().try_into().unwrap(),
        region: RegionName::try_from(format!("r{region}")).unwrap(),
        service: service(),
        state: MemberState::Live,
    }
}
