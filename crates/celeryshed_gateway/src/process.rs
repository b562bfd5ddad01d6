//! Starts the tasks of an entry, and shuts the process down after SIGTERM.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::ClockSource;
use celeryshed_dispatch::{CallerLimits, PeerAddress, RoutingSnapshot};
use celeryshed_http::{ConnectionServer, RequestBody, ServerSettings};
use celeryshed_observe::{EventLine, MetricsRegistry};
use celeryshed_peering::{
    ControlHandle, ControlStore, PeerSocket, RecordDecoder, parse_control_query,
    start_control_with_clock,
};
use celeryshed_process::{
    ProcessSignals, ResourceWatch, RoleEnd, SOCKETS_WAIT, TaskClass, TaskGroup, listen_tcp,
    listen_udp, max_open_descriptors, open_sockets, serve_metrics,
};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::context::{GatewayContext, ShutdownPhase};
use crate::dispatcher_task::{DispatcherOutputs, start_dispatcher};
use crate::peer_task::PeerTask;
use crate::request::{BufferBudget, GatewayBody, LeaseRule, handle_request};
use crate::settings::GatewaySettings;

/// Time after SIGTERM in which requests are still accepted, because the platform sends callers here
/// until two readiness checks have failed.
const ACCEPTING_PERIOD: Duration = Duration::from_millis(2500);
/// Time after that, or after the end of a task, in which requests are refused, before connections are closed.
const REFUSING_PERIOD: Duration = Duration::from_millis(700);
/// Time between the end of the process and the end of the grace period, if requests are still open.
const GRACE_MARGIN: Duration = Duration::from_millis(150);
/// Part of the memory for answers that a single answer or event may take.
const ANSWER_LEASE_RULE: LeaseRule = LeaseRule::Fraction(16);
/// Time between two checks whether connections are still open.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a start.
pub(crate) type Result<T> = celeryshed_process::Result<T>;

/// The sockets without which an entry can't serve.
struct EntrySockets {
    peers: PeerSocket,
    peer_queries: TcpListener,
    readiness: TcpListener,
    callers: TcpListener,
}

impl EntrySockets {
    /// Opens all sockets or none; that of the callers last, as it is served at once.
    fn open(settings: &GatewaySettings) -> Result<Self> {
        Ok(Self {
            peers: listen_udp("the peer socket", settings.peer_address)?.into(),
            peer_queries: listen_tcp("the peer service", settings.peer_address)?,
            readiness: listen_tcp("the readiness service", settings.readiness_address)?,
            callers: listen_tcp("the callers' service", settings.caller_address)?,
        })
    }
}

/// An entry process; [`EntryProcess::run`] starts it.
#[derive(Debug)]
pub struct EntryProcess;

