//! Runs attempts at the endpoint and sends their events as frames.

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

use super::crashes::{CrashInputs, CrashesHandle, spawn_crashes};
use super::drain::DrainState;
use super::engine::EngineCall;
use super::options::{AttemptOptions, AttemptOptionsError, EndpointTarget};
use super::plain::PlainCall;
use super::slots::{ConfigurationWatch, SlotPermit, SlotsHandle, spawn_slots};
use crate::claims::{BeginReply, ClaimHandle, RunResult};

/// Frames of one attempt that are buffered for a slow entry; when the buffer is full, the
/// endpoint's answer is read no further.
const FRAME_BUFFER: usize = 64;

/// Timeout of connecting to the endpoint, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are closed before the usual keep-alive of servers (5 s) ends, so that no
/// request is sent on a connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait of a booking for a free slot; each entry sends a sidecar at most 64 bookings at a
/// time.
const BOOKING_SLOT_WAIT: Duration = Duration::from_secs(10);

/// Options of the attempts and what they use of the other tasks.
pub struct AttemptInputs {
    /// Options, which [`spawn`] checks.
    pub options: AttemptOptions,
    /// Accepted configuration; `None` until a revision is known.
    pub configuration: ConfigurationWatch,
    /// Version that the engine confirmed; `None` for plain services and before the first load.
    pub live_version: watch::Receiver<Option<ContentDigest>>,
    /// Whether new attempts are accepted.
    pub drain: watch::Receiver<DrainState>,
    /// Claim task, which lets each claimed call run at most once.
    pub claims: ClaimHandle,
    /// Membership; all its entries receive crash notices.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// Log of the crash notices, which entries read when they start.
    pub log: Arc<dyn LogClient>,
}

/// State that all attempts share.
struct AttemptRunner {
    options: AttemptOptions,
    live_version: watch::Receiver<Option<ContentDigest>>,
    drain: watch::Receiver<DrainState>,
    claims: ClaimHandle,
    slots: SlotsHandle,
    crashes: CrashesHandle,
    http: reqwest::Client,
}

/// Starts and cancels attempts, and reports the load; clones share the same tasks.
#[derive(Clone)]
pub struct AttemptsHandle {
    runner: Arc<AttemptRunner>,
}

/// Starts the tasks of slots and crashes on the current tokio runtime.
pub fn spawn(inputs: AttemptInputs) -> Result<AttemptsHandle, AttemptOptionsError> {
    let AttemptInputs { options, configuration, live_version, drain, claims, members, log } =
        inputs;
    options.check()?;
    let slots = spawn_slots(options.slots, configuration);
    // Redirects are returned as the service's answer; following one could run a booking twice.
    let client = reqwest::Client::builder().no_proxy().redirect(Policy::none());
    let client = client.connect_timeout(CONNECT_TIMEOUT).pool_idle_timeout(POOL_IDLE_TIMEOUT);
    let http = client.build().expect("client without TLS needs nothing from the system");
    let crashes = spawn_crashes(CrashInputs {
        instance: options.instance.clone(),
        target: options.target.clone(),
        http: http.clone(),
        members,
        log,
    });
    let runner = AttemptRunner { options, live_version, drain, claims, slots, crashes, http };
    Ok(AttemptsHandle { runner: Arc::new(runner) })
}

impl AttemptsHandle {
    /// Load of the slots and of the engine, as sent in reports.
    pub fn load_report(&self) -> LoadReport {
        self.runner.load_report()
    }

    /// Starts an attempt and returns its frames.
    pub fn start(&self, request: AttemptRequest) -> mpsc::Receiver<Bytes> {
        let (frames, receiver) = mpsc::channel(FRAME_BUFFER);
        let send_timeout = self.runner.options.reader_stall;
        let sink = EventSink { attempt_id: request.attempt_id, frames, send_timeout };
        let runner = Arc::clone(&self.runner);
        tokio::spawn(async move { runner.run_attempt(request, sink).await });
        receiver
    }

    /// Stops an attempt; one that hasn't arrived yet is refused on arrival.
    pub fn cancel(&self, attempt_id: AttemptId) {
        self.runner.slots.cancel(attempt_id);
    }

