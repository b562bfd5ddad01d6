//! Runs the claim procedure of one request: performs its actions and feeds back their results.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{AttemptId, ClaimId, ContentDigest, InstanceName, MonoTime};
use celeryshed_core::booking::{
    BookingIdentity, BookingRequest, BookingResult, ClaimAction, ClaimEvent, ClaimProcedure,
    DispatchPermit, DispatchResult, LogView, SealResult, SideTarget,
};
use celeryshed_wire::{
    AttemptRequest, AttemptWork, BookingForward, CallWork, ClaimPermit, PriorityClass, SealRequest,
    ServiceAnswer,
};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot, watch};

use super::options::BookingOptions;
use super::partition::PartitionHandle;
use super::sides::SideLease;
use super::task::{BookingCommand, BookingInputs};

/// Longest wait for the first sidecar of a request. Within it, the default report interval of
/// sidecars, an entry that has just started hears from every sidecar that reports to it.
const FIRST_SIDECAR_WAIT: Duration = Duration::from_secs(2);

/// Pause between two attempts to choose a sidecar.
const SIDECAR_RETRY_INTERVAL: Duration = Duration::from_millis(100);

type AnswerEvent = ClaimEvent<ServiceAnswer>;
type AnswerAction = ClaimAction<ServiceAnswer>;

/// A request and the inputs of its claim procedure.
pub(super) struct BookingJob {
    pub(super) booking: BookingForward,
    pub(super) identity: BookingIdentity,
    pub(super) deadline: MonoTime,
    pub(super) partition: PartitionHandle,
    pub(super) inputs: BookingInputs,
    pub(super) options: BookingOptions,
    pub(super) commands: mpsc::Sender<BookingCommand>,
    /// Counts the request as in progress until its procedure has ended.
    pub(super) _permit: OwnedSemaphorePermit,
}

/// Result of a step.
struct StepResult {
    event: AnswerEvent,
    /// The chosen sidecar; `None` for steps that choose none.
    lease: Option<SideLease>,
}

struct BookingDriver {
    job: Arc<BookingJob>,
    procedure: ClaimProcedure<ServiceAnswer>,
    steps: FuturesUnordered<BoxFuture<'static, StepResult>>,
    lease: Option<SideLease>,
    reply: Option<oneshot::Sender<BookingResult<ServiceAnswer>>>,
}

/// Starts the procedure of a request, which continues after its reply until its claim is settled.
pub(super) fn spawn_driver(job: BookingJob) -> oneshot::Receiver<BookingResult<ServiceAnswer>> {
    let (reply, receiver) = oneshot::channel();
    let request = BookingRequest { identity: job.identity, deadline: job.deadline };
    let now = job.inputs.clock.now();
    let procedure = ClaimProcedure::new(request, job.options.procedure(), now);
    let driver = BookingDriver {
        job: Arc::new(job),
        procedure,
        steps: FuturesUnordered::new(),
        lease: None,
        reply: Some(reply),
    };
    tokio::spawn(driver.run());
    receiver
}

impl BookingDriver {
    async fn run(mut self) {
        let mut views = self.job.partition.subscribe(self.job.identity).await;
        while !self.procedure.is_finished() {
            let event = self.next_event(&mut views).await;
            let now = self.job.inputs.clock.now();
            for action in self.procedure.handle(event, now) {
                self.perform(action);
            }
        }
    }

    async fn next_event(&mut self, views: &mut watch::Receiver<Option<LogView>>) -> AnswerEvent {
        let clock = self.job.inputs.clock;
        let wake = self.procedure.next_timer().map(|wake| wake - clock.now());
        tokio::select! {
            Some(step) = self.steps.next() => {
                self.lease = step.lease.or(self.lease.take());
                step.event
            }
            Ok(()) = views.changed() => match views.borrow_and_update().clone() {
                Some(view) => ClaimEvent::LogRead(view),
                None => ClaimEvent::TimerFired,
            },
            () = tokio::time::sleep(wake.unwrap_or_default()), if wake.is_some() => {
                ClaimEvent::TimerFired
            }
        }
    }

