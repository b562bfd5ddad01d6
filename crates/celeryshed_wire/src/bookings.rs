//! Messages that forward bookings between entries and seal claims at sidecars.

use celeryshed_base::{
    ClaimId, ProcessIncarnation, RequestId, ServiceName, TeamName, common_derives,
};

use crate::attempts::{CallWork, ServiceAnswer};
use crate::problem::ProblemDetails;

common_derives! { wire:
    /// A booking that an entry forwards to an entry that reads the booking's claim partition.
    pub struct BookingForward {
        /// Id of the caller's request.
        pub request_id: RequestId,
        /// Team of the caller.
        pub team: TeamName,
        /// Service that runs the booking.
        pub service: ServiceName,
        /// Idempotency key, a UUID version 7.
        pub key: String,
        /// Time left until the request's deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Call to run; its `claim` is `None`.
        pub call: CallWork,
    }

    /// Reply to a forwarded booking.
    pub enum BookingReply {
        /// The booking's recorded answer.
        Answer {
            /// Answer of the service.
            answer: ServiceAnswer,
            /// Whether an earlier request with the same key ran the booking.
            replayed: bool,
        },
        /// The booking was refused or failed.
        Problem(ProblemDetails),
    }

    /// Asks a sidecar for the state of a claim; the sidecar seals a claim that was never
    /// dispatched, which rules out a later run.
    pub struct SealRequest {
        /// Id of the claim.
        pub claim_id: ClaimId,
        /// Sidecar incarnation that the claim names.
        pub side_incarnation: ProcessIncarnation,
    }

    /// State of a claim at the sidecar that it names.
    pub enum SealReply {
        /// The claim ran, with this answer.
        Ran(ServiceAnswer),
        /// The claim ran; its outcome is in the claim log.
        Recorded,
        /// The claim is running.
        Running,
        /// The claim was never dispatched and will never run.
        Sealed,
        /// The claim may have run; its answer is lost.
        Unknown,
        /// The sidecar has restarted since the claim; holds its current incarnation.
        OtherIncarnation(ProcessIncarnation),
    }
}
