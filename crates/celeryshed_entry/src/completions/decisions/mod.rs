//! The decisions of an entry about its requests: admission, quarantine, choice of an endpoint,
//! queueing and retries. The code does no I/O and gets the time as an argument.
//!
//! The entry's decision task and the scarcity experiment of `celeryshed_measure` both run
//! [`EntryDecisions`].

mod entry;
mod outcome;
mod request;

pub use entry::EntryDecisions;
pub use outcome::{AttemptOutcome, EntryRefusal, RefusalReason};
pub use request::{PlacedAttempt, Placement, RequestProfile};
