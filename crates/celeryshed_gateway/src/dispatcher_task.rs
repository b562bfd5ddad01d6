//! The task that owns the decisions of the entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::{ClockSource, ServiceName};
use celeryshed_dispatch::{
    AttemptOutcome, DispatchDecision, DispatcherSettings, EndpointId, EndpointStatus,
    EndpointTarget, EntryDispatcher, LoadScope, PeerAddress, RefusalReason, RequestFingerprint,
    RequestNumber, RequestProfile, RoutingSnapshot,
};
use celeryshed_observe::EventLine;
use celeryshed_peering::{
    ControlEvent, ControlPosition, EntryStatus, KeyedLoad, RequestCrashes, SidecarStatus,
    VersionAge,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Time between two looks at the requests that wait.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);

/// The answer to a request for an endpoint.
#[derive(Debug)]
pub(crate) enum PlacementVerdict {
    /// Send it there.
    Placed { target: EndpointTarget, expected: Duration, permit: PlacementPermit },
    /// Refuse it.
    Refused { reason: RefusalReason, retry_after: Duration },
}

/// Where the peers of the entry are.
#[derive(Debug, Default, Clone)]
pub(crate) struct PeerTargets {
    /// Addresses of endpoints; the sidecars are on the same instances.
    pub(crate) endpoints: Vec<String>,
}

enum DispatcherCommand {
    Place {
        number: RequestNumber,
        profile: RequestProfile,
        excluded: BTreeSet<EndpointId>,
        reply: oneshot::Sender<PlacementVerdict>,
    },
    Cancel(RequestNumber),
    Answered {
        id: EndpointId,
        prompt_tokens: u32,
        expected: Duration,
        measured: Duration,
    },
    Finish {
        id: EndpointId,
        unread_tokens: u32,
        outcome: AttemptOutcome,
    },
    Broken {
        id: EndpointId,
        request: RequestFingerprint,
    },
    Served(RequestFingerprint),
    IsQuarantined {
        request: RequestFingerprint,
        reply: oneshot::Sender<bool>,
    },
    Retry {
        service: ServiceName,
        reply: oneshot::Sender<bool>,
    },
    Load {
        peer: PeerAddress,
        load: EntryStatus,
    },
    Status(SidecarStatus),
    Report {
        scope: LoadScope,
        position: ControlPosition,
        reply: oneshot::Sender<EntryStatus>,
    },
    Targets(oneshot::Sender<PeerTargets>),
}

/// Sends to the dispatcher task.
#[derive(Clone, Debug)]
pub(crate) struct DispatcherHandle {
    commands: mpsc::UnboundedSender<DispatcherCommand>,
    next_number: Arc<AtomicU64>,
}

impl DispatcherHandle {
    /// Waits for an endpoint; a caller that leaves meanwhile gives its place up.
    pub(crate) async fn place(
        &self,
        profile: RequestProfile,
        excluded: BTreeSet<EndpointId>,
    ) -> PlacementVerdict {
        let number = RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (reply, verdict) = oneshot::channel();
        self.send(DispatcherCommand::Place { number, profile, excluded, reply });
        let mut guard = WaitGuard { dispatcher: self.clone(), number: Some(number) };
        let verdict = verdict.await.unwrap_or(PlacementVerdict::Refused {
            reason: RefusalReason::NoEndpoint,
            retry_after: Duration::from_secs(1),
        });
        guard.number = None;
        verdict
    }

    /// Whether one more repeat fits the retry budget.
    pub(crate) async fn try_retry(&self, service: &ServiceName) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::Retry { service: service.clone(), reply });
        answer.await.unwrap_or(false)
    }

    /// Whether a request is known to crash endpoints.
    pub(crate) async fn is_quarantined(&self, request: RequestFingerprint) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::IsQuarantined { request, reply });
        answer.await.unwrap_or(false)
    }

    /// The connection to an endpoint broke with a request in progress.
    pub(crate) fn broken(&self, id: &EndpointId, request: RequestFingerprint) {
        self.send(DispatcherCommand::Broken { id: id.clone(), request });
    }

    /// A request was answered.
    pub(crate) fn served(&self, request: RequestFingerprint) {
        self.send(DispatcherCommand::Served(request));
    }

    /// A peer's load arrived.
    pub(crate) fn load(&self, peer: PeerAddress, load: EntryStatus) {
        self.send(DispatcherCommand::Load { peer, load });
    }

    /// A sidecar's status arrived.
    pub(crate) fn status(&self, status: SidecarStatus) {
        self.send(DispatcherCommand::Status(status));
    }

    /// What to tell the peers.
    pub(crate) async fn report(
        &self,
        scope: LoadScope,
        position: ControlPosition,
    ) -> Option<EntryStatus> {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::Report { scope, position, reply });
        answer.await.ok()
    }

    /// Where sidecars are.
    pub(crate) async fn targets(&self) -> PeerTargets {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::Targets(reply));
        answer.await.unwrap_or_default()
    }

    fn send(&self, command: DispatcherCommand) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

