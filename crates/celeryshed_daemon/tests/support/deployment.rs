//! A deployment: daemon processes and the stand-ins of platform and endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ByteCount, ContentDigest, InstanceName, ModelName, RegionName, ServiceName,
    TeamName, TokenCount, TokenRate, VersionName,
};
use celeryshed_core::configuration::{
    ChangeKind, ChangeOutcome, EndpointKind, ModelVersion, ScarcityPolicy, ServiceDefinition,
    TeamContract,
};
use celeryshed_operate::publish::{ConfigurationPublisher, PublishOptions};
use celeryshed_platform::{HttpLogClient, HttpTimeouts};
use celeryshed_standin::engine::{EngineControl, EngineOptions, RawEngineOptions, RunningEngine};
use celeryshed_standin::platform::{
    BlobOptions, ListOptions, LogOptions, RawBlobOptions, RawListOptions, RunningBlobs,
    RunningList, RunningLog,
};
use celeryshed_standin::service::{
    RawServiceOptions, RunningService, ServiceControl, ServiceOptions,
};
use celeryshed_wire::{InstanceRole, InstanceState, ListedInstance, WeightManifest, encode};
use serde_json::Value;
use tempfile::TempDir;

use super::caller::{BookingReply, Caller, booking_body};
use super::daemon::Daemon;
use super::relay::Relay;
use super::settings::{free_address, role_settings};
use super::{wait_for_value, wait_until};

/// Size of the weights of each version.
const MODEL_BYTES: usize = 512 << 10;

/// Size of a chunk. A version has 32 chunks, so that a fault during the distribution affects some.
const CHUNK_BYTES: usize = 16 << 10;

/// Role of a process and kind of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKind {
    /// An entry, without an endpoint.
    Entry,
    /// A sidecar of an engine.
    Engine,
    /// A sidecar of a plain service.
    PlainService,
}

/// Size and settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub plain_services: usize,
    /// Pause between polls of the log and between status reports; the daemon's default is 2 s.
    pub pause: Duration,
    /// Time that a plain service takes for a call.
    pub service_latency: Duration,
    /// Tokens per second of one stream.
    pub stream_tokens_per_s: u32,
    /// Whether links to sidecars, endpoints and the log go through relays.
    pub relays: bool,
    /// Additional `(section, key, value)` settings of every entry.
    pub entry_lines: Vec<(&'static str, &'static str, String)>,
    /// Additional settings of every sidecar.
    pub side_lines: Vec<(&'static str, &'static str, String)>,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 0,
            plain_services: 0,
            pause: Duration::from_millis(300),
            service_latency: Duration::from_millis(20),
            stream_tokens_per_s: 100,
            relays: false,
            entry_lines: Vec::new(),
            side_lines: Vec::new(),
        }
    }
}

/// A daemon process with its endpoint and relays.
pub struct Member {
    /// Instance name.
    pub name: String,
    /// Role and kind of endpoint.
    pub kind: MemberKind,
    /// Advertised address: that of `link`, if any.
    pub address: SocketAddr,
    /// Address that the process listens on.
    pub listen: SocketAddr,
    /// The process.
    pub daemon: Daemon,
    /// Relay in front of the process.
    pub link: Option<Relay>,
    /// Relay between the process and the log.
    pub log_link: Option<Relay>,
    /// Relay between the sidecar and its endpoint.
    pub endpoint_link: Option<Relay>,
    /// Stand-in of the endpoint, if it is an engine.
    pub engine: Option<EngineControl>,
    /// Stand-in of the endpoint, if it is a plain service.
    pub plain_service: Option<ServiceControl>,
    settings: String,
}

/// A running deployment.
pub struct Deployment {
    /// Processes: entries, then sidecars of engines, then sidecars of plain services.
    pub members: Vec<Member>,
    /// The log.
    pub log: RunningLog,
    /// The instance list.
    pub list: RunningList,
    /// The weight store.
    pub store: RunningBlobs,
    /// The origin.
    pub origin: RunningBlobs,
    /// A caller with a contract for completions.
    pub caller: Caller,
    /// A caller with a contract for bookings.
    pub booking_caller: Caller,
    directory: TempDir,
    plan: DeploymentPlan,
    engines: Vec<RunningEngine>,
    plain_services: Vec<RunningService>,
    listed: Vec<ListedInstance>,
    separate_lists: Vec<RunningList>,
}

