//! Connects attempts with the claim register.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use async_trait::async_trait;
use celeryshed_base::ClaimId;
use celeryshed_core::booking::BeginRefusal;
use celeryshed_wire::{ClaimOutcome, ClaimTicket};

use crate::attempts::{ClaimGate, ClaimPermission, ClaimRefusal};
use crate::claims::{BeginReply, ClaimHandle, RunEnd, RunPermit};

/// Holds the permits of the runs in progress.
pub(super) struct RegisterGate {
    register: ClaimHandle,
    permits: Mutex<BTreeMap<ClaimId, RunPermit>>,
}

impl RegisterGate {
    pub(super) fn new(register: ClaimHandle) -> Self {
        Self { register, permits: Mutex::default() }
    }
}

#[async_trait]
impl ClaimGate for RegisterGate {
    async fn begin(&self, ticket: &ClaimTicket) -> Result<ClaimPermission, ClaimRefusal> {
        match self.register.begin(ticket.clone()).await {
            BeginReply::Run(permit) => {
                let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
                permits.insert(ticket.claim_id, permit);
                Ok(ClaimPermission::Run)
            }
            BeginReply::Ran(answer) => Ok(ClaimPermission::Replay(answer)),
            BeginReply::Unknown => Err(ClaimRefusal::OutcomeLost),
            BeginReply::Refused(refusal) => Err(refused(refusal)),
        }
    }

    async fn finish(&self, claim_id: ClaimId, outcome: ClaimOutcome) {
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(permit) = permits.remove(&claim_id) else {
            return;
        };
        permit.finish(match outcome {
            ClaimOutcome::Answer(answer) => RunEnd::Answer(answer),
            ClaimOutcome::AnswerNotKept { .. } | ClaimOutcome::Unknown => RunEnd::Unknown,
        });
    }
}

fn refused(refusal: BeginRefusal) -> ClaimRefusal {
    match refusal {
        BeginRefusal::OtherIncarnation => ClaimRefusal::OtherIncarnation,
        BeginRefusal::Sealed => ClaimRefusal::Sealed,
        BeginRefusal::TooOld => ClaimRefusal::TooOld,
    }
}
