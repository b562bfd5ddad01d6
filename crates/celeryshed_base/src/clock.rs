//! Monotonic and wall-clock time: the runtime's clock, which tests can pause, and the time in which
//! the machine was suspended.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

/// Longest time between the end of a suspension and its effect on [`ClockSource::sleep_until`].
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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

    /// The time `duration` later, limited to the largest time.
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
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
/// control them, and by the time in which the machine is suspended, which tokio's clock leaves out.
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
    /// Total time in which the machine was suspended; never decreases.
    suspended: fn() -> Duration,
    suspended_at_start: Duration,
}

impl ClockSource {
    /// Starts a clock at the current wall-clock time of the system.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::start_at(UnixMillis(since_epoch.as_millis() as u64))
    }

    /// Starts a clock at a given wall-clock time, for reproducible tests.
    pub fn start_at(started_unix: UnixMillis) -> Self {
        Self::start_with(started_unix, system_suspended)
    }

    /// Starts a clock that takes the total time of suspensions from a function, for tests. Its
    /// value must never decrease.
    pub fn start_with(started_unix: UnixMillis, suspended: fn() -> Duration) -> Self {
        let suspended_at_start = suspended();
        Self { started: Instant::now(), started_unix, suspended, suspended_at_start }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.elapsed())
    }

    /// Current wall-clock time; it ignores later adjustments of the system clock.
    pub fn unix_now(&self) -> UnixMillis {
        UnixMillis(self.started_unix.0 + self.elapsed().as_millis() as u64)
    }

    /// Waits until `at`. Unlike tokio's timers, it doesn't end late by the time in which the machine
    /// is suspended meanwhile.
    pub async fn sleep_until(&self, at: MonoTime) {
        loop {
            let remaining = at - self.now();
            if remaining.is_zero() {
                return;
            }
            sleep(remaining.min(SUSPENSION_CHECK_INTERVAL)).await;
        }
    }

    fn elapsed(&self) -> Duration {
        self.started.elapsed() + (self.suspended)().saturating_sub(self.suspended_at_start)
    }
}

/// Total time in which the machine was suspended since it was booted.
fn system_suspended() -> Duration {
    static LONGEST_NANOS: AtomicU64 = AtomicU64::new(0);
    // A preemption between the two reads makes the difference smaller, so the largest one counts.
    let since_boot = duration_of(clock_gettime(ClockId::Boottime));
    let awake = duration_of(clock_gettime(ClockId::Monotonic));
    let nanos = since_boot.saturating_sub(awake).as_nanos() as u64;
    Duration::from_nanos(LONGEST_NANOS.fetch_max(nanos, Ordering::Relaxed).max(nanos))
}

fn duration_of(time: Timespec) -> Duration {
    time.try_into().unwrap_or_default()
}
