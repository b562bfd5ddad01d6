//! Starts and drains an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, ProcessIncarnation};
use celeryshed_core::membership::{MemberState, MembershipView};
use celeryshed_observe::{EventLine, MetricsRegistry};
use celeryshed_platform::{HttpListClient, HttpLogClient, HttpTimeouts, LogClient};
use celeryshed_server::{
    HealthProbe, ReadyState, RoleResult as Result, RunningServer, ServerOptions, follow_gauge,
    health_routes, launch_server, part_error,
};
use celeryshed_settings::EntrySettings;
use celeryshed_wire::{ENTRY_HEADER, ProcessStatus};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use rocket::serde::json::Json;
use rocket::{State, get, routes};
use tokio::sync::watch;

use super::feeds::{crash_exchange, spawn_feeds};
use crate::bookings::{
    BookingHandle, BookingInputs, BookingOptions, BookingSettings, HttpDispatchClient,
    HttpForwardClient, booking_routes, start_bookings,
};
use crate::completions::{
    self, CompletionInputs, CompletionOptions, CompletionsHandle, DrainState, HttpSideClient,
};
use crate::configuration::{
    ConfigurationClients, ConfigurationHandle, ConfigurationOptions, CrashExchange,
    HttpConfigurationClient, ProcessIdentity, configuration_routes, spawn_configuration,
};
use crate::membership::{
    HttpProbeClient, MembershipHandle, MembershipOptions, membership_routes, spawn_membership,
};

/// Timeout of a revision exchange or a probe.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which idle connections are closed, well before their server would close them.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a connection attempt to a sidecar or an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest drain. Until the load balancer stops sending requests, they are answered with a refusal;
/// closing the port at once would drop the ones in transit without a reply.
const MIN_DRAIN: Duration = Duration::from_secs(3);

/// A running entry.
pub struct EntryRole {
    server: RunningServer,
    drain: watch::Sender<DrainState>,
    completions: CompletionsHandle,
}

