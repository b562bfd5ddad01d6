//! The list of endpoints, built from records that may arrive late, twice or out of order.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{LogOffset, MonoTime, common_derives};

use crate::endpoint::{EndpointId, ListedEndpoint};

/// Time after an outage of the store in which endpoints register again.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2200);

common_derives! { value:
    /// One record of the list; without an endpoint, the endpoint is gone.
    pub struct DirectoryRecord {
        /// The endpoint.
        pub id: EndpointId,
        /// Position of the record in the log.
        pub offset: LogOffset,
        /// The endpoint, if its record can be used.
        pub endpoint: Option<ListedEndpoint>,
    }
}

#[derive(Clone, Debug)]
struct HeldRecord {
    offset: LogOffset,
    endpoint: Option<ListedEndpoint>,
    /// Set while a removal waits for the endpoint to register again.
    removal_due: Option<MonoTime>,
}

/// The endpoints that are known.
///
/// A removal that becomes known right after an outage of the store may only mean that a
/// registration lapsed meanwhile; the endpoint then stays until it had time to register again.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::EndpointDirectory;
/// assert_eq!(EndpointDirectory::default().endpoints(MonoTime::ZERO).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    records: BTreeMap<EndpointId, HeldRecord>,
    store_failing: bool,
    recovered_at: Option<MonoTime>,
}

impl EndpointDirectory {
    /// A call to the store failed.
    pub fn store_failed(&mut self) {
        self.store_failing = true;
    }

    /// A call to the store succeeded.
    pub fn store_answered(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.store_failing) {
            self.recovered_at = Some(now);
        }
    }

    /// Takes over one record unless a later one of the same endpoint is held.
    pub fn apply(&mut self, now: MonoTime, record: DirectoryRecord) -> bool {
        let DirectoryRecord { id, offset, endpoint } = record;
        let endpoint = endpoint.filter(|endpoint| !self.is_superseded(endpoint));
        let held = self.records.get(&id);
        if held.is_some_and(|held| held.offset >= offset) {
            return false;
        }
        let known = held.and_then(|held| held.endpoint.clone());
        let grace = self.recovered_at.map(|at| at + REGISTRATION_GRACE).filter(|due| *due > now);
        let record = match (endpoint, known, grace) {
            (None, Some(known), Some(due)) => {
                HeldRecord { offset, endpoint: Some(known), removal_due: Some(due) }
            }
            (endpoint, _, _) => HeldRecord { offset, endpoint, removal_due: None },
        };
        if let Some(endpoint) = &record.endpoint {
            self.drop_predecessors(&endpoint.address, endpoint.started_at_ms);
        }
        self.records.insert(id, record);
        true
    }

    /// Whether an endpoint that started later uses the same address.
    fn is_superseded(&self, endpoint: &ListedEndpoint) -> bool {
        let endpoints = self.records.values().filter_map(|held| held.endpoint.as_ref());
        endpoints.into_iter().any(|other| {
            other.address == endpoint.address && other.started_at_ms > endpoint.started_at_ms
        })
    }

    /// Forgets endpoints that used an address before: their registrations lapse seconds later.
    fn drop_predecessors(&mut self, address: &str, started_at_ms: u64) {
        for held in self.records.values_mut() {
            let earlier = |endpoint: &mut ListedEndpoint| {
                endpoint.address == address && endpoint.started_at_ms < started_at_ms
            };
            held.endpoint.take_if(earlier);
        }
    }

    /// The endpoints that are there, by id.
    pub fn endpoints(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&EndpointId, &ListedEndpoint)> + '_ {
        self.records.iter().filter_map(move |(id, held)| {
            let removed = held.removal_due.is_some_and(|due| due <= now);
            held.endpoint.as_ref().filter(|_| !removed).map(|endpoint| (id, endpoint))
        })
    }

    /// The endpoint with this id, if it is there.
    pub fn get(&self, now: MonoTime, id: &EndpointId) -> Option<&ListedEndpoint> {
        let held = self.records.get(id)?;
        let removed = held.removal_due.is_some_and(|due| due <= now);
        held.endpoint.as_ref().filter(|_| !removed)
    }
}
