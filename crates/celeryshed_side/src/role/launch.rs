//! Starts and drains a sidecar.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ByteCount, ClockSource, ContentDigest, ProcessIncarnation};
use celeryshed_core::booking::RegisterOptions;
use celeryshed_core::configuration::EndpointKind;
use celeryshed_core::distribution::{DistributionGoal, ExternalSource};
use celeryshed_observe::{EventLine, MetricsRegistry};
use celeryshed_platform::{
    BlobClient, HttpBlobClient, HttpListClient, HttpLogClient, HttpTimeouts, LogClient,
};
use celeryshed_server::{
    HealthProbe, ReadyState, RoleResult as Result, RunningServer, ServerOptions, follow_gauge,
    health_routes, launch_server, part_error,
};
use celeryshed_settings::{SideSettings, WeightGoal, WeightSettings};
use celeryshed_wire::ProcessStatus;
use rocket::serde::json::Json;
use rocket::{State, get, routes};
use tokio::sync::watch;

use super::status::StatusSources;
use crate::attempts::{
    self, AttemptInputs, AttemptOptions, AttemptsHandle, DrainState, EndpointTarget,
};
use crate::claims::{ClaimHandle, ClaimOptions, claim_routes, spawn_claims};
use crate::configuration::{
    ConfigurationClients, ConfigurationHandle, EndpointStatus, HttpEntryClient, ReportOptions,
    SideIdentity, configuration_routes, spawn_configuration,
};
use crate::weights::{
    self, HttpEngineLoader, HttpPeerClient, WeightsHandle, WeightsInputs, WeightsOptions,
};

/// Timeout of calls to entries.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections to other sidecars are closed well before the server there would close them.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// 1 Mbit/s in bytes a second.
const BYTES_PER_MBIT: u64 = 125_000;

/// Shortest drain. Until the entries have received a report of the drain, they still send attempts,
/// which must be refused: if the port closed at once, the outcome of a dispatch in transit would be
/// unknown.
const MIN_DRAIN: Duration = Duration::from_secs(3);

/// A running sidecar.
pub struct SideRole {
    server: RunningServer,
    drain: watch::Sender<DrainState>,
    attempts: AttemptsHandle,
    claims: ClaimHandle,
}

impl SideRole {
    /// Starts the tasks and the server.
    pub async fn launch(settings: &SideSettings) -> Result<Self> {
        let clock = ClockSource::start();
        let incarnation = ProcessIncarnation::random();
        let log = platform_log(settings)?;
        let (drain, drain_watch) = watch::channel(DrainState::Serving);
        let (status, status_watch) = watch::channel(EndpointStatus::default());
        let configuration = start_configuration(settings, clock, incarnation, status_watch)?;
        let claims = spawn_claims(log.clone(), clock, incarnation, claim_options(settings));
        let weights = start_weights(settings, clock, incarnation, log.clone(), &configuration)?;
        let live_version = match &weights {
            Some(weights) => weights.live_version(),
            None => watch::channel(None).1,
        };
        let attempts = start_attempts(
            settings,
            &configuration,
            live_version.clone(),
            drain_watch.clone(),
            &claims,
            log,
        )?;
        let gauge_version = live_version.clone();
        let sources = StatusSources {
            kind: settings.endpoint.kind,
            live_version,
            attempts: attempts.clone(),
            drain: drain_watch.clone(),
        };
        spawn_gauges(settings, &configuration, &attempts, gauge_version);
        tokio::spawn(sources.follow(status));
        tokio::spawn(drain_when_leaving(configuration.subscribe_leaving(), drain.clone()));
        let reporter = StatusReporter {
            settings: settings.clone(),
            incarnation,
            configuration: configuration.clone(),
            load: attempts.load(),
            drain: drain_watch,
        };
        let health_reporter = reporter.clone();
        let registry = MetricsRegistry::install();
        tokio::spawn(registry.clone().run_upkeep());
        let mut rocket = rocket::build()
            .manage(HealthProbe::new(move || health_reporter.ready()))
            .manage(registry)
            .manage(reporter)
            .manage(configuration)
            .manage(attempts.clone())
            .manage(claims.clone())
            .mount("/", health_routes())
            .mount("/", routes![process_status])
            .mount("/", configuration_routes())
            .mount("/", claim_routes())
            .mount("/", attempts::routes());
        if let Some(weights) = weights {
            rocket = rocket.manage(weights).mount("/", weights::routes());
        }
        let options = ServerOptions::new(settings.instance.listen);
        let server = launch_server(options, rocket).await?;
        EventLine::new("started")
            .field("role", "side")
            .field("instance", &settings.instance.name)
            .field("address", server.address())
            .field("incarnation", incarnation)
            .field("checks_fence", settings.endpoint.checks_fence)
            .info();
        Ok(Self { server, drain, attempts, claims })
    }

