//! Budgets that keep retries from multiplying load.

use std::collections::BTreeMap;

use celeryshed_base::TeamName;

/// Hundredths of a retry per retry.
const PERCENT: u64 = 100;

/// Retries that a team may use at once without requests in between.
const FEWEST_AT_ONCE: u64 = 10;

/// Hundredths of a retry that a team has before its first request: with none, the first failure
/// after an entry's start always reached the caller.
const AT_START: u64 = 3 * PERCENT;

/// Percentage for work without a contract.
const UNCONTRACTED_PERCENT: u32 = 10;

/// The retry budget of each team at one entry.
///
/// A budget starts with three retries; each request adds its contract's percentage of a retry. A budget holds as many retries as the
/// team may have requests in progress, so that each of them can be repeated once when many
/// endpoints fail together. Dispatches that continue a stream, and those after a refusal without a
/// run, draw nothing: they repeat no work.
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
    hundredths: BTreeMap<TeamName, u64>,
}

impl RetryBudgets {
    /// Notes a request; `contract` is the retry percentage and the requests in progress.
    pub fn request(&mut self, team: &TeamName, contract: Option<(u32, u32)>) {
        let (percent, at_once) = contract.unwrap_or((UNCONTRACTED_PERCENT, 0));
        let most = u64::from(at_once).max(FEWEST_AT_ONCE) * PERCENT;
        let budget = self.hundredths.entry(team.clone()).or_insert(AT_START);
        *budget = (*budget + u64::from(percent)).min(most);
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn try_withdraw(&mut self, team: &TeamName) -> bool {
        let Some(budget) = self.hundredths.get_mut(team) else {
            return false;
        };
        if *budget < PERCENT {
            return false;
        }
        *budget -= PERCENT;
        true
    }
}
