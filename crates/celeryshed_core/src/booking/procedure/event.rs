//! Events that a claim procedure receives and actions that it returns.

use std::time::Duration;

use celeryshed_base::{
    ClaimId, InstanceName, LogOffset, MonoTime, ProcessIncarnation, UnixMillis, common_derives,
};

use crate::booking::key::BookingIdentity;
use crate::booking::record::{BookingState, ClaimLogRecord};
use crate::booking::verdict::BookingResult;

common_derives! { value:
    /// Options of a claim procedure.
    #[derive(Copy)]
    pub struct ProcedureOptions {
        /// Length of the booking window, which is the longest accepted age of a key; 6 hours by
        /// default.
        pub window: Duration,
        /// Longest wait for a read of the log before the request is refused; 2 s by default.
        pub log_wait: Duration,
        /// Age of another request's claim in force from which its sidecar is asked to seal it, and
        /// pause between such requests; 1 s by default.
        pub seal_after: Duration,
        /// How long a sidecar may leave seal requests unanswered before the outcome is reported as
        /// unknown; 10 s by default.
        pub seal_reply_timeout: Duration,
        /// Pause before a failed append or answer read is repeated; 200 ms by default.
        pub retry_pause: Duration,
        /// Longest age of a log read that may prove "not run"; 1 s by default.
        pub max_read_age: Duration,
        /// Maximum number of claims that one request makes; 4 by default.
        pub max_claims: u32,
    }

    /// A request for a booking.
    #[derive(Copy)]
    pub struct BookingRequest {
        /// Key, booking and call of the request.
        pub identity: BookingIdentity,
        /// When the caller must have received a reply.
        pub deadline: MonoTime,
    }

    /// A sidecar that may run the booking.
    pub struct SideTarget {
        /// The sidecar's instance.
        pub instance: InstanceName,
        /// The sidecar's process incarnation, as the entry last saw it.
        pub incarnation: ProcessIncarnation,
    }

    /// State of the booking after a read that reached the end of the partition.
    pub struct LogView {
        /// When the last read of the log started; the view includes all records appended before.
        pub read_started: MonoTime,
        /// The log's clock in its last reply.
        pub log_now: UnixMillis,
        /// Offset up to which the partition had been read when the request arrived. Records at or
        /// above this offset may have been appended after the arrival.
        pub arrival_offset: LogOffset,
        /// Whether the replica has seen every record that the key can have.
        pub covered: bool,
        /// Fence and claims of the booking.
        pub booking_state: BookingState,
    }

    /// Result of an append.
    #[derive(Copy)]
    pub enum AppendResult {
        /// The log contains the record.
        Done,
        /// The log doesn't contain the record and never will from this append.
        Refused,
        /// The log may contain the record, now or later.
        Unknown,
    }

    /// Result of a dispatch.
    pub enum DispatchResult<A> {
        /// The sidecar ran the claim, with this answer.
        Answer(A),
        /// The sidecar refused the claim or was not reached; this dispatch runs nothing.
        NotRun {
            /// Reason of the refusal, passed on to the caller.
            detail: String,
            /// Whether the sidecar may accept another claim; otherwise it is avoided.
            claim_only: bool,
        },
        /// The claim may have run.
        Unknown,
    }

    /// Result of a request to a sidecar to seal a claim.
    pub enum SealResult<A> {
        /// The claim ran, with this answer.
        Ran(A),
        /// The claim ran; its outcome is recorded in the log.
        Recorded,
        /// The claim is running.
        Running,
        /// The claim will never run.
        Sealed,
        /// The claim may have run; its answer is lost.
        Unknown,
        /// The incarnation that the claim names was replaced.
        OtherIncarnation,
        /// The sidecar didn't reply.
        Unreachable,
    }

    /// An event that the driver delivers to a claim procedure.
    pub enum ClaimEvent<A> {
        /// The partition was read to its end.
        LogRead(LogView),
        /// Result of [`ClaimAction::ChooseSide`].
        SideChosen {
            /// The chosen sidecar; `None` if none is available.
            side: Option<SideTarget>,
            /// New unique id for the next claim.
            claim_id: ClaimId,
        },
        /// An append by [`ClaimAction::Append`] ended.
        AppendEnded {
            /// The record of the action.
            record: ClaimLogRecord,
            /// Whether the log contains the record.
            result: AppendResult,
        },
        /// A dispatch by [`ClaimAction::Dispatch`] ended.
        DispatchEnded {
            /// The dispatched claim.
            claim_id: ClaimId,
            /// Reply of the sidecar, or what the failure implies.
            result: DispatchResult<A>,
        },
        /// A request by [`ClaimAction::RequestSeal`] ended.
        SealEnded {
            /// The claim to seal.
            claim_id: ClaimId,
            /// Reply of the sidecar, or that it didn't reply.
            result: SealResult<A>,
        },
        /// A read by [`ClaimAction::ReadAnswer`] ended; `None` if it failed.
        AnswerRead(Option<A>),
        /// The time returned by [`ClaimProcedure::next_timer`] was reached.
        ///
        /// [`ClaimProcedure::next_timer`]: crate::booking::ClaimProcedure::next_timer
        TimerFired,
    }

    /// The claim in force that permits a dispatch.
    #[derive(Copy)]
    pub struct DispatchPermit {
        /// Id of the claim.
        pub claim_id: ClaimId,
        /// Offset of the claim record.
        pub offset: LogOffset,
        /// When the log appended the claim record, by the log's clock.
        pub appended_at: UnixMillis,
    }

    /// An action that the driver of a claim procedure must perform.
    pub enum ClaimAction<A> {
        /// Choose a sidecar and generate a claim id.
        ChooseSide {
            /// Instances that refused this request and must not be chosen.
            avoid: Vec<InstanceName>,
        },
        /// Append a record to the claim log.
        Append(ClaimLogRecord),
        /// Send the booking to a sidecar; at most once for each claim.
        Dispatch {
            /// The sidecar named in the claim.
            side: SideTarget,
            /// Proof of the claim, sent along.
            permit: DispatchPermit,
        },
        /// Ask a sidecar to seal a claim.
        RequestSeal {
            /// The claim to seal.
            claim_id: ClaimId,
            /// The sidecar named in the claim.
            side: SideTarget,
        },
        /// Read an answer from the claim log.
        ReadAnswer {
            /// Offset of the outcome record.
            offset: LogOffset,
        },
        /// Reply to the caller; exactly once.
        Reply(BookingResult<A>),
        /// Drop the procedure; nothing is left to do.
        Finish,
    }
}
