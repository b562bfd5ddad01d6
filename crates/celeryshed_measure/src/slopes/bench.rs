//! The platform, seats of measured roles and what is read from them.

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
use super::process::{ProcessUse, RoleProcess};
use super::relay::{ByteRelay, RelayCount};
use super::settings::{PlatformAddresses, RolePlace, SideEndpoint, entry_settings, side_settings};
use crate::fleet::{FleetError, Result, start_error};

/// Longest wait until a role is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Port of measured roles, below the range that the system gives to outgoing connections.
const ROLE_PORT: u16 = 7100;

/// Bytes a second of store and origin on loopback, where no link is to be shown.
const BLOB_BYTES_PER_S: u64 = 1 << 30;

/// Requests a second of store and origin.
const BLOB_REQUESTS_PER_S: u32 = 10_000;

/// The stand-ins of one part of the measurement.
pub(super) struct SlopeBench {
    pub(super) options: SlopeOptions,
    pub(super) log: RunningLog,
    pub(super) list: RunningList,
    pub(super) store: RunningBlobs,
    pub(super) origin: RunningBlobs,
    pub(super) http: reqwest::Client,
    publisher: ConfigurationPublisher,
    directory: TempDir,
}

/// A role before it starts: its addresses and the relays around it.
pub(super) struct RoleSeat {
    pub(super) name: String,
    listen: SocketAddr,
    pub(super) inbound: ByteRelay,
    log: ByteRelay,
    list: ByteRelay,
    store: ByteRelay,
    origin: ByteRelay,
}

/// A running measured role.
pub(super) struct MeasuredRole {
    pub(super) seat: RoleSeat,
    process: RoleProcess,
}

/// What was read from a role at one moment, or between two.
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
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = RunningLog::launch(LogOptions::default(), any).await;
        let log = log.map_err(start_error("log"))?;
        let raw = RawListOptions { lag_ms: 0, ..RawListOptions::default() };
        let list = ListOptions::try_from(raw).map_err(start_error("list"))?;
        let list = RunningList::launch(list, any).await.map_err(start_error("list"))?;
        let origin = launch_blobs(RawBlobOptions::origin(), any).await?;
        let store = RawBlobOptions::store(Some(origin.address().to_string()));
        let store = launch_blobs(store, any).await?;
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
            directory: TempDir::new().map_err(start_error("a directory"))?,
        })
    }

    /// Publishes an accepted change.
    pub(super) async fn publish(&mut self, change: ChangeKind) -> Result<()> {
        let verdict = self.publisher.publish(change).await;
        let verdict = verdict.map_err(|error| FleetError::Publish(error.to_string()))?;
        match verdict.outcome {
            ChangeOutcome::Accepted(_) => Ok(()),
            ChangeOutcome::Refused(reason) => Err(FleetError::Publish(reason.to_string())),
        }
    }

    pub(super) async fn seat(&self, name: &str) -> Result<RoleSeat> {
        let listen = seat_address()?;
        Ok(RoleSeat {
            name: name.to_owned(),
            listen,
            inbound: ByteRelay::launch(listen).await?,
            log: ByteRelay::launch(self.log.address()).await?,
            list: ByteRelay::launch(self.list.address()).await?,
            store: ByteRelay::launch(self.store.address()).await?,
            origin: ByteRelay::launch(self.origin.address()).await?,
        })
    }

    /// Starts an entry; it must be listed already.
    pub(super) fn start_entry(&self, seat: RoleSeat, partitions: u32) -> Result<MeasuredRole> {
        let text = entry_settings(&seat.place(), &seat.platform(), partitions);
        self.start("entry", seat, &text)
    }

    /// Starts a sidecar; it must be listed already.
    pub(super) fn start_side(
        &self,
        seat: RoleSeat,
        endpoint: &SideEndpoint,
    ) -> Result<MeasuredRole> {
        let text = side_settings(&seat.place(), &seat.platform(), endpoint);
        self.start("side", seat, &text)
    }

    fn start(&self, role: &str, seat: RoleSeat, settings: &str) -> Result<MeasuredRole> {
        let file: PathBuf = self.directory.path().join(format!("{}.ini", seat.name));
        fs::write(&file, settings).map_err(start_error("a settings file"))?;
        let process = RoleProcess::start(&self.options.daemon, role, &file)?;
        Ok(MeasuredRole { seat, process })
    }

    /// Waits until the role's `/readyz` says so, asked past the relay.
    pub(super) async fn wait_ready(&self, role: &MeasuredRole) -> Result<()> {
        let url = format!("http://{}/readyz", role.seat.listen);
        let deadline = Instant::now() + READY_LIMIT;
        loop {
            let reply = self.http.get(&url).send().await;
            if reply.is_ok_and(|reply| reply.status().is_success()) {
                return Ok(());
            }
            if Instant::now() > deadline {
                let what = format!("{} ready", role.seat.name);
                return Err(FleetError::Late { what, seconds: READY_LIMIT.as_secs() });
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Lists `instances` and nothing else.
    pub(super) fn list_only(&self, instances: Vec<ListedInstance>) {
        self.list.control().set_instances(instances);
    }
}

async fn launch_blobs(raw: RawBlobOptions, any: SocketAddr) -> Result<RunningBlobs> {
    let raw = RawBlobOptions {
        bytes_per_s: BLOB_BYTES_PER_S,
        requests_per_s: BLOB_REQUESTS_PER_S,
        ..raw
    };
    let options = BlobOptions::try_from(raw).map_err(start_error("store or origin"))?;
    RunningBlobs::launch(options, any).await.map_err(start_error("store or origin"))
}

/// A free address for one role, on a loopback address of its own.
///
/// On 127.0.0.1 a port that was free when it was chosen was taken by an outgoing connection before
/// the role could listen on it.
fn seat_address() -> Result<SocketAddr> {
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

impl RoleSeat {
    /// The address at which others reach the role, through the relay.
    pub(super) fn address(&self) -> String {
        self.inbound.address().to_string()
    }

    /// The role as the platform lists it; sidecars have a service.
    pub(super) fn listed(&self, service: Option<&str>) -> Result<ListedInstance> {
        listed_instance(&self.name, &self.address(), service)
    }

    fn place(&self) -> RolePlace {
        let advertise = self.inbound.address();
        RolePlace { name: self.name.clone(), listen: self.listen, advertise }
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
    pub(super) fn read(&self) -> Result<RoleReading> {
        let ProcessUse { cpu_s, resident_bytes } = self.process.usage()?;
        Ok(RoleReading {
            cpu_s,
            resident_bytes,
            inbound: self.seat.inbound.count(),
            log: self.seat.log.count(),
            list: self.seat.list.count(),
            store: self.seat.store.count(),
            at: Instant::now(),
        })
    }

    /// What was used since `before`; the resident memory is the present one.
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

/// An instance in the first zone.
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
