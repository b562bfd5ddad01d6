//! Runs attempts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{AttemptId, ContentDigest};
use celeryshed_core::admission::{SlotClass, SlotDecision, SlotLoad, SlotRequest};
use celeryshed_core::membership::MembershipView;
use celeryshed_platform::LogClient;
use celeryshed_wire::{
    AttemptEvent, AttemptEventKind, AttemptFailure, AttemptRequest, AttemptWork, CallWork,
    CompletionWork, EngineLoad, FailureCause, LoadReport, PriorityClass, RunStatus, ServiceAnswer,
    encode_frame,
};
use reqwest::redirect::Policy;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::crashes::{CrashInputs, CrashWatch, spawn_crash_watch};
use super::drain::DrainState;
use super::engine::EngineCall;
use super::options::{AttemptOptions, AttemptOptionsError, EndpointTarget};
use super::plain::PlainCall;
use super::slots::{ConfigurationWatch, SlotPermit, SlotsHandle, spawn_slots};
use crate::claims::{BeginReply, ClaimHandle, RunResult};

/// Frames that wait for a slow entry before the endpoint is slowed down.
const FRAMES_AHEAD: usize = 64;

/// Longest time to connect to the endpoint, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are dropped before the usual keep-alive of servers (5 s) ends, so that a
/// request is not sent on a connection that the server closes at that moment.
const POOL_IDLE: Duration = Duration::from_secs(2);

/// Longest wait of a booking for a free slot; each entry sends a sidecar at most 64 at a time.
const BOOKING_SLOT_WAIT: Duration = Duration::from_secs(10);

/// What the attempts need from the other tasks.
pub struct AttemptInputs {
    /// Options.
    pub options: AttemptOptions,
    /// Configuration in force.
    pub configuration: ConfigurationWatch,
    /// Version that the engine confirmed; `None` for plain services and before the first load.
    pub live_version: watch::Receiver<Option<ContentDigest>>,
    /// Whether new work is taken.
    pub drain: watch::Receiver<DrainState>,
    /// The register of claims.
    pub claims: ClaimHandle,
    /// Membership, for telling all entries of crashes.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// The log, for entries that start later.
    pub log: Arc<dyn LogClient>,
}

struct Shared {
    options: AttemptOptions,
    live_version: watch::Receiver<Option<ContentDigest>>,
    drain: watch::Receiver<DrainState>,
    claims: ClaimHandle,
    slots: SlotsHandle,
    crashes: CrashWatch,
    http: reqwest::Client,
}

/// Handle of the attempts, for routes, reports and shutdown.
#[derive(Clone)]
pub struct AttemptsHandle {
    shared: Arc<Shared>,
}

/// Starts the attempts; a tokio runtime must run.
pub fn spawn(inputs: AttemptInputs) -> Result<AttemptsHandle, AttemptOptionsError> {
    let AttemptInputs { options, configuration, live_version, drain, claims, members, log } =
        inputs;
    options.check()?;
    let slots = spawn_slots(options.slots, configuration);
    // A redirect is the service's answer; following it could run a booking a second time.
    let client = reqwest::Client::builder().no_proxy().redirect(Policy::none());
    let client = client.connect_timeout(CONNECT_TIMEOUT).pool_idle_timeout(POOL_IDLE);
    let http = client.build().expect("client without TLS needs nothing from the system");
    let crashes = spawn_crash_watch(CrashInputs {
        instance: options.instance.clone(),
        target: options.target.clone(),
        http: http.clone(),
        members,
        log,
    });
    let shared = Shared { options, live_version, drain, claims, slots, crashes, http };
    Ok(AttemptsHandle { shared: Arc::new(shared) })
}

impl AttemptsHandle {
    /// The load as reports give it.
    pub fn load_report(&self) -> LoadReport {
        self.shared.load_report()
    }

    /// Starts an attempt and returns its frames.
    pub fn start(&self, request: AttemptRequest) -> mpsc::Receiver<Bytes> {
        let (frames, receiver) = mpsc::channel(FRAMES_AHEAD);
        let stall = self.shared.options.reader_stall;
        let sink = EventSink { attempt_id: request.attempt_id, frames, stall };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move { shared.attempt(request, sink).await });
        receiver
    }

    /// Stops an attempt, also one that has not arrived yet.
    pub fn cancel(&self, attempt_id: AttemptId) {
        self.shared.slots.cancel(attempt_id);
    }

    /// The load, as it changes.
    pub fn load(&self) -> watch::Receiver<SlotLoad> {
        self.shared.slots.load()
    }

    /// The engine's load as it was read last; `None` while it is down and for plain services.
    pub fn engine_load(&self) -> watch::Receiver<Option<EngineLoad>> {
        self.shared.crashes.engine_load()
    }

    /// Waits until no attempt runs; used after the drain began.
    pub async fn idle(&self) {
        let mut load = self.load();
        let _ = load.wait_for(|load| load.running == 0).await;
    }
}

