//! Claim log records and the booking state derived from them.

use celeryshed_base::{
    ClaimId, ContentDigest, InstanceName, LogOffset, ProcessIncarnation, UnixMillis, common_derives,
};

common_derives! { value:
    /// A record of the claim log.
    pub enum ClaimLogRecord {
        /// An entry claims the right to run a booking on one sidecar.
        Claim(ClaimDetails),
        /// The claim's sidecar confirmed that the claim will never run.
        Sealed(ClaimId),
        /// The entry that made the claim has no dispatch of it in progress and never starts one.
        Released(ClaimId),
        /// The claim's run ended, or its result is unknown.
        Outcome(ClaimId, OutcomeKind),
        /// A caller is about to be told that the booking was not run. Requests that arrived before
        /// this record must not run the booking anymore.
        Fenced(ContentDigest),
    }

    /// Content of a claim record.
    pub struct ClaimDetails {
        /// Unique id, chosen by the entry that makes the claim.
        pub claim_id: ClaimId,
        /// Digest of team and key; identifies the booking.
        pub booking: ContentDigest,
        /// The call, and where it may run.
        pub spec: ClaimSpec,
    }

    /// The claimed call and the sidecar that may run it.
    pub struct ClaimSpec {
        /// Digest of service, method, path and body.
        pub body_digest: ContentDigest,
        /// The sidecar's instance.
        pub side_instance: InstanceName,
        /// The only incarnation of the sidecar that may run the claim.
        pub side_incarnation: ProcessIncarnation,
    }

    /// Result of a run. An answer stays in the log and is read only when a caller needs it.
    #[derive(Copy)]
    pub enum OutcomeKind {
        /// The outcome record contains the answer.
        Answer,
        /// The answer was too large to record.
        AnswerNotKept {
            /// HTTP status of the answer.
            status: u16,
            /// Size of the answer's body in bytes.
            size: u64,
        },
        /// The claim may have run; its answer is lost.
        Unknown,
    }

    /// State of a claim according to the log.
    #[derive(Copy)]
    pub enum ClaimState {
        /// The claim may run; a booking has at most one such claim.
        InForce,
        /// Never runs, because another claim was in force or had an outcome when it was appended.
        Void,
        /// Never runs, as its sidecar confirmed.
        Sealed,
        /// Never runs, as the entry that made the claim confirmed.
        Released,
        /// The log contains an outcome of the claim.
        Settled {
            /// The first recorded outcome.
            outcome: OutcomeKind,
            /// Offset of the outcome record.
            offset: LogOffset,
        },
    }

    /// A claim and the state that the log records give it.
    pub struct ClaimView {
        /// Id from the claim record.
        pub claim_id: ClaimId,
        /// Offset of the claim record.
        pub offset: LogOffset,
        /// When the log appended the claim record, by the log's clock.
        pub appended_at: UnixMillis,
        /// The call, and where it may run.
        pub spec: ClaimSpec,
        /// State after the records read so far.
        pub state: ClaimState,
    }

    /// Fence and claims of a booking, as read from the log.
    #[derive(Default)]
    pub struct BookingState {
        /// Offset of the latest fence; `None` without a fence.
        pub fence: Option<LogOffset>,
        /// All claims in offset order.
        pub claims: Vec<ClaimView>,
    }
}

impl BookingState {
    /// Returns the claim in force, if any.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingState;
    /// assert!(BookingState::default().in_force().is_none());
    /// ```
    pub fn in_force(&self) -> Option<&ClaimView> {
        self.claims.iter().find(|claim| claim.state == ClaimState::InForce)
    }

    /// Returns the first claim with an outcome, if any.
    ///
    /// An outcome takes precedence over a claim in force, because it shows that the booking ran or
    /// may have run.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingState;
    /// assert!(BookingState::default().settled().is_none());
    /// ```
    pub fn settled(&self) -> Option<&ClaimView> {
        self.claims.iter().find(|claim| matches!(claim.state, ClaimState::Settled { .. }))
    }

    /// Returns the claim `claim_id`, or `None` if it hasn't been read from the log.
    ///
    /// ```
    /// use celeryshed_base::ClaimId;
    /// use celeryshed_core::booking::BookingState;
    /// assert!(BookingState::default().find(ClaimId::from_u128(1)).is_none());
    /// ```
    pub fn find(&self, claim_id: ClaimId) -> Option<&ClaimView> {
        self.claims.iter().find(|claim| claim.claim_id == claim_id)
    }

    /// Whether a claim appended now would be void.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingState;
    /// assert!(!BookingState::default().is_taken());
    /// ```
    pub fn is_taken(&self) -> bool {
        self.in_force().is_some() || self.settled().is_some()
    }
}
