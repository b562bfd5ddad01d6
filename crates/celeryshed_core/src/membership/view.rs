//! The view of the membership that other decisions read.

use std::collections::BTreeMap;

use celeryshed_base::{
    AvailabilityZone, InstanceName, ProcessIncarnation, RegionName, ServiceName, common_derives,
};

common_derives! { value:
    /// An entry.
    pub struct EntryMember {
        /// IP address and port.
        pub address: String,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
    }

    /// A sidecar and the endpoint beside it.
    pub struct SideMember {
        /// IP address and port of the sidecar.
        pub address: String,
        /// Incarnation, once heard of in a report.
        pub incarnation: Option<ProcessIncarnation>,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
        /// Service of the endpoint.
        pub service: ServiceName,
        /// State.
        pub state: MemberState,
    }

    /// State of a member.
    #[derive(Copy)]
    pub enum MemberState {
        /// Listed or heard of, and not leaving.
        Live,
        /// Takes no new work.
        Leaving,
        /// Takes no work: nothing heard for longer than the limit, or it has not started yet.
        Silent,
    }

    /// The membership as one process sees it; views of several processes differ.
    #[derive(Default)]
    pub struct MembershipView {
        /// Entries that are live, by instance.
        pub entries: BTreeMap<InstanceName, EntryMember>,
        /// Sidecars, by instance.
        pub sides: BTreeMap<InstanceName, SideMember>,
    }
}