/// Sends the events of one attempt as frames.
#[derive(Debug)]
pub(super) struct EventSink {
    attempt_id: AttemptId,
    frames: mpsc::Sender<Bytes>,
    stall: Duration,
}

impl EventSink {
    /// Sends one event; fails when the entry is gone.
    pub(super) async fn send(&self, kind: AttemptEventKind) -> Result<(), AttemptFailure> {
        let event = AttemptEvent { attempt_id: self.attempt_id, kind };
        let frame = encode_frame(&event).map_err(|error| {
            failure(RunStatus::Unknown, FailureCause::EndpointFailed, &error.to_string())
        })?;
        self.frames.send_timeout(frame, self.stall).await.map_err(|_| {
            failure(RunStatus::Ran, FailureCause::Cancelled, "the entry takes no frames")
        })
    }

    async fn gone(&self) {
        self.frames.closed().await;
    }
}

/// A failure without a suggested pause.
pub(super) fn failure(not_run: RunStatus, cause: FailureCause, detail: &str) -> AttemptFailure {
    AttemptFailure { not_run, cause, detail: detail.to_owned(), retry_after_ms: None }
}

fn not_run(cause: FailureCause, detail: &str) -> AttemptFailure {
    failure(RunStatus::NotRun, cause, detail)
}

impl Shared {
    async fn attempt(&self, request: AttemptRequest, sink: EventSink) {
        let _ = sink.send(AttemptEventKind::Load(self.load_report())).await;
        let last = match self.admitted(&request, &sink).await {
            Ok(tokens) => AttemptEventKind::Finished { tokens },
            Err(failure) => AttemptEventKind::Failed(failure),
        };
        let _ = sink.send(last).await;
    }

    async fn admitted(
        &self,
        request: &AttemptRequest,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        self.check_drain()?;
        if request.service != self.options.service {
            let detail = format!("this endpoint serves {}", self.options.service);
            return Err(not_run(FailureCause::NotLive, &detail));
        }
        let permit = self.slot_for(request).await?;
        // The drain may have begun while the slot was awaited.
        self.check_drain()?;
        let (attempt_id, fingerprint) = (request.attempt_id, request.fingerprint);
        let mark = self.crashes.begin(attempt_id, fingerprint, request.suspect);
        let result = match &request.work {
            AttemptWork::Completion(work) => self.complete(request, work, permit, sink).await,
            AttemptWork::Call(work) => self.call(request, work, permit, sink).await,
        };
        match &result {
            Ok(_) => mark.complete(),
            Err(failure) if failure.cause == FailureCause::EndpointFailed => mark.failed().await,
            Err(_) => {}
        }
        result
    }

    /// Takes a slot. A booking waits for a free one: its refusal would fence its key and so end the
    /// requests of the same key at other entries.
    async fn slot_for(&self, request: &AttemptRequest) -> Result<SlotPermit, AttemptFailure> {
        let wait = Duration::from_millis(request.deadline_ms).min(BOOKING_SLOT_WAIT);
        let until = Instant::now() + wait;
        let mut load = self.slots.load();
        loop {
            load.borrow_and_update();
            match self.slots.request(slot_request(request)).await {
                Ok(permit) => return Ok(permit),
                Err(SlotDecision::Busy) if request.priority == PriorityClass::Booking => {}
                Err(decision) => return Err(slot_failure(decision)),
            }
            self.check_drain()?;
            if timeout_at(until, load.changed()).await.is_err() {
                return Err(slot_failure(SlotDecision::Busy));
            }
        }
    }

    fn check_drain(&self) -> Result<(), AttemptFailure> {
        match *self.drain.borrow() {
            DrainState::Serving => Ok(()),
            DrainState::Draining => {
                Err(not_run(FailureCause::Leaving, "this endpoint takes no new work"))
            }
        }
    }

    async fn complete(
        &self,
        request: &AttemptRequest,
        work: &CompletionWork,
        mut permit: SlotPermit,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        let EndpointTarget::Engine(_) = &self.options.target else {
            return Err(not_run(FailureCause::NotLive, "this endpoint is no engine"));
        };
        let call = EngineCall {
            http: &self.http,
            base_url: self.options.target.base_url(),
            attempt_id: request.attempt_id,
            priority: request.priority,
            version: Some(self.version_for(work)?),
            token_gap: self.options.token_gap,
            first_token: self.options.first_token,
        };
        let limit = Duration::from_millis(request.deadline_ms).min(self.options.max_request);
        let stopped = tokio::select! {
            biased;
            result = timeout(limit, call.run(work, sink)) => match result {
                Ok(result) => return result,
                Err(_) => FailureCause::DeadlinePassed,
            },
            cause = permit.stopped() => cause,
            () = sink.gone() => FailureCause::Cancelled,
        };
        call.cancel().await;
        Err(failure(RunStatus::Ran, stopped, "the attempt was stopped"))
    }

