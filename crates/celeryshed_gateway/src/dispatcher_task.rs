//! The task that owns the [`EntryDispatcher`] of the process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, ClockSource, MonoTime, ServiceName};
use celeryshed_dispatch::{
    AttemptOutcome, DispatchDecision, DispatcherSettings, EndpointId, EndpointNotice,
    EndpointStart, EndpointStatus, EndpointTarget, EntryDispatcher, GuardEvent, LoadScope, PartId,
    PeerAddress, PeerAudience, PromptPart, RefusalReason, RequestFingerprint, RequestNumber,
    RequestProfile, RoutingSnapshot, told_status_lifetime,
};
use celeryshed_observe::EventLine;
use celeryshed_peering::{
    ControlEvent, ControlPosition, CrashReport, DropLog, EntryStatus, KeyedLoad, RecordAge,
    RequestCrashes, SidecarStatus, VersionAge,
};
use celeryshed_process::{TaskClass, TaskGroup};
use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::endpoint_activity::EndpointActivity;
use crate::notice_command::{NoticeCommand, log_reopened};

/// Time between two attempts to dispatch waiting requests, in addition to those after each event.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Time from a reset until the endpoint is probed; one that crashed no longer listens then.
const PROBE_DELAY: Duration = Duration::from_millis(5);
/// Limit for opening the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Messages of other processes that wait for the dispatcher. Further ones wait in the socket, which drops
/// those that it has no room for.
const MAX_WAITING_MESSAGES: usize = 64;
/// Smaller changes of the time at which a version is due aren't logged: reports of its age vary by the
/// time for which messages are under way.
const MIN_LOGGED_DUE_CHANGE: Duration = Duration::from_millis(50);
/// Longest time for which a message may have waited whose ages of versions count as known. The socket is
/// checked more often than that while the process runs.
const MAX_MESSAGE_WAIT: Duration = Duration::from_millis(300);
/// Longest time that a request waits for the result of a probe before it may be sent again.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(60);

/// The dispatcher's answer to [`DispatcherHandle::place`].
#[derive(Debug)]
pub(crate) enum PlacementVerdict {
    /// Send the request to `target`, which is expected to answer after `expected`.
    Placed { target: Box<EndpointTarget>, expected: Duration, permit: PlacementPermit },
    /// Refuse the request; the caller may send it again after `retry_after`.
    Refused { reason: RefusalReason, retry_after: Duration },
}

/// Whether a placement may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementKind {
    /// The request waits for a slot if it can still be served in time.
    Queued,
    /// The request duplicates one in progress, and is refused unless a slot is free.
    Duplicate,
}

/// Which load report a message to other entries contains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadQuery {
    pub(crate) audience: PeerAudience,
    pub(crate) scope: LoadScope,
    /// Position up to which this entry has read the control records.
    pub(crate) position: ControlPosition,
    /// Time for which the reported load counts.
    pub(crate) lifetime: Duration,
}

enum DispatcherCommand {
    Place {
        number: RequestNumber,
        profile: RequestProfile,
        excluded: BTreeSet<EndpointId>,
        kind: PlacementKind,
        reply: oneshot::Sender<PlacementVerdict>,
    },
    Cancel(RequestNumber),
    Answered {
        id: EndpointId,
        prompt_tokens: u32,
        expected: Duration,
        measured: Duration,
    },
    AnsweredLate {
        id: EndpointId,
        prompt_tokens: u32,
    },
    Finish {
        id: EndpointId,
        unread_tokens: u32,
        outcome: AttemptOutcome,
    },
    Silent {
        id: EndpointId,
    },
    Reset {
        id: EndpointId,
        request: RequestFingerprint,
        /// Parts of the prompt, if the answer had not begun.
        parts: Arc<[PromptPart]>,
        /// Told once the connection to the endpoint has been tried again.
        probed: oneshot::Sender<()>,
    },
    Probed {
        id: EndpointId,
        reachable: bool,
    },
    Served(RequestFingerprint),
    PartsAnswered {
        parts: Arc<[PromptPart]>,
        begun_at: MonoTime,
    },
    RefusesParts {
        parts: Arc<[PromptPart]>,
        reply: oneshot::Sender<bool>,
    },
    IsQuarantined {
        request: RequestFingerprint,
        reply: oneshot::Sender<bool>,
    },
    Retry {
        service: ServiceName,
        reply: oneshot::Sender<bool>,
    },
    Peer {
        message: DispatcherMessage,
        _room: Option<OwnedSemaphorePermit>,
    },
    CrashReport {
        audience: PeerAudience,
        /// Whether to report also if there is no news.
        is_regular: bool,
        reply: oneshot::Sender<Option<CrashReport>>,
    },
    LoadReport {
        query: LoadQuery,
        reply: oneshot::Sender<EntryStatus>,
    },
    ListedEndpoints(oneshot::Sender<Vec<(String, AvailabilityZone)>>),
    Notice(NoticeCommand),
}

