//! Faults that all stand-ins can inject.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use celeryshed_base::common_derives;

use crate::reply::Reply;

/// `Retry-After` of calls that are refused during an outage.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval at which a stalled call checks whether the outage has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

common_derives! { record:
    /// Outage of a stand-in, which affects all calls except those below `/control`.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Outage {
        /// No outage; the default.
        #[default]
        None,
        /// Calls are refused with 503 and have no effect.
        Unavailable,
        /// Connections are closed without a reply; calls have no effect.
        Cut,
        /// Calls are delayed until the outage ends and are then executed.
        Stalled,
    }
}

/// Locks `state`, even if another thread panicked while it held the lock.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decrements a counter of pending faults; returns false if the counter was zero.
pub(crate) fn consume_fault(pending: &mut u32) -> bool {
    let consumed = *pending > 0;
    *pending = pending.saturating_sub(1);
    consumed
}

/// Delays a call by `latency`, then refuses or stalls the call during an outage.
///
/// `outage` returns the outage currently set. Stalled calls check the outage repeatedly.
pub(crate) async fn apply_call_faults(
    latency: Duration,
    outage: impl Fn() -> Outage,
) -> Result<(), Reply> {
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    loop {
        match outage() {
            Outage::None => return Ok(()),
            Outage::Unavailable => return Err(Reply::retry(503, "outage", OUTAGE_RETRY_AFTER)),
            Outage::Cut => return Err(Reply::Disconnect),
            Outage::Stalled => tokio::time::sleep(STALL_POLL_INTERVAL).await,
        }
    }
}
