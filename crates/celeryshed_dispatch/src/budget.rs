//! The retry budget of a service, which all entries share without exchanging messages.
//!
//! Load pattern: failing endpoints multiply the load by retries. Each entry may retry a fixed
//! percentage of the requests that it received itself, plus its share of a constant allowance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{MonoTime, ServiceName, common_derives};

/// Width of the time buckets in which requests and retries are counted.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);
/// Fraction of the configured limits that is used; the rest is a reserve for requests that end up
/// at another entry.
const USED_LIMIT_FRACTION: f64 = 0.7;

common_derives! { value:
    /// Limits on the retries to one service.
    #[derive(Copy)]
    pub struct BudgetLimits {
        /// Retries allowed per 100 requests.
        pub retry_percent: u32,
        /// Additional retries allowed in each window, summed over all entries.
        pub retry_allowance: u32,
        /// Sliding window in which requests and retries are counted.
        pub window: Duration,
    }
}

#[derive(Clone, Copy, Debug)]
struct CountBucket {
    started_at: MonoTime,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries, and decides whether another retry is allowed.
///
/// ```
/// use celeryshed_base::{MonoTime, ServiceName};
/// use celeryshed_dispatch::{BudgetLimits, RetryBudget};
/// use std::time::Duration;
/// let limits = BudgetLimits {
///     retry_percent: 20,
///     retry_allowance: 10,
///     window: Duration::from_secs(10),
/// };
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
    /// Creates a budget without any counted requests.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, services: BTreeMap::new() }
    }

    /// Counts a request that arrived from a caller. Requests that this entry sends again are not
    /// counted here.
    pub fn count_request(&mut self, now: MonoTime, service: &ServiceName) {
        self.current_bucket(now, service).requests += 1;
    }

    /// Counts one retry if the budget allows it, and returns whether it does.
    ///
    /// `entries` is the number of entries that share the allowance; zero is treated as one.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceName, entries: u32) -> bool {
        let limits = self.limits;
        self.current_bucket(now, service);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let percentage_budget = f64::from(requests) * f64::from(limits.retry_percent) / 100.0;
        let allowance_share = f64::from(limits.retry_allowance) / f64::from(entries.max(1));
        let is_allowed =
            f64::from(retries) + 1.0 <= (percentage_budget + allowance_share) * USED_LIMIT_FRACTION;
        if is_allowed {
            self.current_bucket(now, service).retries += 1;
        }
        is_allowed
    }

    fn current_bucket(&mut self, now: MonoTime, service: &ServiceName) -> &mut CountBucket {
        let window = self.limits.window;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|bucket| now - bucket.started_at > window) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| now - bucket.started_at >= BUCKET_WIDTH) {
            buckets.push_back(CountBucket { started_at: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
