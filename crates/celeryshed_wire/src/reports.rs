//! Reports of sidecars to their entries.

use celeryshed_base::{
    AvailabilityZone, ConfigRevision, ContentDigest, InstanceName, ProcessIncarnation, RegionName,
    ServiceName, common_derives,
};

/// Header of attempts and probes with the entry's address, to which a leaving sidecar sends a notice.
pub const ENTRY_HEADER: &str = "Celeryshed-Entry";

common_derives! { wire:
    /// State of an endpoint, sent to a few entries every two seconds.
    pub struct EndpointReport {
        /// Instance of the sidecar and its endpoint.
        pub instance: InstanceName,
        /// Incarnation of the sidecar.
        pub incarnation: ProcessIncarnation,
        /// Address of the sidecar.
        pub address: String,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
        /// Service of the endpoint.
        pub service: ServiceName,
        /// State.
        pub state: EndpointState,
        /// Version that the engine serves; `None` for plain services or before the first load.
        pub live_version: Option<ContentDigest>,
        /// Load.
        pub load: LoadReport,
        /// Hashes of cached prompt prefixes, a sample; a hint only.
        pub prefixes: Vec<u64>,
        /// The revision in force; `None` before it knows one.
        pub revision: Option<ConfigRevision>,
    }

    /// State of an endpoint.
    #[derive(Copy, Eq)]
    pub enum EndpointState {
        /// Takes work.
        Serving,
        /// Takes no work yet.
        Starting,
        /// Takes no new work.
        Leaving,
    }

    /// Load of an endpoint as the sidecar counts it.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Slots.
        pub slots: u32,
        /// Requests in progress.
        pub running: u32,
        /// Requests waiting in the engine.
        pub waiting: u32,
        /// Prompt tokens waiting to be processed.
        pub queued_prompt_tokens: u64,
        /// Tokens generated a second.
        pub tokens_per_s: u64,
    }

    /// The entry's reply.
    pub struct ReportReply {
        /// Incarnation of the entry.
        pub incarnation: ProcessIncarnation,
        /// The entry's revision; `None` before it knows one.
        pub revision: Option<ConfigRevision>,
    }
}
