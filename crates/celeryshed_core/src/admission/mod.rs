//! Limits: capacity reserved per customer, queues with deadlines, displacement, retry budgets.

mod limits;
mod queue;
mod retries;
mod slots;

#[cfg(test)]
mod tests;

pub use limits::{AdmissionGrant, CustomerLimits, admitted_share_bounds};
pub use queue::{QueueItem, QueueOptions, QueueRefusal, WaitQueue};
pub use retries::RetryBudgets;
pub use slots::{SlotClass, SlotDecision, SlotLoad, SlotRequest, SlotTable, headroom_of};
