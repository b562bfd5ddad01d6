//! Serves or forwards the bookings of callers and of other entries.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{InstanceName, MonoTime};
use celeryshed_core::booking::{BookingIdentity, partition_of};
use celeryshed_core::membership::partition_readers;
use celeryshed_observe::EventLine;
use celeryshed_wire::{BookingForward, BookingReply, RunStatus};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{Semaphore, mpsc, oneshot};

use super::clients::ForwardError;
use super::driver::{BookingJob, spawn_driver};
use super::options::BookingOptions;
use super::problem::{
    key_invalid_problem, outcome_unknown_problem, overloaded_problem, record_reply, reply_of,
};
use super::task::{BookingCommand, BookingInputs};

/// Time without a reply after which a booking is also sent to the next target. A paused reader
/// accepts connections and never replies; the claim log prevents a second run.
const HEDGE_DELAY: Duration = Duration::from_secs(3);

/// Serves bookings; clones share the limit of bookings in progress.
#[derive(Clone)]
pub struct BookingHandle {
    inputs: BookingInputs,
    options: BookingOptions,
    commands: mpsc::Sender<BookingCommand>,
    in_progress: Arc<Semaphore>,
}

/// Process that can serve a booking.
enum ServingTarget {
    Local,
    /// IP address and port of another entry.
    Remote(String),
}

impl BookingHandle {
    pub(super) fn new(
        inputs: BookingInputs,
        options: BookingOptions,
        commands: mpsc::Sender<BookingCommand>,
    ) -> Self {
        let in_progress = Arc::new(Semaphore::new(options.settings.max_in_progress));
        Self { inputs, options, commands, in_progress }
    }

    /// Serves a caller's booking here if this entry reads its partition, and otherwise forwards it
    /// to the readers in turn; when none of them replies in time, it is served here, too.
    pub async fn book(&self, booking: BookingForward) -> BookingReply {
        let identity = match BookingIdentity::try_from(&booking) {
            Ok(identity) => identity,
            Err(error) => {
                return BookingReply::Problem(key_invalid_problem(booking.request_id, &error));
            }
        };
        let mut targets = self.targets(&identity).into_iter();
        let deadline = self.deadline(&booking);
        let mut attempts = FuturesUnordered::new();
        let mut in_doubt = false;
        loop {
            if let Some(target) = targets.next() {
                attempts.push(self.serve_at(target, booking.clone(), identity, deadline));
            }
            let hedge_delay = tokio::time::sleep(HEDGE_DELAY);
            let ended = tokio::select! {
                ended = attempts.next() => ended,
                () = hedge_delay => continue,
            };
            match ended {
                Some(Ok(reply)) => {
                    let conclusive = attempts.is_empty() && !in_doubt;
                    return if conclusive { reply } else { withdraw_not_run(reply) };
                }
                Some(Err(error)) => in_doubt |= self.record_failure(&error),
                None => return BookingReply::Problem(outcome_unknown_problem(booking.request_id)),
            }
        }
    }

    /// Serves a booking that another entry forwarded, without forwarding it again.
    pub async fn serve(&self, booking: BookingForward) -> BookingReply {
        let deadline = self.deadline(&booking);
        match BookingIdentity::try_from(&booking) {
            Ok(identity) => self.serve_here(booking, identity, deadline).await,
            Err(error) => BookingReply::Problem(key_invalid_problem(booking.request_id, &error)),
        }
    }

    fn deadline(&self, booking: &BookingForward) -> MonoTime {
        self.inputs.clock.now() + Duration::from_millis(booking.deadline_ms)
    }

    /// The processes that can serve a booking, in order of preference.
    ///
    /// This entry is the last one, or the only one when it reads the booking's partition.
    fn targets(&self, identity: &BookingIdentity) -> Vec<ServingTarget> {
        let partition = partition_of(&identity.booking, self.options.partitions);
        let view = self.inputs.members.borrow().clone();
        let readers = partition_readers(partition, &view);
        let mut targets = Vec::new();
        if !readers.contains(&&self.inputs.instance) {
            let address = |reader: &&InstanceName| view.entries.get(*reader);
            let known = readers.iter().filter_map(address);
            targets.extend(known.map(|entry| ServingTarget::Remote(entry.address.clone())));
        }
        targets.push(ServingTarget::Local);
        targets
    }

    fn serve_at(
        &self,
        target: ServingTarget,
        booking: BookingForward,
        identity: BookingIdentity,
        deadline: MonoTime,
    ) -> BoxFuture<'_, Result<BookingReply, ForwardError>> {
        match target {
            ServingTarget::Local => {
                Box::pin(async move { Ok(self.serve_here(booking, identity, deadline).await) })
            }
            ServingTarget::Remote(address) => Box::pin(async move {
                let remaining = deadline - self.inputs.clock.now();
                let booking =
                    BookingForward { deadline_ms: remaining.as_millis() as u64, ..booking };
                self.inputs.entries.forward(&address, &booking).await
            }),
        }
    }

    async fn serve_here(
        &self,
        booking: BookingForward,
        identity: BookingIdentity,
        deadline: MonoTime,
    ) -> BookingReply {
        let request_id = booking.request_id;
        let Ok(permit) = self.in_progress.clone().try_acquire_owned() else {
            let limit = self.options.settings.max_in_progress;
            return BookingReply::Problem(overloaded_problem(request_id, limit));
        };
        let (reply, receiver) = oneshot::channel();
        let partition = partition_of(&identity.booking, self.options.partitions);
        let command = BookingCommand::Partition { partition, reply };
        let sent = self.commands.send(command).await;
        let partition = match sent {
            Ok(()) => receiver.await.ok(),
            Err(_) => None,
        };
        let Some(partition) = partition else {
            return BookingReply::Problem(outcome_unknown_problem(request_id));
        };
        let job = BookingJob {
            booking,
            identity,
            deadline,
            partition,
            inputs: self.inputs.clone(),
            options: self.options,
            commands: self.commands.clone(),
            _permit: permit,
        };
        let reply = match spawn_driver(job).await {
            Ok(result) => reply_of(request_id, result),
            Err(_) => BookingReply::Problem(outcome_unknown_problem(request_id)),
        };
        record_reply(request_id, &reply);
        reply
    }

    /// Logs a failed forward and returns whether the other entry may still serve the booking.
    fn record_failure(&self, error: &ForwardError) -> bool {
        let line = EventLine::new("booking_forward_failed").field("address", &error.address);
        line.field("reason", &error.reason).info();
        error.maybe_received
    }
}

/// Replaces "not run" by "unknown" in a reply, since another entry may still serve the request.
fn withdraw_not_run(reply: BookingReply) -> BookingReply {
    match reply {
        BookingReply::Problem(mut problem) => {
            if problem.not_run == RunStatus::NotRun {
                problem.not_run = RunStatus::Unknown;
            }
            BookingReply::Problem(problem)
        }
        answer => answer,
    }
}