    fn perform(&mut self, action: AnswerAction) {
        let job = self.job.clone();
        let step: BoxFuture<'static, StepResult> = match action {
            ClaimAction::ChooseSide { avoid } => Box::pin(async move {
                let lease = job.choose_side(avoid).await;
                let side = lease.as_ref().map(|lease| lease.target.clone());
                let event = ClaimEvent::SideChosen { side, claim_id: ClaimId::random() };
                StepResult { event, lease }
            }),
            ClaimAction::Append(record) => step_without_lease(async move {
                let result = job.partition.append(record.clone()).await;
                ClaimEvent::AppendEnded { record, result }
            }),
            ClaimAction::Dispatch { side, permit } => {
                let lease = self.lease.as_ref().filter(|lease| lease.target == side);
                let address = lease.map(|lease| lease.address.clone());
                step_without_lease(async move {
                    let claim_id = permit.claim_id;
                    let result = job.dispatch(address, side, permit).await;
                    ClaimEvent::DispatchEnded { claim_id, result }
                })
            }
            ClaimAction::RequestSeal { claim_id, side } => step_without_lease(async move {
                let result = job.request_seal(claim_id, side).await;
                ClaimEvent::SealEnded { claim_id, result }
            }),
            ClaimAction::ReadAnswer { offset } => step_without_lease(async move {
                ClaimEvent::AnswerRead(job.partition.read_answer(offset).await)
            }),
            ClaimAction::Reply(result) => return self.send_reply(result),
            ClaimAction::Finish => return,
        };
        self.steps.push(step);
    }

    fn send_reply(&mut self, result: BookingResult<ServiceAnswer>) {
        if let Some(reply) = self.reply.take() {
            // The caller may have disconnected, which doesn't change how the procedure ends.
            let _ = reply.send(result);
        }
    }
}

/// Makes a step that chooses no sidecar.
fn step_without_lease(
    event: impl Future<Output = AnswerEvent> + Send + 'static,
) -> BoxFuture<'static, StepResult> {
    Box::pin(async move { StepResult { event: event.await, lease: None } })
}

impl BookingJob {
    /// Chooses a sidecar; waits up to [`FIRST_SIDECAR_WAIT`] when `avoid` is empty.
    ///
    /// An entry that has just started hears from its sidecars within a report interval. Refusing
    /// the request before then would append a fence for its key, which would also end requests
    /// with the same key at other entries.
    async fn choose_side(&self, avoid: Vec<InstanceName>) -> Option<SideLease> {
        let wait = if avoid.is_empty() { FIRST_SIDECAR_WAIT } else { Duration::ZERO };
        let wait_end = self.deadline.min(self.inputs.clock.now() + wait);
        loop {
            let lease = self.request_side(avoid.clone()).await;
            if lease.is_some() || self.inputs.clock.now() >= wait_end {
                return lease;
            }
            tokio::time::sleep(SIDECAR_RETRY_INTERVAL).await;
        }
    }

    async fn request_side(&self, avoid: Vec<InstanceName>) -> Option<SideLease> {
        let (reply, receiver) = oneshot::channel();
        let service = self.booking.service.clone();
        let command = BookingCommand::ChooseSide { service, avoid, reply };
        self.commands.send(command).await.ok()?;
        receiver.await.ok()?
    }

    async fn dispatch(
        &self,
        address: Option<String>,
        side: SideTarget,
        permit: DispatchPermit,
    ) -> DispatchResult<ServiceAnswer> {
        let Some(address) = address else {
            let detail = format!("address of sidecar {} is not known", side.instance);
            return DispatchResult::NotRun { detail, claim_only: false };
        };
        let claim = ClaimPermit::new(permit, &side, self.partition.partition);
        let request = self.attempt_request(claim);
        self.inputs.sides.dispatch(&address, request).await
    }

    fn attempt_request(&self, claim: ClaimPermit) -> AttemptRequest {
        let booking = &self.booking;
        let remaining = self.deadline - self.inputs.clock.now();
        let call = CallWork { claim: Some(claim), ..booking.call.clone() };
        let parts = [booking.service.as_str().as_bytes(), &booking.call.body];
        AttemptRequest {
            attempt_id: AttemptId::random(),
            request_id: booking.request_id,
            team: booking.team.clone(),
            service: booking.service.clone(),
            priority: PriorityClass::Booking,
            deadline_ms: remaining.as_millis() as u64,
            fingerprint: ContentDigest::of_parts(&parts),
            suspect: false,
            work: AttemptWork::Call(call),
        }
    }

    async fn request_seal(&self, claim_id: ClaimId, side: SideTarget) -> SealResult<ServiceAnswer> {
        let view = self.inputs.members.borrow().clone();
        let Some(member) = view.sides.get(&side.instance) else {
            return SealResult::Unreachable;
        };
        let request = SealRequest { claim_id, side_incarnation: side.incarnation };
        self.inputs.sides.seal(&member.address, request).await
    }
}
