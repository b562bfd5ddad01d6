//! Datagrams that entries and sidecars send to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, RegionName, common_derives};
use celeryshed_dispatch::{
    CrashNotice, EndpointHash, GuardReport, LoadReport, LoadScope, PartId, PeerLoad, PieceSet,
    PromptPart, RequestFingerprint, Suspicion, told_load_lifetime,
};

use crate::log::ControlPosition;

common_derives! { wire:
    /// Load that one entry puts on one endpoint.
    pub struct KeyedLoad {
        /// The endpoint's [`EndpointHash`].
        pub key: u32,
        /// Number of requests in progress.
        pub running: u32,
        /// Prompt tokens of those requests whose first event has not arrived yet.
        pub unread_tokens: u32,
    }

    /// Crashes of endpoints that one entry attributes to a request.
    pub struct RequestCrashes {
        /// Fingerprint of the request.
        pub request: u64,
        /// Number of endpoint crashes.
        pub crashes: u32,
    }

    /// How long a process has known a declared version.
    pub struct VersionAge {
        /// Name of the model.
        pub model: String,
        /// The declared version.
        pub version: u64,
        /// Milliseconds since the declaration; entries send the version deadline as the maximum.
        pub age_ms: u64,
    }

    /// Load report of an entry, sent to the other entries several times a second.
    pub struct EntryStatus {
        /// Position up to which the entry has read the control records.
        pub position: ControlPosition,
        /// Availability zone of the entry; only in reports with `whole` set.
        pub zone: Option<AvailabilityZone>,
        /// Milliseconds for which the reported load counts, unless a newer report arrives.
        pub lifetime_ms: u32,
        /// Whether `loads` lists all endpoints on which the entry has load; otherwise, only those
        /// whose load changed.
        pub whole: bool,
        /// Load of the sending entry, one item per endpoint.
        pub loads: Vec<KeyedLoad>,
        /// Requests during which endpoints crashed.
        pub crashes: Vec<RequestCrashes>,
        /// Declared versions of known age; empty unless `whole` is set.
        pub versions: Vec<VersionAge>,
    }

    /// Heartbeat of an entry; a sidecar that receives it reports its status to the entry.
    pub struct EntryHeartbeat {
        /// Address of the entry's peer socket.
        pub entry: String,
        /// Availability zone of the entry.
        pub zone: AvailabilityZone,
        /// Position up to which the entry has read the control records.
        pub position: ControlPosition,
        /// Milliseconds without another heartbeat after which the entry counts as gone.
        pub lifetime_ms: u32,
    }

    /// Status of a sidecar, sent to the entries whose heartbeats it receives.
    pub struct SidecarStatus {
        /// Address of the sidecar's endpoint.
        pub endpoint: String,
        /// Loaded version of each model whose weights the endpoint has loaded completely.
        pub models: BTreeMap<String, u64>,
        /// Whether the endpoint accepts requests.
        pub accepting: bool,
        /// Milliseconds until the endpoint stops accepting requests to load weights; none if no
        /// such stop is planned.
        pub closing_in_ms: Option<u64>,
        /// Declared versions that the sidecar knows.
        pub versions: Vec<VersionAge>,
        /// Addresses of some of the entries whose heartbeats arrived recently; others follow in
        /// later messages.
        pub entries: Vec<String>,
        /// Milliseconds for which the status counts, unless a newer one arrives.
        pub lifetime_ms: u32,
    }

    /// The pieces of a version that a sidecar can send to others.
    pub struct PieceInventory {
        /// Address of the service that sends pieces.
        pub sidecar: String,
        /// Region of the sidecar.
        pub region: RegionName,
        /// Name of the model.
        pub model: String,
        /// Version to which the pieces belong.
        pub version: u64,
        /// Numbers of those pieces.
        pub pieces: PieceSet,
    }

    /// A part of a prompt.
    pub struct SuspectPart {
        /// Id of the part.
        pub id: u64,
        /// Number of parts before it in the prompt.
        pub position: u8,
    }

    /// A crash of an endpoint.
    pub struct EndpointCrash {
        /// The endpoint's [`EndpointHash`].
        pub endpoint: u32,
        /// Milliseconds since the crash.
        pub age_ms: u64,
        /// Suspected parts of prompts of which no answer is known.
        pub new: Vec<SuspectPart>,
        /// Suspected parts that were answered before the crash.
        pub answered: Vec<SuspectPart>,
        /// Parts that were answered after the crash.
        pub cleared: Vec<SuspectPart>,
    }

    /// The crashes that an entry knows of, sent to the other entries while the crashes count.
    pub struct CrashReport {
        /// The crashes.
        pub crashes: Vec<EndpointCrash>,
    }

    /// Content of a datagram.
    pub enum PeerMessage {
        /// From an entry to an entry.
        Load(EntryStatus),
        /// From an entry to a sidecar.
        Hello(EntryHeartbeat),
        /// From a sidecar to an entry.
        Status(SidecarStatus),
        /// From a sidecar to a sidecar.
        Pieces(PieceInventory),
        /// From an entry to an entry; earlier builds skip it.
        Crashes(CrashReport),
    }
}

