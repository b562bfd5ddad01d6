//! Ejection of endpoints that keep failing.

use std::time::Duration;

use celeryshed_base::MonoTime;

use super::options::RoutingOptions;

/// Failures of one endpoint and its ejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionState {
    failures_in_a_row: u32,
    ejections_in_a_row: u32,
    ejected_until: Option<MonoTime>,
    distrusted_until: Option<MonoTime>,
}

impl EjectionState {
    /// Whether the endpoint is ejected now.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it failed lately, so that it is used only when no other endpoint fits.
    pub(super) fn is_distrusted(&self, now: MonoTime) -> bool {
        self.distrusted_until.is_some_and(|until| now < until)
    }

    /// Notes a complete answer.
    pub(super) fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; returns whether enough failures came in a row to eject the endpoint.
    pub(super) fn fail(&mut self, options: &RoutingOptions, now: MonoTime) -> bool {
        self.failures_in_a_row += 1;
        let doublings = (self.failures_in_a_row / options.ejection_failures).min(16);
        let time = options.ejection_time.saturating_mul(1 << doublings);
        self.distrusted_until = Some(now + time.min(options.ejection_max));
        self.failures_in_a_row >= options.ejection_failures
    }

    /// Ejects the endpoint, each time in a row for twice as long.
    pub(super) fn eject(&mut self, options: &RoutingOptions, now: MonoTime) {
        let doublings = self.ejections_in_a_row.min(16);
        let time = options.ejection_time.saturating_mul(1 << doublings);
        let time: Duration = time.min(options.ejection_max);
        self.ejections_in_a_row += 1;
        // One more failure after the return ejects it again.
        self.failures_in_a_row = options.ejection_failures - 1;
        self.ejected_until = Some(now + time);
    }
}
