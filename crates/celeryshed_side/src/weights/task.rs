//! The task that owns the chunks and the fetch scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    ByteCount, ClockSource, ContentDigest, InstanceName, ProcessIncarnation, RegionName,
    ServiceName,
};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::distribution::{
    ChunkSource, DesiredVersion, DistributionPlan, ExternalSource, FetchAction, FetchEvent,
    FetchFailure, FetchScheduler, OptionError,
};
use celeryshed_core::membership::MembershipView;
use celeryshed_observe::EventLine;
use celeryshed_platform::{BlobClient, LogClient};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::engine::{CompleteVersion, EngineLoader, EngineTask};
use super::fetch::{ChunkFetch, FetchContext};
use super::manifest::read_chunks;
use super::options::WeightsOptions;
use super::pacer::LinkPacer;
use super::peers::PeerClient;

/// Length of each of the task's two queues: requests of other sidecars, and results of fetches.
const QUEUE_LENGTH: usize = 1024;

/// Sleep while the scheduler has no timer.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// Identity, clients and watches that the tasks use.
pub struct WeightsInputs {
    /// Instance of this sidecar.
    pub instance: InstanceName,
    /// Incarnation of this sidecar, registered for the fence number.
    pub incarnation: ProcessIncarnation,
    /// Region of this sidecar.
    pub region: RegionName,
    /// Service of the endpoint, whose selected version is fetched.
    pub service: ServiceName,
    /// Accepted configuration; `None` until a revision is known.
    pub configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
    /// Membership, which lists the sidecars that exchange chunks.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// Client of other sidecars.
    pub peers: Arc<dyn PeerClient>,
    /// Clients of the external sources; a missing source is treated as holding no chunk.
    pub external_sources: BTreeMap<ExternalSource, Arc<dyn BlobClient>>,
    /// Log client that registers the fence number.
    pub log: Arc<dyn LogClient>,
    /// Client of the engine that loads complete versions.
    pub engine: Arc<dyn EngineLoader>,
    /// Clock of the scheduler and the pacer.
    pub clock: ClockSource,
}

/// Transfer time of one slice on the link; short, so that live requests don't wait long behind
/// distribution traffic.
const SLICE_TIME: Duration = Duration::from_millis(2);

/// Smallest and largest slice. Smaller slices cost processor time; larger slices save no more of
/// it.
const SLICE_BYTES_BOUNDS: (usize, usize) = (4 * 1024, 64 * 1024);

