//! The list of endpoints, built from log records that may arrive late, twice or out of order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{LogPosition, MonoTime, ServiceName, common_derives};

use crate::endpoint::{EndpointId, ListedEndpoint};
use crate::routes::RoutingSnapshot;

/// Time after an outage of the store within which endpoints register again.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Most removed endpoints that are remembered; nearly seven times the endpoints of the largest fleet.
pub const MAX_REMOVED_ENDPOINTS: usize = 4096;

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
    /// Whether a configuration has named the endpoint's service.
    is_named: bool,
}

impl StoredRecord {
    /// The endpoint, if its removal hasn't taken effect and its service is named.
    fn registered(&self, now: MonoTime) -> Option<&ListedEndpoint> {
        self.endpoint.as_ref().filter(|_| self.is_named && !self.is_removed(now))
    }

    /// Whether a removal has taken effect, or the registration is unusable.
    fn is_removed(&self, now: MonoTime) -> bool {
        self.endpoint.is_none() || self.removal_at.is_some_and(|due| due <= now)
    }
}

/// An endpoint at an address, ordered by its start, the latest first.
type AddressClaim = (Reverse<u64>, EndpointId);

/// The registered endpoints.
///
/// Endpoints of services that no configuration has named take part in nothing. Of several endpoints
/// at an address, only the one that started last counts, since the registrations of those that used
/// the address earlier expire only seconds later.
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
    /// Services that a configuration has named; `None` before the first configuration, when all
    /// endpoints are listed.
    services: Option<BTreeSet<ServiceName>>,
    /// Endpoints of named services at the addresses that several of them have registered.
    shared_addresses: BTreeMap<String, Vec<AddressClaim>>,
    store_failing: bool,
    recovered_at: Option<MonoTime>,
}

impl EndpointDirectory {
    /// Lists the endpoints of the services that a configuration names from now on.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::{EndpointDirectory, RoutingSnapshot};
    /// let mut directory = EndpointDirectory::default();
    /// directory.add_services(&RoutingSnapshot::default());
    /// assert_eq!(directory.endpoints(MonoTime::ZERO).count(), 0);
    /// ```
    pub fn add_services(&mut self, snapshot: &RoutingSnapshot) {
        let services = self.services.get_or_insert_default();
        services.extend(snapshot.named_services().cloned());
        for stored in self.records.values_mut() {
            let endpoint = stored.endpoint.as_ref();
            stored.is_named = endpoint.is_some_and(|endpoint| services.contains(&endpoint.service));
        }
        let mut claims: BTreeMap<String, Vec<AddressClaim>> = BTreeMap::new();
        for (id, endpoint) in self.claims() {
            let claim = (Reverse(endpoint.started_at_ms), id.clone());
            claims.entry(endpoint.address.clone()).or_default().push(claim);
        }
        claims.retain(|_, claims| claims.len() > 1);
        claims.values_mut().for_each(|claims| claims.sort());
        self.shared_addresses = claims;
    }

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
        let is_removal = endpoint.is_none();
        let stored = self.records.get(&id);
        if stored.is_some_and(|stored| stored.position >= position) {
            return false;
        }
        let known = stored.and_then(|stored| stored.endpoint.clone());
        let old_address = known.as_ref().map(|known| known.address.clone());
        let grace = self.recovered_at.map(|at| at + REGISTRATION_GRACE).filter(|due| *due > now);
        let (endpoint, removal_at) = match (endpoint, known, grace) {
            (None, Some(known), Some(due)) => (Some(known), Some(due)),
            (endpoint, _, _) => (endpoint, None),
        };
        let address = endpoint.as_ref().map(|endpoint| endpoint.address.clone());
        let is_named = endpoint.as_ref().is_some_and(|endpoint| self.is_named(&endpoint.service));
        self.records.insert(id, StoredRecord { position, endpoint, removal_at, is_named });
        for address in [old_address, address].into_iter().flatten() {
            self.update_claims(address);
        }
        if is_removal {
            self.forget_removed(now);
        }
        true
    }

    /// Forgets the endpoint that was removed first if more than [`MAX_REMOVED_ENDPOINTS`] are remembered.
    fn forget_removed(&mut self, now: MonoTime) {
        let removed = self.records.iter().filter(|(_, stored)| stored.is_removed(now));
        if removed.clone().count() <= MAX_REMOVED_ENDPOINTS {
            return;
        }
        let oldest = removed.min_by_key(|(_, stored)| stored.position).map(|(id, _)| id.clone());
        let forgotten = oldest.and_then(|id| self.records.remove(&id));
        if let Some(endpoint) = forgotten.and_then(|stored| stored.endpoint) {
            self.update_claims(endpoint.address);
        }
    }

    fn is_named(&self, service: &ServiceName) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(service))
    }

    /// The endpoints of named services.
    fn claims(&self) -> impl Iterator<Item = (&EndpointId, &ListedEndpoint)> + '_ {
        let named = self.records.iter().filter(|(_, stored)| stored.is_named);
        named.filter_map(|(id, stored)| Some((id, stored.endpoint.as_ref()?)))
    }

    fn update_claims(&mut self, address: String) {
        let claims = self.claims().filter(|(_, endpoint)| endpoint.address == address);
        let claims = claims.map(|(id, endpoint)| (Reverse(endpoint.started_at_ms), id.clone()));
        let mut claims: Vec<AddressClaim> = claims.collect();
        claims.sort();
        if claims.len() > 1 {
            self.shared_addresses.insert(address, claims);
        } else {
            self.shared_addresses.remove(&address);
        }
    }

    /// Whether a registered endpoint with the same address started later.
    fn is_displaced(&self, now: MonoTime, endpoint: &ListedEndpoint) -> bool {
        let claims = self.shared_addresses.get(&endpoint.address).into_iter().flatten();
        let mut later = claims.take_while(|(Reverse(start), _)| *start > endpoint.started_at_ms);
        later.any(|(_, id)| {
            self.records.get(id).is_some_and(|stored| stored.registered(now).is_some())
        })
    }

    /// The endpoints that count, ordered by id.
    pub fn endpoints(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&EndpointId, &ListedEndpoint)> + '_ {
        self.records.iter().filter_map(move |(id, stored)| {
            let endpoint = stored.registered(now)?;
            (!self.is_displaced(now, endpoint)).then_some((id, endpoint))
        })
    }

    /// The endpoint with this id; `None` if it is unknown, removed or doesn't count.
    pub fn get(&self, now: MonoTime, id: &EndpointId) -> Option<&ListedEndpoint> {
        let endpoint = self.records.get(id)?.registered(now)?;
        (!self.is_displaced(now, endpoint)).then_some(endpoint)
    }
}
