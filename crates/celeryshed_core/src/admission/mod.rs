//! Admission control: team limits, wait queues, endpoint slots and retry budgets.

mod limits;
mod queue;
mod retries;
mod slots;

#[cfg(test)]
pub(crate) mod tests;

pub use limits::{AdmissionGrant, TeamLimits, admitted_share_bounds};
pub use queue::{QueueItem, QueueOptions, QueueRefusal, WaitQueue};
pub use retries::RetryBudgets;
pub use slots::{SlotClass, SlotDecision, SlotLoad, SlotRequest, SlotTable, headroom_of};