/// A message of another process.
enum DispatcherMessage {
    Load { peer: PeerAddress, load: EntryStatus, arrived_after: MonoTime },
    Crashes(CrashReport),
    Status { sender: PeerAddress, status: SidecarStatus, arrived_after: MonoTime },
}

impl DispatcherCommand {
    /// Whether the command passes on a message of another process, or a query for one.
    fn is_peer_news(&self) -> bool {
        match self {
            Self::Peer { .. }
            | Self::CrashReport { .. }
            | Self::LoadReport { .. }
            | Self::ListedEndpoints(_) => true,
            Self::Notice(command) => command.is_query(),
            Self::Place { .. }
            | Self::Cancel(_)
            | Self::Answered { .. }
            | Self::AnsweredLate { .. }
            | Self::Finish { .. }
            | Self::Silent { .. }
            | Self::Reset { .. }
            | Self::Probed { .. }
            | Self::Served(_)
            | Self::PartsAnswered { .. }
            | Self::RefusesParts { .. }
            | Self::IsQuarantined { .. }
            | Self::Retry { .. } => false,
        }
    }
}

/// Gives access to the dispatcher task.
#[derive(Clone, Debug)]
pub(crate) struct DispatcherHandle {
    commands: mpsc::UnboundedSender<DispatcherCommand>,
    next_number: Arc<AtomicU64>,
    /// Number of notices of endpoints that were reported.
    notice_count: Arc<AtomicU64>,
    /// Room for messages that wait for the dispatcher.
    message_room: Arc<Semaphore>,
}

impl DispatcherHandle {
    /// Waits until the request gets an endpoint or is refused; dropping the future cancels
    /// the request.
    pub(crate) async fn place(
        &self,
        profile: RequestProfile,
        excluded: BTreeSet<EndpointId>,
        kind: PlacementKind,
    ) -> PlacementVerdict {
        let number = RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (reply, verdict) = oneshot::channel();
        self.send(DispatcherCommand::Place { number, profile, excluded, kind, reply });
        let mut guard = CancelGuard { dispatcher: self.clone(), number: Some(number) };
        let verdict = verdict.await.unwrap_or(PlacementVerdict::Refused {
            reason: RefusalReason::NoEndpoint,
            retry_after: Duration::from_secs(1),
        });
        guard.number = None;
        verdict
    }

    /// Whether the retry budget of a service allows one more retry; the retry is then counted.
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

    /// Reports that the connection to an endpoint was reset while it worked on a request, whose
    /// `parts` are given if the answer had not begun. Waits until it is known whether the endpoint
    /// crashed, but not for long.
    pub(crate) async fn report_reset(
        &self,
        id: &EndpointId,
        request: RequestFingerprint,
        parts: Arc<[PromptPart]>,
    ) {
        let _ = timeout(MAX_PROBE_WAIT, self.report_end(id, request, parts)).await;
    }

    /// Reports an end of an answer that a crash of the endpoint may have caused. The result ends
    /// once that is known.
    pub(crate) fn report_end(
        &self,
        id: &EndpointId,
        request: RequestFingerprint,
        parts: Arc<[PromptPart]>,
    ) -> oneshot::Receiver<()> {
        let (probed, result) = oneshot::channel();
        self.send(DispatcherCommand::Reset { id: id.clone(), request, parts, probed });
        result
    }

    /// Reports that a request was answered, or that an endpoint went on for some time after it had
    /// begun to answer at `begun_at`.
    pub(crate) fn report_parts_answered(&self, parts: &Arc<[PromptPart]>, begun_at: MonoTime) {
        if !parts.is_empty() {
            let parts = parts.clone();
            self.send(DispatcherCommand::PartsAnswered { parts, begun_at });
        }
    }

