//! An entry on loopback addresses, with callers on raw sockets and scripted endpoints.

#![allow(dead_code, unused_imports, reason = "each test file uses some of them")]

mod endpoint;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, ClockSource, ServiceName, TeamLabel};
use celeryshed_dispatch::{
    BudgetLimits, DispatcherSettings, NoticeLimits, RouteKind, RouteRule, RoutingSnapshot,
    ServiceProfile, SplitTarget, SplitWeight, TeamProfile, VersionDeadlines,
};
use celeryshed_gateway::{EntryProcess, GatewaySettings, HeaderNames};
use celeryshed_peering::{ControlScope, ControlSettings};
use celeryshed_process::{ProcessSignals, RoleRunner};
use hyper::header::HeaderName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

pub(crate) use endpoint::{ScriptStep, ScriptedEndpoint};
pub(crate) use store::FakeStore;

/// Longest time that a test waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Last byte of the next deployment's loopback address.
static NEXT_ADDRESS_BYTE: AtomicU16 = AtomicU16::new(1);

/// A running entry and its store.
pub(crate) struct Deployment {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) store: Arc<FakeStore>,
}

/// Everything that a caller received until its connection ended.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) text: String,
}

impl Received {
    pub(crate) fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let pairs = head.lines().filter_map(|line| line.split_once(": "));
        pairs.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether a chunked answer ends with the last chunk.
    pub(crate) fn is_complete(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }
}

/// Memory of each entry for answers that are not complete.
pub(crate) const ANSWER_MEMORY_BYTES: usize = 4_000_000;

/// Memory of each entry for the bodies of requests.
const BODY_MEMORY_BYTES: usize = 16_000_000;

/// Longest pause that an endpoint may ask for.
pub(crate) const MAX_PAUSE: Duration = Duration::from_secs(3);

pub(crate) fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

pub(crate) fn headers() -> HeaderNames {
    let own = HeaderName::from_static;
    HeaderNames {
        request_id: own("x-request"),
        time_limit: own("x-limit-ms"),
        last_event: own("last-event-id"),
        seal: own("x-seal"),
        key: own("x-key"),
        team: own("x-team"),
        endpoint: own("x-endpoint"),
        not_run: own("x-not-run"),
        model: own("x-model"),
        tokens: own("x-tokens"),
        prompt_parts: own("x-prompt-parts"),
        length_hint: own("x-length-hint"),
        version: own("x-version"),
        expect_version: own("x-expect-version"),
        leaving: own("x-leaving"),
        pause: own("retry-after"),
    }
}

fn route(prefix: &str, kind: RouteKind, max_attempts: u32) -> RouteRule {
    RouteRule {
        name: prefix.to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_millis(if kind.is_stream() { 8000 } else { 3000 }),
        target_latency: Duration::from_millis(400),
        target_gap: Duration::from_millis(300),
        rank: 1,
        targets: vec![SplitTarget { service: service("shop"), weight: SplitWeight(1) }],
        max_attempts,
        anonymous: false,
    }
}

/// Routes of each kind on the host `shop.example`, for the key `key-1` of the team `growers`.
pub(crate) fn snapshot(revision: u64) -> RoutingSnapshot {
    let mut snapshot = RoutingSnapshot {
        revision: celeryshed_base::ConfigRevision(revision),
        keys_required: true,
        ..Default::default()
    };
    let routes = vec![
        route("/read/", RouteKind::Idempotent, 2),
        route("/book/", RouteKind::NonIdempotent, 1),
        route("/stream/", RouteKind::Stream { resumable: true }, 2),
        route("/strict/", RouteKind::Stream { resumable: false }, 2),
    ];
    snapshot.hosts.insert("shop.example".to_owned(), routes);
    let team = TeamProfile { name: TeamLabel::try_from("growers").unwrap(), rank: None };
    snapshot.teams.insert("key-1".to_owned(), team);
    snapshot.services.insert(service("shop"), ServiceProfile { engine: None, origin: None });
    snapshot
}

/// Settings of an entry at a loopback address of its own.
fn settings_of(version_deadline: Duration, budget: BudgetLimits) -> GatewaySettings {
    let address_byte = NEXT_ADDRESS_BYTE.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = format!("127.{}.{}.{}", 1 + pid % 250, 1 + (pid / 250) % 250, address_byte);
    let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
    let zone = AvailabilityZone::try_from("north-a").unwrap();
    let versions = VersionDeadlines {
        after_declaration: version_deadline,
        after_start: Duration::from_secs(3),
    };
    GatewaySettings {
        name: "entry-1".to_owned(),
        caller_address: address(18080),
        readiness_address: address(18081),
        peer_address: address(18082),
        metrics_address: address(18083),
        sidecar_port: 18082,
        grace_period: Duration::from_secs(8),
        memory_bytes: usize::MAX,
        answer_memory_bytes: ANSWER_MEMORY_BYTES,
        body_memory_bytes: BODY_MEMORY_BYTES,
        max_caller_connections: usize::MAX,
        dispatcher: DispatcherSettings {
            zone,
            regions: Default::default(),
            budget,
            versions,
            notices: NoticeLimits { max_pause: MAX_PAUSE },
        },
        control: ControlSettings {
            scope: ControlScope::Everything,
            endpoints_interval: Duration::from_millis(50),
            endpoints_max_age: Duration::from_millis(500),
            renewal_interval: None,
        },
        headers: headers(),
    }
}

