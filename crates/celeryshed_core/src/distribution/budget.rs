//! Pacing of distribution traffic.

use std::time::Duration;

use celeryshed_base::{ByteCount, MonoTime};

/// Share of the link, in percent, that distribution and live traffic fill together. The rest keeps
/// the queue of the link short.
const FILL_PERCENT: f64 = 90.0;

/// Share of the link, in percent, that distribution gets even when live requests fill it, so that
/// a version that ends an overload can still arrive.
const LEAST_PERCENT: f64 = 5.0;

/// Unused time that may be made up for. Timers of a busy process are late by some milliseconds,
/// which would otherwise be lost for each slice.
const CATCH_UP: Duration = Duration::from_millis(20);

/// Time constant of the estimate of the live rate.
const LIVE_WINDOW: Duration = Duration::from_secs(1);

/// Grants distribution traffic the bandwidth that live requests leave; up and down count together.
///
/// ```
/// use celeryshed_base::{ByteCount, MonoTime};
/// use celeryshed_core::distribution::LinkBudget;
/// let mut budget = LinkBudget::new(ByteCount(1_000_000));
/// let first = budget.reserve(ByteCount(90_000), MonoTime::ZERO);
/// let second = budget.reserve(ByteCount(90_000), MonoTime::ZERO);
/// assert!(first.is_zero());
/// assert_eq!(second.as_millis(), 100);
/// ```
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    live_bytes: f64,
    live_at: MonoTime,
    free_at: MonoTime,
}

impl LinkBudget {
    /// A budget for a link of `bytes_per_s`.
    pub fn new(bytes_per_s: ByteCount) -> Self {
        Self {
            bytes_per_s: bytes_per_s.0.max(1) as f64,
            live_bytes: 0.0,
            live_at: MonoTime::ZERO,
            free_at: MonoTime::ZERO,
        }
    }

    /// Counts bytes of live requests, either way.
    pub fn record_foreground(&mut self, bytes: ByteCount, now: MonoTime) {
        self.live_bytes = self.live_bytes_at(now) + bytes.0 as f64;
        self.live_at = self.live_at.max(now);
    }

    /// Rate of distribution traffic at `now`.
    ///
    /// ```
    /// use celeryshed_base::{ByteCount, MonoTime};
    /// use celeryshed_core::distribution::LinkBudget;
    /// let mut budget = LinkBudget::new(ByteCount(1000));
    /// assert_eq!(budget.rate(MonoTime::ZERO), ByteCount(900));
    /// budget.record_foreground(ByteCount(5000), MonoTime::ZERO);
    /// assert_eq!(budget.rate(MonoTime::ZERO), ByteCount(50));
    /// ```
    pub fn rate(&self, now: MonoTime) -> ByteCount {
        let fill = self.bytes_per_s * FILL_PERCENT / 100.0;
        let live = self.live_bytes_at(now) / LIVE_WINDOW.as_secs_f64();
        let least = self.bytes_per_s * LEAST_PERCENT / 100.0;
        ByteCount((fill - live).max(least) as u64)
    }

    /// Reserves `bytes` and returns how long to wait before sending or reading them.
    pub fn reserve(&mut self, bytes: ByteCount, now: MonoTime) -> Duration {
        let earliest = MonoTime(now.0.saturating_sub(CATCH_UP));
        let start = self.free_at.max(earliest);
        let rate = self.rate(now).0.max(1) as f64;
        self.free_at = start + Duration::from_secs_f64(bytes.0 as f64 / rate);
        start - now
    }

    fn live_bytes_at(&self, now: MonoTime) -> f64 {
        let passed = (now - self.live_at).as_secs_f64() / LIVE_WINDOW.as_secs_f64();
        self.live_bytes * (-passed).exp()
    }
}
