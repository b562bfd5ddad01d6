//! Starts the tasks of a sidecar; they run until SIGTERM.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::ClockSource;
use celeryshed_dispatch::{PeerAudience, UploadPacer};
use celeryshed_http::{ConnectionServer, ServerSettings};
use celeryshed_observe::{EventLine, MetricsRegistry};
use celeryshed_peering::{
    ControlHandle, ControlStore, PeerSocket, RecordDecoder, start_control_with_clock,
};
use celeryshed_process::{
    ProcessSignals, ResourceWatch, RoleEnd, SOCKETS_WAIT, TaskClass, TaskGroup, listen_tcp,
    listen_udp, open_sockets, serve_metrics,
};
use tokio::net::TcpListener;
use tokio::sync::{Mutex, Semaphore, watch};
use tokio::time::timeout;

use crate::endpoint_stage::EndpointStage;
use crate::fetch_task::FetchTask;
use crate::inventory_task::{InventoryMap, InventoryTask, MAX_INVENTORIES};
use crate::piece_store::PieceStore;
use crate::pieces::{PieceServer, read_memory_bytes};
use crate::platform::WeightPlatform;
use crate::settings::SidecarSettings;
use crate::stage_task::{EndpointCondition, StageTask};
use crate::status_task::StatusTask;
use crate::view::{StageView, start_view};

/// Largest head of a request from another sidecar or a metrics client, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most sidecars that are asked for the operators' records at the start.
const MAX_QUERIED_SIDECARS: usize = 3;
/// Nearest sidecars among which the first one to ask is chosen at random.
const NEAREST_CANDIDATES: usize = 8;
/// Time after which an idle incoming connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a start.
pub(crate) type Result<T> = celeryshed_process::Result<T>;

/// The sockets without which a sidecar can't serve.
struct SidecarSockets {
    peers: PeerSocket,
    pieces: TcpListener,
}

impl SidecarSockets {
    /// Opens all sockets or none.
    fn open(settings: &SidecarSettings) -> Result<Self> {
        Ok(Self {
            peers: listen_udp("the peer socket", settings.peer_address)?.into(),
            pieces: listen_tcp("the piece service", settings.peer_address)?,
        })
    }
}

/// The process of a sidecar.
#[derive(Debug)]
pub struct SidecarProcess;

