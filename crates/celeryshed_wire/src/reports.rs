//! Reports of sidecars to their entries.

use celeryshed_base::{
    AvailabilityZone, ConfigRevision, ContentDigest, InstanceName, ProcessIncarnation, RegionName,
    ServiceName, common_derives,
};

/// Header of attempts and probes with the entry's address, to which a leaving sidecar sends a notice.
pub const ENTRY_HEADER: &str = "celeryshed-entry";

common_derives! { wire:
    /// State of an endpoint, sent to a few entries every two seconds.
    ///
    /// Field names are short on the wire: the long ones were 131 bytes of each report.
    pub struct EndpointReport {
        /// Instance of the sidecar and its endpoint.
        #[serde(rename = "i")]
        pub instance: InstanceName,
        /// Incarnation of the sidecar.
        #[serde(rename = "n")]
        pub incarnation: ProcessIncarnation,
        /// Address of the sidecar.
        #[serde(rename = "a")]
        pub address: String,
        /// Availability zone.
        #[serde(rename = "z")]
        pub zone: AvailabilityZone,
        /// Region.
        #[serde(rename = "r")]
        pub region: RegionName,
        /// Service of the endpoint.
        #[serde(rename = "s")]
        pub service: ServiceName,
        /// State.
        #[serde(rename = "st")]
        pub state: EndpointState,
        /// Version that the engine serves; `None` for plain services or before the first load.
        #[serde(rename = "v", with = "crate::packed_digest", default)]
        pub live_version: Option<ContentDigest>,
        /// Load.
        #[serde(rename = "l")]
        pub load: LoadReport,
        /// Hashes of cached prompt prefixes, a sample; a hint only.
        #[serde(rename = "p")]
        pub prefixes: Vec<u64>,
        /// The revision in force; `None` before it knows one.
        #[serde(rename = "c")]
        pub revision: Option<ConfigRevision>,
    }

    /// State of an endpoint.
    #[derive(Copy, Eq)]
    pub enum EndpointState {
        /// Takes work.
        #[serde(rename = "S")]
        Serving,
        /// Takes no work yet.
        #[serde(rename = "T")]
        Starting,
        /// Takes no new work.
        #[serde(rename = "L")]
        Leaving,
    }

    /// Load of an endpoint as the sidecar counts it.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Slots.
        #[serde(rename = "s")]
        pub slots: u32,
        /// Requests in progress.
        #[serde(rename = "r")]
        pub running: u32,
        /// Requests waiting in the engine.
        #[serde(rename = "w")]
        pub waiting: u32,
        /// Prompt tokens waiting to be processed.
        #[serde(rename = "q")]
        pub queued_prompt_tokens: u64,
        /// Tokens generated a second.
        #[serde(rename = "t")]
        pub tokens_per_s: u64,
    }

    /// The entry's reply.
    pub struct ReportReply {
        /// Incarnation of the entry.
        #[serde(rename = "n")]
        pub incarnation: ProcessIncarnation,
        /// The entry's revision; `None` before it knows one.
        #[serde(rename = "c")]
        pub revision: Option<ConfigRevision>,
    }
}
