//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_dispatch::DispatcherSettings;
use celeryshed_peering::ControlSettings;

use crate::names::HeaderNames;

/// Settings of an entry, checked by the platform adapter.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the entry in its log.
    pub name: String,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for readiness checks.
    pub readiness_address: SocketAddr,
    /// Listen address for other entries and sidecars: UDP for datagrams, TCP for queries of
    /// control records.
    pub peer_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// UDP port at which sidecars receive datagrams, on the instances of the endpoints.
    pub sidecar_port: u16,
    /// Longest time from SIGTERM to the end of the process.
    pub grace_period: Duration,
    /// Memory of the machine, in bytes. A process that takes more is killed.
    pub memory_bytes: usize,
    /// Memory for answers of endpoints that are not complete, or not yet received by their callers, in
    /// bytes. A single answer or event may take a sixteenth of it, but no more than remains free.
    pub answer_memory_bytes: usize,
    /// Memory for the bodies of requests until they can't be sent again, in bytes; a single one may
    /// take as much as remains free. Up to twice as
    /// much is used if the largest body of the configuration needs it.
    pub body_memory_bytes: usize,
    /// Most connections of callers that are open at the same time.
    pub max_caller_connections: usize,
    /// Zone, retry budget and version deadlines.
    pub dispatcher: DispatcherSettings,
    /// Scope and intervals for reading the store.
    pub control: ControlSettings,
    /// Header names of the platform.
    pub headers: HeaderNames,
}