    /// Slot load, updated when attempts start and end.
    pub fn load(&self) -> watch::Receiver<SlotLoad> {
        self.runner.slots.load()
    }

    /// Last polled load of the engine; `None` while the engine is down and for plain services.
    pub fn engine_load(&self) -> watch::Receiver<Option<EngineLoad>> {
        self.runner.crashes.engine_load()
    }

    /// Waits until no attempt runs; during a drain, no new attempt starts afterwards.
    pub async fn wait_until_idle(&self) {
        let mut load = self.load();
        let _ = load.wait_for(|load| load.running == 0).await;
    }
}

/// Sends the events of one attempt as frames.
#[derive(Debug)]
pub(super) struct EventSink {
    attempt_id: AttemptId,
    frames: mpsc::Sender<Bytes>,
    send_timeout: Duration,
}

impl EventSink {
    /// Sends one event; fails if the entry has disconnected or accepts no frame in time.
    pub(super) async fn send(&self, kind: AttemptEventKind) -> Result<(), AttemptFailure> {
        let event = AttemptEvent { attempt_id: self.attempt_id, kind };
        let frame = encode_frame(&event).map_err(|error| {
            failure(RunStatus::Unknown, FailureCause::EndpointFailed, &error.to_string())
        })?;
        self.frames.send_timeout(frame, self.send_timeout).await.map_err(|_| {
            failure(RunStatus::Ran, FailureCause::Cancelled, "the entry takes no frames")
        })
    }

    async fn closed(&self) {
        self.frames.closed().await;
    }
}

/// Creates a failure without `retry_after_ms`.
pub(super) fn failure(run_status: RunStatus, cause: FailureCause, detail: &str) -> AttemptFailure {
    AttemptFailure { not_run: run_status, cause, detail: detail.to_owned(), retry_after_ms: None }
}

fn not_run_failure(cause: FailureCause, detail: &str) -> AttemptFailure {
    failure(RunStatus::NotRun, cause, detail)
}

impl AttemptRunner {
    async fn run_attempt(&self, request: AttemptRequest, sink: EventSink) {
        let _ = sink.send(AttemptEventKind::Load(self.load_report())).await;
        let final_event = match self.admit_and_run(&request, &sink).await {
            Ok(tokens) => AttemptEventKind::Finished { tokens },
            Err(failure) => AttemptEventKind::Failed(failure),
        };
        let _ = sink.send(final_event).await;
    }

    async fn admit_and_run(
        &self,
        request: &AttemptRequest,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        self.check_drain()?;
        if request.service != self.options.service {
            let detail = format!("this endpoint serves {}", self.options.service);
            return Err(not_run_failure(FailureCause::NotLive, &detail));
        }
        let permit = self.acquire_slot(request).await?;
        // The drain may have started during the wait for the slot.
        self.check_drain()?;
        let (attempt_id, fingerprint) = (request.attempt_id, request.fingerprint);
        let running = self.crashes.begin(attempt_id, fingerprint, request.suspect);
        let result = match &request.work {
            AttemptWork::Completion(work) => self.run_completion(request, work, permit, sink).await,
            AttemptWork::Call(work) => self.run_call(request, work, permit, sink).await,
        };
        match &result {
            Ok(_) => running.complete(),
            Err(failure) if failure.cause == FailureCause::EndpointFailed => {
                running.check_crash().await
            }
            Err(_) => {}
        }
        result
    }

    /// Acquires a slot. A booking waits for a free slot, because a refusal would fence the
    /// booking's key and so end requests with the same key at other entries.
    async fn acquire_slot(&self, request: &AttemptRequest) -> Result<SlotPermit, AttemptFailure> {
        let wait = Duration::from_millis(request.deadline_ms).min(BOOKING_SLOT_WAIT);
        let wait_deadline = Instant::now() + wait;
        let mut load = self.slots.load();
        loop {
            load.borrow_and_update();
            match self.slots.request(slot_request(request)).await {
                Ok(permit) => return Ok(permit),
                Err(SlotDecision::Busy) if request.priority == PriorityClass::Booking => {}
                Err(decision) => return Err(slot_failure(decision)),
            }
            self.check_drain()?;
            if timeout_at(wait_deadline, load.changed()).await.is_err() {
                return Err(slot_failure(SlotDecision::Busy));
            }
        }
    }