    fn version_for(&self, work: &CompletionWork) -> Result<ContentDigest, AttemptFailure> {
        let Some(live) = *self.live_version.borrow() else {
            return Err(not_run(FailureCause::NotLive, "no version is live here yet"));
        };
        match work.version {
            Some(version) if version != live => {
                let detail = format!("version {live} is live here");
                Err(not_run(FailureCause::NotLive, &detail))
            }
            _ => Ok(live),
        }
    }

    async fn call(
        &self,
        request: &AttemptRequest,
        work: &CallWork,
        _permit: SlotPermit,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        let EndpointTarget::Plain(_) = &self.options.target else {
            return Err(not_run(FailureCause::NotLive, "this endpoint is no plain service"));
        };
        let answer = self.answer(request, work).await?;
        sink.send(AttemptEventKind::Started { version: None }).await?;
        sink.send(AttemptEventKind::Answer(answer)).await?;
        Ok(0)
    }

    /// Runs the call to its end even when the entry is gone, because a claim's outcome must be
    /// recorded and a call that was sent can't be taken back.
    async fn answer(
        &self,
        request: &AttemptRequest,
        work: &CallWork,
    ) -> Result<ServiceAnswer, AttemptFailure> {
        // The caller's deadline doesn't end a booking: its answer is recorded for a resend.
        let deadline = match work.claim {
            Some(_) => self.options.max_request,
            None => Duration::from_millis(request.deadline_ms).min(self.options.max_request),
        };
        let base_url = self.options.target.base_url();
        let call = PlainCall { http: &self.http, base_url, deadline };
        let Some(claim_permit) = &work.claim else {
            return call.run(work).await;
        };
        let permit = match self.claims.begin(claim_permit.clone()).await {
            BeginReply::Run(permit) => permit,
            BeginReply::Ran(answer) => return Ok(answer),
            BeginReply::Unknown => {
                let detail = "the claim runs or ran here, and its answer is not known";
                return Err(failure(RunStatus::Unknown, FailureCause::ClaimRefused, detail));
            }
            BeginReply::Refused(refusal) => {
                return Err(not_run(FailureCause::ClaimRefused, &refusal.to_string()));
            }
        };
        let result = call.run(work).await;
        permit.finish(match &result {
            Ok(answer) => RunResult::Answer(answer.clone()),
            Err(failure) if failure.not_run == RunStatus::NotRun => RunResult::NotRun,
            Err(_) => RunResult::Unknown,
        });
        result
    }

    fn load_report(&self) -> LoadReport {
        let load = *self.slots.load().borrow();
        let engine = self.crashes.engine_load().borrow().clone();
        LoadReport {
            slots: load.slots,
            running: load.running,
            waiting: engine.as_ref().map_or(0, |it| it.waiting),
            queued_prompt_tokens: engine.as_ref().map_or(0, |it| it.queued_prompt_tokens),
            tokens_per_s: engine.as_ref().map_or(0, |it| it.tokens_per_s),
        }
    }
}

fn slot_request(request: &AttemptRequest) -> SlotRequest {
    let class = match request.priority {
        PriorityClass::BestEffort => SlotClass::BestEffort,
        PriorityClass::Contracted => SlotClass::Contracted,
        PriorityClass::Booking => SlotClass::Booking,
    };
    SlotRequest {
        attempt_id: request.attempt_id,
        team: request.team.clone(),
        class,
        resumable: matches!(request.work, AttemptWork::Completion(_)),
        suspect: request.suspect,
    }
}

fn slot_failure(decision: SlotDecision) -> AttemptFailure {
    match decision {
        SlotDecision::SuspectRuns => {
            not_run(FailureCause::Quarantined, "another suspect runs at this endpoint")
        }
        SlotDecision::Cancelled => not_run(FailureCause::Cancelled, "cancelled before it arrived"),
        SlotDecision::Duplicate => failure(
            RunStatus::Unknown,
            FailureCause::Cancelled,
            "an attempt with this id runs already",
        ),
        SlotDecision::Busy | SlotDecision::Granted | SlotDecision::Displaced { .. } => {
            not_run(FailureCause::Busy, "all slots are taken")
        }
    }
}
