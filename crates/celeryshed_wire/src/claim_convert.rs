//! Conversions between the claim log and the booking types of the core.

use celeryshed_core::booking::{
    BookingIdentity, BookingKey, ClaimDetails, ClaimLogPage, ClaimLogRecord, ClaimSpec,
    DispatchPermit, KeyError, OutcomeKind, PositionedClaimRecord, RunVerdict, SealResult,
    SealVerdict, SideTarget,
};

use crate::attempts::{ClaimPermit, RunStatus, ServiceAnswer};
use crate::bookings::{BookingForward, SealReply};
use crate::claims::{ClaimOutcome, ClaimRecord};
use crate::codec::decode;
use crate::platform::{LogEntry, ReadReply};

/// The core keeps only the kind of an outcome, but the wire form of an answered claim contains the
/// answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("claim record: an outcome of kind Answer can't be encoded without the answer")]
pub struct AnswerMissing;

impl From<&ClaimOutcome> for OutcomeKind {
    fn from(outcome: &ClaimOutcome) -> Self {
        match outcome {
            ClaimOutcome::Answer(_) => Self::Answer,
            ClaimOutcome::AnswerNotKept { status, size } => {
                Self::AnswerNotKept { status: *status, size: *size }
            }
            ClaimOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<ClaimRecord> for ClaimLogRecord {
    fn from(record: ClaimRecord) -> Self {
        match record {
            ClaimRecord::Claim {
                claim_id,
                booking,
                body_digest,
                side_instance,
                side_incarnation,
            } => {
                let spec = ClaimSpec { body_digest, side_instance, side_incarnation };
                Self::Claim(ClaimDetails { claim_id, booking, spec })
            }
            ClaimRecord::Sealed { claim_id } => Self::Sealed(claim_id),
            ClaimRecord::Released { claim_id } => Self::Released(claim_id),
            ClaimRecord::Outcome { claim_id, outcome } => {
                Self::Outcome(claim_id, OutcomeKind::from(&outcome))
            }
            ClaimRecord::Fenced { booking } => Self::Fenced(booking),
        }
    }
}

impl TryFrom<ClaimLogRecord> for ClaimRecord {
    type Error = AnswerMissing;

    fn try_from(record: ClaimLogRecord) -> Result<Self, AnswerMissing> {
        Ok(match record {
            ClaimLogRecord::Claim(ClaimDetails { claim_id, booking, spec }) => Self::Claim {
                claim_id,
                booking,
                body_digest: spec.body_digest,
                side_instance: spec.side_instance,
                side_incarnation: spec.side_incarnation,
            },
            ClaimLogRecord::Sealed(claim_id) => Self::Sealed { claim_id },
            ClaimLogRecord::Released(claim_id) => Self::Released { claim_id },
            ClaimLogRecord::Outcome(claim_id, OutcomeKind::AnswerNotKept { status, size }) => {
                Self::Outcome { claim_id, outcome: ClaimOutcome::AnswerNotKept { status, size } }
            }
            ClaimLogRecord::Outcome(claim_id, OutcomeKind::Unknown) => {
                Self::Outcome { claim_id, outcome: ClaimOutcome::Unknown }
            }
            ClaimLogRecord::Fenced(booking) => Self::Fenced { booking },
            ClaimLogRecord::Outcome(_, OutcomeKind::Answer) => return Err(AnswerMissing),
        })
    }
}

impl From<&LogEntry> for PositionedClaimRecord {
    /// A payload that isn't a claim record keeps its offset and gets no record.
    fn from(entry: &LogEntry) -> Self {
        let record = decode::<ClaimRecord>(&entry.payload).ok();
        let record = record.map(ClaimLogRecord::from);
        Self { offset: entry.offset, appended_at: entry.appended_at, record }
    }
}

impl From<&ReadReply> for ClaimLogPage {
    fn from(reply: &ReadReply) -> Self {
        Self {
            records: reply.entries.iter().map(PositionedClaimRecord::from).collect(),
            oldest: reply.oldest_offset,
            end: reply.end_offset,
            log_now: reply.now,
        }
    }
}

impl From<RunVerdict> for RunStatus {
    fn from(verdict: RunVerdict) -> Self {
        match verdict {
            RunVerdict::NotRun => Self::NotRun,
            RunVerdict::Ran => Self::Ran,
            RunVerdict::Unknown => Self::Unknown,
        }
    }
}

impl From<SealReply> for SealResult<ServiceAnswer> {
    fn from(reply: SealReply) -> Self {
        match reply {
            SealReply::Ran(answer) => Self::Ran(answer),
            SealReply::Recorded => Self::Recorded,
            SealReply::Running => Self::Running,
            SealReply::Sealed => Self::Sealed,
            SealReply::Unknown => Self::Unknown,
            SealReply::OtherIncarnation(_) => Self::OtherIncarnation,
        }
    }
}

impl From<SealVerdict<ServiceAnswer>> for SealReply {
    fn from(verdict: SealVerdict<ServiceAnswer>) -> Self {
        match verdict {
            SealVerdict::Ran(answer) => Self::Ran(answer),
            SealVerdict::Recorded => Self::Recorded,
            SealVerdict::Running => Self::Running,
            SealVerdict::Sealed => Self::Sealed,
            SealVerdict::Unknown => Self::Unknown,
            SealVerdict::OtherIncarnation(incarnation) => Self::OtherIncarnation(incarnation),
        }
    }
}

impl ClaimPermit {
    /// Adds the target `side` and the claim log's `partition` to the core's permit.
    pub fn new(permit: DispatchPermit, side: &SideTarget, partition: u32) -> Self {
        Self {
            claim_id: permit.claim_id,
            partition,
            offset: permit.offset,
            appended_at: permit.appended_at,
            side_incarnation: side.incarnation,
        }
    }
}

impl TryFrom<&BookingForward> for BookingIdentity {
    type Error = KeyError;

    fn try_from(booking: &BookingForward) -> Result<Self, KeyError> {
        let key = BookingKey::try_from(booking.key.as_str())?;
        let call = &booking.call;
        Ok(Self::of(&booking.team, key, &booking.service, &call.method, &call.path, &call.body))
    }
}
