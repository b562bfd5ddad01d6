//! In-memory fakes of the platform with fault injection, for the tests of other packages.
//!
//! Clones of a fake share their state: a test keeps one clone to inject faults and passes another
//! one to the code under test. Delays follow the clock of the Tokio runtime.

mod blobs;
mod list;
mod log;

pub use blobs::{BlobCounts, BlobFault, FakeBlobs};
pub use list::FakeList;
pub use log::{FakeLog, LogCounts};

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::error::PlatformError;

/// Locks the state of a fake; poisoning by a panic, as in a failed test, is ignored.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decrements a counter of faults to inject; returns whether a fault was left.
fn consume_one(pending: &mut u32) -> bool {
    let taken = *pending > 0;
    *pending = pending.saturating_sub(1);
    taken
}

fn unreachable(target: &str) -> PlatformError {
    PlatformError::Unreachable { target: target.to_owned(), reason: "outage".to_owned() }
}

fn reply_lost(target: &str) -> PlatformError {
    PlatformError::ReplyLost { target: target.to_owned(), reason: "connection cut".to_owned() }
}
