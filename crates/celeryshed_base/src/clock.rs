//! Monotonic and wall-clock time, both read from the runtime's clock, which tests can pause.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Monotonic time since the start of the process. The decision logic receives it as an argument and
/// reads no clock itself.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use std::time::Duration;
/// let start = MonoTime::ZERO + Duration::from_secs(2);
/// assert_eq!(start + Duration::from_secs(1) - start, Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonoTime(pub Duration);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(Duration::ZERO);
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl Sub for MonoTime {
    type Output = Duration;

    /// The time since `earlier`; zero when `earlier` is in the future.
    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    /// The time `duration` earlier, limited to the start of the process.
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

/// Wall-clock time in milliseconds since 1970-01-01 UTC.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// The time since `earlier`; zero when `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Source of [`MonoTime`] and [`UnixMillis`]. Both advance with tokio's clock, so that tests can
/// control them.
///
/// ```
/// use celeryshed_base::ClockSource;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let clock = ClockSource::start();
///     assert!(clock.now() <= clock.now());
/// });
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ClockSource {
    started: Instant,
    started_unix: UnixMillis,
}

impl ClockSource {
    /// Starts a clock at the current wall-clock time of the system.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::start_at(UnixMillis(since_epoch.as_millis() as u64))
    }

    /// Starts a clock at a given wall-clock time, for reproducible tests.
    pub fn start_at(started_unix: UnixMillis) -> Self {
        Self { started: Instant::now(), started_unix }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.started.elapsed())
    }

    /// Current wall-clock time; it ignores later adjustments of the system clock.
    pub fn unix_now(&self) -> UnixMillis {
        UnixMillis(self.started_unix.0 + self.started.elapsed().as_millis() as u64)
    }
}
