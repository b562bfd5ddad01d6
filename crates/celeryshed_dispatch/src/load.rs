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
        own: PeerLoad,
        /// The own load as last reported to each audience.
        last_reported: BTreeMap<PeerAudience, PeerLoad>,
        peers: BTreeMap<PeerAddress, PeerLoad>,
        peers_total: PeerLoad,
    }
}

impl PeerLoad {
    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            unread_tokens: self.unread_tokens + other.unread_tokens,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            running: self.running - other.running,
            unread_tokens: self.unread_tokens - other.unread_tokens,
        }
    }
}

impl EndpointLoad {
    /// The load of this entry alone.
    pub fn own(&self) -> PeerLoad {
        self.own
    }

    /// Counts a request that was placed on the endpoint.
    pub fn started(&mut self, prompt_tokens: u32) {
        self.own.running += 1;
        self.own.unread_tokens += prompt_tokens;
    }

    /// Discounts the prompt of a request whose first event arrived, or which ended without one.
    pub fn answered(&mut self, prompt_tokens: u32) {
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(prompt_tokens);
    }

    /// Discounts a request that ended.
    pub fn ended(&mut self) {
        self.own.running = self.own.running.saturating_sub(1);
    }

    /// Returns the own load for a report to `audience`, and notes it as reported there.
    ///
    /// `None` if a report of this scope leaves the endpoint out.
    pub fn take_report(&mut self, audience: PeerAudience, scope: LoadScope) -> Option<PeerLoad> {
        let reported = self.last_reported.insert(audience, self.own).unwrap_or_default();
        let is_needed = match scope {
            LoadScope::Changes => self.own != reported,
            LoadScope::Whole => self.own != PeerLoad::default(),
        };
        is_needed.then_some(self.own)
    }

    /// Replaces the load that a peer reported before.
    pub fn apply_peer_load(&mut self, peer: &PeerAddress, load: PeerLoad) {
        let previous = if load == PeerLoad::default() {
            self.peers.remove(peer)
        } else {
            self.peers.insert(peer.clone(), load)
        };
        self.peers_total = self.peers_total.minus(previous.unwrap_or_default()).plus(load);
    }

    /// The load of all entries together.
    pub fn total(&self) -> PeerLoad {
        self.own.plus(self.peers_total)
    }
}