    /// Whether a request with a blocked part must be refused; it isn't if it is let through as a
    /// trial.
    pub(crate) async fn refuses_parts(&self, parts: &Arc<[PromptPart]>) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::RefusesParts { parts: parts.clone(), reply });
        answer.await.unwrap_or(true)
    }

    /// Applies the crash report of another entry, once there is room for it.
    pub(crate) async fn apply_peer_crashes(&self, report: CrashReport) {
        self.send_message(DispatcherMessage::Crashes(report)).await;
    }

    async fn send_message(&self, message: DispatcherMessage) {
        // The semaphore is never closed.
        let room = self.message_room.clone().acquire_owned().await.ok();
        self.send(DispatcherCommand::Peer { message, _room: room });
    }

    /// This entry's crash report; `None` if there is nothing to report.
    pub(crate) async fn crash_report(
        &self,
        audience: PeerAudience,
        is_regular: bool,
    ) -> Option<CrashReport> {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::CrashReport { audience, is_regular, reply });
        answer.await.ok().flatten()
    }

    /// Reports that a request was answered completely.
    pub(crate) fn report_served(&self, request: RequestFingerprint) {
        self.send(DispatcherCommand::Served(request));
    }

    /// Applies the status of another entry, once there is room for it.
    pub(crate) async fn apply_peer_load(
        &self,
        peer: PeerAddress,
        load: EntryStatus,
        arrived_after: MonoTime,
    ) {
        self.send_message(DispatcherMessage::Load { peer, load, arrived_after }).await;
    }

    /// Applies the status of a sidecar, once there is room for it.
    pub(crate) async fn apply_sidecar_status(
        &self,
        sender: PeerAddress,
        status: SidecarStatus,
        arrived_after: MonoTime,
    ) {
        self.send_message(DispatcherMessage::Status { sender, status, arrived_after }).await;
    }

    /// This entry's status for other entries; `None` if the dispatcher task has ended.
    pub(crate) async fn load_report(&self, query: LoadQuery) -> Option<EntryStatus> {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::LoadReport { query, reply });
        answer.await.ok()
    }

    /// Address and availability zone of each known endpoint; empty if the dispatcher task has ended.
    pub(crate) async fn listed_endpoints(&self) -> Vec<(String, AvailabilityZone)> {
        let (reply, answer) = oneshot::channel();
        self.send(DispatcherCommand::ListedEndpoints(reply));
        answer.await.unwrap_or_default()
    }

    fn notice_count(&self) -> u64 {
        self.notice_count.load(Ordering::Acquire)
    }

    fn send(&self, command: DispatcherCommand) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

/// Cancels a waiting request when dropped, unless `number` is `None`.
struct CancelGuard {
    dispatcher: DispatcherHandle,
    number: Option<RequestNumber>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.dispatcher.send(DispatcherCommand::Cancel(number));
        }
    }
}

/// Reports silences of an endpoint during an attempt.
#[derive(Clone, Debug)]
pub(crate) struct SilenceReporter {
    dispatcher: DispatcherHandle,
    id: EndpointId,
    was_silent: Arc<AtomicBool>,
}

impl SilenceReporter {
    /// Reports that the endpoint sends nothing for the request, which goes on there.
    pub(crate) fn report(&self) {
        self.was_silent.store(true, Ordering::Relaxed);
        self.dispatcher.send(DispatcherCommand::Silent { id: self.id.clone() });
    }
}

/// A request's slot at an endpoint; dropping the permit frees the slot.
#[derive(Debug)]
pub(crate) struct PlacementPermit {
    dispatcher: DispatcherHandle,
    start: EndpointStart,
    /// Whether the request is a trial after a pause of the endpoint.
    is_trial: bool,
    /// Notices that were applied when the request was placed.
    notice_count: u64,
    /// Prompt tokens that the endpoint has not processed yet; zero after the first event or the
    /// answer.
    unread_tokens: u32,
    finished: bool,
    /// Whether the endpoint was reported as silent during the attempt.
    was_silent: Arc<AtomicBool>,
    clock: ClockSource,
    activity: Arc<EndpointActivity>,
    /// Whether the answer has begun.
    has_begun: bool,
}