struct WaitGuard {
    dispatcher: DispatcherHandle,
    number: Option<RequestNumber>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.dispatcher.send(DispatcherCommand::Cancel(number));
        }
    }
}

/// A place at an endpoint; dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct PlacementPermit {
    dispatcher: DispatcherHandle,
    id: EndpointId,
    unread_tokens: u32,
    finished: bool,
}

impl PlacementPermit {
    /// The first event or the answer came.
    pub(crate) fn answered(&mut self, expected: Duration, measured: Duration) {
        let prompt_tokens = std::mem::take(&mut self.unread_tokens);
        let id = self.id.clone();
        self.dispatcher.send(DispatcherCommand::Answered { id, prompt_tokens, expected, measured });
    }

    /// The attempt ended.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if !std::mem::replace(&mut self.finished, true) {
            let unread_tokens = self.unread_tokens;
            self.dispatcher.send(DispatcherCommand::Finish {
                id: self.id.clone(),
                unread_tokens,
                outcome,
            });
        }
    }
}

impl Drop for PlacementPermit {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}

/// What the dispatcher task publishes.
#[derive(Debug)]
pub(crate) struct DispatcherOutputs {
    /// The configuration in force.
    pub(crate) snapshot: watch::Receiver<Option<Arc<RoutingSnapshot>>>,
    /// Whether any endpoint is known.
    pub(crate) endpoints_known: watch::Receiver<bool>,
}

/// Starts the dispatcher task.
pub(crate) fn start_dispatcher(
    settings: DispatcherSettings,
    clock: ClockSource,
    events: mpsc::UnboundedReceiver<ControlEvent>,
) -> (DispatcherHandle, DispatcherOutputs) {
    let (commands, received) = mpsc::unbounded_channel();
    let (snapshot, snapshot_watch) = watch::channel(None);
    let (endpoints_known, endpoints_watch) = watch::channel(false);
    let handle = DispatcherHandle { commands, next_number: Arc::default() };
    let task = DispatcherTask {
        dispatcher: EntryDispatcher::new(settings),
        handle: handle.clone(),
        clock,
        snapshot,
        endpoints_known,
        waiters: BTreeMap::new(),
    };
    tokio::spawn(task.run(received, events));
    let outputs = DispatcherOutputs { snapshot: snapshot_watch, endpoints_known: endpoints_watch };
    (handle, outputs)
}

struct Waiter {
    prompt_tokens: u32,
    reply: oneshot::Sender<PlacementVerdict>,
}

struct DispatcherTask {
    dispatcher: EntryDispatcher,
    /// Given to permits, which report their end to this task.
    handle: DispatcherHandle,
    clock: ClockSource,
    snapshot: watch::Sender<Option<Arc<RoutingSnapshot>>>,
    endpoints_known: watch::Sender<bool>,
    waiters: BTreeMap<RequestNumber, Waiter>,
}

