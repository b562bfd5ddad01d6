//! Running engine and its control handle.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use celeryshed_base::{AttemptId, ClockSource, ContentDigest};
use celeryshed_wire::{EngineCommand, EngineEvent, EngineLoad, EngineRequest};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;

use super::commands::CommandOutcome;
use super::core::EngineCore;
use super::counts::{EngineCounts, EngineFaults};
use super::options::EngineOptions;
use super::routes::engine_routes;
use super::stream::{Rejection, StreamPiece};
use crate::error::Result;
use crate::faults::{apply_call_faults, lock};
use crate::reply::Reply;
use crate::server::ServerTask;

/// Running engine with an HTTP server.
#[derive(Debug)]
pub struct RunningEngine {
    server: ServerTask,
    control: EngineControl,
    driver: JoinHandle<()>,
}

/// Cloneable handle that sets the faults of an engine, reads its counters and calls the engine
/// without HTTP.
#[derive(Clone, Debug)]
pub struct EngineControl {
    core: Arc<Mutex<EngineCore>>,
    changed: Arc<Notify>,
}

impl RunningEngine {
    /// Launches an engine at `bind_addr`; port 0 selects a free port.
    ///
    /// ```
    /// use celeryshed_standin::engine::{EngineOptions, RunningEngine};
    /// let runtime = tokio::runtime::Runtime::new().unwrap();
    /// runtime.block_on(async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let engine = RunningEngine::launch(EngineOptions::default(), address).await.unwrap();
    ///     assert_eq!(engine.control().counts().requests, 0);
    ///     engine.stop().await;
    /// });
    /// ```
    pub async fn launch(options: EngineOptions, bind_addr: SocketAddr) -> Result<Self> {
        let (control, driver) = EngineControl::start(options);
        let managed = control.clone();
        let launch = ServerTask::launch(bind_addr, |rocket| {
            rocket.manage(managed).mount("/", engine_routes())
        });
        let server = launch.await.inspect_err(|_| driver.abort())?;
        Ok(Self { server, control, driver })
    }

    /// Bound address, with the actual port when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Control handle, which can outlive the server.
    pub fn control(&self) -> EngineControl {
        self.control.clone()
    }

    /// Stops the engine, ends all streams without `[DONE]` and closes the port.
    pub async fn stop(self) {
        self.driver.abort();
        self.control.end_all_streams();
        self.server.stop().await;
    }
}

impl EngineControl {
    /// Starts an engine without a server. The returned task advances the engine; aborting the task
    /// stops the engine.
    ///
    /// ```
    /// use celeryshed_standin::engine::{EngineControl, EngineOptions};
    /// let runtime = tokio::runtime::Runtime::new().unwrap();
    /// runtime.block_on(async {
    ///     let (engine, driver) = EngineControl::start(EngineOptions::default());
    ///     assert_eq!(engine.load().unwrap().running, 0);
    ///     driver.abort();
    /// });
    /// ```
    pub fn start(options: EngineOptions) -> (Self, JoinHandle<()>) {
        let core = EngineCore::new(options, ClockSource::start());
        let control = Self { core: Arc::new(Mutex::new(core)), changed: Arc::default() };
        let driver = tokio::spawn(control.clone().drive());
        (control, driver)
    }

    /// Queues a completion and returns the receiver of its stream.
    pub fn complete(
        &self,
        request: EngineRequest,
    ) -> std::result::Result<UnboundedReceiver<StreamPiece>, Rejection> {
        let (sender, receiver) = unbounded_channel();
        self.update(|core| core.submit(request, sender))?;
        Ok(receiver)
    }

    /// Ends the completion of an attempt without `Done`; returns false if the attempt is unknown.
    pub fn cancel(&self, attempt_id: AttemptId) -> bool {
        self.update(|core| core.cancel(attempt_id))
    }

    /// Runs a command and waits for its result; `None` if the engine is down or crashes meanwhile.
    pub async fn command(&self, command: EngineCommand) -> Option<CommandOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.update(|core| core.command(command, sender));
        receiver.await.ok()
    }

    /// Stores a chunk of a version, or its manifest if `index` is
    /// [`celeryshed_wire::MANIFEST_CHUNK_INDEX`].
    pub fn put_chunk(
        &self,
        version: ContentDigest,
        index: u32,
        content: &[u8],
    ) -> std::result::Result<(), String> {
        self.lock().put_chunk(version, index, content)
    }

    /// Load report, delayed by `report_lag_ms` of the options; `None` if the engine is down.
    pub fn load(&self) -> Option<EngineLoad> {
        self.update(|core| {
            core.advance();
            core.reported_load()
        })
    }

    /// Published cache events with sequence number `from` or higher, in order. Lost events are
    /// missing and recent events appear after `event_delay_ms` of the options.
    pub fn events(&self, from: u64) -> Vec<EngineEvent> {
        self.lock().published_events(from)
    }

    /// Replaces all faults; `crash` takes effect at once.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.update(|core| core.set_faults(faults));
    }

    /// Current faults.
    pub fn faults(&self) -> EngineFaults {
        self.lock().faults.clone()
    }

    /// Counters since the launch, over all crashes.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts.clone()
    }

    /// Version that is live now, without the delay of load reports; `None` if no version is live.
    pub fn live(&self) -> Option<ContentDigest> {
        self.lock().live
    }

    pub(super) fn is_down(&self) -> bool {
        self.lock().is_down()
    }

    pub(super) async fn apply_call_faults(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        apply_call_faults(latency, || self.lock().faults.outage).await
    }

    fn end_all_streams(&self) {
        self.lock().end_all_streams();
    }

    fn lock(&self) -> MutexGuard<'_, EngineCore> {
        lock(&self.core)
    }

    /// Updates the engine and wakes the driver, because the time of the next event may change.
    fn update<T>(&self, update: impl FnOnce(&mut EngineCore) -> T) -> T {
        let result = update(&mut self.lock());
        self.changed.notify_one();
        result
    }

    /// Advances the engine until the task is aborted.
    async fn drive(self) {
        loop {
            let wait = self.advance();
            let changed = self.changed.notified();
            match wait {
                None => changed.await,
                Some(wait) => {
                    let _ = tokio::time::timeout(wait, changed).await;
                }
            }
        }
    }

    /// Runs all events due by now and returns the time until the next one; `None` if none is
    /// scheduled.
    fn advance(&self) -> Option<std::time::Duration> {
        let mut core = self.lock();
        core.advance();
        core.next_event_at().map(|at| at - core.clock.now())
    }
}