fn slice_bytes(link: ByteCount) -> usize {
    let bytes = link.0 as f64 * SLICE_TIME.as_secs_f64();
    (bytes as usize).clamp(SLICE_BYTES_BOUNDS.0, SLICE_BYTES_BOUNDS.1)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ChunkAnswer {
    Held(Bytes),
    Pending,
    NotExpected,
}

enum PeerMessage {
    Query { chunk: ContentDigest, reply: oneshot::Sender<ChunkAnswer> },
    Offer { chunk: ContentDigest, from: InstanceName },
}

struct FetchResult {
    fetch: ChunkFetch,
    result: Result<Bytes, FetchFailure>,
}

/// Handle of the weights tasks, for routes, reports and live traffic.
#[derive(Clone, Debug)]
pub struct WeightsHandle {
    messages: mpsc::Sender<PeerMessage>,
    pacer: LinkPacer,
    uploads: Arc<Semaphore>,
    slice_bytes: usize,
    live: watch::Receiver<Option<ContentDigest>>,
}

impl WeightsHandle {
    /// Watches the manifest digest of the version that the engine has confirmed; `None` while there
    /// is none.
    pub fn live_version(&self) -> watch::Receiver<Option<ContentDigest>> {
        self.live.clone()
    }

    /// Counts bytes that a live request sends or receives, so that distribution leaves them
    /// bandwidth.
    pub fn record_live(&self, bytes: ByteCount) {
        self.pacer.record_live(bytes);
    }

    pub(super) fn pacer(&self) -> &LinkPacer {
        &self.pacer
    }

    /// Size of the slices in which chunks are sent; the pacer is asked before each slice.
    pub(super) fn slice_bytes(&self) -> usize {
        self.slice_bytes
    }

    /// Waits for a permit to upload one chunk to another sidecar; `None` if none is free within
    /// `wait`.
    pub(super) async fn upload_permit(&self, wait: Duration) -> Option<OwnedSemaphorePermit> {
        let permit = timeout(wait, self.uploads.clone().acquire_owned()).await;
        permit.ok()?.ok()
    }

    /// Passes on the offer of sidecar `from`, which holds the chunk.
    pub(super) async fn offer(&self, chunk: ContentDigest, from: InstanceName) {
        // Fails only when the task has ended.
        let _ = self.messages.send(PeerMessage::Offer { chunk, from }).await;
    }

    /// Returns a chunk; if it is expected but not held, waits up to `wait` for its arrival.
    pub(super) async fn chunk(&self, chunk: ContentDigest, wait: Duration) -> ChunkAnswer {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(PeerMessage::Query { chunk, reply }).await.is_err() {
            return ChunkAnswer::NotExpected;
        }
        match timeout(wait, answer).await {
            Ok(answer) => answer.unwrap_or(ChunkAnswer::NotExpected),
            Err(_) => ChunkAnswer::Pending,
        }
    }
}

/// Starts the tasks; they end when all handles and the senders of the inputs' watches are dropped.
pub fn spawn(inputs: WeightsInputs, options: WeightsOptions) -> Result<WeightsHandle, OptionError> {
    options.check()?;
    let pacer = LinkPacer::spawn(options.link, inputs.clock);
    let uploads = Arc::new(Semaphore::new(options.uploads));
    let slice_bytes = slice_bytes(options.link);
    let (messages, message_inbox) = mpsc::channel(QUEUE_LENGTH);
    let (results, result_inbox) = mpsc::channel(QUEUE_LENGTH);
    let (live, live_version) = watch::channel(None);
    let (target, target_version) = watch::channel(None);
    let (fence, fence_number) = watch::channel(None);
    let engine = EngineTask {
        loader: inputs.engine.clone(),
        poll_interval: options.engine_poll,
        fence: fence_number,
        target: target_version,
        live,
    };
    let registration = super::fences::register(
        inputs.log.clone(),
        inputs.instance.clone(),
        inputs.incarnation,
        fence,
    );
    let context = FetchContext {
        peers: inputs.peers.clone(),
        external_sources: inputs.external_sources.clone(),
        pacer: pacer.clone(),
        poll_wait: options.fetch.poll_wait,
        stall_timeout: options.stall_timeout,
        downloads: Semaphore::new(options.fetch.parallel_fetches),
        verifies: options.verifies(),
    };
    let task = WeightsTask {
        scheduler: FetchScheduler::new(options.fetch.clone(), options.seed),
        context: Arc::new(context),
        contents: BTreeMap::new(),
        waiters: BTreeMap::new(),
        fetches: BTreeMap::new(),
        desired: Vec::new(),
        results,
        target,
        inputs,
        options,
    };
    tokio::spawn(registration);
    tokio::spawn(engine.run());
    tokio::spawn(task.run(message_inbox, result_inbox));
    Ok(WeightsHandle { messages, pacer, uploads, slice_bytes, live: live_version })
}

struct WeightsTask {
    inputs: WeightsInputs,
    options: WeightsOptions,
    scheduler: FetchScheduler,
    context: Arc<FetchContext>,
    /// Contents of the verified chunks and manifests, exactly those that the scheduler counts as
    /// held.
    contents: BTreeMap<ContentDigest, Bytes>,
    waiters: BTreeMap<ContentDigest, Vec<oneshot::Sender<ChunkAnswer>>>,
    fetches: BTreeMap<ContentDigest, AbortHandle>,
    desired: Vec<DesiredVersion>,
    results: mpsc::Sender<FetchResult>,
    target: watch::Sender<Option<Arc<CompleteVersion>>>,
}

impl WeightsTask {
    async fn run(
        mut self,
        mut messages: mpsc::Receiver<PeerMessage>,
        mut results: mpsc::Receiver<FetchResult>,
    ) {
        self.members_changed();
        self.configuration_changed();
        loop {
            let now = self.inputs.clock.now();
            let pause = self.scheduler.next_timer(now).map_or(IDLE_SLEEP, |due_at| due_at - now);
            tokio::select! {
                Some(result) = results.recv() => self.handle_result(result),
                message = messages.recv() => match message {
                    Some(PeerMessage::Query { chunk, reply }) => self.answer_query(chunk, reply),
                    Some(PeerMessage::Offer { chunk, from }) => {
                        let source = ChunkSource::Peer(from);
                        self.handle_event(FetchEvent::ChunkOffered { chunk, source });
                    }
                    None => break,
                },
                Ok(()) = self.inputs.configuration.changed() => self.configuration_changed(),
                Ok(()) = self.inputs.members.changed() => self.members_changed(),
                () = sleep(pause) => self.handle_event(FetchEvent::TimerFired),
            }
        }
        for fetch in self.fetches.values() {
            fetch.abort();
        }
    }

    fn configuration_changed(&mut self) {
        let state = self.inputs.configuration.borrow_and_update().clone();
        let Some(state) = state else { return };
        let selected = selected_version(&state, &self.inputs.service);
        let desired: Vec<_> = selected.into_iter().collect();
        if desired != self.desired {
            self.desired.clone_from(&desired);
            self.handle_event(FetchEvent::VersionsDesired(desired));
        }
        // The plan depends on the versions that other services select.
        self.members_changed();
    }

    fn members_changed(&mut self) {
        let view = self.inputs.members.borrow_and_update().clone();
        let plan = DistributionPlan::new(
            &view,
            &self.inputs.instance,
            &self.inputs.region,
            &self.sharing_services(),
            &self.options.home_region,
            self.options.goal,
        );
        self.handle_event(FetchEvent::PlanChanged(plan));
    }

    /// Services that select the same version, whose sidecars share its chunks.
    fn sharing_services(&self) -> BTreeSet<ServiceName> {
        let mut services = BTreeSet::from([self.inputs.service.clone()]);
        if let Some(state) = self.inputs.configuration.borrow().as_ref() {
            let sharing = state.services.keys().filter(|service| {
                let selected = selected_version(state, service);
                selected.is_some_and(|version| self.desired.contains(&version))
            });
            services.extend(sharing.cloned());
        }
        services
    }

    fn answer_query(&mut self, chunk: ContentDigest, reply: oneshot::Sender<ChunkAnswer>) {
        if let Some(content) = self.contents.get(&chunk) {
            // Fails only if the requester has disconnected.
            let _ = reply.send(ChunkAnswer::Held(content.clone()));
        } else if self.scheduler.expects(&chunk) {
            let waiters = self.waiters.entry(chunk).or_default();
            waiters.retain(|waiter| !waiter.is_closed());
            waiters.push(reply);
        } else {
            let _ = reply.send(ChunkAnswer::NotExpected);
        }
    }

    fn handle_result(&mut self, ended: FetchResult) {
        let FetchResult { fetch, result } = ended;
        let ChunkFetch { chunk, source, .. } = fetch;
        self.fetches.remove(&chunk);
        match result {
            Ok(content) => self.store_chunk(chunk, content, source),
            Err(failure) => self.handle_event(FetchEvent::FetchFailed { chunk, source, failure }),
        }
    }

    fn store_chunk(&mut self, chunk: ContentDigest, content: Bytes, source: ChunkSource) {
        self.contents.insert(chunk, content.clone());
        let size = ByteCount(content.len() as u64);
        self.handle_event(FetchEvent::ChunkArrived { chunk, size, source });
        if !self.scheduler.holds(&chunk) {
            self.contents.remove(&chunk);
            return;
        }
        for waiter in self.waiters.remove(&chunk).unwrap_or_default() {
            let _ = waiter.send(ChunkAnswer::Held(content.clone()));
        }
        let desired = self.desired.iter().find(|version| version.manifest == chunk).copied();
        if let Some(version) = desired {
            self.read_manifest(&version, &content);
        }
    }

    fn read_manifest(&mut self, version: &DesiredVersion, content: &[u8]) {
        let manifest = version.manifest;
        match read_chunks(content, version) {
            Ok(chunks) => self.handle_event(FetchEvent::ManifestRead { manifest, chunks }),
            Err(error) => {
                EventLine::new("manifest_rejected").field("error", error).error();
                self.handle_event(FetchEvent::ManifestRejected { manifest });
            }
        }
    }

    fn handle_event(&mut self, event: FetchEvent) {
        let now = self.inputs.clock.now();
        for action in self.scheduler.handle(event, now) {
            match action {
                FetchAction::Fetch { chunk, source } => self.start_fetch(chunk, source),
                FetchAction::Offer { chunk, instance } => self.send_offer(chunk, &instance),
                FetchAction::Cancel { chunk } => {
                    if let Some(fetch) = self.fetches.remove(&chunk) {
                        fetch.abort();
                    }
                    if !self.scheduler.expects(&chunk) {
                        self.waiters.remove(&chunk);
                    }
                }
                FetchAction::Drop { chunk } => {
                    self.contents.remove(&chunk);
                }
                FetchAction::VersionComplete { manifest } => self.version_complete(manifest),
                FetchAction::VersionTooLarge { manifest, size } => {
                    let memory = self.options.fetch.memory;
                    EventLine::new("version_too_large")
                        .field("manifest", manifest)
                        .field("size", size)
                        .field("memory", memory)
                        .error();
                }
            }
        }
    }

    fn address_of(&self, instance: &InstanceName) -> Option<String> {
        let view = self.inputs.members.borrow();
        view.sides.get(instance).map(|side| side.address.clone())
    }

    /// Sends an offer without retries: a lost offer only costs the other sidecar a poll.
    fn send_offer(&self, chunk: ContentDigest, instance: &InstanceName) {
        let Some(address) = self.address_of(instance) else { return };
        let (peers, holder) = (self.inputs.peers.clone(), self.inputs.instance.clone());
        tokio::spawn(async move {
            if let Err(error) = peers.offer_chunk(&address, &chunk, &holder).await {
                log::debug!("event=offer_failed chunk={chunk} error={error:?}");
            }
        });
    }

    fn start_fetch(&mut self, chunk: ContentDigest, source: ChunkSource) {
        let address = match &source {
            ChunkSource::Peer(instance) => self.address_of(instance),
            ChunkSource::External(_) => None,
        };
        let size = self.scheduler.size_of(&chunk).map(|size| size.0 as usize);
        let fetch = ChunkFetch { chunk, size, source, address };
        let (context, results) = (self.context.clone(), self.results.clone());
        let running = tokio::spawn(async move {
            let result = context.run(&fetch).await;
            // Fails only when the task has ended.
            let _ = results.send(FetchResult { fetch, result }).await;
        });
        self.fetches.insert(chunk, running.abort_handle());
    }

    /// Passes a complete version to the engine task if it is the selected one.
    fn version_complete(&mut self, manifest: ContentDigest) {
        EventLine::new("version_complete").field("manifest", manifest).info();
        let selected = self.desired.first().is_some_and(|version| version.manifest == manifest);
        let Some(chunks) = self.scheduler.complete_chunks(&manifest) else { return };
        if !selected {
            return;
        }
        let contents = chunks.iter().map(|chunk| self.contents.get(&chunk.digest).cloned());
        let chunks: Option<Vec<_>> = contents.collect();
        match (self.contents.get(&manifest).cloned(), chunks) {
            (Some(manifest_content), Some(chunks)) => {
                let version = CompleteVersion { manifest, manifest_content, chunks };
                self.target.send_replace(Some(Arc::new(version)));
            }
            _ => EventLine::new("version_incomplete").field("manifest", manifest).error(),
        }
    }
}

/// Version that the configuration selects for `service`; `None` if it selects no known version.
fn selected_version(state: &ConfigurationState, service: &ServiceName) -> Option<DesiredVersion> {
    let name = state.services.get(service)?.version.as_ref()?;
    let version = state.versions.get(name)?;
    Some(DesiredVersion { manifest: version.manifest, size: version.size })
}
