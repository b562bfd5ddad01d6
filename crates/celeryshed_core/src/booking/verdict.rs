//! What a caller is told about its booking.

use celeryshed_base::{InstanceName, common_derives};

common_derives! { value:
    /// Whether a booking was run, as far as the replying entry can prove it.
    #[derive(Copy)]
    pub enum RunVerdict {
        /// Not run.
        NotRun,
        /// Run.
        Ran,
        /// Can't be known now.
        Unknown,
    }

    /// The end of one request.
    pub enum BookingResult<A> {
        /// The booking's answer.
        Answer {
            /// The answer.
            answer: A,
            /// Whether another request ran it.
            replayed: bool,
        },
        /// No answer.
        Refused {
            /// The reason.
            reason: RefusalReason,
            /// Whether the booking was run under this key.
            verdict: RunVerdict,
        },
    }

    /// Why a request has no answer.
    pub enum RefusalReason {
        /// The key is older than the window.
        KeyExpired,
        /// The key was created in the future.
        KeyInFuture,
        /// The key stands for another call.
        BodyMismatch,
        /// The log could not be read in time.
        LogUnreadable,
        /// The log lost records within the window.
        WindowIncomplete,
        /// No endpoint takes bookings.
        NoEndpoint,
        /// The endpoint refused the booking.
        EndpointRefused {
            /// The sidecar that refused last.
            side: InstanceName,
            /// Its reason.
            detail: String,
        },
        /// Another request of the key was told "not run" after this one arrived.
        Superseded,
        /// The deadline passed.
        DeadlinePassed,
        /// The booking may have run; its answer is lost.
        OutcomeUnknown,
        /// It ran; its answer was too large to keep.
        AnswerNotKept {
            /// HTTP status of the answer.
            status: u16,
            /// Size of the answer's body in bytes.
            size: u64,
        },
        /// It ran; its answer could not be read from the log in time.
        AnswerUnreadable,
    }
}
