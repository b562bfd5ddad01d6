//! Limits the rate at which a sidecar sends pieces to other sidecars.
//!
//! Load pattern: the link of an instance carries the event streams of its endpoint while many
//! sidecars request pieces. Pieces are sent one at a time and use only a fraction of the link, so
//! that an event waits for one piece at most.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

/// Fraction of the link's bandwidth that pieces may use.
const LINK_FRACTION: f64 = 0.92;
/// Longest time that a request for a piece waits. Beyond this time it is refused, and the other
/// sidecar asks another source.
const MAX_UPLOAD_WAIT: Duration = Duration::from_millis(250);

common_derives! { value:
    /// Schedules the uploads of pieces one after the other.
    pub struct UploadPacer {
        bits_per_s: u64,
        free_at: MonoTime,
    }
}

impl UploadPacer {
    /// Creates a pacer for a link of `bits_per_s`; zero stands for an unlimited link.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::UploadPacer;
    /// let mut pacer = UploadPacer::new(8_000_000);
    /// assert!(pacer.schedule_upload(MonoTime::ZERO, 100_000).unwrap().is_zero());
    /// assert!(!pacer.schedule_upload(MonoTime::ZERO, 100_000).unwrap().is_zero());
    /// ```
    pub fn new(bits_per_s: u64) -> Self {
        Self { bits_per_s, free_at: MonoTime::ZERO }
    }

    /// The time after which a piece of `bytes` may be sent; `None` if too many pieces are waiting.
    pub fn schedule_upload(&mut self, now: MonoTime, bytes: usize) -> Option<Duration> {
        let wait = self.free_at - now;
        if wait > MAX_UPLOAD_WAIT {
            return None;
        }
        if self.bits_per_s > 0 {
            let seconds = bytes as f64 * 8.0 / (self.bits_per_s as f64 * LINK_FRACTION);
            self.free_at = self.free_at.max(now) + Duration::from_secs_f64(seconds);
        }
        Some(wait)
    }
}