    /// IP address and port on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses new work, finishes running attempts, records their outcomes and stops the server.
    pub async fn drain(self) {
        self.drain.send_replace(DrainState::Draining);
        tokio::time::sleep(MIN_DRAIN).await;
        self.attempts.wait_until_idle().await;
        self.claims.wait_recorded().await;
        self.server.stop().await;
    }
}

/// Updates the sidecar's gauges when their values change.
fn spawn_gauges(
    settings: &SideSettings,
    configuration: &ConfigurationHandle,
    attempts: &AttemptsHandle,
    live_version: watch::Receiver<Option<ContentDigest>>,
) {
    let instance = settings.instance.name.to_string();
    let (states, load) = (configuration.subscribe_state(), attempts.load());
    tokio::spawn(async move {
        tokio::join!(
            follow_gauge("celeryshed_configuration_revision", &instance, states, |state| {
                state.as_ref().map_or(-1.0, |state| state.revision.0 as f64)
            }),
            follow_gauge("celeryshed_attempts_in_progress", &instance, load, |load| {
                f64::from(load.running)
            }),
            follow_gauge("celeryshed_version_live", &instance, live_version, |version| {
                f64::from(u8::from(version.is_some()))
            }),
        );
    });
}

/// Starts the drain when the platform lists this instance as leaving.
async fn drain_when_leaving(mut leaving: watch::Receiver<bool>, drain: watch::Sender<DrainState>) {
    if leaving.wait_for(|leaving| *leaving).await.is_ok() {
        EventLine::new("listed_as_leaving").info();
        drain.send_replace(DrainState::Draining);
    }
}

fn platform_log(settings: &SideSettings) -> Result<Arc<dyn LogClient>> {
    let log = HttpLogClient::try_new(&settings.platform.log_url, HttpTimeouts::for_calls());
    Ok(Arc::new(log.map_err(part_error("client of the log"))?))
}

fn start_configuration(
    settings: &SideSettings,
    clock: ClockSource,
    incarnation: ProcessIncarnation,
    status: watch::Receiver<EndpointStatus>,
) -> Result<ConfigurationHandle> {
    let list = HttpListClient::try_new(&settings.platform.list_url, HttpTimeouts::for_calls());
    let entries = HttpEntryClient::try_new(ENTRY_TIMEOUT);
    let clients = ConfigurationClients {
        list: Arc::new(list.map_err(part_error("client of the list"))?),
        entries: Arc::new(entries.map_err(part_error("client of entries"))?),
        status,
    };
    let instance = &settings.instance;
    let identity = SideIdentity {
        instance: instance.name.clone(),
        incarnation,
        address: instance.advertise.to_string(),
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        service: settings.endpoint.service.clone(),
    };
    let report_interval = settings.report_interval;
    let options = ReportOptions { report_interval, ..ReportOptions::default() };
    spawn_configuration(identity, options, clock, clients).map_err(part_error("configuration"))
}

fn claim_options(settings: &SideSettings) -> ClaimOptions {
    let window = settings.booking_window;
    let register = RegisterOptions { window, ..RegisterOptions::default() };
    ClaimOptions { register, ..ClaimOptions::default() }
}

