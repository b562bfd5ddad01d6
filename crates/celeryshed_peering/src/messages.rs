//! Datagrams between entries and sidecars.

use std::collections::BTreeMap;

use celeryshed_base::{AvailabilityZone, RegionName, common_derives};
use celeryshed_dispatch::{EndpointHash, LoadScope, PeerLoad, PieceSet, RequestFingerprint};

use crate::log::ControlPosition;

common_derives! { wire:
    /// Load of one entry on one endpoint.
    pub struct KeyedLoad {
        /// Key of the endpoint.
        pub key: u32,
        /// Requests in progress.
        pub running: u32,
        /// Prompt tokens of requests without a first event.
        pub unread_tokens: u32,
    }

    /// Crashes that one entry counts for a request.
    pub struct RequestCrashes {
        /// Fingerprint of the request.
        pub request: u64,
        /// Number of crashes.
        pub crashes: u32,
    }

    /// How long a process has known a declared version.
    pub struct VersionAge {
        /// The model.
        pub model: String,
        /// The version.
        pub version: u64,
        /// Milliseconds since it was declared, or the deadline if that is shorter.
        pub age_ms: u64,
    }

    /// What an entry tells the other entries, many times a second.
    pub struct EntryStatus {
        /// Up to where it knows the control records.
        pub position: ControlPosition,
        /// Whether `loads` names all endpoints on which it has load, and not only those where it
        /// changed.
        pub whole: bool,
        /// Its load.
        pub loads: Vec<KeyedLoad>,
        /// Requests that it suspects.
        pub crashes: Vec<RequestCrashes>,
        /// Declared versions; only beside the whole load.
        pub versions: Vec<VersionAge>,
    }

    /// What an entry tells the sidecars, so that they report to it.
    pub struct EntryHeartbeat {
        /// Address of the entry's peer socket.
        pub entry: String,
        /// Its availability zone.
        pub zone: AvailabilityZone,
        /// Up to where it knows the control records.
        pub position: ControlPosition,
    }

    /// What a sidecar tells the entries that greeted it.
    pub struct SidecarStatus {
        /// Address of its endpoint.
        pub endpoint: String,
        /// Versions of whole models that the endpoint has loaded.
        pub models: BTreeMap<String, u64>,
        /// Whether the endpoint accepts work.
        pub accepting: bool,
        /// Milliseconds until it stops accepting work in order to load weights.
        pub closing_in_ms: Option<u64>,
        /// Declared versions.
        pub versions: Vec<VersionAge>,
        /// Addresses of the entries that greeted it lately.
        pub entries: Vec<String>,
    }

    /// Which pieces of a version a sidecar can pass on.
    pub struct PieceInventory {
        /// Address of the sidecar's own service.
        pub sidecar: String,
        /// Its region.
        pub region: RegionName,
        /// The model.
        pub model: String,
        /// The version.
        pub version: u64,
        /// Numbers of the pieces.
        pub pieces: PieceSet,
    }

    /// All datagrams.
    pub enum PeerMessage {
        /// From an entry to an entry.
        Load(EntryStatus),
        /// From an entry to a sidecar.
        Hello(EntryHeartbeat),
        /// From a sidecar to an entry.
        Status(SidecarStatus),
        /// From a sidecar to a sidecar.
        Pieces(PieceInventory),
    }
}

impl From<&KeyedLoad> for PeerLoad {
    fn from(load: &KeyedLoad) -> Self {
        Self { running: load.running, unread_tokens: load.unread_tokens }
    }
}

impl EntryStatus {
    /// How much of the load is told.
    pub fn scope(&self) -> LoadScope {
        if self.whole { LoadScope::Whole } else { LoadScope::Changes }
    }

    /// The load by endpoint.
    pub fn load_map(&self) -> BTreeMap<EndpointHash, PeerLoad> {
        self.loads.iter().map(|load| (EndpointHash(load.key), load.into())).collect()
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.loads.is_empty() && self.crashes.is_empty()
    }

    /// The crashes by request.
    pub fn crash_map(&self) -> BTreeMap<RequestFingerprint, u32> {
        let crashes = self.crashes.iter();
        crashes.map(|crashes| (RequestFingerprint(crashes.request), crashes.crashes)).collect()
    }
}