impl PlacementPermit {
    /// Records that the endpoint sent a part of the answer.
    pub(crate) fn record_activity(&self) {
        self.activity.record(self.clock.now());
    }

    /// Reports silences during the attempt, also while it holds the permit.
    pub(crate) fn silence_reporter(&self) -> SilenceReporter {
        SilenceReporter {
            dispatcher: self.dispatcher.clone(),
            id: self.start.id.clone(),
            was_silent: self.was_silent.clone(),
        }
    }

    /// Reports the first event or the complete answer, which arrived `measured` after the request
    /// was sent. The time isn't measured if the endpoint was reported as silent.
    pub(crate) fn answered(&mut self, expected: Duration, measured: Duration) {
        let prompt_tokens = std::mem::take(&mut self.unread_tokens);
        self.activity.begin(self.clock.now());
        self.has_begun = true;
        let id = self.start.id.clone();
        self.dispatcher.send(if self.was_silent.load(Ordering::Relaxed) {
            DispatcherCommand::AnsweredLate { id, prompt_tokens }
        } else {
            DispatcherCommand::Answered { id, prompt_tokens, expected, measured }
        });
        if self.is_trial {
            self.send(NoticeCommand::TrialAnswered(self.start.clone()));
        }
    }

    /// Reports the end of the attempt and frees the slot.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if !std::mem::replace(&mut self.finished, true) {
            if self.has_begun {
                self.activity.end();
            }
            if self.is_trial {
                self.send(NoticeCommand::TrialEnded(self.start.clone()));
            }
            let unread_tokens = self.unread_tokens;
            self.dispatcher.send(DispatcherCommand::Finish {
                id: self.start.id.clone(),
                unread_tokens,
                outcome,
            });
        }
    }

    /// Reports what the endpoint stated of itself in an answer to the request.
    pub(crate) fn report_notice(
        &self,
        notice: EndpointNotice,
        status: StatusCode,
        request_id: &str,
    ) {
        let (start, request_id) = (self.start.clone(), request_id.to_owned());
        self.send(NoticeCommand::Stated { start, notice, status, request_id });
        self.dispatcher.notice_count.fetch_add(1, Ordering::Release);
    }

    /// Whether the request may still be sent: no answer that was read since the request was placed
    /// says that the endpoint accepts none.
    pub(crate) async fn may_send(&self) -> bool {
        let mut checked = self.notice_count;
        loop {
            let count = self.dispatcher.notice_count();
            if count == checked {
                return true;
            }
            checked = count;
            let (reply, answer) = oneshot::channel();
            self.send(NoticeCommand::MaySend { start: self.start.clone(), reply });
            if !answer.await.unwrap_or(false) {
                return false;
            }
        }
    }

    fn send(&self, command: NoticeCommand) {
        self.dispatcher.send(DispatcherCommand::Notice(command));
    }
}

impl Drop for PlacementPermit {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}

/// Values that the dispatcher task publishes.
#[derive(Debug)]
pub(crate) struct DispatcherOutputs {
    /// The configuration in force; `None` before the first one arrives.
    pub(crate) snapshot: watch::Receiver<Option<Arc<RoutingSnapshot>>>,
    /// Whether any endpoint is known.
    pub(crate) endpoints_known: watch::Receiver<bool>,
    /// Parts of prompts whose requests are refused.
    pub(crate) blocked_parts: watch::Receiver<Arc<BTreeSet<PartId>>>,
}

/// Starts the dispatcher task as one of the `tasks` of the role.
pub(crate) fn start_dispatcher(
    tasks: &TaskGroup,
    settings: DispatcherSettings,
    own_address: PeerAddress,
    clock: ClockSource,
    events: mpsc::UnboundedReceiver<ControlEvent>,
) -> (DispatcherHandle, DispatcherOutputs) {
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let (snapshot, snapshot_watch) = watch::channel(None);
    let (endpoints_known, endpoints_watch) = watch::channel(false);
    let (blocked_parts, blocked_watch) = watch::channel(Arc::default());
    let handle = DispatcherHandle {
        commands,
        next_number: Arc::default(),
        notice_count: Arc::default(),
        message_room: Arc::new(Semaphore::new(MAX_WAITING_MESSAGES)),
    };
    let task = DispatcherTask {
        dispatcher: EntryDispatcher::new(settings),
        handle: handle.clone(),
        clock,
        snapshot,
        endpoints_known,
        waiters: BTreeMap::new(),
        own_address,
        blocked_parts,
        probes: BTreeMap::new(),
        notice_count: 0,
        activities: BTreeMap::new(),
        drops: DropLog::default(),
    };
    tasks.start("dispatcher", TaskClass::Essential, task.run(command_receiver, events));
    let outputs = DispatcherOutputs {
        snapshot: snapshot_watch,
        endpoints_known: endpoints_watch,
        blocked_parts: blocked_watch,
    };
    (handle, outputs)
}

