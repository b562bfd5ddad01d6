//! Settings files of measured roles.

use std::fmt::Write;
use std::net::SocketAddr;

/// Where a role finds the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformAddresses {
    pub(super) log: SocketAddr,
    pub(super) list: SocketAddr,
    pub(super) store: SocketAddr,
    pub(super) origin: SocketAddr,
}

/// Where a role runs.
#[derive(Clone, Debug)]
pub(super) struct RolePlace {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) advertise: SocketAddr,
}

/// The endpoint of a sidecar.
#[derive(Clone, Debug)]
pub(super) struct SideEndpoint {
    pub(super) service: String,
    pub(super) kind: &'static str,
    pub(super) address: SocketAddr,
}

/// Sections that both roles have.
fn shared(place: &RolePlace, platform: &PlatformAddresses) -> String {
    format!(
        "[instance]\nname = {}\nzone = fukuoka-a\nregion = fukuoka\nlisten = {}\nadvertise = {}\n\
         [platform]\nlog_url = http://{}\nlist_url = http://{}\n",
        place.name, place.listen, place.advertise, platform.log, platform.list,
    )
}

/// Settings of an entry; intervals are the defaults.
pub(super) fn entry_settings(
    place: &RolePlace,
    platform: &PlatformAddresses,
    partitions: u32,
) -> String {
    let mut text = shared(place, platform);
    let _ = write!(text, "[bookings]\nclaim_partitions = {partitions}\n");
    text
}

/// Settings of a sidecar; intervals are the defaults.
pub(super) fn side_settings(
    place: &RolePlace,
    platform: &PlatformAddresses,
    endpoint: &SideEndpoint,
) -> String {
    let mut text = shared(place, platform);
    let _ = write!(
        text,
        "store_url = http://{}\norigin_url = http://{}\n[endpoint]\nservice = {}\nkind = {}\n\
         address = {}\nslots = 64\n[weights]\nlink_mbit_per_s = 10000\n",
        platform.store, platform.origin, endpoint.service, endpoint.kind, endpoint.address,
    );
    text
}
