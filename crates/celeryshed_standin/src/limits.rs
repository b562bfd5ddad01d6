//! Rate limits.

use std::time::Duration;

use celeryshed_base::MonoTime;

/// A token bucket.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    burst: f64,
    available: f64,
    updated: MonoTime,
}

impl RateLimiter {
    /// A full bucket of `burst` units, refilled with `per_second` units a second.
    pub(crate) fn new(per_second: f64, burst: f64, now: MonoTime) -> Self {
        Self { per_second, burst, available: burst, updated: now }
    }

    /// Changes the rate from `now` on.
    pub(crate) fn set_rate(&mut self, per_second: f64, now: MonoTime) {
        self.refill(now);
        self.per_second = per_second;
    }

    /// Takes `units` if they are there, otherwise tells how long to wait for them.
    pub(crate) fn take(&mut self, units: f64, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        if self.available >= units {
            self.available -= units;
            return Ok(());
        }
        Err(self.time_for(units - self.available))
    }

    /// Takes `units` in advance and tells how long to wait before they may be used.
    pub(crate) fn reserve(&mut self, units: f64, now: MonoTime) -> Duration {
        self.refill(now);
        self.available -= units;
        if self.available >= 0.0 { Duration::ZERO } else { self.time_for(-self.available) }
    }

    fn refill(&mut self, now: MonoTime) {
        let gained = (now - self.updated).as_secs_f64() * self.per_second;
        self.available = (self.available + gained).min(self.burst);
        self.updated = now;
    }

    fn time_for(&self, units: f64) -> Duration {
        Duration::from_secs_f64(units / self.per_second)
    }
}
