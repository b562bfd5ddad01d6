//! Limits on requests or bytes per second.

use std::time::Duration;

use celeryshed_base::MonoTime;

/// Token bucket.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    burst: f64,
    /// Negative while reserved units are still being refilled.
    available: f64,
    refilled_at: MonoTime,
}

impl RateLimiter {
    /// Creates a full bucket of `burst` units that regains `per_second` units per second.
    pub(crate) fn new(per_second: f64, burst: f64, now: MonoTime) -> Self {
        Self { per_second, burst, available: burst, refilled_at: now }
    }

    /// Changes the rate from `now` on.
    pub(crate) fn set_rate(&mut self, per_second: f64, now: MonoTime) {
        self.refill(now);
        self.per_second = per_second;
    }

    /// Takes `units` if they are available; otherwise returns the time until they are.
    pub(crate) fn try_take(&mut self, units: f64, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        if self.available >= units {
            self.available -= units;
            return Ok(());
        }
        Err(self.refill_time(units - self.available))
    }

    /// Takes `units` even if they are not available yet, and returns the time until they are.
    pub(crate) fn reserve(&mut self, units: f64, now: MonoTime) -> Duration {
        self.refill(now);
        self.available -= units;
        if self.available >= 0.0 { Duration::ZERO } else { self.refill_time(-self.available) }
    }

    fn refill(&mut self, now: MonoTime) {
        let refilled = (now - self.refilled_at).as_secs_f64() * self.per_second;
        self.available = (self.available + refilled).min(self.burst);
        self.refilled_at = now;
    }

    fn refill_time(&self, units: f64) -> Duration {
        Duration::from_secs_f64(units / self.per_second)
    }
}
