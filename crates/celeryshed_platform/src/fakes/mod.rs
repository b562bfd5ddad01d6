//! In-memory fakes of the platform with switchable faults, for the tests of other packages.
//!
//! Clones of a fake share their state: a test keeps one clone to inject faults and hands another
//! one to the code under test. Time follows the runtime's clock.

mod blobs;
mod list;
mod log;

pub use blobs::{BlobCounts, BlobFault, FakeBlobs};
pub use list::FakeList;
pub use log::{FakeLog, LogCounts};

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::error::PlatformError;

/// Locks the state of a fake; a panic of another holder, as in a failed test, is ignored.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes one from a counter of pending faults.
fn take_one(pending: &mut u32) -> bool {
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
