//! Measures the control-plane traffic of an entry over HTTP and scales it to the target fleet size.

#![allow(clippy::print_stdout, reason = "measured figures are shown by --nocapture")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, ClockSource, ConfigRevision, ContentDigest, InstanceName, LogOffset,
    ModelName, ProcessIncarnation, RegionName, ServiceName, TeamName, VersionName,
};
use celeryshed_entry::configuration::{
    ConfigurationClient, ConfigurationClients, ConfigurationOptions, HttpConfigurationClient,
    ProcessIdentity, configuration_routes, spawn_configuration,
};
use celeryshed_entry::membership::{
    HttpProbeClient, MembershipOptions, membership_routes, spawn_membership,
};
use celeryshed_platform::fakes::{FakeList, FakeLog};
use celeryshed_side::configuration::{EntryClient, HttpEntryClient};
use celeryshed_wire::{
    ConfigurationSnapshot, ContractSpec, EndpointReport, EndpointState, LoadReport,
    RevisionExchange, ScarcityRule, ServiceKind, ServiceSpec, VersionSpec, encode,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// IP and TCP header bytes of a request, its reply and an acknowledgement.
const PACKET_HEADERS: u64 = 3 * 40;

/// Number of entries at the target fleet size.
const ENTRIES: f64 = 410.0;
/// Number of sidecars at the target fleet size.
const SIDES: f64 = 600.0;
/// Number of entries that each sidecar reports to.
const REPORTED_ENTRIES: f64 = 3.0;
/// Period of reports, probes and log polls.
const PERIOD_S: f64 = 2.0;
const CHANGES_PER_DAY: f64 = 1_100.0;

/// A TCP proxy that counts the bytes of both directions.
struct CountingProxy {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingProxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let server = TcpStream::connect(target).await.unwrap();
                let (caller_read, caller_write) = caller.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(copy_counted(caller_read, server_write, Arc::clone(&count)));
                tokio::spawn(copy_counted(server_read, caller_write, Arc::clone(&count)));
            }
        });
        Self { address, bytes }
    }

    /// Returns and resets the byte count, and adds the packet headers of one exchange.
    fn take_bytes(&self) -> u64 {
        self.bytes.swap(0, Ordering::Relaxed) + PACKET_HEADERS
    }
}

async fn copy_counted(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    count: Arc<AtomicU64>,
) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn start_entry() -> SocketAddr {
    let clock = ClockSource::start();
    let identity = ProcessIdentity {
        instance: InstanceName::try_from("entry-101").unwrap(),
        incarnation: ProcessIncarnation::random(),
        address: "10.20.30.40:8080".to_owned(),
    };
    let sides = Arc::new(HttpProbeClient::try_new(CALL_TIMEOUT).unwrap());
    let list = Arc::new(FakeList::new(clock));
    let options = MembershipOptions::default();
    let membership = spawn_membership(identity.clone(), options, clock, list, sides).unwrap();
    let clients = ConfigurationClients {
        log: Arc::new(FakeLog::new(clock)),
        peers: Arc::new(HttpConfigurationClient::try_new(CALL_TIMEOUT).unwrap()),
        members: membership.subscribe_view(),
        crashes: None,
    };
    let options = ConfigurationOptions::default();
    let configuration = spawn_configuration(identity.clone(), options, clients).unwrap();
    // Holds the port until the server listens at it.
    let reservation = TcpSocket::new_v4().unwrap();
    reservation.set_reuseaddr(true).unwrap();
    reservation.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let port = reservation.local_addr().unwrap().port();
    let figment = rocket::Config::figment().merge(("port", port)).merge(("log_level", "off"));
    let server = rocket::custom(figment)
        .manage(identity)
        .manage(membership)
        .manage(configuration)
        .mount("/", membership_routes())
        .mount("/", configuration_routes());
    tokio::spawn(server.launch());
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    address
}

fn sample_report() -> EndpointReport {
    EndpointReport {
        instance: InstanceName::try_from("side-1001").unwrap(),
        incarnation: ProcessIncarnation::random(),
        address: "10.20.30.41:8080".to_owned(),
        zone: AvailabilityZone::try_from("fukuoka-a").unwrap(),
        region: RegionName::try_from("fukuoka").unwrap(),
        service: ServiceName::try_from("copywriter").unwrap(),
        state: EndpointState::Serving,
        live_version: Some(ContentDigest::of(b"version")),
        load: LoadReport { slots: 64, running: 40, waiting: 3, ..LoadReport::default() },
        prefixes: Vec::new(),
        revision: None,
    }
}

