//! Delays before something that has ended is started again.

use std::time::Duration;

/// Time that it must run for the next delay to be the shortest one again, in multiples of the longest.
const SOUND_RUN_FACTOR: u32 = 2;

/// A delay that doubles with each end, up to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartDelay {
    shortest: Duration,
    longest: Duration,
    next: Duration,
}

impl RestartDelay {
    /// Delays from `shortest` to `longest`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use celeryshed_process::RestartDelay;
    /// let mut delay = RestartDelay::new(Duration::from_millis(100), Duration::from_secs(1));
    /// assert_eq!(delay.next_after(Duration::ZERO), Duration::from_millis(100));
    /// assert_eq!(delay.next_after(Duration::ZERO), Duration::from_millis(200));
    /// ```
    pub const fn new(shortest: Duration, longest: Duration) -> Self {
        Self { shortest, longest, next: shortest }
    }

    /// The delay after an end that came `run` after the start. It is the shortest one after a run of
    /// twice the longest delay.
    ///
    /// ```
    /// use std::time::Duration;
    /// use celeryshed_process::RestartDelay;
    /// let mut delay = RestartDelay::new(Duration::from_millis(600), Duration::from_secs(1));
    /// assert_eq!(delay.next_after(Duration::ZERO), Duration::from_millis(600));
    /// assert_eq!(delay.next_after(Duration::ZERO), Duration::from_secs(1));
    /// assert_eq!(delay.next_after(Duration::from_secs(2)), Duration::from_millis(600));
    /// ```
    pub fn next_after(&mut self, run: Duration) -> Duration {
        if run >= self.longest * SOUND_RUN_FACTOR {
            self.next = self.shortest;
        }
        let delay = self.next;
        self.next = (delay * 2).min(self.longest);
        delay
    }
}
