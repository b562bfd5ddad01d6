//! Ejection of endpoints that fail repeatedly.

use std::time::Duration;

use celeryshed_base::MonoTime;

use super::options::RoutingOptions;

/// Recent failures of one endpoint and the resulting ejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionState {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<MonoTime>,
    deprioritized_until: Option<MonoTime>,
}

impl EjectionState {
    /// Whether the endpoint is ejected at `now` and must get no requests.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint failed recently and is used only if no other endpoint is eligible.
    pub(super) fn is_deprioritized(&self, now: MonoTime) -> bool {
        self.deprioritized_until.is_some_and(|until| now < until)
    }

    /// Records a complete answer, which clears all failures and ejections.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; returns whether there were enough consecutive failures for an ejection.
    pub(super) fn record_failure(&mut self, options: &RoutingOptions, now: MonoTime) -> bool {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures / options.ejection_failures).min(16);
        let duration = options.ejection_time.saturating_mul(1 << doublings);
        self.deprioritized_until = Some(now + duration.min(options.ejection_max));
        self.consecutive_failures >= options.ejection_failures
    }

    /// Ejects the endpoint; each consecutive ejection lasts twice as long.
    pub(super) fn eject(&mut self, options: &RoutingOptions, now: MonoTime) {
        let doublings = self.consecutive_ejections.min(16);
        let duration = options.ejection_time.saturating_mul(1 << doublings);
        let duration: Duration = duration.min(options.ejection_max);
        self.consecutive_ejections += 1;
        // After this ejection a single further failure ejects the endpoint again.
        self.consecutive_failures = options.ejection_failures - 1;
        self.ejected_until = Some(now + duration);
    }
}