/// Settings of an entry with the standard budget and deadline.
pub(crate) fn standard_settings() -> GatewaySettings {
    let budget =
        BudgetLimits { retry_percent: 20, retry_allowance: 100, window: Duration::from_secs(10) };
    settings_of(Duration::from_secs(8), budget)
}

impl Deployment {
    /// Starts an entry with the standard configuration and these endpoints.
    pub(crate) async fn start(endpoints: &[&ScriptedEndpoint]) -> Self {
        let store = Arc::new(FakeStore::default());
        store.publish(snapshot(1));
        for endpoint in endpoints {
            store.register(endpoint);
        }
        let deployment = Self::start_with(store).await;
        deployment.wait_ready().await;
        deployment
    }

    /// Starts an entry on the given store.
    pub(crate) async fn start_with(store: Arc<FakeStore>) -> Self {
        Self::start_with_deadline(store, Duration::from_secs(8)).await
    }

    /// Starts an entry on the given store. Declared versions take effect after `version_deadline`.
    pub(crate) async fn start_with_deadline(
        store: Arc<FakeStore>,
        version_deadline: Duration,
    ) -> Self {
        Self::start_with_clock(store, version_deadline, ClockSource::start()).await
    }

    /// Like [`Self::start_with_deadline`], on a given clock.
    pub(crate) async fn start_with_clock(
        store: Arc<FakeStore>,
        version_deadline: Duration,
        clock: ClockSource,
    ) -> Self {
        let budget = BudgetLimits {
            retry_percent: 20,
            retry_allowance: 100,
            window: Duration::from_secs(10),
        };
        Self::start_with_limits(store, version_deadline, clock, budget).await
    }

    /// Starts an entry on the given store whose retry budget is empty.
    pub(crate) async fn start_without_retries(store: Arc<FakeStore>) -> Self {
        Self::start_with_allowance(store, 0).await
    }

    /// Starts an entry on the given store whose retries don't depend on the number of requests.
    pub(crate) async fn start_with_allowance(store: Arc<FakeStore>, retry_allowance: u32) -> Self {
        let budget =
            BudgetLimits { retry_percent: 0, retry_allowance, window: Duration::from_secs(10) };
        let clock = ClockSource::start();
        Self::start_with_limits(store, Duration::from_secs(8), clock, budget).await
    }

    async fn start_with_limits(
        store: Arc<FakeStore>,
        version_deadline: Duration,
        clock: ClockSource,
        budget: BudgetLimits,
    ) -> Self {
        let settings = settings_of(version_deadline, budget);
        let (callers, readiness) = (settings.caller_address, settings.readiness_address);
        let decoder = store.clone();
        let entry_store = store.clone();
        tokio::spawn(async move {
            let mut signals = ProcessSignals::install().unwrap();
            EntryProcess::run(settings, clock, &mut signals, entry_store, decoder).await
        });
        Self { callers, readiness, store }
    }

    /// Starts an entry on the given store, in a thread of its own and as the program does: it is
    /// started again when it ends by itself. The thread ends after SIGTERM.
    pub(crate) fn start_supervised(store: Arc<FakeStore>) -> (Self, JoinHandle<()>) {
        let settings = standard_settings();
        let (callers, readiness) = (settings.caller_address, settings.readiness_address);
        let entry_store = store.clone();
        let runner = RoleRunner::start().unwrap();
        let clock = runner.clock();
        let thread = thread::spawn(move || {
            let role = async |signals: &mut ProcessSignals| {
                let (store, decoder) = (entry_store.clone(), entry_store.clone());
                EntryProcess::run(settings.clone(), clock, signals, store, decoder).await
            };
            runner.run(role).unwrap();
        });
        (Self { callers, readiness, store }, thread)
    }

    /// Waits until the readiness check succeeds.
    pub(crate) async fn wait_ready(&self) {
        for _ in 0..200 {
            if self.readiness().await == 200 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the entry is not ready");
    }

    /// Status of the readiness check; 0 if the connection is refused or reset.
    pub(crate) async fn readiness(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.readiness).await else { return 0 };
        let request = b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        let exchange = async {
            stream.write_all(request).await?;
            stream.read_to_string(&mut text).await
        };
        match exchange.await {
            Ok(_length) => Received { text }.status(),
            Err(_reset) => 0,
        }
    }

    /// Sends a request over a new connection and reads until the connection ends.
    pub(crate) async fn call(&self, request: &str) -> Received {
        timeout(ANSWER_TIMEOUT, self.call_without_timeout(request)).await.expect("an answer")
    }

    /// Like [`Self::call`], for answers that take longer than [`ANSWER_TIMEOUT`].
    pub(crate) async fn call_without_timeout(&self, request: &str) -> Received {
        read_answer(self.connect(request).await).await
    }

    /// Sends a request over a new connection.
    pub(crate) async fn connect(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }
}

/// A request with the key, the host and `Connection: close`, followed by `extra_headers`.
pub(crate) fn request(
    method: &str,
    path: &str,
    id: &str,
    extra_headers: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nx-request: {id}\r\nx-key: key-1\r\n\
         Connection: close\r\nContent-Length: {}\r\n{extra_headers}\r\n{body}",
        body.len()
    )
}

/// Reads an answer until its connection ends.
pub(crate) async fn read_answer(mut stream: TcpStream) -> Received {
    let mut bytes = Vec::new();
    // A reset ends the answer like a close; the bytes received before it are kept.
    let _ = stream.read_to_end(&mut bytes).await;
    Received { text: String::from_utf8_lossy(&bytes).into_owned() }
}
