//! Status reports that sidecars send to entries.

use celeryshed_base::{
    AvailabilityZone, ConfigRevision, ContentDigest, InstanceName, ProcessIncarnation, RegionName,
    ServiceName, common_derives,
};

/// Request header with the entry's address. Entries send it with the requests that they forward to
/// endpoints and with probes. A leaving sidecar notifies the entries at these addresses.
pub const ENTRY_HEADER: &str = "celeryshed-entry";

common_derives! { wire:
    /// State of an endpoint, which its sidecar sends to a few entries, every two seconds by
    /// default.
    ///
    /// Field names are short on the wire because the full names take 131 bytes of each report.
    pub struct EndpointReport {
        /// Instance that runs the sidecar and its endpoint.
        #[serde(rename = "i")]
        pub instance: InstanceName,
        /// Incarnation of the sidecar.
        #[serde(rename = "n")]
        pub incarnation: ProcessIncarnation,
        /// IP address and port of the sidecar.
        #[serde(rename = "a")]
        pub address: String,
        /// Availability zone of the instance.
        #[serde(rename = "z")]
        pub zone: AvailabilityZone,
        /// Region of the instance.
        #[serde(rename = "r")]
        pub region: RegionName,
        /// Service of the endpoint.
        #[serde(rename = "s")]
        pub service: ServiceName,
        /// Whether the endpoint accepts work.
        #[serde(rename = "st")]
        pub state: EndpointState,
        /// Manifest digest of the version that the engine serves; `None` for services
        /// without an engine and before the engine has loaded its first weights.
        #[serde(rename = "v", with = "crate::digest_bytes", default)]
        pub live_version: Option<ContentDigest>,
        /// Load of the endpoint.
        #[serde(rename = "l")]
        pub load: LoadReport,
        /// Hashes of some cached prompt prefixes; prefixes may be evicted before a request arrives.
        #[serde(rename = "p")]
        pub prefixes: Vec<u64>,
        /// Configuration revision of the sidecar; `None` until it has read a configuration.
        #[serde(rename = "c")]
        pub revision: Option<ConfigRevision>,
    }

    /// State of an endpoint.
    #[derive(Copy, Eq)]
    pub enum EndpointState {
        /// Accepts work.
        #[serde(rename = "S")]
        Serving,
        /// Doesn't accept work yet.
        #[serde(rename = "T")]
        Starting,
        /// Finishes its work and accepts no more.
        #[serde(rename = "L")]
        Leaving,
    }

    /// Load of an endpoint as counted by its sidecar.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Requests that the endpoint can run at the same time.
        #[serde(rename = "s")]
        pub slots: u32,
        /// Number of requests in progress.
        #[serde(rename = "r")]
        pub running: u32,
        /// Number of requests that wait in the engine.
        #[serde(rename = "w")]
        pub waiting: u32,
        /// Prompt tokens that wait to be processed.
        #[serde(rename = "q")]
        pub queued_prompt_tokens: u64,
        /// Tokens generated per second.
        #[serde(rename = "t")]
        pub tokens_per_s: u64,
    }

    /// Reply of an entry to a report.
    pub struct ReportReply {
        /// Incarnation of the entry.
        #[serde(rename = "n")]
        pub incarnation: ProcessIncarnation,
        /// Configuration revision of the entry; `None` until it has read a configuration.
        #[serde(rename = "c")]
        pub revision: Option<ConfigRevision>,
    }
}
