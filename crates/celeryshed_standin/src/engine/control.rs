//! The running engine and its control handle.

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

/// A running engine.
#[derive(Debug)]
pub struct RunningEngine {
    server: ServerTask,
    control: EngineControl,
    driver: JoinHandle<()>,
}

/// Steers an engine, and gives its interface without HTTP.
#[derive(Clone, Debug)]
pub struct EngineControl {
    core: Arc<Mutex<EngineCore>>,
    changed: Arc<Notify>,
}

impl RunningEngine {
    /// Launches an engine.
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

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A control handle.
    pub fn control(&self) -> EngineControl {
        self.control.clone()
    }

    /// Stops the engine; callers find the port closed and their streams cut.
    pub async fn stop(self) {
        self.driver.abort();
        self.control.cut_all();
        self.server.stop().await;
    }
}

impl EngineControl {
    /// Starts an engine without a server; aborting the task stops it.
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

    /// Starts a completion.
    pub fn complete(
        &self,
        request: EngineRequest,
    ) -> std::result::Result<UnboundedReceiver<StreamPiece>, Rejection> {
        let (sender, receiver) = unbounded_channel();
        self.change(|core| core.submit(request, sender))?;
        Ok(receiver)
    }

    /// Cuts the completion of an attempt; false when there is none.
    pub fn cancel(&self, attempt_id: AttemptId) -> bool {
        self.change(|core| core.cancel(attempt_id))
    }

    /// Runs a command; `None` when the engine is down or crashes meanwhile.
    pub async fn command(&self, command: EngineCommand) -> Option<CommandOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.change(|core| core.command(command, sender));
        receiver.await.ok()
    }

    /// Takes a chunk of a version, or its manifest.
    pub fn put_chunk(
        &self,
        version: ContentDigest,
        index: u32,
        content: &[u8],
    ) -> std::result::Result<(), String> {
        self.lock().put_chunk(version, index, content)
    }

    /// The load as reported; `None` when the engine is down.
    pub fn load(&self) -> Option<EngineLoad> {
        self.change(|core| {
            core.advance();
            core.reported_load()
        })
    }

    /// Cache events from sequence number `from` on, as published.
    pub fn events(&self, from: u64) -> Vec<EngineEvent> {
        self.lock().published_events(from)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.change(|core| core.set_faults(faults));
    }

    /// The faults in force.
    pub fn faults(&self) -> EngineFaults {
        self.lock().faults.clone()
    }

    /// What was counted so far.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts.clone()
    }

    /// Version that is live now, without the lag of reports.
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

    fn cut_all(&self) {
        self.lock().cut_all();
    }

    fn lock(&self) -> MutexGuard<'_, EngineCore> {
        lock(&self.core)
    }

    /// Changes the engine and lets the driver look at the next due time.
    fn change<T>(&self, change: impl FnOnce(&mut EngineCore) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_one();
        result
    }

    /// Runs what is due until aborted.
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

    /// Runs what is due and tells how long to wait for the next change.
    fn advance(&self) -> Option<std::time::Duration> {
        let mut core = self.lock();
        core.advance();
        core.next_due().map(|due| due - core.clock.now())
    }
}
