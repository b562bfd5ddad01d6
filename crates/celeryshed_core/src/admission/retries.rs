//! Retry budgets, which limit the load that retries add when endpoints fail.

use std::collections::BTreeMap;

use celeryshed_base::TeamName;

/// Budgets count hundredths, so that a request can add a percentage of a retry.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Smallest capacity of a budget, for teams with few or no contracted requests in progress.
const MIN_CAPACITY_RETRIES: u64 = 10;

/// Initial budget of three retries: with an empty budget, the first failure after an entry's start
/// always reached the caller.
const INITIAL_HUNDREDTHS: u64 = 3 * HUNDREDTHS_PER_RETRY;

/// Retry budget per request of a team without a contract, as a percentage of one retry.
const UNCONTRACTED_RETRY_PERCENT: u32 = 10;

/// Retry budgets of all teams at one entry.
///
/// A budget starts with three retries, and each request adds the percentage of a retry that the
/// team's contract states. Its capacity is ten retries, or the number of requests that the contract
/// allows in progress if that is larger, so that each of them can be repeated once when many
/// endpoints fail together. Attempts that resume a stream or follow a refusal without a run are not
/// charged, because they repeat no work.
///
/// ```
/// use celeryshed_core::admission::RetryBudgets;
/// use celeryshed_base::TeamName;
/// let mut budgets = RetryBudgets::default();
/// let name = TeamName::try_from("seeds").unwrap();
/// budgets.request(&name, Some((10, 1)));
/// let retries = (0..5).filter(|_| budgets.try_withdraw(&name)).count();
/// assert_eq!(retries, 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budget_hundredths: BTreeMap<TeamName, u64>,
}

impl RetryBudgets {
    /// Adds a request's part to the budget of `team`.
    ///
    /// `contract` holds the contract's retry percentage and its limit of requests in progress;
    /// `None` for a team without a contract.
    pub fn request(&mut self, team: &TeamName, contract: Option<(u32, u32)>) {
        let (percent, capacity_retries) = contract.unwrap_or((UNCONTRACTED_RETRY_PERCENT, 0));
        let capacity = u64::from(capacity_retries).max(MIN_CAPACITY_RETRIES) * HUNDREDTHS_PER_RETRY;
        let budget = self.budget_hundredths.entry(team.clone()).or_insert(INITIAL_HUNDREDTHS);
        *budget = (*budget + u64::from(percent)).min(capacity);
    }

    /// Withdraws one retry from the budget of `team`; returns `false` if less than one is left.
    pub fn try_withdraw(&mut self, team: &TeamName) -> bool {
        let Some(budget) = self.budget_hundredths.get_mut(team) else {
            return false;
        };
        if *budget < HUNDREDTHS_PER_RETRY {
            return false;
        }
        *budget -= HUNDREDTHS_PER_RETRY;
        true
    }
}
