//! Work in progress at an endpoint: this entry's own, and what the other entries say of theirs.
//!
//! Load pattern: several entries place requests on engines that are nearly full. An entry that hears
//! of the others' placements late sends its requests where theirs have just gone, so each tells what
//! changed many times a second, and everything now and then, since messages may be lost.

use std::collections::BTreeMap;

use celeryshed_base::common_derives;

use crate::peers::PeerAddress;

common_derives! { value:
    /// How much of its load an entry tells.
    #[derive(Copy)]
    pub enum LoadScope {
        /// The endpoints on which it changed since it was last told.
        Changes,
        /// All endpoints; there is none on those that aren't named.
        Whole,
    }

    /// The load that one entry puts on an endpoint.
    #[derive(Copy, Default)]
    pub struct PeerLoad {
        /// Requests in progress.
        pub running: u32,
        /// Prompt tokens of requests without a first event.
        pub unread_tokens: u32,
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
        /// The own load as it was last taken for the peers.
        told: PeerLoad,
        peers: BTreeMap<PeerAddress, PeerLoad>,
        peers_sum: PeerLoad,
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
    /// This entry's part.
    pub fn own(&self) -> PeerLoad {
        self.own
    }

    /// A request was placed here.
    pub fn started(&mut self, prompt_tokens: u32) {
        self.own.running += 1;
        self.own.unread_tokens += prompt_tokens;
    }

    /// The first event of a request arrived, or it ended before.
    pub fn answered(&mut self, prompt_tokens: u32) {
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(prompt_tokens);
    }

    /// A request ended.
    pub fn ended(&mut self) {
        self.own.running = self.own.running.saturating_sub(1);
    }

    /// The own load for the peers: whenever there is some, or only when it changed since it was
    /// taken last.
    pub fn take(&mut self, scope: LoadScope) -> Option<PeerLoad> {
        let wanted = match scope {
            LoadScope::Changes => self.own != self.told,
            LoadScope::Whole => self.own != PeerLoad::default(),
        };
        self.told = self.own;
        wanted.then_some(self.own)
    }

    /// Takes over what a peer says of its own load.
    pub fn report_peer(&mut self, peer: &PeerAddress, load: PeerLoad) {
        let known = if load == PeerLoad::default() {
            self.peers.remove(peer)
        } else {
            self.peers.insert(peer.clone(), load)
        };
        self.peers_sum = self.peers_sum.minus(known.unwrap_or_default()).plus(load);
    }

    /// The sum over all entries.
    pub fn total(&self) -> PeerLoad {
        self.own.plus(self.peers_sum)
    }
}