impl EntryRole {
    /// Starts the tasks and the server.
    pub async fn launch(settings: &EntrySettings) -> Result<Self> {
        let clock = ClockSource::start();
        let incarnation = ProcessIncarnation::random();
        let identity = ProcessIdentity {
            instance: settings.instance.name.clone(),
            incarnation,
            address: settings.instance.advertise.to_string(),
        };
        let log = HttpLogClient::try_new(&settings.platform.log_url, HttpTimeouts::for_calls());
        let log: Arc<dyn LogClient> = Arc::new(log.map_err(part_error("client of the log"))?);
        let (drain, drain_watch) = watch::channel(DrainState::Serving);
        let membership = start_membership(settings, &identity, clock)?;
        let (exchange, crash_feed) = crash_exchange();
        let configuration = start_configuration(settings, &identity, &log, &membership, exchange)?;
        let bookings = start_booking_tasks(settings, Arc::clone(&log), clock, &membership)?;
        let inputs = CompletionInputs {
            options: completion_options(settings),
            configuration: configuration.subscribe_state(),
            members: membership.subscribe_view(),
            drain: drain_watch.clone(),
            sides: Arc::new(HttpSideClient::new(http_client(settings)?)),
            bookings: Arc::new(bookings.clone()),
            log,
        };
        let completions = completions::spawn(inputs).map_err(part_error("completions"))?;
        spawn_feeds(membership.subscribe_reports(), crash_feed, &completions);
        spawn_gauges(settings, &configuration, &membership, &completions);
        let reporter = StatusReporter {
            settings: settings.clone(),
            incarnation,
            configuration: configuration.clone(),
            in_progress: completions.in_progress(),
            drain: drain_watch,
        };
        let ready_reporter = reporter.clone();
        let registry = MetricsRegistry::install();
        tokio::spawn(registry.clone().run_upkeep());
        let rocket = rocket::build()
            .manage(HealthProbe::new(move || ready_reporter.ready()))
            .manage(registry)
            .manage(reporter)
            .manage(identity)
            .manage(configuration)
            .manage(membership)
            .manage(bookings)
            .manage(completions.clone())
            .mount("/", health_routes())
            .mount("/", routes![process_status])
            .mount("/", configuration_routes())
            .mount("/", membership_routes())
            .mount("/", booking_routes())
            .mount("/", completions::routes());
        let options = ServerOptions::new(settings.instance.listen);
        let server = launch_server(options, rocket).await?;
        EventLine::new("started")
            .field("role", "entry")
            .field("instance", &settings.instance.name)
            .field("address", server.address())
            .field("incarnation", incarnation)
            .info();
        Ok(Self { server, drain, completions })
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses new requests, waits until the running ones have ended, and stops the server.
    pub async fn drain(self) {
        self.drain.send_replace(DrainState::Draining);
        tokio::time::sleep(MIN_DRAIN).await;
        let in_progress = *self.completions.in_progress().borrow();
        EventLine::new("drain_waits").field("requests", in_progress).info();
        self.completions.wait_until_idle().await;
        EventLine::new("drain_requests_ended").info();
        self.server.stop().await;
    }
}

/// Keeps the entry's gauges current.
fn spawn_gauges(
    settings: &EntrySettings,
    configuration: &ConfigurationHandle,
    membership: &MembershipHandle,
    completions: &CompletionsHandle,
) {
    let instance = settings.instance.name.to_string();
    let (states, views, progress) =
        (configuration.subscribe_state(), membership.subscribe_view(), completions.in_progress());
    tokio::spawn(async move {
        let live = |view: &Arc<MembershipView>| {
            let states = view.sides.values().filter(|side| side.state == MemberState::Live);
            states.count() as f64
        };
        tokio::join!(
            follow_gauge("celeryshed_configuration_revision", &instance, states, |state| {
                state.as_ref().map_or(-1.0, |state| state.revision.0 as f64)
            }),
            follow_gauge("celeryshed_live_endpoints", &instance, views, live),
            follow_gauge("celeryshed_requests_in_progress", &instance, progress, |count| {
                f64::from(*count)
            }),
        );
    });
}

/// Creates a client whose requests name this entry's address in a header.
///
/// A sidecar that is leaving notifies the entries that sent it requests.
fn http_client(settings: &EntrySettings) -> Result<reqwest::Client> {
    let address = settings.instance.advertise.to_string();
    let address = HeaderValue::try_from(address).map_err(part_error("client of sidecars"))?;
    let headers = HeaderMap::from_iter([(HeaderName::from_static(ENTRY_HEADER), address)]);
    let builder = reqwest::Client::builder().no_proxy().redirect(reqwest::redirect::Policy::none());
    let builder = builder.connect_timeout(CONNECT_TIMEOUT).pool_idle_timeout(POOL_IDLE_TIMEOUT);
    let builder = builder.default_headers(headers);
    builder.build().map_err(part_error("client of sidecars and entries"))
}

fn start_membership(
    settings: &EntrySettings,
    identity: &ProcessIdentity,
    clock: ClockSource,
) -> Result<MembershipHandle> {
    let list = HttpListClient::try_new(&settings.platform.list_url, HttpTimeouts::for_calls());
    let list = Arc::new(list.map_err(part_error("client of the list"))?);
    let sides = HttpProbeClient::try_new(PEER_TIMEOUT).map_err(part_error("client of sidecars"))?;
    let options = MembershipOptions::default();
    spawn_membership(identity.clone(), options, clock, list, Arc::new(sides))
        .map_err(part_error("membership"))
}

fn start_configuration(
    settings: &EntrySettings,
    identity: &ProcessIdentity,
    log: &Arc<dyn LogClient>,
    membership: &MembershipHandle,
    crashes: CrashExchange,
) -> Result<ConfigurationHandle> {
    let peers =
        HttpConfigurationClient::try_new(PEER_TIMEOUT).map_err(part_error("client of entries"))?;
    let clients = ConfigurationClients {
        log: Arc::clone(log),
        peers: Arc::new(peers),
        members: membership.subscribe_view(),
        crashes: Some(crashes),
    };
    let options = ConfigurationOptions {
        poll_interval: settings.poll_interval,
        log_retention: settings.log_retention,
        ..ConfigurationOptions::default()
    };
    spawn_configuration(identity.clone(), options, clients).map_err(part_error("configuration"))
}

fn start_booking_tasks(
    settings: &EntrySettings,
    log: Arc<dyn LogClient>,
    clock: ClockSource,
    membership: &MembershipHandle,
) -> Result<BookingHandle> {
    let client = http_client(settings)?;
    let inputs = BookingInputs {
        log,
        sides: Arc::new(HttpDispatchClient::new(client.clone())),
        entries: Arc::new(HttpForwardClient::new(client)),
        clock,
        instance: settings.instance.name.clone(),
        members: membership.subscribe_view(),
    };
    let booking_settings = BookingSettings {
        claim_partitions: settings.claim_partitions,
        window: settings.booking_window,
        log_retention: settings.log_retention,
        ..BookingSettings::default()
    };
    let options = BookingOptions::try_from(booking_settings).map_err(part_error("bookings"))?;
    Ok(start_bookings(inputs, options))
}

fn completion_options(settings: &EntrySettings) -> CompletionOptions {
    let instance = settings.instance.clone();
    let mut options = CompletionOptions::new(instance.name, instance.zone, instance.region);
    options.max_request = settings.max_request;
    options.queues.length = settings.queue_limit as usize;
    options
}

/// Answers `/status` and `/readyz`.
#[derive(Clone)]
struct StatusReporter {
    settings: EntrySettings,
    incarnation: ProcessIncarnation,
    configuration: ConfigurationHandle,
    in_progress: watch::Receiver<u32>,
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
            role: "entry".to_owned(),
            incarnation: self.incarnation,
            revision: self.configuration.revision(),
            draining: self.draining(),
            in_progress: *self.in_progress.borrow(),
        }
    }
}

#[get("/status")]
fn process_status(reporter: &State<StatusReporter>) -> Json<ProcessStatus> {
    Json(reporter.status())
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
