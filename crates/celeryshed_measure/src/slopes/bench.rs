//! Test bench of the measurement: platform stand-ins, measured roles, and readings of their usage.

use std::fs;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, InstanceName, RegionName, ServiceName};
use celeryshed_core::configuration::{ChangeKind, ChangeOutcome};
use celeryshed_operate::publish::{ConfigurationPublisher, PublishOptions};
use celeryshed_platform::{HttpLogClient, HttpTimeouts};
use celeryshed_standin::platform::{
    BlobOptions, ListOptions, LogOptions, RawBlobOptions, RawListOptions, RunningBlobs,
    RunningList, RunningLog,
};
use celeryshed_wire::{InstanceRole, InstanceState, ListedInstance};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use super::options::SlopeOptions;
use super::process::{ProcessUsage, RoleProcess};
use super::relay::{ByteRelay, RelayCount};
use super::settings::{
    PlatformAddresses, RoleIdentity, SideEndpoint, entry_settings, side_settings,
};
use crate::fleet::{FleetError, Result, start_error};

/// Time limit for a role to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Port on which measured roles listen, below the range of ports for outgoing connections.
const ROLE_PORT: u16 = 7100;

/// Bytes per second of the store and the origin, which are not meant to limit the roles.
const BLOB_BYTES_PER_S: u64 = 1 << 30;

/// Requests per second that the store and the origin accept.
const BLOB_REQUESTS_PER_S: u32 = 10_000;

/// The platform stand-ins and the settings files for one part of the measurement.
pub(super) struct SlopeBench {
    pub(super) options: SlopeOptions,
    pub(super) log: RunningLog,
    pub(super) list: RunningList,
    pub(super) store: RunningBlobs,
    pub(super) origin: RunningBlobs,
    pub(super) http: reqwest::Client,
    publisher: ConfigurationPublisher,
    settings_directory: TempDir,
}

/// The name and listening address of a measured role, and the relays for all of its connections.
///
/// `inbound` leads to the role; the other relays lead to the platform.
pub(super) struct RoleRelays {
    pub(super) name: String,
    listen: SocketAddr,
    pub(super) inbound: ByteRelay,
    log: ByteRelay,
    list: ByteRelay,
    store: ByteRelay,
    origin: ByteRelay,
}

/// A measured role that runs in its own process.
pub(super) struct MeasuredRole {
    pub(super) relays: RoleRelays,
    process: RoleProcess,
}

/// Usage of a role, either since its start or between two readings.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoleReading {
    pub(super) cpu_s: f64,
    pub(super) resident_bytes: u64,
    pub(super) inbound: RelayCount,
    pub(super) log: RelayCount,
    pub(super) list: RelayCount,
    pub(super) store: RelayCount,
    pub(super) at: Instant,
}