impl EntryProcess {
    /// Runs an entry until SIGTERM, or until a task ends without which it can't go on, and then until
    /// its connections are closed or the grace period ends. Returns early if its sockets can't be opened.
    ///
    /// `clock` counts from the start of the process, which may be long before this call. The entry's
    /// other tasks go on until the runtime is dropped.
    pub async fn run<S: ControlStore, D: RecordDecoder>(
        settings: GatewaySettings,
        clock: ClockSource,
        signals: &mut ProcessSignals,
        store: Arc<S>,
        decoder: Arc<D>,
    ) -> Result<RoleEnd> {
        let registry = MetricsRegistry::install();
        // Opened before any connection, which could otherwise get one of the ports.
        let opened = timeout(SOCKETS_WAIT, open_sockets(|| EntrySockets::open(&settings)));
        let Some(opened) = signals.start_step(opened).await else {
            return Ok(RoleEnd::Terminated);
        };
        let Ok(sockets) = opened else { return Ok(RoleEnd::SocketsTaken) };
        let sockets = sockets?;
        let (tasks, mut ends) = TaskGroup::new();
        let upkeep = registry.clone();
        tasks.start_auxiliary("upkeep", move || upkeep.clone().run_upkeep());
        let (control, events) =
            start_control_with_clock(&tasks, clock, store, decoder, settings.control);
        let own_address = PeerAddress(settings.peer_address.to_string());
        let (dispatcher, outputs) =
            start_dispatcher(&tasks, settings.dispatcher.clone(), own_address, clock, events);
        let DispatcherOutputs { snapshot, endpoints_known, blocked_parts } = outputs;
        let (shutdown_phase, shutdown_watch) = watch::channel(ShutdownPhase::Serving);
        let (closing, closing_watch) = watch::channel(false);

        let peer_task = PeerTask::new(
            settings.peer_address,
            settings.dispatcher.clone(),
            settings.sidecar_port,
            sockets.peers,
            dispatcher.clone(),
            clock,
            control.clone(),
        );
        peer_task.start(&tasks);

        let (server_settings, settings_watch) =
            watch::channel(server_settings_of(CallerLimits::default(), settings.grace_period));
        let limits = apply_limits(snapshot.clone(), server_settings, settings.grace_period);
        tasks.start("limits", TaskClass::Essential, limits);
        let context = Arc::new(GatewayContext {
            clock,
            headers: settings.headers.clone(),
            dispatcher,
            snapshot: snapshot.clone(),
            blocked_parts,
            shutdown_phase: shutdown_watch.clone(),
            buffers: BufferBudget::new(settings.answer_memory_bytes, ANSWER_LEASE_RULE),
            bodies: BufferBudget::new(settings.body_memory_bytes, LeaseRule::FreeShare),
        });
        let (buffers, bodies) = (context.buffers.clone(), context.bodies.clone());
        let max_connections = max_caller_connections(&settings);
        let callers = ConnectionServer::new(settings_watch.clone(), closing_watch.clone())
            .with_connection_limit(max_connections);
        let watched = callers.clone();
        let resources = ResourceWatch::new(settings.memory_bytes, move || {
            vec![
                ("answers", buffers.used()),
                ("bodies", bodies.used()),
                ("connections", watched.open_connections()),
            ]
        });
        tasks.start_auxiliary("resources", move || resources.clone().run());
        let accepting = callers
            .clone()
            .run(sockets.callers, move |request, _from| handle_request(context.clone(), request));
        let is_closing = closing_watch.clone();
        tasks.start("callers", TaskClass::Essential, async move {
            accepting.await;
            if *is_closing.borrow() {
                // The end was ordered.
                std::future::pending().await
            }
        });

        // Internal connections stay open until the process ends.
        let (_internal_closing, internal_watch) = watch::channel(false);
        let internal = ConnectionServer::new(settings_watch, internal_watch);
        let ready = move || {
            snapshot.borrow().is_some()
                && *endpoints_known.borrow()
                && *shutdown_watch.borrow() == ShutdownPhase::Serving
        };
        let readiness = internal.clone().run(sockets.readiness, move |_request, _from| {
            let status = if ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            async move { status_response(status) }
        });
        tasks.start("readiness", TaskClass::Essential, readiness);
        let queries = internal
            .clone()
            .run(sockets.peer_queries, move |request, _from| answer_peer(control.clone(), request));
        tasks.start("peer_queries", TaskClass::Essential, queries);
        tasks.start_auxiliary("metrics", move || {
            serve_metrics(internal.clone(), settings.metrics_address, registry.clone())
        });
        EventLine::new("started")
            .field("role", "entry")
            .field("name", &settings.name)
            .field("callers", settings.caller_address)
            .field("max_connections", max_connections)
            .field("ready", settings.readiness_address)
            .field("peers", settings.peer_address)
            .field("metrics", settings.metrics_address)
            .info();

        let cause = tokio::select! {
            () = signals.terminated() => RoleEnd::Terminated,
            _ended = ends.next() => RoleEnd::TaskEnded,
        };
        let started = Instant::now();
        EventLine::new("drain_started").field("open", callers.open_connections()).info();
        let drained = async {
            if cause == RoleEnd::Terminated {
                shutdown_phase.send_replace(ShutdownPhase::Draining);
                sleep(ACCEPTING_PERIOD).await;
            }
            shutdown_phase.send_replace(ShutdownPhase::Refusing);
            sleep(REFUSING_PERIOD).await;
            closing.send_replace(true);
            while callers.open_connections() > 0 {
                sleep(DRAIN_INTERVAL).await;
            }
        };
        let end_at = started + settings.grace_period.saturating_sub(GRACE_MARGIN);
        let mut drained = pin!(timeout_at(end_at, drained));
        let end = tokio::select! {
            _ = &mut drained => cause,
            () = signals.terminated(), if cause == RoleEnd::TaskEnded => {
                let _ = drained.await;
                RoleEnd::Terminated
            }
        };
        let event = if end == RoleEnd::Terminated { "stopped" } else { "role_stopped" };
        EventLine::new(event)
            .field("role", "entry")
            .field("open", callers.open_connections())
            .field("elapsed_ms", started.elapsed().as_millis())
            .info();
        Ok(end)
    }
}

/// Most connections of callers. A system that allows fewer descriptors than the settings name must
/// still have some left for endpoints, peers and the store.
fn max_caller_connections(settings: &GatewaySettings) -> usize {
    settings.max_caller_connections.min(max_open_descriptors() / 4 * 3)
}

/// A caller that receives nothing is given up after the time that open requests get in a shutdown.
fn server_settings_of(limits: CallerLimits, grace_period: Duration) -> ServerSettings {
    ServerSettings {
        max_head_bytes: limits.max_head_bytes,
        idle_timeout: limits.idle_timeout,
        write_timeout: limits.idle_timeout.max(grace_period),
    }
}

/// Applies the limits of each new configuration to the callers' connections.
async fn apply_limits(
    mut snapshot: watch::Receiver<Option<Arc<RoutingSnapshot>>>,
    settings: watch::Sender<ServerSettings>,
    grace_period: Duration,
) {
    while snapshot.changed().await.is_ok() {
        let limits = snapshot.borrow_and_update().as_ref().map(|snapshot| snapshot.limits);
        settings.send_replace(server_settings_of(limits.unwrap_or_default(), grace_period));
    }
}

async fn answer_peer(
    control: ControlHandle,
    request: Request<RequestBody>,
) -> Response<GatewayBody> {
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    let Some(query) = parse_control_query(target) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    match control.answer_query(query).await {
        Some(bytes) => Response::new(GatewayBody::whole(bytes)),
        None => status_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn status_response(status: StatusCode) -> Response<GatewayBody> {
    let mut response = Response::new(GatewayBody::whole(""));
    *response.status_mut() = status;
    response
}
