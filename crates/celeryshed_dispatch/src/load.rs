//! Load of an endpoint: the requests of this entry plus those reported by the other entries.
//!
//! Load pattern: several entries place requests on engines that are nearly full. An entry that
//! learns late of the others' placements sends its requests to the same endpoints. Each entry
//! therefore reports changes many times a second, most often to the entries of its region, and its
//! whole load at longer intervals, since messages may be lost.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, common_derives};

use crate::endpoint::EndpointHash;
use crate::pacing::PeerAudience;
use crate::peers::PeerAddress;

common_derives! { value:
    /// Which endpoints a load report covers.
    #[derive(Copy)]
    pub enum LoadScope {
        /// Only endpoints whose load changed since the last report.
        Changes,
        /// All endpoints; an endpoint that the report leaves out has no load.
        Whole,
    }

    /// The load of one entry on an endpoint.
    #[derive(Copy, Default)]
    pub struct PeerLoad {
        /// Requests in progress.
        pub running: u32,
        /// Prompt tokens of the requests whose first event has not arrived yet.
        pub unread_tokens: u32,
    }

    /// A load report of another entry.
    pub struct LoadReport {
        /// Endpoints that the report covers.
        pub scope: LoadScope,
        /// The reported load of each covered endpoint.
        pub loads: BTreeMap<EndpointHash, PeerLoad>,
        /// Time for which the load counts, unless a newer report arrives.
        pub lifetime: Duration,
        /// Availability zone of the reporting entry; `None` if the report leaves it out.
        pub zone: Option<AvailabilityZone>,
    }

    /// The load of all entries on one endpoint.
    ///
    /// ```
    /// use celeryshed_dispatch::EndpointLoad;
    /// let mut load = EndpointLoad::default();
    /// load.started(800);
    /// assert_eq!(load.total().running, 1);
    /// load.answered(800);
    /// assert_eq!(load.total().unread_tokens, 0);
    /// ```
    #[derive(Default)]
    pub struct EndpointLoad {
        own: LoadSum,
        /// The own load as last reported to each audience.
        last_reported: BTreeMap<PeerAudience, PeerLoad>,
        peers: BTreeMap<PeerAddress, PeerLoad>,
        peers_total: LoadSum,
    }
}

impl PeerLoad {
    /// The load with one more request.
    ///
    /// ```
    /// use celeryshed_dispatch::PeerLoad;
    /// let load = PeerLoad { running: 1, unread_tokens: u32::MAX };
    /// assert_eq!(load.with_request(800), PeerLoad { running: 2, unread_tokens: u32::MAX });
    /// ```
    #[must_use]
    pub fn with_request(self, prompt_tokens: u32) -> Self {
        Self {
            running: self.running.saturating_add(1),
            unread_tokens: self.unread_tokens.saturating_add(prompt_tokens),
        }
    }
}

/// A sum of loads. Callers and other processes tell the numbers, each of which may be the largest, so
/// the sum has room for all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoadSum {
    running: u64,
    unread_tokens: u64,
}

impl From<PeerLoad> for LoadSum {
    fn from(load: PeerLoad) -> Self {
        Self { running: load.running.into(), unread_tokens: load.unread_tokens.into() }
    }
}

impl From<LoadSum> for PeerLoad {
    /// Larger numbers than fit count as the largest.
    fn from(sum: LoadSum) -> Self {
        let limited = |number| u32::try_from(number).unwrap_or(u32::MAX);
        Self { running: limited(sum.running), unread_tokens: limited(sum.unread_tokens) }
    }
}

impl LoadSum {
    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
        }
    }
}

impl EndpointLoad {
    /// The load of this entry alone.
    pub fn own(&self) -> PeerLoad {
        self.own.into()
    }

    /// Counts a request that was placed on the endpoint.
    pub fn started(&mut self, prompt_tokens: u32) {
        self.own = self.own.plus(LoadSum { running: 1, unread_tokens: prompt_tokens.into() });
    }

    /// Discounts the prompt of a request whose first event arrived, or which ended without one.
    pub fn answered(&mut self, prompt_tokens: u32) {
        self.own = self.own.minus(LoadSum { running: 0, unread_tokens: prompt_tokens.into() });
    }

    /// Discounts a request that ended.
    pub fn ended(&mut self) {
        self.own = self.own.minus(LoadSum { running: 1, unread_tokens: 0 });
    }

    /// Returns the own load for a report to `audience`, and notes it as reported there.
    ///
    /// `None` if a report of this scope leaves the endpoint out.
    pub fn take_report(&mut self, audience: PeerAudience, scope: LoadScope) -> Option<PeerLoad> {
        let own = self.own();
        let reported = self.last_reported.insert(audience, own).unwrap_or_default();
        let is_needed = match scope {
            LoadScope::Changes => own != reported,
            LoadScope::Whole => own != PeerLoad::default(),
        };
        is_needed.then_some(own)
    }

    /// Replaces the load that a peer reported before.
    pub fn apply_peer_load(&mut self, peer: &PeerAddress, load: PeerLoad) {
        let previous = if load == PeerLoad::default() {
            self.peers.remove(peer)
        } else {
            self.peers.insert(peer.clone(), load)
        };
        let previous = previous.unwrap_or_default();
        self.peers_total = self.peers_total.minus(previous.into()).plus(load.into());
    }

    /// The load of all entries together.
    pub fn total(&self) -> PeerLoad {
        self.own.plus(self.peers_total).into()
    }
}
