//! Chooses a sidecar of a service for a booking.

use std::collections::BTreeMap;

use celeryshed_base::{InstanceName, ServiceName};
use celeryshed_core::booking::SideTarget;
use celeryshed_core::membership::{MemberState, MembershipView};
use tokio::sync::mpsc;

/// A chosen sidecar; counts as one booking in progress there until the lease is dropped.
pub(super) struct SideLease {
    pub(super) target: SideTarget,
    pub(super) address: String,
    released: mpsc::UnboundedSender<InstanceName>,
}

impl Drop for SideLease {
    fn drop(&mut self) {
        // Without a receiver, the task that owns the counts has ended.
        let _ = self.released.send(self.target.instance.clone());
    }
}

/// Bookings of this entry in progress at each sidecar.
pub(super) struct SideCounts {
    counts: BTreeMap<InstanceName, u32>,
    limit: u32,
    released: mpsc::UnboundedSender<InstanceName>,
}

impl SideCounts {
    pub(super) fn new(limit: u32, released: mpsc::UnboundedSender<InstanceName>) -> Self {
        Self { counts: BTreeMap::new(), limit, released }
    }

    /// Leases the live sidecar of `service` with the fewest bookings of this entry in progress.
    ///
    /// `None` when each one is in `avoid`, at its limit, or has not reported its incarnation yet.
    pub(super) fn choose(
        &mut self,
        view: &MembershipView,
        service: &ServiceName,
        avoid: &[InstanceName],
    ) -> Option<SideLease> {
        let eligible = view.sides.iter().filter(|(instance, side)| {
            side.service == *service
                && side.state == MemberState::Live
                && !avoid.contains(instance)
                && self.in_progress(instance) < self.limit
        });
        let candidates = eligible.filter_map(|(instance, side)| {
            let incarnation = side.incarnation?;
            let target = SideTarget { instance: instance.clone(), incarnation };
            Some((target, side.address.clone()))
        });
        let (target, address) =
            candidates.min_by_key(|(target, _)| self.in_progress(&target.instance))?;
        *self.counts.entry(target.instance.clone()).or_default() += 1;
        Some(SideLease { target, address, released: self.released.clone() })
    }

    pub(super) fn record_release(&mut self, instance: &InstanceName) {
        if let Some(count) = self.counts.get_mut(instance) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(instance);
            }
        }
    }

    fn in_progress(&self, instance: &InstanceName) -> u32 {
        self.counts.get(instance).copied().unwrap_or_default()
    }
}