struct Waiter {
    prompt_tokens: u32,
    reply: oneshot::Sender<PlacementVerdict>,
}

struct DispatcherTask {
    dispatcher: EntryDispatcher,
    /// Cloned into permits, which report the end of their attempts to this task.
    handle: DispatcherHandle,
    clock: ClockSource,
    snapshot: watch::Sender<Option<Arc<RoutingSnapshot>>>,
    endpoints_known: watch::Sender<bool>,
    waiters: BTreeMap<RequestNumber, Waiter>,
    /// Address of the peer socket of this process.
    own_address: PeerAddress,
    blocked_parts: watch::Sender<Arc<BTreeSet<PartId>>>,
    /// Endpoints that are being probed after a reset, and the requests that wait for the result.
    probes: BTreeMap<EndpointId, Vec<oneshot::Sender<()>>>,
    /// Notices of endpoints that were applied.
    notice_count: u64,
    /// What the endpoints send, also updated by permits.
    activities: BTreeMap<EndpointId, Arc<EndpointActivity>>,
    drops: DropLog,
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
            // News of other processes may free slots, but comes many times a second; waiting
            // requests are dispatched after it at the next tick.
            let mut is_urgent = true;
            tokio::select! {
                Some(event) = events.recv() => {
                    self.apply_event(event);
                    while let Ok(event) = events.try_recv() {
                        self.apply_event(event);
                    }
                    self.dispatcher.sync_directory(self.clock.now());
                    log_reopened(&mut self.dispatcher);
                    let has_endpoints = self
                        .dispatcher
                        .directory()
                        .endpoints(self.clock.now())
                        .next()
                        .is_some();
                    self.endpoints_known.send_if_modified(|old| {
                        let changed = *old != has_endpoints;
                        *old = has_endpoints;
                        changed
                    });
                }
                Some(command) = commands.recv() => {
                    is_urgent = !command.is_peer_news();
                    // Notices that are counted now are among the commands that are run below.
                    let notice_count = self.handle.notice_count();
                    self.run_command(command);
                    while let Ok(command) = commands.try_recv() {
                        is_urgent |= !command.is_peer_news();
                        self.run_command(command);
                    }
                    self.notice_count = notice_count;
                }
                _ = ticks.tick(), if self.dispatcher.has_waiting() => {}
                else => return,
            }
            self.publish_guard();
            if is_urgent && self.dispatcher.has_waiting() {
                self.dispatch_waiting();
            }
        }
    }

    fn apply_event(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Configuration(snapshot) => {
                self.dispatcher.set_configuration(&snapshot);
                self.snapshot.send_replace(Some(snapshot));
            }
            ControlEvent::ModelVersion { model, version, age, .. } => {
                let age = age.age();
                let known = match age {
                    RecordAge::Known(age) => Some(age),
                    RecordAge::AtMost(_) | RecordAge::Unknown => None,
                };
                self.dispatcher.add_declared_version(now, &model, version, known);
                // Other entries may know the age. A mere limit must not become theirs.
                if let RecordAge::AtMost(limit) = age {
                    self.dispatcher.limit_version_age(now, &model, version, limit);
                }
                self.log_due_change(now, &model, version, None, "control");
            }
            ControlEvent::Endpoint(record) => {
                let id = record.id.clone();
                let state = record.endpoint.as_ref().map(|endpoint| endpoint.state);
                let old_state =
                    self.dispatcher.directory().get(now, &id).map(|endpoint| endpoint.state);
                if self.dispatcher.directory_mut().apply(now, record) && state != old_state {
                    EventLine::new("endpoint_changed")
                        .field("endpoint", &id)
                        .field("state", format_args!("{state:?}"))
                        .info();
                }
            }
            ControlEvent::StoreFailed => self.dispatcher.directory_mut().record_store_failure(),
            ControlEvent::StoreAnswered => {
                self.dispatcher.directory_mut().record_store_success(now)
            }
            ControlEvent::StoreRestored => self.dispatcher.directory_mut().record_restore(now),
            ControlEvent::RegistrationsRenewed => self.dispatcher.directory_mut().record_renewals(),
        }
    }

    fn run_command(&mut self, command: DispatcherCommand) {
        let now = self.clock.now();
        match command {
            DispatcherCommand::Place { number, profile, excluded, kind, reply } => {
                let prompt_tokens = profile.prompt_tokens;
                self.waiters.insert(number, Waiter { prompt_tokens, reply });
                match kind {
                    PlacementKind::Queued => {
                        self.dispatcher.submit(now, number, profile, excluded);
                    }
                    PlacementKind::Duplicate => {
                        self.dispatcher.submit_duplicate(now, number, profile, excluded);
                    }
                }
            }
            DispatcherCommand::Cancel(number) => {
                self.waiters.remove(&number);
                self.dispatcher.cancel(number);
            }
            DispatcherCommand::Answered { id, prompt_tokens, expected, measured } => {
                self.dispatcher.record_first_event(&id, prompt_tokens, expected, measured);
            }
            DispatcherCommand::AnsweredLate { id, prompt_tokens } => {
                self.dispatcher.record_late_event(&id, prompt_tokens);
            }
            DispatcherCommand::Finish { id, unread_tokens, outcome } => {
                self.dispatcher.record_end(now, &id, unread_tokens, outcome);
            }
            DispatcherCommand::Silent { id } => self.dispatcher.record_silence(now, &id),
            DispatcherCommand::Reset { id, request, parts, probed } => {
                self.dispatcher.quarantine_mut().record_reset(now, &id, request);
                self.dispatcher.prompt_guard_mut().record_reset(now, &id, &parts);
                self.probe(id, probed);
            }
            DispatcherCommand::Probed { id, reachable } => {
                if !reachable {
                    self.dispatcher.record_unreachable(now, &id);
                }
                // The blocked parts are published before the requests are sent again.
                self.publish_guard();
                for waiting in self.probes.remove(&id).unwrap_or_default() {
                    let _ = waiting.send(());
                }
            }
            DispatcherCommand::PartsAnswered { parts, begun_at } => {
                self.dispatcher.prompt_guard_mut().record_answer(now, &parts, begun_at);
            }
            DispatcherCommand::RefusesParts { parts, reply } => {
                let _ = reply.send(self.dispatcher.refuses_parts(now, &self.own_address, &parts));
            }
            DispatcherCommand::Peer { message, .. } => self.apply_message(message),
            DispatcherCommand::CrashReport { audience, is_regular, reply } => {
                let guard = self.dispatcher.prompt_guard_mut();
                let is_due = is_regular || guard.has_news(audience);
                let report = is_due.then(|| guard.report(now, audience)).flatten();
                let _ = reply.send(report.as_ref().map(CrashReport::from));
            }
            DispatcherCommand::Served(request) => {
                self.dispatcher.quarantine_mut().record_answer(now, request)
            }
            DispatcherCommand::IsQuarantined { request, reply } => {
                // Sending fails if the caller has disconnected. The replies below may fail for the
                // same reason.
                let _ = reply.send(self.dispatcher.quarantine_mut().is_quarantined(now, request));
            }
            DispatcherCommand::Retry { service, reply } => {
                let _ = reply.send(self.dispatcher.try_retry(now, &service));
            }
            DispatcherCommand::LoadReport { query, reply } => {
                let _ = reply.send(self.load_report(query));
            }
            DispatcherCommand::ListedEndpoints(reply) => {
                let endpoints = self.dispatcher.directory().endpoints(now);
                let endpoints = endpoints
                    .map(|(_, endpoint)| (endpoint.address.clone(), endpoint.zone.clone()));
                let _ = reply.send(endpoints.collect());
            }
            DispatcherCommand::Notice(command) => command.run(&mut self.dispatcher, now),
        }
    }

    /// Tries to connect to an endpoint after a reset; one that has crashed refuses.
    fn probe(&mut self, id: EndpointId, probed: oneshot::Sender<()>) {
        if let Some(waiting) = self.probes.get_mut(&id) {
            waiting.retain(|sender| !sender.is_closed());
            waiting.push(probed);
            return;
        }
        let endpoint = self.dispatcher.directory().get(self.clock.now(), &id);
        let Some(address) = endpoint.map(|endpoint| endpoint.address.clone()) else { return };
        self.probes.insert(id.clone(), vec![probed]);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            sleep(PROBE_DELAY).await;
            let reachable = matches!(
                timeout(PROBE_TIMEOUT, TcpStream::connect(&address)).await,
                Ok(Ok(_connection))
            );
            handle.send(DispatcherCommand::Probed { id, reachable });
        });
    }

    /// Logs what the guard against crashing prompts has found, and publishes the blocked parts.
    fn publish_guard(&mut self) {
        let guard = self.dispatcher.prompt_guard_mut();
        let events = guard.take_events();
        if events.is_empty() {
            return;
        }
        for event in &events {
            log_guard_event(event);
        }
        let blocked: BTreeSet<PartId> = guard.blocked_parts().collect();
        metrics::gauge!("celeryshed_prompt_parts_blocked").set(blocked.len() as f64);
        self.blocked_parts.send_if_modified(|old| {
            let changed = **old != blocked;
            if changed {
                *old = Arc::new(blocked);
            }
            changed
        });
    }

    fn apply_message(&mut self, message: DispatcherMessage) {
        let sender = match message {
            DispatcherMessage::Load { peer, load, arrived_after } => {
                self.apply_version_ages(&peer, &load.versions, arrived_after);
                self.apply_peer_load(&peer, &load);
                peer
            }
            DispatcherMessage::Crashes(report) => {
                let now = self.clock.now();
                self.dispatcher.prompt_guard_mut().apply_report(now, &(&report).into());
                return;
            }
            DispatcherMessage::Status { sender, status, arrived_after } => {
                self.apply_version_ages(&sender, &status.versions, arrived_after);
                self.apply_sidecar_status(&sender, status);
                sender
            }
        };
        self.drops.report("dispatcher", self.dispatcher.take_dropped(), &sender.0);
    }

    /// Applies ages that were true when their message was sent, shortly before it arrived.
    fn apply_version_ages(
        &mut self,
        sender: &PeerAddress,
        versions: &[VersionAge],
        arrived_after: MonoTime,
    ) {
        let now = self.clock.now();
        let max_wait = now - arrived_after;
        for VersionAge { model, version, age_ms } in versions {
            let age = Duration::from_millis(*age_ms);
            let before = self.dispatcher.version_due_at(model, *version);
            if max_wait <= MAX_MESSAGE_WAIT {
                self.dispatcher.apply_version_age(now, sender, model, *version, age);
            } else {
                let max_age = age.saturating_add(max_wait);
                self.dispatcher.apply_version_age_limit(now, sender, model, *version, max_age);
            }
            self.log_due_change(now, model, *version, before, &sender.0);
        }
    }

    /// Logs when a version is due, if that has changed since `before` or become known.
    fn log_due_change(
        &self,
        now: MonoTime,
        model: &str,
        version: u64,
        before: Option<MonoTime>,
        source: &str,
    ) {
        let Some(due_at) = self.dispatcher.version_due_at(model, version) else { return };
        let is_logged = before
            .is_none_or(|before| (before - due_at).max(due_at - before) > MIN_LOGGED_DUE_CHANGE);
        if is_logged {
            EventLine::new("version_due")
                .field("model", model)
                .field("version", version)
                .field("due_in", format_args!("{:?}", due_at - now))
                .field("source", source)
                .info();
        }
    }

    fn apply_peer_load(&mut self, peer: &PeerAddress, load: &EntryStatus) {
        let now = self.clock.now();
        self.dispatcher.apply_peer_load(now, peer, &load.load_report());
        self.dispatcher.quarantine_mut().apply_peer_crashes(
            now,
            &peer.0,
            &load.crashes_by_request(),
        );
    }

    fn apply_sidecar_status(&mut self, sender: &PeerAddress, status: SidecarStatus) {
        let now = self.clock.now();
        let endpoint =
            self.dispatcher.directory().endpoints(now).find(|(_, e)| e.address == status.endpoint);
        let id = endpoint.map(|(id, _)| id.clone());
        let closing_at = status.closing_in_ms.map(|millis| now + Duration::from_millis(millis));
        let address = status.endpoint;
        let status = EndpointStatus {
            expires_at: now + told_status_lifetime(status.lifetime_ms),
            models: status.models,
            accepting: status.accepting,
            closing_at,
        };
        match id {
            Some(id) => self.dispatcher.apply_status(&id, status),
            None if address.parse::<SocketAddr>().is_err() => {}
            None => self.dispatcher.apply_unlisted_status(now, sender, address, status),
        }
    }

    fn load_report(&mut self, query: LoadQuery) -> EntryStatus {
        let LoadQuery { audience, scope, position, lifetime } = query;
        let loads = self.dispatcher.take_own_loads(audience, scope);
        let loads = loads.into_iter().map(|(endpoint_hash, load)| KeyedLoad {
            key: endpoint_hash.0,
            running: load.running,
            unread_tokens: load.unread_tokens,
        });
        let crashes = self.dispatcher.quarantine().own_crashes();
        let crashes =
            crashes.map(|(request, crashes)| RequestCrashes { request: request.0, crashes });
        let (zone, versions) = match scope {
            LoadScope::Changes => (None, Vec::new()),
            LoadScope::Whole => (Some(self.dispatcher.zone().clone()), self.version_ages()),
        };
        EntryStatus {
            position,
            zone,
            lifetime_ms: lifetime.as_millis() as u32,
            whole: scope == LoadScope::Whole,
            loads: loads.collect(),
            crashes: crashes.collect(),
            versions,
        }
    }

    fn version_ages(&self) -> Vec<VersionAge> {
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
        // Permits hold the activity while their attempts are in progress.
        self.activities.retain(|_, activity| Arc::strong_count(activity) > 1);
        for (id, activity) in &self.activities {
            self.dispatcher.record_activity(id, activity.get());
        }
        for decision in self.dispatcher.dispatch_waiting(now, rand::random()) {
            let (number, verdict) = match decision {
                DispatchDecision::Place { number, target, expected } => {
                    let prompt_tokens =
                        self.waiters.get(&number).map_or(0, |waiter| waiter.prompt_tokens);
                    let permit = PlacementPermit {
                        dispatcher: self.handle.clone(),
                        start: target.start(),
                        is_trial: target.is_trial,
                        notice_count: self.notice_count,
                        unread_tokens: prompt_tokens,
                        finished: false,
                        was_silent: Arc::default(),
                        clock: self.clock,
                        activity: self.activities.entry(target.id.clone()).or_default().clone(),
                        has_begun: false,
                    };
                    let target = Box::new(target);
                    (number, PlacementVerdict::Placed { target, expected, permit })
                }
                DispatchDecision::Refuse { number, reason, retry_after } => {
                    (number, PlacementVerdict::Refused { reason, retry_after })
                }
            };
            if let Some(waiter) = self.waiters.remove(&number) {
                // If the caller disconnected, the permit is dropped, which frees the slot.
                let _ = waiter.reply.send(verdict);
            }
        }
    }
}

fn log_guard_event(event: &GuardEvent) {
    match event {
        GuardEvent::Crashed { endpoint, suspects } => {
            let suspects = suspects.iter();
            let parts: Vec<String> = suspects
                .map(|(part, suspicion)| format!("{:x}:{suspicion:?}", part.id.0))
                .collect();
            EventLine::new("endpoint_crashed")
                .field("endpoint", endpoint)
                .field("suspects", parts.join(","))
                .warn();
            metrics::counter!("celeryshed_endpoint_crashes_total").increment(1);
        }
        GuardEvent::Blocked { part, crashes } => EventLine::new("prompt_part_blocked")
            .field("part", format_args!("{:x}", part.0))
            .field("crashes", crashes)
            .warn(),
        GuardEvent::Released { part, answered } => EventLine::new("prompt_part_released")
            .field("part", format_args!("{:x}", part.0))
            .field("answered", answered)
            .info(),
    }
}
