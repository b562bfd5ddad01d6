//! The decisions of an entry on its requests, without I/O: admission, quarantine, choice of an
//! endpoint, waiting and retries.
//!
//! The board task and the scarcity experiment drive the same [`EntryDecisions`].

mod entry;
mod outcome;
mod request;

pub use entry::EntryDecisions;
pub use outcome::{AttemptOutcome, EntryRefusal, RefusalReason};
pub use request::{PlacedAttempt, Placement, RequestProfile};
