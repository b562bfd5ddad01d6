//! Combines the endpoint status that goes into reports.

use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_core::configuration::EndpointKind;
use celeryshed_wire::EndpointState;
use tokio::sync::watch;
use tokio::time::interval;

use crate::attempts::{AttemptsHandle, DrainState};
use crate::configuration::EndpointStatus;

/// Interval of reading the engine's load, which also changes while the slots stay the same.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Values of which the endpoint status is made.
pub(super) struct StatusSources {
    pub(super) kind: EndpointKind,
    pub(super) live_version: watch::Receiver<Option<ContentDigest>>,
    pub(super) attempts: AttemptsHandle,
    pub(super) drain: watch::Receiver<DrainState>,
}

impl StatusSources {
    /// Updates `status` when a source changes, until a source ends.
    pub(super) async fn follow(mut self, status: watch::Sender<EndpointStatus>) {
        let mut load = self.attempts.load();
        let mut load_ticks = interval(LOAD_INTERVAL);
        loop {
            let current = self.compose();
            status.send_if_modified(|previous| {
                let changed = *previous != current;
                *previous = current;
                changed
            });
            let ended = tokio::select! {
                changed = self.live_version.changed() => changed.is_err(),
                changed = load.changed() => changed.is_err(),
                _ = load_ticks.tick() => false,
                changed = self.drain.changed() => changed.is_err(),
            };
            if ended {
                return;
            }
        }
    }

    fn compose(&mut self) -> EndpointStatus {
        let live_version = *self.live_version.borrow_and_update();
        let drain = *self.drain.borrow_and_update();
        let state = match (drain, self.kind, live_version) {
            (DrainState::Draining, ..) => EndpointState::Leaving,
            (DrainState::Serving, EndpointKind::Engine, None) => EndpointState::Starting,
            (DrainState::Serving, ..) => EndpointState::Serving,
        };
        let load = self.attempts.load_report();
        EndpointStatus { state, live_version, load, prefixes: Vec::new() }
    }
}
