//! Request counts per team in sliding windows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{MonoTime, TeamName, common_derives};

/// Window lengths in ascending order: 5 minutes, 30 minutes, 1 hour and 6 hours.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1800),
    Duration::from_secs(3600),
    Duration::from_secs(21_600),
];

/// Length of a bucket, and so the resolution of a window; the longest window spans 720 buckets.
const BUCKET_SECONDS: u64 = 30;

/// Basis points in 100%.
const BASIS_POINTS_PER_UNIT: f64 = 10_000.0;

common_derives! { value:
    /// Request counts of one team in one window.
    #[derive(Copy, Default)]
    pub struct WindowCount {
        /// Requests that the objective covers, including the bad ones.
        pub total: u64,
        /// Requests that failed or missed the objective's latency target.
        pub bad: u64,
    }
}

impl WindowCount {
    /// Returns the ratio of the actual to the allowed share of bad requests.
    ///
    /// At 1, the window's error budget is exactly used up. Without requests the rate is 0; an
    /// objective of 100% makes the rate of any bad request infinite.
    ///
    /// ```
    /// use celeryshed_core::burn::WindowCount;
    /// let count = WindowCount { total: 100, bad: 2 };
    /// assert!((count.burn_rate(9900) - 2.0).abs() < 1e-9);
    /// ```
    pub fn burn_rate(&self, objective_basis_points: u32) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let allowed =
            (BASIS_POINTS_PER_UNIT - f64::from(objective_basis_points)) / BASIS_POINTS_PER_UNIT;
        let actual = self.bad as f64 / self.total as f64;
        if allowed > 0.0 {
            actual / allowed
        } else if self.bad == 0 {
            0.0
        } else {
            f64::INFINITY
        }
    }

    /// Returns the unused fraction of the window's error budget; negative if it is exceeded.
    pub fn budget_left(&self, objective_basis_points: u32) -> f64 {
        1.0 - self.burn_rate(objective_basis_points)
    }
}

#[derive(Clone, Copy, Debug)]
struct CountBucket {
    /// Number of bucket lengths since time zero.
    number: u64,
    count: WindowCount,
}

/// Request counts of all teams, kept for the longest of [`BURN_WINDOWS`].
///
/// ```
/// use celeryshed_core::burn::{BURN_WINDOWS, BurnTable};
/// use celeryshed_base::{TeamName, MonoTime};
/// let mut table = BurnTable::default();
/// let name = TeamName::try_from("seeds").unwrap();
/// table.record(&name, false, MonoTime::ZERO);
/// assert_eq!(table.count(&name, BURN_WINDOWS[0], MonoTime::ZERO).bad, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BurnTable {
    teams: BTreeMap<TeamName, VecDeque<CountBucket>>,
}

impl BurnTable {
    /// Counts a request that ended at `now`; `good` tells whether it met the objective.
    pub fn record(&mut self, team: &TeamName, good: bool, now: MonoTime) {
        let number = bucket_number(now);
        let oldest = oldest_bucket_number(BURN_WINDOWS[BURN_WINDOWS.len() - 1], now);
        let buckets = self.teams.entry(team.clone()).or_default();
        while buckets.front().is_some_and(|bucket| bucket.number < oldest) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.number < number) {
            buckets.push_back(CountBucket { number, count: WindowCount::default() });
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.count.total += 1;
            bucket.count.bad += u64::from(!good);
        }
    }

    /// Returns the counts of `team` in the `window` that ends at `now`; zeros for an unknown team.
    pub fn count(&self, team: &TeamName, window: Duration, now: MonoTime) -> WindowCount {
        let oldest = oldest_bucket_number(window, now);
        let buckets = self.teams.get(team).into_iter().flatten();
        let counted = buckets.filter(|bucket| bucket.number >= oldest);
        counted.fold(WindowCount::default(), |sum, bucket| WindowCount {
            total: sum.total + bucket.count.total,
            bad: sum.bad + bucket.count.bad,
        })
    }

    /// Teams that had a request recorded, in name order.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.keys()
    }
}

fn bucket_number(now: MonoTime) -> u64 {
    now.0.as_secs() / BUCKET_SECONDS
}

/// Returns the first bucket of a window whose last bucket contains `now`.
fn oldest_bucket_number(window: Duration, now: MonoTime) -> u64 {
    (bucket_number(now) + 1).saturating_sub(window.as_secs() / BUCKET_SECONDS)
}
