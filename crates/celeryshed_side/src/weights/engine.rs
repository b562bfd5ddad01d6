//! Commands to the engine.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ContentDigest, FenceNumber, common_derives};
use celeryshed_observe::EventLine;
use celeryshed_wire::MANIFEST_CHUNK_INDEX;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Failed looks at the engine's state in a row after which no version is reported live. One
/// lost reply shouldn't take an endpoint out of service.
const STATE_FAILURES: u32 = 2;

/// A failed call to the engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No connection, a broken one, or no reply in time.
    #[error("engine {address} can't be reached: {reason}")]
    Unreachable {
        /// The engine.
        address: String,
        /// The reason.
        reason: String,
    },
    /// The engine saw a command with a higher fence number.
    #[error("engine {address} refused fence {fence} as stale")]
    StaleFence {
        /// The engine.
        address: String,
        /// The refused fence.
        fence: FenceNumber,
    },
    /// The engine refused the call.
    #[error("engine {address} refused the call with status {status}: {reason}")]
    Refused {
        /// The engine.
        address: String,
        /// Its status.
        status: u16,
        /// Its reason.
        reason: String,
    },
}

/// Result of calls to the engine.
pub(super) type Result<T> = std::result::Result<T, EngineError>;

common_derives! { value:
    /// State of the engine.
    #[derive(Copy)]
    pub struct EngineState {
        /// Version that it serves.
        pub live: Option<ContentDigest>,
        /// Random number of its start.
        pub boot_id: u64,
    }

    /// A version that is whole and verified.
    pub struct CompleteVersion {
        /// Digest of its manifest.
        pub manifest: ContentDigest,
        /// The manifest itself.
        pub manifest_content: Bytes,
        /// The chunks, in order.
        pub chunks: Vec<Bytes>,
    }
}

/// The engine beside the sidecar, as far as loading concerns it.
#[async_trait]
pub trait EngineLoader: Send + Sync {
    /// The engine's state.
    async fn state(&self) -> Result<EngineState>;

    /// Gives the engine one chunk of a version, or its manifest as [`MANIFEST_CHUNK_INDEX`].
    async fn put_chunk(&self, manifest: &ContentDigest, index: u32, content: Bytes) -> Result<()>;

    /// Commands the engine to serve a version whose `chunks` chunks were put.
    async fn load(&self, fence: FenceNumber, manifest: &ContentDigest, chunks: u32) -> Result<()>;
}

/// Keeps the engine on the wanted version and reports which one it confirms.
pub(super) struct EngineTask {
    pub(super) loader: Arc<dyn EngineLoader>,
    pub(super) poll: Duration,
    pub(super) fence: watch::Receiver<Option<FenceNumber>>,
    pub(super) target: watch::Receiver<Option<Arc<CompleteVersion>>>,
    pub(super) live: watch::Sender<Option<ContentDigest>>,
}

impl EngineTask {
    pub(super) async fn run(mut self) {
        let mut ticks = interval(self.poll);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut failures = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = self.target.changed() => if changed.is_err() { return },
            }
            match self.step().await {
                Ok(()) => failures = 0,
                Err(error) => {
                    failures += 1;
                    EventLine::new("engine_call_failed")
                        .field("failures", failures)
                        .field("error", &error)
                        .warn();
                    // Only the state tells what the engine serves; a refused command doesn't.
                    if failures >= STATE_FAILURES
                        && matches!(error, EngineError::Unreachable { .. })
                    {
                        self.report(None);
                    }
                }
            }
        }
    }

    /// Looks at the engine, has it load the wanted version if it serves another one, and looks
    /// again: only what the engine then says is reported.
    async fn step(&mut self) -> Result<()> {
        let before = self.loader.state().await?;
        self.report(before.live);
        let target = self.target.borrow_and_update().clone();
        let fence = *self.fence.borrow();
        let (Some(target), Some(fence)) = (target, fence) else { return Ok(()) };
        if before.live == Some(target.manifest) {
            return Ok(());
        }
        let manifest = (MANIFEST_CHUNK_INDEX, &target.manifest_content);
        let chunks = (0u32..).zip(&target.chunks);
        for (index, content) in std::iter::once(manifest).chain(chunks) {
            self.loader.put_chunk(&target.manifest, index, content.clone()).await?;
            if self.target.has_changed().unwrap_or(true) {
                return Ok(());
            }
        }
        self.loader.load(fence, &target.manifest, target.chunks.len() as u32).await?;
        let after = self.loader.state().await?;
        if after.boot_id != before.boot_id {
            EventLine::new("engine_restarted_during_load")
                .field("manifest", target.manifest)
                .warn();
        }
        self.report(after.live);
        Ok(())
    }

    fn report(&self, live: Option<ContentDigest>) {
        let changed = self.live.send_if_modified(|current| {
            let changed = *current != live;
            *current = live;
            changed
        });
        if changed {
            let name = live.map_or("none".to_owned(), |manifest| manifest.to_string());
            EventLine::new("live_version").field("manifest", name).info();
        }
    }
}
