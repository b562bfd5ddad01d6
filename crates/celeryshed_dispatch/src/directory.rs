//! The list of endpoints, built from log records that may arrive late, twice or out of order.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{LogPosition, MonoTime, common_derives};

use crate::endpoint::{EndpointId, ListedEndpoint};

/// Time after an outage of the store within which endpoints register again.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2200);

common_derives! { value:
    /// A change to one endpoint in the list.
    pub struct DirectoryRecord {
        /// The endpoint that the record is about.
        pub id: EndpointId,
        /// Position of the record in the log.
        pub position: LogPosition,
        /// State of the endpoint; `None` if it was removed or its record is unusable.
        pub endpoint: Option<ListedEndpoint>,
    }
}

#[derive(Clone, Debug)]
struct StoredRecord {
    position: LogPosition,
    endpoint: Option<ListedEndpoint>,
    /// When the removal takes effect unless the endpoint registers again; `None` without a removal.
    removal_at: Option<MonoTime>,
}

/// The registered endpoints.
///
/// A removal right after an outage of the store may only mean that the registration expired during
/// the outage. The endpoint then stays in the list until it had time to register again.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::EndpointDirectory;
/// assert_eq!(EndpointDirectory::default().endpoints(MonoTime::ZERO).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    records: BTreeMap<EndpointId, StoredRecord>,
    store_failing: bool,
    recovered_at: Option<MonoTime>,
}

impl EndpointDirectory {
    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.store_failing = true;
    }

    /// Records that a call to the store succeeded, which ends an outage.
    pub fn record_store_success(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.store_failing) {
            self.recovered_at = Some(now);
        }
    }

    /// Records that the store was restored from a copy, which may lack registrations of running
    /// endpoints. They register again as after an outage.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::EndpointDirectory;
    /// let mut directory = EndpointDirectory::default();
    /// directory.record_restore(MonoTime::ZERO);
    /// assert_eq!(directory.endpoints(MonoTime::ZERO).count(), 0);
    /// ```
    pub fn record_restore(&mut self, now: MonoTime) {
        self.recovered_at = Some(now);
    }

    /// Records that endpoints renewed their registrations while calls to the store failed: only this
    /// process was cut off, and the endpoints that were removed until now have left.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::EndpointDirectory;
    /// let mut directory = EndpointDirectory::default();
    /// directory.record_store_failure();
    /// directory.record_store_success(MonoTime::ZERO);
    /// directory.record_renewals();
    /// assert_eq!(directory.endpoints(MonoTime::ZERO).count(), 0);
    /// ```
    pub fn record_renewals(&mut self) {
        for stored in self.records.values_mut() {
            if stored.removal_at.take().is_some() {
                stored.endpoint = None;
            }
        }
    }

    /// Applies a record, and returns whether it is newer than the stored one of the same endpoint.
    pub fn apply(&mut self, now: MonoTime, record: DirectoryRecord) -> bool {
        let DirectoryRecord { id, position, endpoint } = record;
        let endpoint = endpoint.filter(|endpoint| !self.is_superseded(endpoint));
        let stored = self.records.get(&id);
        if stored.is_some_and(|stored| stored.position >= position) {
            return false;
        }
        let known = stored.and_then(|stored| stored.endpoint.clone());
        let grace = self.recovered_at.map(|at| at + REGISTRATION_GRACE).filter(|due| *due > now);
        let record = match (endpoint, known, grace) {
            (None, Some(known), Some(due)) => {
                StoredRecord { position, endpoint: Some(known), removal_at: Some(due) }
            }
            (endpoint, _, _) => StoredRecord { position, endpoint, removal_at: None },
        };
        if let Some(endpoint) = &record.endpoint {
            self.remove_predecessors(&endpoint.address, endpoint.started_at_ms);
        }
        self.records.insert(id, record);
        true
    }

    /// Whether an endpoint with the same address started later.
    fn is_superseded(&self, endpoint: &ListedEndpoint) -> bool {
        let endpoints = self.records.values().filter_map(|stored| stored.endpoint.as_ref());
        endpoints.into_iter().any(|other| {
            other.address == endpoint.address && other.started_at_ms > endpoint.started_at_ms
        })
    }

    /// Removes endpoints that used the address earlier, since their registrations expire only
    /// seconds later.
    fn remove_predecessors(&mut self, address: &str, started_at_ms: u64) {
        for stored in self.records.values_mut() {
            let earlier = |endpoint: &mut ListedEndpoint| {
                endpoint.address == address && endpoint.started_at_ms < started_at_ms
            };
            stored.endpoint.take_if(earlier);
        }
    }

    /// The endpoints whose removal hasn't taken effect, ordered by id.
    pub fn endpoints(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&EndpointId, &ListedEndpoint)> + '_ {
        self.records.iter().filter_map(move |(id, stored)| {
            let removed = stored.removal_at.is_some_and(|due| due <= now);
            stored.endpoint.as_ref().filter(|_| !removed).map(|endpoint| (id, endpoint))
        })
    }

    /// The endpoint with this id; `None` if it is unknown or removed.
    pub fn get(&self, now: MonoTime, id: &EndpointId) -> Option<&ListedEndpoint> {
        let stored = self.records.get(id)?;
        let removed = stored.removal_at.is_some_and(|due| due <= now);
        stored.endpoint.as_ref().filter(|_| !removed)
    }
}
