//! Checked settings of a sidecar.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryshed_base::{AvailabilityZone, RegionName, ServiceName};
use celeryshed_dispatch::VersionDeadlines;
use celeryshed_peering::ControlSettings;

/// Everything that a sidecar needs to start.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Name in logs.
    pub name: String,
    /// Where other sidecars fetch pieces and entries send datagrams.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Address of the endpoint as `IP:PORT`.
    pub endpoint: String,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// The region of each availability zone.
    pub regions: BTreeMap<AvailabilityZone, RegionName>,
    /// When a declared version must be in force.
    pub versions: VersionDeadlines,
    /// Bandwidth of the instance's own link in bits a second; zero if it has no limit.
    pub link_bits_per_s: u64,
    /// How the store is read.
    pub control: ControlSettings,
}

impl SidecarSettings {
    /// Address of the sidecar beside the endpoint at an address.
    pub(crate) fn sidecar_of(&self, endpoint: &str) -> Option<String> {
        let endpoint: SocketAddr = endpoint.parse().ok()?;
        Some(SocketAddr::new(endpoint.ip(), self.peer_address.port()).to_string())
    }

    /// Whether an availability zone is in the sidecar's own region.
    pub(crate) fn is_near(&self, zone: &AvailabilityZone) -> bool {
        self.region_of(zone) == self.region_of(&self.zone)
    }

    /// The region of an availability zone; a zone without one counts as a region of its own.
    pub(crate) fn region_of(&self, zone: &AvailabilityZone) -> RegionName {
        let own = || RegionName::try_from(zone.as_str()).expect("zones and regions have one form");
        self.regions.get(zone).cloned().unwrap_or_else(own)
    }
}
