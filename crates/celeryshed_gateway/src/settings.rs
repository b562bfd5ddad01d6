//! Checked settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_dispatch::DispatcherSettings;
use celeryshed_peering::ControlSettings;

use crate::names::HeaderNames;

/// Everything that an entry needs to start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name in logs.
    pub name: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Where other entries and sidecars send datagrams and fetch records.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Port of the peer sockets of sidecars.
    pub sidecar_port: u16,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// What the decisions need.
    pub dispatcher: DispatcherSettings,
    /// How the store is read.
    pub control: ControlSettings,
    /// Names of headers.
    pub headers: HeaderNames,
}