impl SlopeBench {
    pub(super) async fn launch(options: &SlopeOptions) -> Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = RunningLog::launch(LogOptions::default(), any_port).await;
        let log = log.map_err(start_error("log"))?;
        let raw = RawListOptions { lag_ms: 0, ..RawListOptions::default() };
        let list = ListOptions::try_from(raw).map_err(start_error("list"))?;
        let list = RunningList::launch(list, any_port).await.map_err(start_error("list"))?;
        let origin = launch_blobs(RawBlobOptions::origin(), any_port).await?;
        let store = RawBlobOptions::store(Some(origin.address().to_string()));
        let store = launch_blobs(store, any_port).await?;
        let url = format!("http://{}", log.address());
        let client = HttpLogClient::try_new(&url, HttpTimeouts::for_calls());
        let client = Arc::new(client.map_err(start_error("publisher"))?);
        let pause = Duration::from_millis(50);
        let publish = PublishOptions { pause, ..PublishOptions::default() };
        let http = reqwest::Client::builder().no_proxy().build();
        Ok(Self {
            options: options.clone(),
            log,
            list,
            store,
            origin,
            http: http.map_err(start_error("a client"))?,
            publisher: ConfigurationPublisher::new(client, publish),
            settings_directory: TempDir::new().map_err(start_error("a directory"))?,
        })
    }

    /// Publishes a configuration change; a refused change is an error.
    pub(super) async fn publish(&mut self, change: ChangeKind) -> Result<()> {
        let verdict = self.publisher.publish(change).await;
        let verdict = verdict.map_err(|error| FleetError::Publish(error.to_string()))?;
        match verdict.outcome {
            ChangeOutcome::Accepted(_) => Ok(()),
            ChangeOutcome::Refused(reason) => Err(FleetError::Publish(reason.to_string())),
        }
    }

    /// Chooses an address for the role `name` and starts the relays around the role.
    pub(super) async fn launch_relays(&self, name: &str) -> Result<RoleRelays> {
        let listen = role_address()?;
        Ok(RoleRelays {
            name: name.to_owned(),
            listen,
            inbound: ByteRelay::launch(listen).await?,
            log: ByteRelay::launch(self.log.address()).await?,
            list: ByteRelay::launch(self.list.address()).await?,
            store: ByteRelay::launch(self.store.address()).await?,
            origin: ByteRelay::launch(self.origin.address()).await?,
        })
    }

    /// Starts an entry, which must already be in the instance list.
    pub(super) fn start_entry(&self, relays: RoleRelays, partitions: u32) -> Result<MeasuredRole> {
        let text = entry_settings(&relays.identity(), &relays.platform(), partitions);
        self.start("entry", relays, &text)
    }

    /// Starts a sidecar, which must already be in the instance list.
    pub(super) fn start_side(
        &self,
        relays: RoleRelays,
        endpoint: &SideEndpoint,
    ) -> Result<MeasuredRole> {
        let text = side_settings(&relays.identity(), &relays.platform(), endpoint);
        self.start("side", relays, &text)
    }

    fn start(&self, role: &str, relays: RoleRelays, settings: &str) -> Result<MeasuredRole> {
        let file: PathBuf = self.settings_directory.path().join(format!("{}.ini", relays.name));
        fs::write(&file, settings).map_err(start_error("a settings file"))?;
        let process = RoleProcess::start(&self.options.daemon, role, &file)?;
        Ok(MeasuredRole { relays, process })
    }

    /// Waits until the role's `/readyz` succeeds. Bypasses the relay, so that no bytes are counted.
    pub(super) async fn wait_ready(&self, role: &MeasuredRole) -> Result<()> {
        let url = format!("http://{}/readyz", role.relays.listen);
        let deadline = Instant::now() + READY_LIMIT;
        loop {
            let reply = self.http.get(&url).send().await;
            if reply.is_ok_and(|reply| reply.status().is_success()) {
                return Ok(());
            }
            if Instant::now() > deadline {
                let what = format!("{} ready", role.relays.name);
                return Err(FleetError::Late { what, seconds: READY_LIMIT.as_secs() });
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Replaces the contents of the instance list.
    pub(super) fn set_listed(&self, instances: Vec<ListedInstance>) {
        self.list.control().set_instances(instances);
    }
}

async fn launch_blobs(raw: RawBlobOptions, any_port: SocketAddr) -> Result<RunningBlobs> {
    let raw = RawBlobOptions {
        bytes_per_s: BLOB_BYTES_PER_S,
        requests_per_s: BLOB_REQUESTS_PER_S,
        ..raw
    };
    let options = BlobOptions::try_from(raw).map_err(start_error("store or origin"))?;
    RunningBlobs::launch(options, any_port).await.map_err(start_error("store or origin"))
}

/// Chooses a free address for one role, with a separate loopback IP for each role.
///
/// On 127.0.0.1, an outgoing connection can take the chosen port before the role listens on it.
fn role_address() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id().to_be_bytes();
    loop {
        let [.., high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let network = 64 + (process[3] ^ process[2]) % 128;
        let address = SocketAddr::from(([127, network, high, low], ROLE_PORT));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(start_error("a role's address")(error)),
        }
    }
}

impl RoleRelays {
    /// Address at which peers reach the role, through the inbound relay.
    pub(super) fn address(&self) -> String {
        self.inbound.address().to_string()
    }

    /// The role's entry in the instance list; `service` is set for sidecars only.
    pub(super) fn listed(&self, service: Option<&str>) -> Result<ListedInstance> {
        listed_instance(&self.name, &self.address(), service)
    }

    fn identity(&self) -> RoleIdentity {
        let advertise = self.inbound.address();
        RoleIdentity { name: self.name.clone(), listen: self.listen, advertise }
    }

    fn platform(&self) -> PlatformAddresses {
        PlatformAddresses {
            log: self.log.address(),
            list: self.list.address(),
            store: self.store.address(),
            origin: self.origin.address(),
        }
    }
}

impl MeasuredRole {
    /// The usage since the start of the role.
    pub(super) fn read(&self) -> Result<RoleReading> {
        let ProcessUsage { cpu_s, resident_bytes } = self.process.usage()?;
        Ok(RoleReading {
            cpu_s,
            resident_bytes,
            inbound: self.relays.inbound.count(),
            log: self.relays.log.count(),
            list: self.relays.list.count(),
            store: self.relays.store.count(),
            at: Instant::now(),
        })
    }

    /// The usage since `before`, except the resident memory, which is the current value.
    pub(super) fn read_since(&self, before: &RoleReading) -> Result<RoleReading> {
        let now = self.read()?;
        Ok(RoleReading {
            cpu_s: now.cpu_s - before.cpu_s,
            inbound: now.inbound.since(&before.inbound),
            log: now.log.since(&before.log),
            list: now.list.since(&before.list),
            store: now.store.since(&before.store),
            ..now
        })
    }
}

/// An instance in zone `fukuoka-a`: a sidecar when `service` is set, otherwise an entry.
pub(super) fn listed_instance(
    name: &str,
    address: &str,
    service: Option<&str>,
) -> Result<ListedInstance> {
    let service = service.map(ServiceName::try_from).transpose();
    Ok(ListedInstance {
        instance: InstanceName::try_from(name).map_err(start_error(name))?,
        role: InstanceRole::Entry,
        address: address.to_owned(),
        zone: AvailabilityZone::try_from("fukuoka-a").map_err(start_error(name))?,
        region: RegionName::try_from("fukuoka").map_err(start_error(name))?,
        service: service.map_err(start_error(name))?,
        state: InstanceState::Live,
    })
    .map(|listed| match listed.service {
        Some(_) => ListedInstance { role: InstanceRole::Side, ..listed },
        None => listed,
    })
}