impl SidecarProcess {
    /// Runs a sidecar until SIGTERM, or until a task ends without which it can't go on; returns early if
    /// its sockets can't be opened. SIGHUP only logs an event: the settings of a running sidecar are not
    /// read again.
    ///
    /// Its other tasks go on until the runtime is dropped.
    pub async fn run<S, D, P>(
        settings: SidecarSettings,
        signals: &mut ProcessSignals,
        store: Arc<S>,
        decoder: Arc<D>,
        platform: Arc<P>,
    ) -> Result<RoleEnd>
    where
        S: ControlStore,
        D: RecordDecoder,
        P: WeightPlatform,
    {
        let settings = Arc::new(settings);
        let clock = ClockSource::start();
        let registry = MetricsRegistry::install();
        // Opened before any connection, which could otherwise get one of the ports.
        let opened = timeout(SOCKETS_WAIT, open_sockets(|| SidecarSockets::open(&settings)));
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
        let view = start_view(&tasks, clock, settings.versions, events);
        let (store_sender, store_watch) = watch::channel(PieceStore::default());
        let piece_store = Arc::new(store_sender);
        let watched = store_watch.clone();
        let resources = ResourceWatch::new(settings.memory_bytes, move || {
            vec![("pieces", watched.borrow().memory_bytes())]
        });
        tasks.start_auxiliary("resources", move || resources.clone().run());
        let (condition, condition_watch) = watch::channel(EndpointCondition::default());

        let socket = Arc::new(sockets.peers);
        let (inventories, inventories_watch) = watch::channel(InventoryMap::new(MAX_INVENTORIES));
        let status_task = StatusTask {
            settings: settings.clone(),
            socket: socket.clone(),
            control: control.clone(),
            condition: condition_watch,
            clock,
            view: view.clone(),
            inventories,
        };
        status_task.start(&tasks);

        let (_settings, server_settings) = watch::channel(ServerSettings {
            max_head_bytes: MAX_HEAD_BYTES,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: IDLE_TIMEOUT,
        });
        let (_closing, closing) = watch::channel(false);
        let server = ConnectionServer::new(server_settings, closing);
        for audience in PeerAudience::ALL {
            let inventory_task = InventoryTask {
                audience,
                settings: settings.clone(),
                clock,
                socket: socket.clone(),
                view: view.clone(),
                store: store_watch.clone(),
                inventories: inventories_watch.clone(),
            };
            tasks.start("inventories", TaskClass::Essential, inventory_task.run());
        }
        let fetching =
            fetch_operator_records(settings.clone(), clock, view.clone(), control.clone());
        tasks.start("first_records", TaskClass::Finite, fetching);
        let pieces = Arc::new(PieceServer {
            clock,
            control,
            platform: platform.clone(),
            store: store_watch,
            pacer: Mutex::new(UploadPacer::new(settings.link_bits_per_s)),
            settings: settings.clone(),
            view: view.clone(),
            read_memory: Arc::new(Semaphore::new(read_memory_bytes(&settings))),
        });
        let serving = server.clone().run(sockets.pieces, move |request, _from| {
            let pieces = pieces.clone();
            async move { pieces.serve(request).await }
        });
        tasks.start("pieces", TaskClass::Essential, serving);
        let metrics_address = settings.metrics_address;
        tasks.start_auxiliary("metrics", move || {
            serve_metrics(server.clone(), metrics_address, registry.clone())
        });
        let stage = Arc::new(EndpointStage::new(platform.clone()));
        let fetch_task = FetchTask {
            settings: settings.clone(),
            clock,
            platform: platform.clone(),
            stage: stage.clone(),
            view: view.clone(),
            store: piece_store.clone(),
            inventories: inventories_watch,
        };
        tasks.start("fetches", TaskClass::Essential, fetch_task.run());
        let stage_task = StageTask {
            settings: settings.clone(),
            clock,
            platform,
            stage,
            view,
            store: piece_store,
            condition,
        };
        tasks.start("stage", TaskClass::Essential, stage_task.run());
        EventLine::new("started")
            .field("role", "side")
            .field("name", &settings.name)
            .field("endpoint", &settings.endpoint)
            .field("peers", settings.peer_address)
            .field("metrics", settings.metrics_address)
            .info();
        let (end, event) = tokio::select! {
            () = signals.terminated() => (RoleEnd::Terminated, "stopped"),
            _ended = ends.next() => (RoleEnd::TaskEnded, "role_stopped"),
        };
        EventLine::new(event).field("role", "side").info();
        Ok(end)
    }
}

/// Fetches the operators' records from other sidecars, which can be asked before the first entry
/// has sent a heartbeat.
async fn fetch_operator_records(
    settings: Arc<SidecarSettings>,
    clock: ClockSource,
    mut view: watch::Receiver<Arc<StageView>>,
    control: ControlHandle,
) {
    let sidecars = loop {
        if view.changed().await.is_err() {
            return;
        }
        let sidecars = view.borrow_and_update().nearest_sidecars(clock.now(), &settings);
        if !sidecars.is_empty() {
            break sidecars;
        }
    };
    let first = rand::random_range(0..sidecars.len().min(NEAREST_CANDIDATES));
    for sidecar in sidecars.iter().skip(first).take(MAX_QUERIED_SIDECARS) {
        if control.has_operator_records() {
            return;
        }
        control.fetch_from(sidecar).await;
        // Lets the control task apply the reply before the next check.
        tokio::task::yield_now().await;
    }
}