/// Encoded size of a configuration with 30 contracts, 10 services and 100 versions.
fn target_state_bytes() -> usize {
    let contract = |number: usize| {
        let spec = ContractSpec {
            api_key_hash: ContentDigest::of(&number.to_be_bytes()),
            service: ServiceName::try_from("copywriter").unwrap(),
            tokens_per_s: 50_000,
            requests_in_progress: 300,
            burst_tokens: 100_000,
            displaces: vec!["team-1".to_owned(), "uncontracted".to_owned()],
            scarcity: ScarcityRule::Wait { deadline_ms: 2_000 },
            retry_budget_percent: 10,
            first_token_ms: 420,
            objective_basis_points: 9_500,
        };
        (TeamName::try_from(format!("team-{number}")).unwrap(), spec)
    };
    let service = |number: usize| {
        let spec = ServiceSpec {
            kind: ServiceKind::Engine,
            endpoints: 60,
            slots_per_endpoint: 64,
            tokens_per_s_per_endpoint: 3_000,
            version: Some(VersionName::try_from("copywriter-100").unwrap()),
        };
        (ServiceName::try_from(format!("service-{number}")).unwrap(), spec)
    };
    let version = |number: usize| {
        let version = VersionName::try_from(format!("copywriter-{number}")).unwrap();
        let spec = VersionSpec {
            model: ModelName::try_from("copywriter").unwrap(),
            version: version.clone(),
            manifest: ContentDigest::of(&number.to_be_bytes()),
            size_bytes: 16_000_000_000,
        };
        (version, spec)
    };
    let snapshot = ConfigurationSnapshot {
        revision: ConfigRevision(1_000_000),
        folded_to: LogOffset(1_100_000),
        services: (0..10).map(service).collect(),
        contracts: (0..30).map(contract).collect(),
        versions: (0..100).map(version).collect(),
    };
    encode(&snapshot).unwrap().len()
}

/// Guards against control-plane traffic of an entry above 3 KB/s at 410 entries and 600 sidecars.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_plane_of_an_entry_stays_within_3_kb_per_s() {
    let proxy = CountingProxy::start(start_entry().await).await;
    let address = proxy.address.to_string();
    let entries = HttpEntryClient::try_new(CALL_TIMEOUT).unwrap();
    entries.report(&address, &sample_report()).await.unwrap();
    proxy.take_bytes();
    entries.report(&address, &sample_report()).await.unwrap();
    let report_bytes = proxy.take_bytes();

    let peers = HttpConfigurationClient::try_new(CALL_TIMEOUT).unwrap();
    let exchange = RevisionExchange {
        instance: InstanceName::try_from("entry-102").unwrap(),
        incarnation: ProcessIncarnation::random(),
        revision: Some(Default::default()),
    };
    peers.exchange(&address, &exchange).await.unwrap();
    let exchange_bytes = proxy.take_bytes();

    let reports = SIDES * REPORTED_ENTRIES / PERIOD_S / ENTRIES * report_bytes as f64;
    // The reply to a probe carries a report; the entry's header adds 40 bytes.
    let probes = (report_bytes + 40) as f64 / PERIOD_S;
    let list = 200.0 / 0.5;
    // A log read is about as large as an exchange on an open connection.
    let polls = exchange_bytes as f64 / PERIOD_S;
    let state_bytes = target_state_bytes();
    let fetches = state_bytes as f64 * CHANGES_PER_DAY / 86_400.0 * SIDES / ENTRIES;
    println!("one report {report_bytes} B, one exchange {exchange_bytes} B, state {state_bytes} B");
    println!(
        "B/s: reports {reports:.0}, probes {probes:.0}, list {list:.0}, log {polls:.0}, fetches {fetches:.0}"
    );
    let total = reports + probes + list + polls + fetches;
    println!("total {total:.0} B/s");
    assert!(total <= 3_000.0, "{total:.0} B/s");
}
