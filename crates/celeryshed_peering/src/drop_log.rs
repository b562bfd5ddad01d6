//! Reports what peers tell above the limits of this process.

use std::fmt::Display;
use std::time::Duration;

use celeryshed_observe::EventLine;
use tokio::time::Instant;

/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Counts items that are dropped because a limit of what peers tell is reached, and logs the first ones
/// of each minute.
///
/// ```
/// use celeryshed_peering::DropLog;
/// let mut drops = DropLog::default();
/// drops.report("entries", 1, "10.0.0.1:17700");
/// ```
#[derive(Clone, Debug, Default)]
pub struct DropLog {
    logged_at: Option<Instant>,
}

impl DropLog {
    /// Reports that `count` items were dropped, or displaced by others, for a message of `sender`.
    pub fn report(&mut self, kind: &'static str, count: u64, sender: impl Display) {
        if count == 0 {
            return;
        }
        metrics::counter!("celeryshed_peer_items_dropped_total", "kind" => kind).increment(count);
        if self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged_at = Some(Instant::now());
            EventLine::new("peer_items_dropped")
                .field("kind", kind)
                .field("count", count)
                .field("sender", sender)
                .warn();
        }
    }
}
