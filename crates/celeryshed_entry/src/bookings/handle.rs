//! The handle through which callers' requests and forwarded bookings arrive.

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

use super::driver::{BookingJob, drive};
use super::edges::ForwardFailure;
use super::options::BookingOptions;
use super::problem::{busy_problem, key_problem, lost_problem, note_reply, reply_of};
use super::tasks::{BookingCommand, BookingEdges};

/// Time without a reply after which a booking is also handed to the next candidate. A paused
/// reader accepts connections and never replies; the log keeps a second run from happening.
const FORWARD_PATIENCE: Duration = Duration::from_secs(3);

/// Serves bookings.
#[derive(Clone)]
pub struct BookingHandle {
    edges: BookingEdges,
    options: BookingOptions,
    commands: mpsc::Sender<BookingCommand>,
    in_progress: Arc<Semaphore>,
}

/// One way to have a booking served.
enum ServingPlace {
    Here,
    Entry(String),
}

impl BookingHandle {
    pub(super) fn new(
        edges: BookingEdges,
        options: BookingOptions,
        commands: mpsc::Sender<BookingCommand>,
    ) -> Self {
        let in_progress = Arc::new(Semaphore::new(options.settings.max_in_progress));
        Self { edges, options, commands, in_progress }
    }

    /// Serves a caller's booking here or at a reader of its partition.
    pub async fn book(&self, booking: BookingForward) -> BookingReply {
        let identity = match BookingIdentity::try_from(&booking) {
            Ok(identity) => identity,
            Err(error) => return BookingReply::Problem(key_problem(booking.request_id, &error)),
        };
        let mut places = self.places(&identity).into_iter();
        let deadline = self.deadline(&booking);
        let mut attempts = FuturesUnordered::new();
        let mut doubtful = false;
        loop {
            if let Some(place) = places.next() {
                attempts.push(self.serve_at(place, booking.clone(), identity, deadline));
            }
            let patience = tokio::time::sleep(FORWARD_PATIENCE);
            let ended = tokio::select! {
                ended = attempts.next() => ended,
                () = patience => continue,
            };
            match ended {
                Some(Ok(reply)) => {
                    let alone = attempts.is_empty() && !doubtful;
                    return if alone { reply } else { without_proof(reply) };
                }
                Some(Err(failure)) => doubtful |= self.note_failure(&failure),
                None => return BookingReply::Problem(lost_problem(booking.request_id)),
            }
        }
    }

    /// Serves a booking that another entry forwarded; it is never forwarded again.
    pub async fn serve(&self, booking: BookingForward) -> BookingReply {
        let deadline = self.deadline(&booking);
        match BookingIdentity::try_from(&booking) {
            Ok(identity) => self.serve_here(booking, identity, deadline).await,
            Err(error) => BookingReply::Problem(key_problem(booking.request_id, &error)),
        }
    }

    fn deadline(&self, booking: &BookingForward) -> MonoTime {
        self.edges.clock.now() + Duration::from_millis(booking.deadline_ms)
    }

    /// Where to have a booking served, first choice first.
    fn places(&self, identity: &BookingIdentity) -> Vec<ServingPlace> {
        let partition = partition_of(&identity.booking, self.options.partitions);
        let view = self.edges.members.borrow().clone();
        let readers = partition_readers(partition, &view);
        let mut places = Vec::new();
        if !readers.contains(&&self.edges.instance) {
            let address = |reader: &&InstanceName| view.entries.get(*reader);
            let known = readers.iter().filter_map(address);
            places.extend(known.map(|entry| ServingPlace::Entry(entry.address.clone())));
        }
        places.push(ServingPlace::Here);
        places
    }

    fn serve_at(
        &self,
        place: ServingPlace,
        booking: BookingForward,
        identity: BookingIdentity,
        deadline: MonoTime,
    ) -> BoxFuture<'_, Result<BookingReply, ForwardFailure>> {
        match place {
            ServingPlace::Here => {
                Box::pin(async move { Ok(self.serve_here(booking, identity, deadline).await) })
            }
            ServingPlace::Entry(address) => Box::pin(async move {
                let left = deadline - self.edges.clock.now();
                let booking = BookingForward { deadline_ms: left.as_millis() as u64, ..booking };
                self.edges.entries.forward(&address, &booking).await
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
            return BookingReply::Problem(busy_problem(request_id, limit));
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
            return BookingReply::Problem(lost_problem(request_id));
        };
        let job = BookingJob {
            booking,
            identity,
            deadline,
            partition,
            edges: self.edges.clone(),
            options: self.options,
            commands: self.commands.clone(),
            _permit: permit,
        };
        let reply = match drive(job).await {
            Ok(result) => reply_of(request_id, result),
            Err(_) => BookingReply::Problem(lost_problem(request_id)),
        };
        note_reply(request_id, &reply);
        reply
    }

    /// Notes a failed forward; returns whether the booking may still be served there.
    fn note_failure(&self, failure: &ForwardFailure) -> bool {
        let line = EventLine::new("booking_forward_failed").field("address", &failure.address);
        line.field("reason", &failure.reason).info();
        failure.maybe_received
    }
}

/// Withdraws "not run" from a reply while another entry may still serve the same request.
fn without_proof(reply: BookingReply) -> BookingReply {
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
