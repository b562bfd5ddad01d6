//! The order in which requests wait for room.
//!
//! Load pattern: more arrives than the endpoints can start at once. Requests wait at the entry in
//! the order of arrival, shifted by rank. The shift is bounded, so no team or route starves. A
//! caller that came back too late for the full value of its answer gives way to all that may still
//! be in time: after an outage there are more of them than a nearly full fleet can make up for, and
//! in the order of arrival each new request would be refused, come back and be late in its turn.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, ServiceName, common_derives};

use crate::endpoint::EndpointId;
use crate::refusal::CALLER_RETRY_WAIT;
use crate::request::{RequestNumber, RequestProfile};

/// Time by which a rank further down gives way.
const RANK_SHIFT: Duration = Duration::from_millis(20);
/// Time by which a request that can't be in time any more gives way; it waits no longer than that.
const LATE_SHIFT: Duration = CALLER_RETRY_WAIT;

common_derives! { value:
    /// A request that waits for an endpoint.
    pub(crate) struct WaitingRequest {
        /// The request.
        pub(crate) profile: RequestProfile,
        /// Endpoints that already had it.
        pub(crate) excluded: BTreeSet<EndpointId>,
        /// When it began to wait.
        pub(crate) since: MonoTime,
    }
}

/// The requests that wait, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingLine {
    lines: BTreeMap<ServiceName, BTreeMap<(MonoTime, RequestNumber), WaitingRequest>>,
    places: BTreeMap<RequestNumber, (ServiceName, MonoTime)>,
}

impl WaitingLine {
    /// Adds a request.
    pub(crate) fn push(&mut self, number: RequestNumber, request: WaitingRequest) {
        let shift = RANK_SHIFT * u32::from(request.profile.rank)
            + if request.profile.caller_retry { LATE_SHIFT } else { Duration::ZERO };
        let order = request.profile.arrived_at + shift;
        let service = request.profile.service.clone();
        self.places.insert(number, (service.clone(), order));
        self.lines.entry(service).or_default().insert((order, number), request);
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let (service, order) = self.places.remove(&number)?;
        let line = self.lines.get_mut(&service)?;
        let request = line.remove(&(order, number));
        if line.is_empty() {
            self.lines.remove(&service);
        }
        request
    }

    /// The services that requests wait for.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        self.lines.keys().cloned().collect()
    }

    /// The requests that wait for a service, first the one that is served next.
    pub(crate) fn line(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (RequestNumber, &WaitingRequest)> + '_ {
        self.lines
            .get(service)
            .into_iter()
            .flat_map(|line| line.iter().map(|((_, number), request)| (*number, request)))
    }

    /// How many requests wait for a service.
    pub(crate) fn len(&self, service: &ServiceName) -> usize {
        self.lines.get(service).map_or(0, BTreeMap::len)
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}
