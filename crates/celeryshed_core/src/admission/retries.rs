//! Budgets that keep retries from multiplying load.

use std::collections::BTreeMap;

use celeryshed_base::CustomerName;

/// Hundredths of a retry per retry.
const PERCENT: u64 = 100;

/// Retries that a customer may use at once without requests in between.
const FEWEST_AT_ONCE: u64 = 10;

/// Percentage for work without a contract.
const UNCONTRACTED_PERCENT: u32 = 10;

/// The retry budget of each customer at one entry.
///
/// Each request adds its contract's percentage of a retry. A budget holds as many retries as the
/// customer may have requests in progress, so that each of them can be repeated once when many
/// endpoints fail together. Dispatches that continue a stream, and those after a refusal without a
/// run, draw nothing: they repeat no work.
///
/// ```
/// use celeryshed_core::admission::RetryBudgets;
/// use celeryshed_base::CustomerName;
/// let mut budgets = RetryBudgets::default();
/// let name = CustomerName::try_from("seeds").unwrap();
/// budgets.request(&name, Some((50, 1)));
/// assert!(!budgets.draw(&name));
/// budgets.request(&name, Some((50, 1)));
/// assert!(budgets.draw(&name));
/// assert!(!budgets.draw(&name));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    hundredths: BTreeMap<CustomerName, u64>,
}

impl RetryBudgets {
    /// Notes a request; `contract` is the retry percentage and the requests in progress.
    pub fn request(&mut self, customer: &CustomerName, contract: Option<(u32, u32)>) {
        let (percent, at_once) = contract.unwrap_or((UNCONTRACTED_PERCENT, 0));
        let most = u64::from(at_once).max(FEWEST_AT_ONCE) * PERCENT;
        let budget = self.hundredths.entry(customer.clone()).or_default();
        *budget = (*budget + u64::from(percent)).min(most);
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn draw(&mut self, customer: &CustomerName) -> bool {
        let Some(budget) = self.hundredths.get_mut(customer) else {
            return false;
        };
        if *budget < PERCENT {
            return false;
        }
        *budget -= PERCENT;
        true
    }
}
