//! The permission to run a booking.

use async_trait::async_trait;
use celeryshed_base::ClaimId;
use celeryshed_wire::{ClaimOutcome, ClaimTicket, ServiceAnswer};

/// Permission to act on a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimPermission {
    /// The claim runs now, for the first and only time.
    Run,
    /// The claim ran before, with this answer.
    Replay(ServiceAnswer),
}

/// Why a claim may not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimRefusal {
    /// The claim names another incarnation of this sidecar.
    #[error("the claim names another incarnation of this sidecar")]
    OtherIncarnation,
    /// The claim is sealed.
    #[error("the claim is sealed")]
    Sealed,
    /// The claim was appended too long ago.
    #[error("the claim was appended too long ago")]
    TooOld,
    /// The claim is running.
    #[error("the claim is running")]
    Running,
    /// The claim ran; its answer is lost or was not kept.
    #[error("the claim ran and its answer is not known")]
    OutcomeLost,
}

/// The register of claims beside the attempts.
#[async_trait]
pub trait ClaimGate: Send + Sync {
    /// Asks to run a claim; [`ClaimPermission::Run`] is given at most once for a claim.
    async fn begin(&self, ticket: &ClaimTicket) -> Result<ClaimPermission, ClaimRefusal>;

    /// Reports how a claim that began ended.
    async fn finish(&self, claim_id: ClaimId, outcome: ClaimOutcome);
}