impl From<&CrashNotice> for EndpointCrash {
    fn from(crash: &CrashNotice) -> Self {
        let of = |wanted: Suspicion| {
            let matching = crash.suspects.iter().filter(|(_, suspicion)| *suspicion == wanted);
            let parts =
                matching.map(|(part, _)| SuspectPart { id: part.id.0, position: part.position });
            parts.collect()
        };
        Self {
            endpoint: crash.endpoint.0,
            age_ms: crash.age.as_millis() as u64,
            new: of(Suspicion::New),
            answered: of(Suspicion::Answered),
            cleared: of(Suspicion::Cleared),
        }
    }
}

impl From<&EndpointCrash> for CrashNotice {
    fn from(crash: &EndpointCrash) -> Self {
        let groups = [
            (&crash.new, Suspicion::New),
            (&crash.answered, Suspicion::Answered),
            (&crash.cleared, Suspicion::Cleared),
        ];
        let suspects = groups.into_iter().flat_map(|(parts, suspicion)| {
            parts.iter().map(move |part| {
                (PromptPart { id: PartId(part.id), position: part.position }, suspicion)
            })
        });
        Self {
            endpoint: EndpointHash(crash.endpoint),
            age: Duration::from_millis(crash.age_ms),
            suspects: suspects.collect(),
        }
    }
}

impl From<&GuardReport> for CrashReport {
    fn from(report: &GuardReport) -> Self {
        Self { crashes: report.crashes.iter().map(EndpointCrash::from).collect() }
    }
}

impl From<&CrashReport> for GuardReport {
    fn from(report: &CrashReport) -> Self {
        Self { crashes: report.crashes.iter().map(CrashNotice::from).collect() }
    }
}

impl From<&KeyedLoad> for PeerLoad {
    fn from(load: &KeyedLoad) -> Self {
        Self { running: load.running, unread_tokens: load.unread_tokens }
    }
}

impl EntryStatus {
    /// The reported load.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            scope: if self.whole { LoadScope::Whole } else { LoadScope::Changes },
            loads: self.loads.iter().map(|load| (EndpointHash(load.key), load.into())).collect(),
            lifetime: told_load_lifetime(self.lifetime_ms),
            zone: self.zone.clone(),
        }
    }

    /// Whether the report contains nothing new; false for a report with `whole` set.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.loads.is_empty() && self.crashes.is_empty()
    }

    /// The reported crash counts, keyed by request.
    pub fn crashes_by_request(&self) -> BTreeMap<RequestFingerprint, u32> {
        let crashes = self.crashes.iter();
        crashes.map(|crashes| (RequestFingerprint(crashes.request), crashes.crashes)).collect()
    }
}
