//! The endpoints that an entry chooses among.

use std::collections::{BTreeMap, BTreeSet};

use celeryshed_base::{InstanceName, ServiceName};

use crate::membership::{MemberState, MemberView};

/// What a request needs from an endpoint.
#[derive(Clone, Debug)]
pub struct RoutingNeed {
    /// The service.
    pub service: ServiceName,
    /// Endpoints that failed or refused the request before.
    pub excluded: BTreeSet<InstanceName>,
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingChoice {
    /// Its instance.
    pub instance: InstanceName,
    /// IP address and port of its sidecar.
    pub address: String,
}

/// Endpoints and the requests sent to them.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    in_flight: BTreeMap<InstanceName, u32>,
}

impl EndpointTable {
    /// The endpoint with the fewest requests in progress.
    pub fn pick(&self, need: &RoutingNeed, view: &MemberView) -> Option<RoutingChoice> {
        let candidates = view.sides.iter().filter(|(instance, side)| {
            side.service == need.service
                && side.state == MemberState::Live
                && !need.excluded.contains(*instance)
        });
        let best = candidates.min_by_key(|(instance, _)| self.in_flight.get(*instance));
        best.map(|(instance, side)| RoutingChoice {
            instance: instance.clone(),
            address: side.address.clone(),
        })
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, instance: &InstanceName) {
        *self.in_flight.entry(instance.clone()).or_default() += 1;
    }

    /// Notes that a request ended.
    pub fn ended(&mut self, instance: &InstanceName) {
        if let Some(count) = self.in_flight.get_mut(instance) {
            *count = count.saturating_sub(1);
        }
    }
}