    fn check_drain(&self) -> Result<(), AttemptFailure> {
        match *self.drain.borrow() {
            DrainState::Serving => Ok(()),
            DrainState::Draining => {
                Err(not_run_failure(FailureCause::Leaving, "this endpoint takes no new work"))
            }
        }
    }

    async fn run_completion(
        &self,
        request: &AttemptRequest,
        work: &CompletionWork,
        mut permit: SlotPermit,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        let EndpointTarget::Engine(_) = &self.options.target else {
            return Err(not_run_failure(FailureCause::NotLive, "this endpoint is no engine"));
        };
        let call = EngineCall {
            http: &self.http,
            base_url: self.options.target.base_url(),
            attempt_id: request.attempt_id,
            priority: request.priority,
            version: Some(self.check_version(work)?),
            token_gap: self.options.token_gap,
            first_token: self.options.first_token,
        };
        let time_limit =
            Duration::from_millis(request.deadline_ms).min(self.options.max_request_time);
        let stopped = tokio::select! {
            biased;
            result = timeout(time_limit, call.run(work, sink)) => match result {
                Ok(result) => return result,
                Err(_) => FailureCause::DeadlinePassed,
            },
            cause = permit.stopped() => cause,
            () = sink.closed() => FailureCause::Cancelled,
        };
        call.cancel().await;
        Err(failure(RunStatus::Ran, stopped, "the attempt was stopped"))
    }

    /// Returns the live version, or an error if the work requires another version.
    fn check_version(&self, work: &CompletionWork) -> Result<ContentDigest, AttemptFailure> {
        let Some(live) = *self.live_version.borrow() else {
            return Err(not_run_failure(FailureCause::NotLive, "no version is live here yet"));
        };
        match work.version {
            Some(version) if version != live => {
                let detail = format!("version {live} is live here");
                Err(not_run_failure(FailureCause::NotLive, &detail))
            }
            _ => Ok(live),
        }
    }

    async fn run_call(
        &self,
        request: &AttemptRequest,
        work: &CallWork,
        _permit: SlotPermit,
        sink: &EventSink,
    ) -> Result<u32, AttemptFailure> {
        let EndpointTarget::Plain(_) = &self.options.target else {
            return Err(not_run_failure(
                FailureCause::NotLive,
                "this endpoint is no plain service",
            ));
        };
        let answer = self.call_service(request, work).await?;
        sink.send(AttemptEventKind::Started { version: None }).await?;
        sink.send(AttemptEventKind::Answer(answer)).await?;
        Ok(0)
    }

    /// Calls the service. The call runs to its end even if the entry disconnects, because the
    /// outcome of a claim must be recorded and a sent call can't be withdrawn.
    async fn call_service(
        &self,
        request: &AttemptRequest,
        work: &CallWork,
    ) -> Result<ServiceAnswer, AttemptFailure> {
        // The caller's deadline doesn't apply to a booking: its answer is recorded, and a repeated
        // request receives it.
        let time_limit = match work.claim {
            Some(_) => self.options.max_request_time,
            None => Duration::from_millis(request.deadline_ms).min(self.options.max_request_time),
        };
        let base_url = self.options.target.base_url();
        let call = PlainCall { http: &self.http, base_url, time_limit };
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
                return Err(not_run_failure(FailureCause::ClaimRefused, &refusal.to_string()));
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
            waiting: engine.as_ref().map_or(0, |load| load.waiting),
            queued_prompt_tokens: engine.as_ref().map_or(0, |load| load.queued_prompt_tokens),
            tokens_per_s: engine.as_ref().map_or(0, |load| load.tokens_per_s),
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
            not_run_failure(FailureCause::Quarantined, "another suspect runs at this endpoint")
        }
        SlotDecision::Cancelled => {
            not_run_failure(FailureCause::Cancelled, "cancelled before it arrived")
        }
        SlotDecision::Duplicate => failure(
            RunStatus::Unknown,
            FailureCause::Cancelled,
            "an attempt with this id runs already",
        ),
        SlotDecision::Busy | SlotDecision::Granted | SlotDecision::Displaced { .. } => {
            not_run_failure(FailureCause::Busy, "all slots are taken")
        }
    }
}
