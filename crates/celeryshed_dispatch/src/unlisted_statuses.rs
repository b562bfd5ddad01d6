//! Statuses of endpoints that are missing in the list at the moment.
//!
//! The registration of an endpoint that stands still expires, and comes back when it goes on. What its
//! sidecar reports meanwhile, such as that it is closed, must count from then on.

use celeryshed_base::MonoTime;

use crate::bounded_map::BoundedMap;
use crate::endpoint::EndpointStatus;
use crate::peers::PeerAddress;

/// Most statuses that are kept of endpoints that were listed, and of others.
const MAX_STATUSES: usize = 1024;

/// The last status of each endpoint that isn't listed, by address.
#[derive(Clone, Debug)]
pub(crate) struct UnlistedStatuses {
    /// Those that came while the endpoint was listed.
    listed: BoundedMap<(), String, UnlistedStatus>,
    /// Later ones, or those of endpoints that never were listed, by sender.
    told: BoundedMap<PeerAddress, String, UnlistedStatus>,
}

impl Default for UnlistedStatuses {
    fn default() -> Self {
        Self { listed: BoundedMap::new(MAX_STATUSES), told: BoundedMap::new(MAX_STATUSES) }
    }
}

#[derive(Clone, Debug)]
struct UnlistedStatus {
    /// Start of the endpoint that it belongs to, in Unix milliseconds; `None` if it isn't known.
    started_at_ms: Option<u64>,
    status: EndpointStatus,
    kept_until: MonoTime,
}

impl UnlistedStatuses {
    /// Keeps the status of an endpoint that is removed from the list.
    pub(crate) fn keep_listed(
        &mut self,
        now: MonoTime,
        address: String,
        started_at_ms: u64,
        status: EndpointStatus,
        kept_until: MonoTime,
    ) {
        self.listed.retain(|_, known| now < known.kept_until);
        if now < kept_until {
            let started_at_ms = Some(started_at_ms);
            let status = UnlistedStatus { started_at_ms, status, kept_until };
            self.listed.insert((), address, status);
        }
    }

    /// Keeps a status that `sender` told, in place of an earlier one of the same address.
    pub(crate) fn keep_told(
        &mut self,
        now: MonoTime,
        sender: PeerAddress,
        address: String,
        status: EndpointStatus,
        kept_until: MonoTime,
    ) {
        self.told.retain(|_, known| now < known.kept_until);
        if now < kept_until {
            let status = UnlistedStatus { started_at_ms: None, status, kept_until };
            self.told.insert(sender, address, status);
        }
    }

    /// Number of told statuses that were dropped at the limit since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        self.told.take_dropped()
    }

    /// Removes the status of an endpoint that is listed again; `None` if it is outdated or belongs to
    /// another start.
    pub(crate) fn take(
        &mut self,
        now: MonoTime,
        address: &str,
        started_at_ms: u64,
    ) -> Option<EndpointStatus> {
        let address = address.to_owned();
        let listed = self.listed.remove(&address);
        let told = self.told.remove(&address).filter(|known| now < known.kept_until);
        let known = told.or(listed)?;
        let is_same_start = known.started_at_ms.is_none_or(|start| start == started_at_ms);
        (is_same_start && now < known.kept_until).then_some(known.status)
    }
}
