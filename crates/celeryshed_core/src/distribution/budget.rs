//! Rate limit of distribution traffic.

use std::time::Duration;

use celeryshed_base::{ByteCount, MonoTime};

/// Share of the link that distribution and foreground traffic may use together. The unused rest
/// keeps the queue of the link short.
const MAX_FILL_PERCENT: f64 = 90.0;

/// Share of the link that distribution gets even if foreground requests fill the link. Without it,
/// a version that would end an overload could not arrive.
const MIN_SHARE_PERCENT: f64 = 5.0;

/// Maximum unused time that later transfers may use. Timers of a busy process fire some
/// milliseconds late, which would otherwise reduce the rate with each slice.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// Time constant of the exponential average of the foreground rate.
const FOREGROUND_WINDOW: Duration = Duration::from_secs(1);

/// Limits distribution traffic to the bandwidth that foreground requests leave. Sent and received
/// bytes count together.
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
    foreground_bytes: f64,
    foreground_at: MonoTime,
    next_start: MonoTime,
}

impl LinkBudget {
    /// A budget for a link of `bytes_per_s`, sent and received together.
    pub fn new(bytes_per_s: ByteCount) -> Self {
        Self {
            bytes_per_s: bytes_per_s.0.max(1) as f64,
            foreground_bytes: 0.0,
            foreground_at: MonoTime::ZERO,
            next_start: MonoTime::ZERO,
        }
    }

    /// Counts bytes that foreground requests sent or received.
    pub fn record_foreground(&mut self, bytes: ByteCount, now: MonoTime) {
        self.foreground_bytes = self.foreground_bytes_at(now) + bytes.0 as f64;
        self.foreground_at = self.foreground_at.max(now);
    }

    /// Rate of distribution traffic at `now`, in bytes per second.
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
        let max_fill = self.bytes_per_s * MAX_FILL_PERCENT / 100.0;
        let foreground = self.foreground_bytes_at(now) / FOREGROUND_WINDOW.as_secs_f64();
        let min_rate = self.bytes_per_s * MIN_SHARE_PERCENT / 100.0;
        ByteCount((max_fill - foreground).max(min_rate) as u64)
    }

    /// Reserves `bytes` and returns how long to wait before sending or receiving them.
    pub fn reserve(&mut self, bytes: ByteCount, now: MonoTime) -> Duration {
        let earliest_start = MonoTime(now.0.saturating_sub(MAX_CATCH_UP));
        let start = self.next_start.max(earliest_start);
        let rate = self.rate(now).0.max(1) as f64;
        self.next_start = start + Duration::from_secs_f64(bytes.0 as f64 / rate);
        start - now
    }

    fn foreground_bytes_at(&self, now: MonoTime) -> f64 {
        let elapsed_windows =
            (now - self.foreground_at).as_secs_f64() / FOREGROUND_WINDOW.as_secs_f64();
        self.foreground_bytes * (-elapsed_windows).exp()
    }
}