fn start_weights(
    settings: &SideSettings,
    clock: ClockSource,
    incarnation: ProcessIncarnation,
    log: Arc<dyn LogClient>,
    configuration: &ConfigurationHandle,
) -> Result<Option<WeightsHandle>> {
    if settings.endpoint.kind == EndpointKind::Plain {
        return Ok(None);
    }
    let client = reqwest::Client::builder().no_proxy().pool_idle_timeout(POOL_IDLE_TIMEOUT).build();
    let client = client.map_err(part_error("client of other sidecars"))?;
    let blobs = |url: &str| -> Result<Arc<dyn BlobClient>> {
        let blobs = HttpBlobClient::try_new(url, HttpTimeouts::for_blobs());
        Ok(Arc::new(blobs.map_err(part_error("client of weights"))?))
    };
    let external_sources = BTreeMap::from([
        (ExternalSource::Store, blobs(&settings.platform.store_url)?),
        (ExternalSource::Origin, blobs(&settings.platform.origin_url)?),
    ]);
    let inputs = WeightsInputs {
        instance: settings.instance.name.clone(),
        incarnation,
        region: settings.instance.region.clone(),
        service: settings.endpoint.service.clone(),
        configuration: configuration.subscribe_state(),
        members: configuration.subscribe_view(),
        peers: Arc::new(HttpPeerClient::new(client.clone())),
        external_sources,
        log,
        engine: Arc::new(HttpEngineLoader::new(client, settings.endpoint.address.to_string())),
        clock,
    };
    let options = weights_options(&settings.weights, settings);
    weights::spawn(inputs, options).map(Some).map_err(part_error("weights"))
}

fn weights_options(weights: &WeightSettings, settings: &SideSettings) -> WeightsOptions {
    let home_region =
        weights.store_region.clone().unwrap_or_else(|| settings.instance.region.clone());
    let mut options =
        WeightsOptions::new(home_region, ByteCount(weights.link_mbit_per_s * BYTES_PER_MBIT));
    options.goal = match weights.weighing {
        WeightGoal::Time => DistributionGoal::Time,
        WeightGoal::OriginBytes => DistributionGoal::OriginBytes,
    };
    options.fetch.memory = ByteCount(weights.chunk_memory_mib << 20);
    options.fetch.parallel_fetches = weights.parallel_fetches as usize;
    options
}

fn start_attempts(
    settings: &SideSettings,
    configuration: &ConfigurationHandle,
    live_version: watch::Receiver<Option<ContentDigest>>,
    drain: watch::Receiver<DrainState>,
    claims: &ClaimHandle,
    log: Arc<dyn LogClient>,
) -> Result<AttemptsHandle> {
    let endpoint = &settings.endpoint;
    let url = format!("http://{}", endpoint.address);
    let target = match endpoint.kind {
        EndpointKind::Engine => EndpointTarget::Engine(url),
        EndpointKind::Plain => EndpointTarget::Plain(url),
    };
    let instance = settings.instance.name.clone();
    let mut options =
        AttemptOptions::new(instance, endpoint.service.clone(), target, endpoint.slots);
    options.max_request_time = settings.max_request;
    let inputs = AttemptInputs {
        options,
        configuration: configuration.subscribe_state(),
        live_version,
        drain,
        claims: claims.clone(),
        members: configuration.subscribe_view(),
        log,
    };
    attempts::spawn(inputs).map_err(part_error("attempts"))
}

/// Source of the replies to `/status` and `/readyz`.
#[derive(Clone)]
struct StatusReporter {
    settings: SideSettings,
    incarnation: ProcessIncarnation,
    configuration: ConfigurationHandle,
    load: watch::Receiver<celeryshed_core::admission::SlotLoad>,
    drain: watch::Receiver<DrainState>,
}

impl StatusReporter {
    fn draining(&self) -> bool {
        *self.drain.borrow() == DrainState::Draining
    }

    fn ready(&self) -> ReadyState {
        if self.draining() {
            return ReadyState::Draining;
        }
        match self.configuration.revision() {
            Some(_) => ReadyState::Ready,
            None => ReadyState::Starting("no configuration is known yet".to_owned()),
        }
    }

    fn status(&self) -> ProcessStatus {
        ProcessStatus {
            instance: self.settings.instance.name.clone(),
            role: "side".to_owned(),
            incarnation: self.incarnation,
            revision: self.configuration.revision(),
            draining: self.draining(),
            in_progress: self.load.borrow().running,
        }
    }
}

#[get("/status")]
fn process_status(reporter: &State<StatusReporter>) -> Json<ProcessStatus> {
    Json(reporter.status())
}