impl DispatcherTask {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<DispatcherCommand>,
        mut events: mpsc::UnboundedReceiver<ControlEvent>,
    ) {
        let mut ticks = interval(DISPATCH_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => {
                    self.control(event);
                    while let Ok(event) = events.try_recv() {
                        self.control(event);
                    }
                    self.dispatcher.sync_directory(self.clock.now());
                    let mut endpoints = self.dispatcher.directory().endpoints(self.clock.now());
                    let known = endpoints.next().is_some();
                    self.endpoints_known.send_if_modified(|old| {
                        let changed = *old != known;
                        *old = known;
                        changed
                    });
                }
                Some(command) = commands.recv() => {
                    self.command(command);
                    while let Ok(command) = commands.try_recv() {
                        self.command(command);
                    }
                }
                _ = ticks.tick(), if self.dispatcher.has_waiting() => {}
                else => return,
            }
            if self.dispatcher.has_waiting() {
                self.dispatch_waiting();
            }
        }
    }

    fn control(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Configuration(snapshot) => {
                self.dispatcher.set_configuration(&snapshot);
                self.snapshot.send_replace(Some(snapshot));
            }
            ControlEvent::ModelVersion { model, version, initial } => {
                let age = if initial { None } else { Some(Duration::ZERO) };
                self.dispatcher.add_declared_version(now, &model, version, age);
            }
            ControlEvent::Endpoint(record) => {
                let id = record.id.clone();
                let state = record.endpoint.as_ref().map(|endpoint| endpoint.state);
                let known =
                    self.dispatcher.directory().get(now, &id).map(|endpoint| endpoint.state);
                if self.dispatcher.directory_mut().apply(now, record) && state != known {
                    EventLine::new("endpoint_changed")
                        .field("endpoint", &id)
                        .field("state", format_args!("{state:?}"))
                        .info();
                }
            }
            ControlEvent::StoreFailed => self.dispatcher.directory_mut().store_failed(),
            ControlEvent::StoreAnswered => self.dispatcher.directory_mut().store_answered(now),
        }
    }

    fn command(&mut self, command: DispatcherCommand) {
        let now = self.clock.now();
        match command {
            DispatcherCommand::Place { number, profile, excluded, reply } => {
                let prompt_tokens = profile.prompt_tokens;
                self.waiters.insert(number, Waiter { prompt_tokens, reply });
                self.dispatcher.submit(now, number, profile, excluded);
            }
            DispatcherCommand::Cancel(number) => {
                self.waiters.remove(&number);
                self.dispatcher.cancel(number);
            }
            DispatcherCommand::Answered { id, prompt_tokens, expected, measured } => {
                self.dispatcher.answered(&id, prompt_tokens, expected, measured);
            }
            DispatcherCommand::Finish { id, unread_tokens, outcome } => {
                self.dispatcher.finish(now, &id, unread_tokens, outcome);
            }
            DispatcherCommand::Broken { id, request } => {
                self.dispatcher.quarantine_mut().record_reset(now, &id, request);
            }
            DispatcherCommand::Served(request) => {
                self.dispatcher.quarantine_mut().answered(now, request)
            }
            DispatcherCommand::IsQuarantined { request, reply } => {
                // The caller may have left; so below.
                let _ = reply.send(self.dispatcher.quarantine_mut().is_quarantined(now, request));
            }
            DispatcherCommand::Retry { service, reply } => {
                let _ = reply.send(self.dispatcher.try_retry(now, &service));
            }
            DispatcherCommand::Load { peer, load } => self.peer_load(&peer, &load),
            DispatcherCommand::Status(status) => self.sidecar_status(status),
            DispatcherCommand::Report { scope, position, reply } => {
                let _ = reply.send(self.report(scope, position));
            }
            DispatcherCommand::Targets(reply) => {
                let endpoints = self.dispatcher.directory().endpoints(now);
                let endpoints = endpoints.map(|(_, endpoint)| endpoint.address.clone()).collect();
                let _ = reply.send(PeerTargets { endpoints });
            }
        }
    }

    fn version_ages(&mut self, versions: &[VersionAge]) {
        let now = self.clock.now();
        for known in versions {
            let age = Duration::from_millis(known.age_ms);
            self.dispatcher.report_version_age(now, &known.model, known.version, age);
        }
    }

    fn peer_load(&mut self, peer: &PeerAddress, load: &EntryStatus) {
        let now = self.clock.now();
        self.version_ages(&load.versions);
        self.dispatcher.apply_peer_load(now, peer, load.scope(), &load.loads_by_endpoint());
        self.dispatcher.quarantine_mut().report_peer(now, &peer.0, &load.crashes_by_request());
    }

    fn sidecar_status(&mut self, status: SidecarStatus) {
        let now = self.clock.now();
        self.version_ages(&status.versions);
        let endpoint =
            self.dispatcher.directory().endpoints(now).find(|(_, e)| e.address == status.endpoint);
        let Some(id) = endpoint.map(|(id, _)| id.clone()) else { return };
        let closing_at = status.closing_in_ms.map(|millis| now + Duration::from_millis(millis));
        let status = EndpointStatus {
            received_at: now,
            models: status.models,
            accepting: status.accepting,
            closing_at,
        };
        self.dispatcher.apply_status(&id, status);
    }

    fn report(&mut self, scope: LoadScope, position: ControlPosition) -> EntryStatus {
        let loads = self.dispatcher.take_own_loads(scope).into_iter().map(|(hash, load)| {
            KeyedLoad { key: hash.0, running: load.running, unread_tokens: load.unread_tokens }
        });
        let crashes = self.dispatcher.quarantine().own_crashes();
        let crashes =
            crashes.map(|(request, crashes)| RequestCrashes { request: request.0, crashes });
        let versions = match scope {
            LoadScope::Changes => Vec::new(),
            LoadScope::Whole => self.version_notices(),
        };
        EntryStatus {
            position,
            whole: scope == LoadScope::Whole,
            loads: loads.collect(),
            crashes: crashes.collect(),
            versions,
        }
    }

    fn version_notices(&self) -> Vec<VersionAge> {
        let versions = self.dispatcher.version_ages(self.clock.now());
        let ages = versions.map(|(model, version, age)| VersionAge {
            model: model.to_owned(),
            version,
            age_ms: age.as_millis() as u64,
        });
        ages.collect()
    }

    fn dispatch_waiting(&mut self) {
        let now = self.clock.now();
        for decision in self.dispatcher.dispatch_waiting(now, rand::random()) {
            let (number, verdict) = match decision {
                DispatchDecision::Place { number, target, expected } => {
                    let prompt_tokens =
                        self.waiters.get(&number).map_or(0, |waiter| waiter.prompt_tokens);
                    let permit = PlacementPermit {
                        dispatcher: self.handle.clone(),
                        id: target.id.clone(),
                        unread_tokens: prompt_tokens,
                        finished: false,
                    };
                    (number, PlacementVerdict::Placed { target, expected, permit })
                }
                DispatchDecision::Refuse { number, reason, retry_after } => {
                    (number, PlacementVerdict::Refused { reason, retry_after })
                }
            };
            if let Some(waiter) = self.waiters.remove(&number) {
                // A caller that left drops the verdict, and its permit gives the place back.
                let _ = waiter.reply.send(verdict);
            }
        }
    }
}
