//! Keeps the engine on the selected version.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{ContentDigest, FenceNumber, common_derives};
use celeryshed_observe::EventLine;
use celeryshed_wire::MANIFEST_CHUNK_INDEX;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Consecutive failures after which an unreachable engine is published as having no live version. A
/// single lost reply shouldn't take an endpoint out of service.
const FAILURE_THRESHOLD: u32 = 2;

/// A failed call to the engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No connection, a broken one, or no reply in time.
    #[error("engine {address} can't be reached: {reason}")]
    Unreachable {
        /// IP address and port of the engine.
        address: String,
        /// Text of the transport error.
        reason: String,
    },
    /// The engine has received a command with a higher fence number.
    #[error("engine {address} refused fence {fence} as stale")]
    StaleFence {
        /// IP address and port of the engine.
        address: String,
        /// Fence number of the refused command.
        fence: FenceNumber,
    },
    /// The engine refused the call.
    #[error("engine {address} refused the call with status {status}: {reason}")]
    Refused {
        /// IP address and port of the engine.
        address: String,
        /// HTTP status of the reply.
        status: u16,
        /// Body of the reply.
        reason: String,
    },
}

pub(super) type Result<T> = std::result::Result<T, EngineError>;

common_derives! { value:
    /// State that the engine reports.
    #[derive(Copy)]
    pub struct EngineState {
        /// Manifest digest of the version that the engine serves; `None` before the first load.
        pub live: Option<ContentDigest>,
        /// Random number that the engine draws at each start.
        pub boot_id: u64,
    }

    /// A version whose chunks are all present and verified.
    pub struct CompleteVersion {
        /// Digest of the manifest.
        pub manifest: ContentDigest,
        /// Encoded manifest.
        pub manifest_content: Bytes,
        /// Contents of the chunks, in the order of the manifest.
        pub chunks: Vec<Bytes>,
    }
}

/// Client for the loading interface of the sidecar's engine.
#[async_trait]
pub trait EngineLoader: Send + Sync {
    /// Reads the engine's state.
    async fn state(&self) -> Result<EngineState>;

    /// Sends one chunk of a version to the engine; the manifest has index [`MANIFEST_CHUNK_INDEX`].
    async fn put_chunk(&self, manifest: &ContentDigest, index: u32, content: Bytes) -> Result<()>;

    /// Commands the engine to serve a version of `chunks` chunks, which were sent before.
    async fn load(&self, fence: FenceNumber, manifest: &ContentDigest, chunks: u32) -> Result<()>;
}

/// Has the engine load the target version, and publishes the version that the engine confirms.
pub(super) struct EngineTask {
    pub(super) loader: Arc<dyn EngineLoader>,
    pub(super) poll_interval: Duration,
    pub(super) fence: watch::Receiver<Option<FenceNumber>>,
    pub(super) target: watch::Receiver<Option<Arc<CompleteVersion>>>,
    pub(super) live: watch::Sender<Option<ContentDigest>>,
}

impl EngineTask {
    pub(super) async fn run(mut self) {
        let mut ticks = interval(self.poll_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut failures = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = self.target.changed() => if changed.is_err() { return },
            }
            match self.sync_engine().await {
                Ok(()) => failures = 0,
                Err(error) => {
                    failures += 1;
                    EventLine::new("engine_call_failed")
                        .field("failures", failures)
                        .field("error", &error)
                        .warn();
                    // A refused command says nothing about the version that the engine serves.
                    if failures >= FAILURE_THRESHOLD
                        && matches!(error, EngineError::Unreachable { .. })
                    {
                        self.publish_live(None);
                    }
                }
            }
        }
    }

    /// Reads the engine's state and, if the engine serves another version than the target, has it
    /// load the target and reads the state again. Only versions that the engine reports are
    /// published.
    async fn sync_engine(&mut self) -> Result<()> {
        let before = self.loader.state().await?;
        self.publish_live(before.live);
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
        self.publish_live(after.live);
        Ok(())
    }

    fn publish_live(&self, live: Option<ContentDigest>) {
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
