//! Contents of the settings files of measured roles.

use std::fmt::Write;
use std::net::SocketAddr;

/// Addresses at which a role reaches the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformAddresses {
    pub(super) log: SocketAddr,
    pub(super) list: SocketAddr,
    pub(super) store: SocketAddr,
    pub(super) origin: SocketAddr,
}

/// Instance name of a role and the addresses that it listens on and advertises.
#[derive(Clone, Debug)]
pub(super) struct RoleIdentity {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) advertise: SocketAddr,
}

/// Endpoint that a sidecar serves.
#[derive(Clone, Debug)]
pub(super) struct SideEndpoint {
    pub(super) service: String,
    pub(super) kind: &'static str,
    pub(super) address: SocketAddr,
}

/// Sections that entries and sidecars share; the last one is `[platform]`.
fn shared_sections(identity: &RoleIdentity, platform: &PlatformAddresses) -> String {
    format!(
        "[instance]\nname = {}\nzone = fukuoka-a\nregion = fukuoka\nlisten = {}\nadvertise = {}\n\
         [platform]\nlog_url = http://{}\nlist_url = http://{}\n",
        identity.name, identity.listen, identity.advertise, platform.log, platform.list,
    )
}

/// Settings of an entry with default intervals.
pub(super) fn entry_settings(
    identity: &RoleIdentity,
    platform: &PlatformAddresses,
    partitions: u32,
) -> String {
    let mut text = shared_sections(identity, platform);
    let _ = write!(text, "[bookings]\nclaim_partitions = {partitions}\n");
    text
}

/// Settings of a sidecar with default intervals.
pub(super) fn side_settings(
    identity: &RoleIdentity,
    platform: &PlatformAddresses,
    endpoint: &SideEndpoint,
) -> String {
    let mut text = shared_sections(identity, platform);
    let _ = write!(
        text,
        "store_url = http://{}\norigin_url = http://{}\n[endpoint]\nservice = {}\nkind = {}\n\
         address = {}\nslots = 64\n[weights]\nlink_mbit_per_s = 10000\n",
        platform.store, platform.origin, endpoint.service, endpoint.kind, endpoint.address,
    );
    text
}
