//! Records of the claim log and the state of a booking that they fold into.

use celeryshed_base::{
    ClaimId, ContentDigest, InstanceName, LogOffset, ProcessIncarnation, UnixMillis, common_derives,
};

common_derives! { value:
    /// A record of a claim stream.
    pub enum ClaimLogRecord {
        /// An entry wants to run a booking at one sidecar.
        Claim(ClaimDetails),
        /// The sidecar confirmed that the claim will never run.
        Sealed(ClaimId),
        /// The claimant has no hand-over of the claim in progress and will never start one.
        Released(ClaimId),
        /// The claim was run.
        Outcome(ClaimId, OutcomeKind),
        /// A caller is about to be told that the booking was not run: requests that arrived before
        /// this record don't run it any more.
        Fenced(ContentDigest),
    }

    /// A claim as its claimant writes it.
    pub struct ClaimDetails {
        /// The claim.
        pub claim_id: ClaimId,
        /// Digest of team and key.
        pub booking: ContentDigest,
        /// What the claim is for.
        pub terms: ClaimSpec,
    }

    /// What a claim is for and where it may run.
    pub struct ClaimSpec {
        /// Digest of the call.
        pub body_digest: ContentDigest,
        /// Instance of the sidecar.
        pub side_instance: InstanceName,
        /// The only incarnation that may run it.
        pub side_incarnation: ProcessIncarnation,
    }

    /// Result of a run; an answer itself stays in the log and is read when a caller asks for it.
    #[derive(Copy)]
    pub enum OutcomeKind {
        /// The record holds the answer.
        Answer,
        /// The answer was too large to record.
        AnswerNotKept {
            /// HTTP status of the answer.
            status: u16,
            /// Size of the answer's body in bytes.
            size: u64,
        },
        /// It may have run; its answer is lost.
        Unknown,
    }

    /// State of a claim.
    #[derive(Copy)]
    pub enum ClaimState {
        /// The only claim of its booking that may run.
        InForce,
        /// Appended while another claim was in force or had an outcome; it will never run.
        Void,
        /// Will never run, by the word of its sidecar.
        Sealed,
        /// Will never run, by the word of its claimant.
        Released,
        /// Has an outcome.
        Settled {
            /// The outcome.
            outcome: OutcomeKind,
            /// Offset of its record.
            offset: LogOffset,
        },
    }

    /// A claim as the log shows it.
    pub struct ClaimView {
        /// The claim.
        pub claim_id: ClaimId,
        /// Offset of the claim.
        pub offset: LogOffset,
        /// When the log took the claim.
        pub appended_at: UnixMillis,
        /// What it is for.
        pub terms: ClaimSpec,
        /// Its state.
        pub state: ClaimState,
    }

    /// All claims of a booking in offset order.
    #[derive(Default)]
    pub struct BookingState {
        /// Offset of the latest fence.
        pub fence: Option<LogOffset>,
        /// The claims.
        pub claims: Vec<ClaimView>,
    }
}

impl BookingState {
    /// The claim in force.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingState;
    /// assert!(BookingState::default().in_force().is_none());
    /// ```
    pub fn in_force(&self) -> Option<&ClaimView> {
        self.claims.iter().find(|claim| claim.state == ClaimState::InForce)
    }

    /// The claim that has an outcome. An outcome is proof of a run and outranks a claim in force.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingState;
    /// assert!(BookingState::default().settled().is_none());
    /// ```
    pub fn settled(&self) -> Option<&ClaimView> {
        self.claims.iter().find(|claim| matches!(claim.state, ClaimState::Settled { .. }))
    }

    /// The claim `claim_id`, if the log shows it.
    ///
    /// ```
    /// use celeryshed_base::ClaimId;
    /// use celeryshed_core::booking::BookingState;
    /// assert!(BookingState::default().find(ClaimId::from_u128(1)).is_none());
    /// ```
    pub fn find(&self, claim_id: ClaimId) -> Option<&ClaimView> {
        self.claims.iter().find(|claim| claim.claim_id == claim_id)
    }

    /// Whether a further claim would be void.
    ///
    /// ```
    /// use celeryshed_core::booking::BookingState;
    /// assert!(!BookingState::default().is_taken());
    /// ```
    pub fn is_taken(&self) -> bool {
        self.in_force().is_some() || self.settled().is_some()
    }
}
