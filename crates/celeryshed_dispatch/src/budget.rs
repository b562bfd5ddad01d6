//! The budget of repeated requests, which all entries share without talking to each other.
//!
//! Load pattern: failing endpoints multiply the load by retries. Each entry may repeat a fixed part
//! of the requests that it saw itself, and its share of a constant allowance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{MonoTime, ServiceName, common_derives};

/// Width of the buckets that make up the window.
const BUCKET: Duration = Duration::from_millis(500);
/// Part of the stated bounds that is used; the rest covers requests that end up at another entry.
const USED_PART: f64 = 0.7;

common_derives! { value:
    /// Bounds of the repeats to one service.
    #[derive(Copy)]
    pub struct BudgetLimits {
        /// Repeats for a hundred requests.
        pub percent: u32,
        /// Repeats allowed on top, over all entries.
        pub allowance: u32,
        /// The window that both count in.
        pub window: Duration,
    }
}

#[derive(Clone, Copy, Debug)]
struct CountBucket {
    from: MonoTime,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats, and says whether one more repeat fits.
///
/// ```
/// use celeryshed_base::{MonoTime, ServiceName};
/// use celeryshed_dispatch::{BudgetLimits, RetryBudget};
/// use std::time::Duration;
/// let limits = BudgetLimits { percent: 20, allowance: 10, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(limits);
/// let service = ServiceName::try_from("orders").unwrap();
/// assert!(budget.try_retry(MonoTime::ZERO, &service, 1));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    services: BTreeMap<ServiceName, VecDeque<CountBucket>>,
}

impl RetryBudget {
    /// A budget with nothing counted yet.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, services: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: MonoTime, service: &ServiceName) {
        self.bucket(now, service).requests += 1;
    }

    /// Takes one repeat out of the budget, if it fits; `entries` share the allowance.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceName, entries: u32) -> bool {
        let limits = self.limits;
        self.bucket(now, service);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let earned = f64::from(requests) * f64::from(limits.percent) / 100.0;
        let share = f64::from(limits.allowance) / f64::from(entries.max(1));
        let fits = f64::from(repeats) + 1.0 <= (earned + share) * USED_PART;
        if fits {
            self.bucket(now, service).repeats += 1;
        }
        fits
    }

    fn bucket(&mut self, now: MonoTime, service: &ServiceName) -> &mut CountBucket {
        let window = self.limits.window;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|bucket| now - bucket.from > window) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| now - bucket.from >= BUCKET) {
            buckets.push_back(CountBucket { from: now, requests: 0, repeats: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
