//! Results that callers receive for their bookings.

use celeryshed_base::{InstanceName, common_derives};

common_derives! { value:
    /// Whether a booking was run, as far as the log proves it to the entry.
    #[derive(Copy)]
    pub enum RunVerdict {
        /// Proven: the booking was not run.
        NotRun,
        /// Proven: the booking was run.
        Ran,
        /// Neither is proven.
        Unknown,
    }

    /// Result of one request for a booking.
    pub enum BookingResult<A> {
        /// The booking was run, and its answer is available.
        Answer {
            /// Answer of the service.
            answer: A,
            /// Whether the answer comes from another request's run.
            replayed: bool,
        },
        /// No answer is available.
        Refused {
            /// Why no answer is available.
            reason: RefusalReason,
            /// Whether the booking was run, by this request or another one with the same key.
            verdict: RunVerdict,
        },
    }

    /// Why a request gets no answer.
    pub enum RefusalReason {
        /// The key is older than the booking window.
        KeyExpired,
        /// The key's creation time is more than 60 s in the future.
        KeyInFuture,
        /// The key was already used for a different call.
        BodyMismatch,
        /// The claim log could not be read in time.
        LogUnreadable,
        /// The claim log may have removed records of the key's lifetime.
        WindowIncomplete,
        /// No sidecar is available for the booking.
        NoEndpoint,
        /// A sidecar refused the booking, and no other one ran it.
        EndpointRefused {
            /// Instance of the sidecar that refused last.
            side: InstanceName,
            /// Reason given by the sidecar.
            detail: String,
        },
        /// Another request with the same key recorded a fence after this request arrived.
        Superseded,
        /// The request's deadline passed first.
        DeadlinePassed,
        /// The booking may have run; its answer is lost.
        OutcomeUnknown,
        /// The booking ran; its answer was too large to keep.
        AnswerNotKept {
            /// HTTP status of the answer.
            status: u16,
            /// Size of the answer's body in bytes.
            size: u64,
        },
        /// The booking ran; its answer could not be read from the log in time.
        AnswerUnreadable,
    }
}
