//! Bookings: requests that run at most once.
//!
//! [`PartitionReplica`] replays the records of one claim stream, [`ClaimProcedure`] decides what
//! one entry does for one request, and [`ClaimRegister`] is the sidecar's record of the claims that
//! it ran or sealed. `docs/design.md`, section 5, states the rules and the interleavings.

mod fold;
mod key;
mod partition;
mod procedure;
mod record;
mod register;
mod verdict;

pub use fold::{ClaimLogPage, PartitionReplica, PositionedClaimRecord, ReplayOptions};
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
pub use verdict::{BookingResult, RefusalReason, RunVerdict};

#[cfg(test)]
mod tests;
