//! A check of the staged pieces, whose result holds for a limited time.

use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime};

/// A check that found the staged pieces valid.
///
/// Pieces may be damaged after they were read, so a load order that relies on the check must be sent
/// before it expires.
///
/// ```
/// use celeryshed_base::ClockSource;
/// use celeryshed_stager::PieceCheck;
/// use std::time::Duration;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let clock = ClockSource::start();
///     assert!(PieceCheck::begin(clock, Duration::from_secs(2)).is_valid());
///     assert!(!PieceCheck::begin(clock, Duration::ZERO).is_valid());
/// });
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PieceCheck {
    clock: ClockSource,
    started_at: MonoTime,
    lifetime: Duration,
}

impl PieceCheck {
    /// A check that begins now and expires after `lifetime`. It begins with the first read, since a
    /// piece may be damaged while the others are read.
    pub fn begin(clock: ClockSource, lifetime: Duration) -> Self {
        Self { clock, started_at: clock.now(), lifetime }
    }

    /// Time since the check began, including time in which the machine was suspended.
    pub fn age(&self) -> Duration {
        self.clock.now() - self.started_at
    }

    /// Whether a load order that is sent now may rely on the check.
    pub fn is_valid(&self) -> bool {
        self.age() < self.lifetime
    }
}
