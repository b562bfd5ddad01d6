//! Faults that are common to all stand-ins.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use celeryshed_base::common_derives;

use crate::reply::Reply;

/// Suggested pause during an outage.
const OUTAGE_RETRY: Duration = Duration::from_secs(1);

/// How often a stalled call looks whether the stall has ended.
const STALL_POLL: Duration = Duration::from_millis(20);

common_derives! { record:
    /// Kinds of outages.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Outage {
        /// No outage.
        #[default]
        None,
        /// Calls are refused with 503 and have no effect.
        Unavailable,
        /// Connections are cut without a reply; calls have no effect.
        Cut,
        /// Calls hang until the outage ends and then go on.
        Stalled,
    }
}

/// Locks some state; a panic of another holder is ignored.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes one from a counter of pending faults.
pub(crate) fn take_one(pending: &mut u32) -> bool {
    let taken = *pending > 0;
    *pending = pending.saturating_sub(1);
    taken
}

/// Waits for `latency`, then fails or stalls the call as the outage demands.
///
/// `outage` reads the current setting.
pub(crate) async fn pass_gate(latency: Duration, outage: impl Fn() -> Outage) -> Result<(), Reply> {
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    loop {
        match outage() {
            Outage::None => return Ok(()),
            Outage::Unavailable => return Err(Reply::retry(503, "outage", OUTAGE_RETRY)),
            Outage::Cut => return Err(Reply::Cut),
            Outage::Stalled => tokio::time::sleep(STALL_POLL).await,
        }
    }
}
