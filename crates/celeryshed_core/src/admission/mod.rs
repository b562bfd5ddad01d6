//! Limits: capacity reserved per customer, queues with deadlines, displacement, retry budgets.

mod slots;

#[cfg(test)]
mod tests;

pub use slots::{SlotClass, SlotDecision, SlotLoad, SlotRequest, SlotTable};