impl Deployment {
    /// Starts the processes, publishes services, contracts and a version, and waits until each entry
    /// serves.
    pub async fn start(plan: DeploymentPlan) -> Self {
        let deployment = Self::start_processes(plan).await;
        deployment.publish_services().await;
        if deployment.plan.engines > 0 {
            let version = deployment.publish_version("one").await;
            deployment.wait_live(version).await;
        }
        deployment.wait_serving().await;
        deployment
    }

    /// Starts stand-ins and processes without publishing anything.
    pub async fn start_processes(plan: DeploymentPlan) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = RunningLog::launch(LogOptions::default(), any).await.expect("log");
        let list = RunningList::launch(list_options(), any).await.expect("list");
        let origin = blobs(RawBlobOptions::origin()).await;
        let store = blobs(RawBlobOptions::store(Some(origin.address().to_string()))).await;
        let mut deployment = Self {
            members: Vec::new(),
            log,
            list,
            store,
            origin,
            caller: Caller::new("key-portal"),
            booking_caller: Caller::new("key-press"),
            directory: TempDir::new().expect("a temporary directory"),
            engines: Vec::new(),
            plain_services: Vec::new(),
            listed: Vec::new(),
            separate_lists: Vec::new(),
            plan,
        };
        for number in 0..deployment.plan.entries {
            deployment.add_member(MemberKind::Entry, number).await;
        }
        for number in 0..deployment.plan.engines {
            deployment.add_member(MemberKind::Engine, number).await;
        }
        for number in 0..deployment.plan.plain_services {
            deployment.add_member(MemberKind::PlainService, number).await;
        }
        deployment
    }

    /// Starts one more process and adds it to the instance list; returns its index.
    pub async fn add_member(&mut self, kind: MemberKind, number: usize) -> usize {
        let prefix = match kind {
            MemberKind::Entry => "entry",
            MemberKind::Engine => "engine",
            MemberKind::PlainService => "desk",
        };
        let name = format!("{prefix}-{number}");
        let listen = free_address();
        let link = match (kind, self.plan.relays) {
            (MemberKind::Engine | MemberKind::PlainService, true) => {
                Some(Relay::start(listen).await)
            }
            _ => None,
        };
        let address = link.as_ref().map_or(listen, |link| link.address);
        let log_link = match self.plan.relays {
            true => Some(Relay::start(self.log.address()).await),
            false => None,
        };
        let (engine, plain_service, endpoint) = self.start_endpoint(kind, &name).await;
        let endpoint_link = match (endpoint, self.plan.relays) {
            (Some(endpoint), true) => Some(Relay::start(endpoint).await),
            _ => None,
        };
        let endpoint = endpoint_link.as_ref().map(|link| link.address).or(endpoint);
        let log = log_link.as_ref().map_or(self.log.address(), |link| link.address);
        let settings = self.settings(kind, &name, (listen, address), log, endpoint);
        self.list_instance(kind, &name, address);
        let daemon = self.start_daemon(kind, &name, &settings);
        self.members.push(Member {
            name,
            kind,
            address,
            listen,
            daemon,
            link,
            log_link,
            endpoint_link,
            engine,
            plain_service,
            settings,
        });
        self.members.len() - 1
    }

    /// Restarts the ended process of a member at the same address.
    pub fn restart(&mut self, index: usize) {
        let member = &self.members[index];
        let daemon = self.start_daemon(member.kind, &member.name, &member.settings);
        self.members[index].daemon = daemon;
    }

    fn start_daemon(&self, kind: MemberKind, name: &str, settings: &str) -> Daemon {
        let role = if kind == MemberKind::Entry { "entry" } else { "side" };
        Daemon::start(self.directory.path(), role, name, settings)
    }

    async fn start_endpoint(
        &mut self,
        kind: MemberKind,
        name: &str,
    ) -> (Option<EngineControl>, Option<ServiceControl>, Option<SocketAddr>) {
        let address = free_address();
        match kind {
            MemberKind::Entry => (None, None, None),
            MemberKind::Engine => {
                let raw = RawEngineOptions {
                    slots: 8,
                    tokens_per_s: 8 * self.plan.stream_tokens_per_s,
                    stream_tokens_per_s: self.plan.stream_tokens_per_s,
                    load_ms: 100,
                    restart_ms: 500,
                    ..RawEngineOptions::default()
                };
                let options = EngineOptions::try_from(raw).expect("engine options");
                let engine = RunningEngine::launch(options, address).await.expect("engine");
                let control = engine.control();
                self.engines.push(engine);
                (Some(control), None, Some(address))
            }
            MemberKind::PlainService => {
                let latency_ms = self.plan.service_latency.as_millis() as u64;
                let name = name.to_owned();
                let raw = RawServiceOptions { name, latency_ms, ..RawServiceOptions::default() };
                let options = ServiceOptions::try_from(raw).expect("service options");
                let plain_service =
                    RunningService::launch(options, address).await.expect("service");
                let control = plain_service.control();
                self.plain_services.push(plain_service);
                (None, Some(control), Some(address))
            }
        }
    }

    fn settings(
        &self,
        kind: MemberKind,
        name: &str,
        (listen, advertise): (SocketAddr, SocketAddr),
        log: SocketAddr,
        endpoint: Option<SocketAddr>,
    ) -> String {
        let pause = self.plan.pause.as_millis().to_string();
        let mut lines = vec![
            ("instance", "name", name.to_owned()),
            ("instance", "zone", "puget-a".to_owned()),
            ("instance", "region", "puget".to_owned()),
            ("instance", "listen", listen.to_string()),
            ("instance", "advertise", advertise.to_string()),
            ("platform", "log_url", format!("http://{log}")),
            ("platform", "list_url", format!("http://{}", self.list.address())),
            ("bookings", "window_s", "1800".to_owned()),
        ];
        let Some(endpoint) = endpoint else {
            lines.push(("configuration", "poll_ms", pause));
            lines.push(("configuration", "log_retention_s", "3600".to_owned()));
            lines.extend(self.plan.entry_lines.iter().cloned());
            return role_settings(&lines);
        };
        let (service, kind) = match kind {
            MemberKind::Engine => ("copywriter", "engine"),
            MemberKind::Entry | MemberKind::PlainService => ("order-desk", "plain"),
        };
        lines.extend([
            ("platform", "store_url", format!("http://{}", self.store.address())),
            ("platform", "origin_url", format!("http://{}", self.origin.address())),
            ("endpoint", "service", service.to_owned()),
            ("endpoint", "kind", kind.to_owned()),
            ("endpoint", "address", endpoint.to_string()),
            ("endpoint", "slots", "8".to_owned()),
            ("endpoint", "checks_fence", "yes".to_owned()),
            ("serving", "report_ms", pause),
            ("weights", "store_region", "puget".to_owned()),
        ]);
        lines.extend(self.plan.side_lines.iter().cloned());
        role_settings(&lines)
    }

    fn list_instance(&mut self, kind: MemberKind, name: &str, address: SocketAddr) {
        let service = match kind {
            MemberKind::Entry => None,
            MemberKind::Engine => Some(checked::<ServiceName>("copywriter")),
            MemberKind::PlainService => Some(checked::<ServiceName>("order-desk")),
        };
        self.listed.push(ListedInstance {
            instance: checked::<InstanceName>(name),
            role: if kind == MemberKind::Entry { InstanceRole::Entry } else { InstanceRole::Side },
            address: address.to_string(),
            zone: checked::<AvailabilityZone>("puget-a"),
            region: checked::<RegionName>("puget"),
            service,
            state: InstanceState::Live,
        });
        self.list.control().set_instances(self.listed.clone());
    }

    /// Lists a member as leaving.
    pub fn list_leaving(&mut self, index: usize) {
        let name = &self.members[index].name;
        for listed in &mut self.listed {
            if listed.instance.as_str() == name {
                listed.state = InstanceState::Leaving;
            }
        }
        self.list.control().set_instances(self.listed.clone());
    }

    /// Restarts a sidecar with a separate instance list that names a relay in front of each entry,
    /// so that a test can stall only the sidecar's reports. Waits until the endpoint is used again
    /// and returns the relays.
    pub async fn relay_reports(&mut self, index: usize) -> Vec<Relay> {
        let mut relays = Vec::new();
        let mut listed = self.listed.clone();
        for entry in listed.iter_mut().filter(|listed| listed.role == InstanceRole::Entry) {
            let relay = Relay::start(entry.address.parse().expect("a listed address")).await;
            entry.address = relay.address.to_string();
            relays.push(relay);
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let list = RunningList::launch(list_options(), any).await.expect("list");
        list.control().set_instances(listed);
        let (old, new) = (self.list.address().to_string(), list.address().to_string());
        self.separate_lists.push(list);
        let member = &mut self.members[index];
        member.settings = member.settings.replace(&old, &new);
        member.daemon.kill();
        self.restart(index);
        for entry in self.members_of(MemberKind::Entry) {
            self.wait_streams(self.entry(entry)).await;
        }
        relays
    }

    /// Indices of the members of one kind.
    pub fn members_of(&self, kind: MemberKind) -> Vec<usize> {
        (0..self.members.len()).filter(|index| self.members[*index].kind == kind).collect()
    }

    /// Address of entry `number`.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.members[number].address
    }

    /// Creates a publisher of configuration changes, which calls the log without a relay.
    pub fn publisher(&self) -> ConfigurationPublisher {
        let url = format!("http://{}", self.log.address());
        let log =
            HttpLogClient::try_new(&url, HttpTimeouts::for_calls()).expect("client of the log");
        let pause = Duration::from_millis(50);
        let options = PublishOptions { pause, ..PublishOptions::default() };
        ConfigurationPublisher::new(Arc::new(log), options)
    }

    /// Publishes a change and returns its revision; panics if the change is refused.
    pub async fn publish(&self, change: ChangeKind) -> u64 {
        let verdict = self.publisher().publish(change).await.expect("a verdict");
        match verdict.outcome {
            ChangeOutcome::Accepted(revision) => revision.0,
            ChangeOutcome::Refused(reason) => panic!("the change was refused: {reason}"),
        }
    }

    /// Publishes each service of the plan with one contract.
    pub async fn publish_services(&self) {
        let (engines, plain_services) = (self.plan.engines as u32, self.plan.plain_services as u32);
        let mut changes = Vec::new();
        if engines > 0 {
            changes.push(definition("copywriter", EndpointKind::Engine, engines));
            changes.push(contract("portal", "copywriter", 10));
        }
        if plain_services > 0 {
            changes.push(definition("order-desk", EndpointKind::Plain, plain_services));
            changes.push(contract("press", "order-desk", 0));
        }
        for change in changes {
            self.publish(change).await;
        }
    }

    /// Uploads a version to the origin, publishes and selects it; returns the manifest's digest.
    pub async fn publish_version(&self, version: &str) -> ContentDigest {
        let origin = self.origin.control();
        let model = checked::<ModelName>("sowing");
        let name = checked::<VersionName>(version);
        let weights = model_weights(version);
        let chunks = weights.chunks(CHUNK_BYTES);
        let chunks = chunks.map(|chunk| origin.insert(Bytes::copy_from_slice(chunk))).collect();
        let manifest = WeightManifest {
            model: model.clone(),
            version: name.clone(),
            chunk_bytes: CHUNK_BYTES as u32,
            total_bytes: MODEL_BYTES as u64,
            chunks,
        };
        let manifest = origin.insert(encode(&manifest).expect("the manifest can be encoded"));
        let size = ByteCount(MODEL_BYTES as u64);
        let published = ModelVersion { model, manifest, size };
        self.publish(ChangeKind::PublishModel(name.clone(), published)).await;
        let service = checked::<ServiceName>("copywriter");
        self.publish(ChangeKind::SelectVersion(service, name)).await;
        manifest
    }

    /// Waits until `version` is live at every engine.
    pub async fn wait_live(&self, version: ContentDigest) {
        let engines = || self.members.iter().filter_map(|member| member.engine.as_ref());
        wait_until("the version is live at every engine", || {
            engines().all(|engine| engine.live() == Some(version))
        })
        .await;
    }

    /// Waits until each entry serves streams and bookings.
    pub async fn wait_serving(&self) {
        for entry in self.members_of(MemberKind::Entry) {
            if self.plan.engines > 0 {
                self.wait_streams(self.entry(entry)).await;
            }
            if self.plan.plain_services > 0 {
                self.wait_bookings(self.entry(entry)).await;
            }
        }
    }

    /// Streams through `entry` until it has used every running engine.
    pub async fn wait_streams(&self, entry: SocketAddr) {
        let counts = || -> Vec<u64> {
            let engines = self.members.iter().filter_map(|member| member.engine.as_ref());
            engines.map(|engine| engine.counts().requests).collect()
        };
        let before = counts();
        wait_for_value("each engine is used", || async {
            let burst = (0..2 * self.plan.engines).map(|number| {
                let prompt = format!("warm-up {number}");
                async move { self.caller.complete(entry, &prompt, 2).await }
            });
            futures::future::join_all(burst).await;
            counts().iter().zip(&before).all(|(now, before)| now > before).then_some(())
        })
        .await;
    }

    /// Books through `entry` until a booking is answered.
    pub async fn wait_bookings(&self, entry: SocketAddr) {
        wait_for_value("a booking works", || async {
            let reply = self.booking_caller.book(entry, &new_key(), "warm-up").await;
            matches!(reply, BookingReply::Answer(_)).then_some(())
        })
        .await;
    }

    /// How often `order` was executed under `key`, over all plain services.
    pub fn executions(&self, key: &str, order: &str) -> u64 {
        let digest = ContentDigest::of(booking_body(key, order).as_bytes());
        let plain_services = self.members.iter().filter_map(|member| member.plain_service.as_ref());
        plain_services
            .filter_map(|plain_service| plain_service.counts().by_body.get(&digest).copied())
            .sum()
    }

    /// Number of records appended to all claim streams.
    pub fn claim_records(&self) -> u64 {
        let counts = self.log.control().counts();
        let claims = counts.end_offsets.iter().filter(|(stream, _)| stream.starts_with("claims-"));
        claims.map(|(_, end)| end.0).sum()
    }

    /// Number of calls that run now in all plain services.
    pub fn running_calls(&self) -> u32 {
        let plain_services = self.members.iter().filter_map(|member| member.plain_service.as_ref());
        plain_services.map(|plain_service| plain_service.counts().running).sum()
    }

    /// Requests in progress in `/status` of a member; 0 when it doesn't answer.
    pub async fn in_progress(&self, index: usize) -> u64 {
        let status = self.caller.get(self.members[index].listen, "/status").await;
        let status = status.and_then(|(_, text)| serde_json::from_str::<Value>(&text).ok());
        status.and_then(|status| status["in_progress"].as_u64()).unwrap_or_default()
    }

    /// Index of a member whose endpoint runs a stream or call now, by the counters of the stand-in: an
    /// engine's report lags too far.
    pub fn busy_member(&self) -> Option<usize> {
        self.members.iter().position(|member| {
            let engine = member.engine.as_ref().is_some_and(|engine| running_streams(engine) > 0);
            engine
                || member
                    .plain_service
                    .as_ref()
                    .is_some_and(|plain_service| plain_service.counts().running > 0)
        })
    }
}

