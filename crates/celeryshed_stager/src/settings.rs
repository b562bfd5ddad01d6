//! Checked settings of a sidecar.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, RegionName, ServiceName};
use celeryshed_dispatch::VersionDeadlines;
use celeryshed_peering::ControlSettings;

/// Settings of one sidecar; its caller has checked them.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Name of the sidecar in its event lines.
    pub name: String,
    /// TCP address where other sidecars fetch pieces, and UDP address of datagrams from peers.
    pub peer_address: SocketAddr,
    /// Address where metrics are served over HTTP.
    pub metrics_address: SocketAddr,
    /// Address of the endpoint as `IP:PORT`.
    pub endpoint: String,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// Availability zone of this sidecar and its endpoint.
    pub zone: AvailabilityZone,
    /// The region of each availability zone; a zone that is missing counts as its own region.
    pub regions: BTreeMap<AvailabilityZone, RegionName>,
    /// Time limits until a declared version must be in force.
    pub versions: VersionDeadlines,
    /// Memory of the machine, in bytes. A process that takes more is killed.
    pub memory_bytes: usize,
    /// Memory for pieces of versions that the endpoint hasn't loaded, in bytes. The pieces of a larger
    /// version leave it as soon as the endpoint stores them.
    pub piece_memory_bytes: usize,
    /// Bandwidth of the instance's own link in bits per second; zero means no limit.
    pub link_bits_per_s: u64,
    /// Time after its last reply at which an endpoint whose calls time out counts as lost. One that
    /// can't be reached counts as lost at once.
    pub endpoint_silence_limit: Duration,
    /// Time from the start of a check of the staged pieces within which a load may be ordered.
    pub piece_check_lifetime: Duration,
    /// Time from the start of a check of the staged pieces within which the endpoint's reply shows
    /// that it took pieces that were valid, or damaged for an excused time.
    pub load_reply_limit: Duration,
    /// How the control records are read from the store.
    pub control: ControlSettings,
}

impl SidecarSettings {
    /// Peer address of the sidecar next to `endpoint`: the endpoint's IP with the port of the own
    /// peer address; `None` unless `endpoint` is an `IP:PORT`.
    pub(crate) fn sidecar_address(&self, endpoint: &str) -> Option<String> {
        let endpoint: SocketAddr = endpoint.parse().ok()?;
        Some(SocketAddr::new(endpoint.ip(), self.peer_address.port()).to_string())
    }

    /// Whether an availability zone belongs to the sidecar's own region.
    pub(crate) fn is_in_own_region(&self, zone: &AvailabilityZone) -> bool {
        self.region_of(zone) == self.region_of(&self.zone)
    }

    /// The region of an availability zone; a zone without a region counts as its own region.
    pub(crate) fn region_of(&self, zone: &AvailabilityZone) -> RegionName {
        let own = || {
            RegionName::try_from(zone.as_str())
                .expect("zone names and region names follow the same rules")
        };
        self.regions.get(zone).cloned().unwrap_or_else(own)
    }
}
