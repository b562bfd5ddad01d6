//! Starts the tasks behind the callers' routes.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, RequestId, UnixMillis};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::membership::MembershipView;
use celeryshed_platform::LogClient;
use celeryshed_wire::{
    BookingForward, BookingReply, BurnReply, CrashNotice, EndpointReport, ProblemDetails,
    RunStatus, ServiceAnswer,
};
use tokio::sync::{mpsc, watch};

use super::board::{BoardInputs, spawn_board};
use super::calls::CallJob;
use super::crashes;
use super::dispatch::{CompletionJob, JobDispatcher, OutputEvent};
use super::drain::DrainState;
use super::gate::BookingGate;
use super::options::{CompletionOptions, CompletionOptionsError};
use super::problems::{ProblemKind, problem, with_retry_after};
use super::transport::SideClient;

/// Tokens that are kept ready for a slow reader before its endpoint is slowed down.
const TOKENS_AHEAD: usize = 256;

/// Pause suggested to callers while an entry drains or starts: the balancer notices meanwhile.
const OTHER_ENTRY_PAUSE: Duration = Duration::from_secs(1);

/// What the callers' routes need from the other tasks.
pub struct CompletionInputs {
    /// Options.
    pub options: CompletionOptions,
    /// Configuration in force.
    pub configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
    /// Membership.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// Whether new work is taken.
    pub drain: watch::Receiver<DrainState>,
    /// Client of the sidecars.
    pub sides: Arc<dyn SideClient>,
    /// The task that runs bookings.
    pub bookings: Arc<dyn BookingGate>,
    /// The log, for crash notices of the time before this entry started.
    pub log: Arc<dyn LogClient>,
}

struct Shared {
    dispatcher: JobDispatcher,
    configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
    drain: watch::Receiver<DrainState>,
    bookings: Arc<dyn BookingGate>,
    in_progress: Arc<watch::Sender<u32>>,
    counting_since: UnixMillis,
}

/// Handle of the callers' routes.
#[derive(Clone)]
pub struct CompletionsHandle {
    shared: Arc<Shared>,
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct ProgressGuard {
    in_progress: Arc<watch::Sender<u32>>,
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.in_progress.send_modify(|count| *count -= 1);
    }
}

/// Starts the tasks; a tokio runtime must run.
pub fn spawn(inputs: CompletionInputs) -> Result<CompletionsHandle, CompletionOptionsError> {
    let CompletionInputs { options, configuration, members, drain, sides, bookings, log } = inputs;
    options.check()?;
    let board = spawn_board(BoardInputs {
        routing: options.routing.clone(),
        queues: options.queues,
        members,
        configuration: configuration.clone(),
    });
    let clock = ClockSource::start();
    let counting_since = clock.unix_now();
    crashes::spawn_reader(log, board.clone());
    let dispatcher = JobDispatcher { options, board, sides };
    let in_progress = Arc::new(watch::Sender::new(0));
    let shared = Shared { dispatcher, configuration, drain, bookings, in_progress, counting_since };
    Ok(CompletionsHandle { shared: Arc::new(shared) })
}

impl CompletionsHandle {
    /// Number of requests in progress, as it changes.
    pub fn in_progress(&self) -> watch::Receiver<u32> {
        self.shared.in_progress.subscribe()
    }

    /// Waits until no request is in progress; used after the drain began.
    pub async fn idle(&self) {
        let _ = self.in_progress().wait_for(|count| *count == 0).await;
    }

    /// Takes a sidecar's report.
    pub fn report(&self, report: EndpointReport) {
        self.shared.dispatcher.board.report(report);
    }

    /// Takes a crash notice; returns when it is in force.
    pub async fn crash(&self, notice: CrashNotice) {
        self.shared.dispatcher.board.crash(notice).await;
    }

    /// Crash notices that are in force, for processes that start.
    pub async fn recent_crashes(&self) -> Vec<CrashNotice> {
        self.shared.dispatcher.board.recent_crashes().await
    }

    /// Counts of the service-level objectives.
    pub async fn burn(&self) -> BurnReply {
        let state = self.shared.configuration.borrow().clone().unwrap_or_default();
        let contracts = state.contracts.iter();
        let objectives =
            contracts.map(|(team, terms)| (team.clone(), terms.objective_basis_points));
        BurnReply {
            instance: self.options().instance.clone(),
            counting_since: self.shared.counting_since,
            counts: self.shared.dispatcher.board.burn().await,
            objectives: objectives.collect(),
        }
    }

    pub(super) fn options(&self) -> &CompletionOptions {
        &self.shared.dispatcher.options
    }

    /// Counts a new request, or refuses it while this entry drains or starts.
    pub(super) fn enter(
        &self,
        request_id: RequestId,
    ) -> Result<(ProgressGuard, Arc<ConfigurationState>), ProblemDetails> {
        self.shared.in_progress.send_modify(|count| *count += 1);
        let in_progress = Arc::clone(&self.shared.in_progress);
        let guard = ProgressGuard { in_progress };
        if *self.shared.drain.borrow() == DrainState::Draining {
            let detail = "this entry is leaving; another one serves the request";
            return Err(refusal(ProblemKind::Draining, request_id, detail));
        }
        let Some(state) = self.shared.configuration.borrow().clone() else {
            let detail = "this entry doesn't know the configuration yet";
            return Err(refusal(ProblemKind::Starting, request_id, detail));
        };
        Ok((guard, state))
    }

    /// Runs a completion; it stops when the receiver is dropped.
    pub(super) fn complete(&self, job: CompletionJob) -> mpsc::Receiver<OutputEvent> {
        let (output, receiver) = mpsc::channel(TOKENS_AHEAD);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move { shared.dispatcher.run(&job, &output).await });
        receiver
    }

    /// Runs a call without a key; it runs to its end even when the caller is gone.
    pub(super) async fn call(&self, job: CallJob) -> Result<ServiceAnswer, ProblemDetails> {
        let request_id = job.request_id;
        let shared = Arc::clone(&self.shared);
        let answered = tokio::spawn(async move { shared.dispatcher.call(&job).await }).await;
        answered.unwrap_or_else(|error| {
            let (kind, not_run) = (ProblemKind::EndpointFailed, RunStatus::Unknown);
            Err(problem(kind, request_id, not_run, &error.to_string()))
        })
    }

    pub(super) async fn book(&self, booking: BookingForward) -> BookingReply {
        self.shared.bookings.book(booking).await
    }
}

fn refusal(kind: ProblemKind, request_id: RequestId, detail: &str) -> ProblemDetails {
    let refused = problem(kind, request_id, RunStatus::NotRun, detail);
    with_retry_after(refused, OTHER_ENTRY_PAUSE)
}
