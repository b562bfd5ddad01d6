//! The queue of requests that wait for a free slot.
//!
//! Load pattern: more requests arrive than the endpoints can start. Requests wait at the entry in
//! order of arrival, and lower priorities are shifted back by a bounded time, so that no team or
//! route starves. A caller's retry, which is too late for the full value of its answer, is queued
//! behind the requests that can still be in time. After an outage a nearly full fleet can't work
//! off all retries: in plain order of arrival every new request would be refused, be sent again and
//! be late as well.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, ServiceName, common_derives};

use crate::endpoint::EndpointId;
use crate::refusal::MAX_CALLER_RETRY_WAIT;
use crate::request::{RequestNumber, RequestProfile};

/// Time by which a request is shifted back for each step of lower priority.
const PRIORITY_SHIFT: Duration = Duration::from_millis(20);
/// Time by which a caller's retry is shifted back. It equals the longest wait of such a request, so
/// first attempts that arrive during the wait are served earlier.
const CALLER_RETRY_SHIFT: Duration = MAX_CALLER_RETRY_WAIT;

common_derives! { value:
    /// A request that waits for an endpoint.
    pub(crate) struct WaitingRequest {
        pub(crate) profile: RequestProfile,
        /// Endpoints that the request was already sent to.
        pub(crate) excluded: BTreeSet<EndpointId>,
        /// Time at which it was queued.
        pub(crate) queued_at: MonoTime,
        /// Whether it duplicates a request in progress, and so takes a free slot or is refused.
        pub(crate) is_duplicate: bool,
    }
}

/// Position of a request in the queue of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Duplicates come last, so that they take no slot that a waiting request can take.
    is_duplicate: bool,
    sort_key: MonoTime,
    number: RequestNumber,
}

/// The waiting requests of each service, ordered by arrival and priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    queues: BTreeMap<ServiceName, BTreeMap<QueuePosition, WaitingRequest>>,
    positions: BTreeMap<RequestNumber, (ServiceName, QueuePosition)>,
}

impl WaitingQueue {
    pub(crate) fn push(&mut self, number: RequestNumber, request: WaitingRequest) {
        let shift = PRIORITY_SHIFT * u32::from(request.profile.rank)
            + if request.profile.caller_retry { CALLER_RETRY_SHIFT } else { Duration::ZERO };
        let sort_key = request.profile.arrived_at + shift;
        let service = request.profile.service.clone();
        let position = QueuePosition { is_duplicate: request.is_duplicate, sort_key, number };
        self.positions.insert(number, (service.clone(), position));
        self.queues.entry(service).or_default().insert(position, request);
    }

    /// Removes and returns a request; `None` if it isn't waiting.
    pub(crate) fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let (service, position) = self.positions.remove(&number)?;
        let queue = self.queues.get_mut(&service)?;
        let request = queue.remove(&position);
        if queue.is_empty() {
            self.queues.remove(&service);
        }
        request
    }

    /// The services that have waiting requests.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        self.queues.keys().cloned().collect()
    }

    /// The waiting requests of a service, next one first.
    pub(crate) fn requests(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (RequestNumber, &WaitingRequest)> + '_ {
        self.queues
            .get(service)
            .into_iter()
            .flat_map(|queue| queue.iter().map(|(position, request)| (position.number, request)))
    }

    /// Number of waiting requests of a service.
    pub(crate) fn len(&self, service: &ServiceName) -> usize {
        self.queues.get(service).map_or(0, BTreeMap::len)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
