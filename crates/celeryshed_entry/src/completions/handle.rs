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

use super::calls::CallJob;
use super::crashes;
use super::decision_task::{DecisionInputs, spawn_decision_task};
use super::dispatch::{CompletionJob, JobDispatcher, OutputEvent};
use super::drain::DrainState;
use super::gate::BookingGate;
use super::options::{CompletionOptions, CompletionOptionsError};
use super::problems::{ProblemKind, problem, with_retry_after};
use super::transport::SideClient;

/// Number of tokens buffered for a slow reader; a full buffer applies backpressure to the endpoint.
const BUFFERED_TOKENS: usize = 256;

/// `Retry-After` while an entry drains or starts; in this time the load balancer switches to
/// another entry.
const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Inputs of [`spawn`].
pub struct CompletionInputs {
    /// Limits and timeouts.
    pub options: CompletionOptions,
    /// Configuration in force; `None` until the entry learns its first revision.
    pub configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
    /// Known entries and sidecars.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// Whether new requests are accepted; set by the role when it stops.
    pub drain: watch::Receiver<DrainState>,
    /// Sends attempts to sidecars.
    pub sides: Arc<dyn SideClient>,
    /// Runs calls that carry an idempotency key.
    pub bookings: Arc<dyn BookingGate>,
    /// Log with the crash notices from before this entry started.
    pub log: Arc<dyn LogClient>,
}

struct SharedState {
    dispatcher: JobDispatcher,
    configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
    drain: watch::Receiver<DrainState>,
    bookings: Arc<dyn BookingGate>,
    in_progress: Arc<watch::Sender<u32>>,
    counting_since: UnixMillis,
}

/// Runs the callers' requests; Rocket state of [`routes`](super::routes()).
#[derive(Clone)]
pub struct CompletionsHandle {
    shared: Arc<SharedState>,
}

/// Counts a request as in progress until the guard is dropped.
#[derive(Debug)]
pub(super) struct ProgressGuard {
    in_progress: Arc<watch::Sender<u32>>,
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.in_progress.send_modify(|count| *count -= 1);
    }
}

/// Starts the tasks. Must be called within a Tokio runtime.
pub fn spawn(inputs: CompletionInputs) -> Result<CompletionsHandle, CompletionOptionsError> {
    let CompletionInputs { options, configuration, members, drain, sides, bookings, log } = inputs;
    options.check()?;
    let decisions = spawn_decision_task(DecisionInputs {
        routing: options.routing.clone(),
        queues: options.queues,
        members,
        configuration: configuration.clone(),
    });
    let clock = ClockSource::start();
    let counting_since = clock.unix_now();
    crashes::spawn_crash_reader(log, decisions.clone());
    let dispatcher = JobDispatcher { options, decisions, sides };
    let in_progress = Arc::new(watch::Sender::new(0));
    let shared =
        SharedState { dispatcher, configuration, drain, bookings, in_progress, counting_since };
    Ok(CompletionsHandle { shared: Arc::new(shared) })
}

impl CompletionsHandle {
    /// Watches the number of requests in progress.
    pub fn in_progress(&self) -> watch::Receiver<u32> {
        self.shared.in_progress.subscribe()
    }

    /// Waits until no request is in progress. Call it after the drain state is set, since new
    /// requests prolong the wait.
    pub async fn wait_until_idle(&self) {
        let _ = self.in_progress().wait_for(|count| *count == 0).await;
    }

    /// Updates an endpoint's version, load and cached prefixes from its sidecar's report.
    pub fn observe_report(&self, report: EndpointReport) {
        self.shared.dispatcher.decisions.observe_report(report);
    }

    /// Adds a crash notice to the quarantine; returns when the notice is in force.
    pub async fn observe_crash(&self, notice: CrashNotice) {
        self.shared.dispatcher.decisions.observe_crash(notice).await;
    }

    /// The most recent crash notices, which starting processes ask for.
    pub async fn recent_crashes(&self) -> Vec<CrashNotice> {
        self.shared.dispatcher.decisions.recent_crashes().await
    }

    /// The service-level objectives, and the counts of each window.
    pub async fn burn_reply(&self) -> BurnReply {
        let state = self.shared.configuration.borrow().clone().unwrap_or_default();
        let contracts = state.contracts.iter();
        let objectives =
            contracts.map(|(team, terms)| (team.clone(), terms.objective_basis_points));
        BurnReply {
            instance: self.options().instance.clone(),
            counting_since: self.shared.counting_since,
            counts: self.shared.dispatcher.decisions.burn_counts().await,
            objectives: objectives.collect(),
        }
    }

    pub(super) fn options(&self) -> &CompletionOptions {
        &self.shared.dispatcher.options
    }

    /// Counts a new request as in progress, or refuses it while this entry drains or starts.
    pub(super) fn begin_request(
        &self,
        request_id: RequestId,
    ) -> Result<(ProgressGuard, Arc<ConfigurationState>), ProblemDetails> {
        self.shared.in_progress.send_modify(|count| *count += 1);
        let in_progress = Arc::clone(&self.shared.in_progress);
        let guard = ProgressGuard { in_progress };
        if *self.shared.drain.borrow() == DrainState::Draining {
            let detail = "this entry is leaving; another one serves the request";
            return Err(temporary_refusal(ProblemKind::Draining, request_id, detail));
        }
        let Some(state) = self.shared.configuration.borrow().clone() else {
            let detail = "this entry doesn't know the configuration yet";
            return Err(temporary_refusal(ProblemKind::Starting, request_id, detail));
        };
        Ok((guard, state))
    }

    /// Starts a completion, which is cancelled when the receiver is dropped.
    pub(super) fn complete(&self, job: CompletionJob) -> mpsc::Receiver<OutputEvent> {
        let (output, receiver) = mpsc::channel(BUFFERED_TOKENS);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move { shared.dispatcher.run(&job, &output).await });
        receiver
    }

    /// Runs a call without an idempotency key to its end, even if the caller disconnects.
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

fn temporary_refusal(kind: ProblemKind, request_id: RequestId, detail: &str) -> ProblemDetails {
    let refused = problem(kind, request_id, RunStatus::NotRun, detail);
    with_retry_after(refused, OTHER_ENTRY_RETRY_AFTER)
}
