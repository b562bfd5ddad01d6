//! Bookings: requests that run at most once per idempotency key.
//!
//! [`PartitionReplica`] replays the records of one claim log partition, [`ClaimProcedure`] is the
//! state machine of one request at one entry, and [`ClaimRegister`] records the claims that a
//! sidecar ran or sealed. Section 5 of `docs/design.md` describes the protocol and its
//! interleavings.

mod key;
mod partition;
mod procedure;
mod record;
mod register;
mod replica;
mod verdict;

pub use key::{BookingIdentity, BookingKey, KeyError, KeyWindow};
pub use partition::partition_of;
pub use procedure::{
    AppendResult, BookingRequest, ClaimAction, ClaimEvent, ClaimProcedure, DispatchPermit,
    DispatchResult, LogView, ProcedureOptions, SealResult, SideTarget,
};
pub use record::{
    BookingState, ClaimDetails, ClaimLogRecord, ClaimSpec, ClaimState, ClaimView, OutcomeKind,
};
pub use register::{
    BeginRefusal, BeginVerdict, ClaimRegister, RegisterOptions, RunOutcome, SealVerdict,
};
pub use replica::{ClaimLogPage, PartitionReplica, PositionedClaimRecord, ReplayOptions};
pub use verdict::{BookingResult, RefusalReason, RunVerdict};

#[cfg(test)]
mod tests;