/// Number of streams that have started and not ended.
pub fn running_streams(engine: &EngineControl) -> u64 {
    let counts = engine.counts();
    let ended = counts.finished + counts.cancelled + counts.abandoned;
    counts.started.saturating_sub(ended + counts.cut + counts.cut_by_crash)
}

/// Creates a new idempotency key.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn list_options() -> ListOptions {
    let raw = RawListOptions { lag_ms: 0, ..RawListOptions::default() };
    ListOptions::try_from(raw).expect("list options")
}

async fn blobs(raw: RawBlobOptions) -> RunningBlobs {
    let raw = RawBlobOptions { bytes_per_s: 1 << 30, requests_per_s: 10_000, ..raw };
    let options = BlobOptions::try_from(raw).expect("options of store or origin");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    RunningBlobs::launch(options, any).await.expect("store or origin")
}

/// Change that puts a contract whose API key is `key-TEAM`.
pub fn contract(team: &str, service: &str, tokens: u64) -> ChangeKind {
    let contract = TeamContract {
        api_key_hash: ContentDigest::of(format!("key-{team}").as_bytes()),
        service: checked::<ServiceName>(service),
        token_rate: TokenRate(tokens),
        requests_in_progress: 1,
        burst: TokenCount(0),
        displaces: Default::default(),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Wait(Duration::from_secs(10)),
        retry_budget_percent: 10,
        first_token: Duration::from_millis(420),
        objective_basis_points: 9_900,
    };
    ChangeKind::PutContract(checked::<TeamName>(team), contract)
}

fn definition(service: &str, kind: EndpointKind, endpoints: u32) -> ChangeKind {
    let tokens = if kind == EndpointKind::Engine { 800 } else { 0 };
    let definition = ServiceDefinition {
        kind,
        endpoints,
        slots_per_endpoint: 8,
        tokens_per_endpoint: TokenRate(tokens),
        version: None,
    };
    ChangeKind::PutService(checked::<ServiceName>(service), definition)
}

/// Creates weights that differ between versions and between chunks.
fn model_weights(version: &str) -> Vec<u8> {
    let blocks = (0u64..).flat_map(|block| {
        *ContentDigest::of_parts(&[version.as_bytes(), &block.to_be_bytes()]).as_bytes()
    });
    blocks.take(MODEL_BYTES).collect()
}

fn checked<T>(name: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = celeryshed_base::NameError>,
{
    T::try_from(name).expect("the name is valid")
}
