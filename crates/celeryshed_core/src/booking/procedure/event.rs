//! Events and actions of a claim procedure.

use std::time::Duration;

use celeryshed_base::{
    ClaimId, InstanceName, LogOffset, MonoTime, ProcessIncarnation, UnixMillis, common_derives,
};

use crate::booking::key::BookingIdentity;
use crate::booking::record::{BookingState, ClaimLogRecord};
use crate::booking::verdict::BookingResult;

common_derives! { value:
    /// Options of a procedure.
    #[derive(Copy)]
    pub struct ProcedureOptions {
        /// Longest age of a key.
        pub window: Duration,
        /// Longest wait for a read of the log before the request is refused.
        pub log_wait: Duration,
        /// Age of a claim in force from which its sidecar is asked to seal it.
        pub seal_after: Duration,
        /// Longest time without a reply of the sidecar before the outcome is reported as unknown.
        pub side_wait: Duration,
        /// Pause before an append or read that failed is repeated.
        pub retry_pause: Duration,
        /// Longest age of a read to the end that may prove "not run".
        pub freshness: Duration,
        /// Most claims that one request appends.
        pub max_claims: u32,
    }

    /// A request for a booking.
    #[derive(Copy)]
    pub struct BookingRequest {
        /// What it books.
        pub identity: BookingIdentity,
        /// When the caller must have a reply.
        pub deadline: MonoTime,
    }

    /// A sidecar that may run the booking.
    pub struct SideTarget {
        /// Its instance.
        pub instance: InstanceName,
        /// Its incarnation.
        pub incarnation: ProcessIncarnation,
    }

    /// The booking's claims as of a read that reached the end of the partition.
    pub struct LogView {
        /// When the last read of the log began; every record appended before it is included.
        pub read_started: MonoTime,
        /// Time at the log.
        pub log_now: UnixMillis,
        /// Offset that the partition had been read to when the request arrived. A record at this
        /// offset or above may have been appended after the arrival.
        pub arrival_offset: LogOffset,
        /// Whether the replica holds every claim that the key can have.
        pub covered: bool,
        /// The claims.
        pub booking_state: BookingState,
    }

    /// Result of an append.
    #[derive(Copy)]
    pub enum AppendResult {
        /// The record stands in the log.
        Done,
        /// The record certainly doesn't stand in the log.
        Refused,
        /// The record may stand in the log, now or later.
        Unknown,
    }

    /// Result of a dispatch.
    pub enum DispatchResult<A> {
        /// The sidecar ran it.
        Answer(A),
        /// The sidecar refused it or was never reached; this dispatch runs nothing.
        NotRun {
            /// The reason.
            detail: String,
            /// Whether only this claim was refused, and not every booking.
            claim_only: bool,
        },
        /// Anything else.
        Unknown,
    }

    /// Result of asking a sidecar to seal a claim.
    pub enum SealResult<A> {
        /// The claim ran.
        Ran(A),
        /// The claim ran; its outcome stands in the log.
        Recorded,
        /// The claim is running.
        Running,
        /// The claim will never run.
        Sealed,
        /// The claim may have run; its answer is lost.
        Unknown,
        /// The named incarnation is gone.
        OtherIncarnation,
        /// No reply.
        Unreachable,
    }

    /// What happens to a procedure.
    pub enum ClaimEvent<A> {
        /// The partition was read to its end.
        LogRead(LogView),
        /// The choice asked for with [`ClaimAction::ChooseSide`].
        SideChosen {
            /// The sidecar; `None` when none is available.
            side: Option<SideTarget>,
            /// Id for the next claim, never used before.
            claim_id: ClaimId,
        },
        /// An append ended.
        AppendEnded {
            /// The record.
            record: ClaimLogRecord,
            /// Its result.
            result: AppendResult,
        },
        /// A dispatch ended.
        DispatchEnded {
            /// The claim.
            claim_id: ClaimId,
            /// The result.
            result: DispatchResult<A>,
        },
        /// A sidecar replied about a claim, or didn't.
        SealEnded {
            /// The claim.
            claim_id: ClaimId,
            /// The reply.
            result: SealResult<A>,
        },
        /// The recorded answer was read; `None` when the read failed.
        AnswerRead(Option<A>),
        /// The time given by `next_timer` was reached.
        TimerFired,
    }

    /// The claim that permits a dispatch.
    #[derive(Copy)]
    pub struct DispatchPermit {
        /// The claim.
        pub claim_id: ClaimId,
        /// Its offset.
        pub offset: LogOffset,
        /// When the log took it.
        pub appended_at: UnixMillis,
    }

    /// What the driver of a procedure does next.
    pub enum ClaimAction<A> {
        /// Choose a sidecar that isn't among these, and a claim id.
        ChooseSide {
            /// Instances that refused this request.
            avoid: Vec<InstanceName>,
        },
        /// Append a record.
        Append(ClaimLogRecord),
        /// Hand the booking over; given at most once for each claim.
        Dispatch {
            /// The sidecar.
            side: SideTarget,
            /// The claim.
            permit: DispatchPermit,
        },
        /// Ask a sidecar to seal a claim.
        AskSeal {
            /// The claim.
            claim_id: ClaimId,
            /// The sidecar named in the claim.
            side: SideTarget,
        },
        /// Read the answer in the record at this offset.
        ReadAnswer {
            /// The offset.
            offset: LogOffset,
        },
        /// Reply to the caller; given exactly once.
        Reply(BookingResult<A>),
        /// Nothing is left to do.
        Finish,
    }
}
