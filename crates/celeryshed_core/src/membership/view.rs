//! The membership view that other modules read.

use std::collections::BTreeMap;

use celeryshed_base::{
    AvailabilityZone, InstanceName, ProcessIncarnation, RegionName, ServiceName, common_derives,
};

common_derives! { value:
    /// A live entry.
    pub struct EntryMember {
        /// IP address and port.
        pub address: String,
        /// Availability zone that the platform lists.
        pub zone: AvailabilityZone,
        /// Region that the platform lists.
        pub region: RegionName,
    }

    /// A sidecar and the endpoint that it serves.
    pub struct SideMember {
        /// IP address and port of the sidecar.
        pub address: String,
        /// Incarnation of the last report; `None` before the first report.
        pub incarnation: Option<ProcessIncarnation>,
        /// Availability zone of the last report, or that the platform lists.
        pub zone: AvailabilityZone,
        /// Region of the last report, or that the platform lists.
        pub region: RegionName,
        /// Service of the endpoint.
        pub service: ServiceName,
        /// Whether the endpoint can get work.
        pub state: MemberState,
    }

    /// Whether a sidecar's endpoint can get work.
    #[derive(Copy)]
    pub enum MemberState {
        /// Takes work.
        Live,
        /// Takes no new work because it is shutting down.
        Leaving,
        /// Takes no work: the sidecar was not in contact within the silence limit, or it is
        /// starting.
        Silent,
    }

    /// The membership as one process knows it; the views of two processes can differ.
    #[derive(Default)]
    pub struct MembershipView {
        /// Listed entries that are reachable and not leaving.
        pub entries: BTreeMap<InstanceName, EntryMember>,
        /// Listed and reporting sidecars, in any state.
        pub sides: BTreeMap<InstanceName, SideMember>,
    }
}
