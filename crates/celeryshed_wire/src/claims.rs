//! Records of the claim log.

use celeryshed_base::{ClaimId, ContentDigest, InstanceName, ProcessIncarnation, common_derives};

use crate::attempts::ServiceAnswer;

common_derives! { wire:
    /// A record of stream `claims-<partition>`.
    pub enum ClaimRecord {
        /// An entry intends to run a booking at one sidecar.
        Claim {
            /// Id of the claim.
            claim_id: ClaimId,
            /// Digest of team and idempotency key.
            booking: ContentDigest,
            /// Digest of service, method, path and body.
            body_digest: ContentDigest,
            /// Instance of the sidecar.
            side_instance: InstanceName,
            /// The only sidecar incarnation that may run the claim.
            side_incarnation: ProcessIncarnation,
        },
        /// The sidecar confirmed that the claim will never run.
        Sealed {
            /// Id of the claim.
            claim_id: ClaimId,
        },
        /// The entry that wrote the claim never dispatched it and never will.
        Released {
            /// Id of the claim.
            claim_id: ClaimId,
        },
        /// The claim was dispatched and has an outcome.
        Outcome {
            /// Id of the claim.
            claim_id: ClaimId,
            /// Result of the claim.
            outcome: ClaimOutcome,
        },
        /// Written before a caller is told that the booking did not run. Requests that arrived
        /// before this record can no longer run the booking.
        Fenced {
            /// Digest of team and idempotency key.
            booking: ContentDigest,
        },
    }

    /// Result of a claim that was dispatched.
    pub enum ClaimOutcome {
        /// The claim ran and returned this answer.
        Answer(ServiceAnswer),
        /// The claim ran; its answer was too large to record.
        AnswerNotKept {
            /// HTTP status of the answer.
            status: u16,
            /// Size of the answer's body in bytes.
            size: u64,
        },
        /// The claim may have run; its answer is lost.
        Unknown,
    }
}
