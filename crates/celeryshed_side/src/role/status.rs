//! Composes the endpoint's status for reports.

use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_core::configuration::EndpointKind;
use celeryshed_wire::EndpointState;
use tokio::sync::watch;
use tokio::time::interval;

use crate::attempts::{AttemptsHandle, DrainState};
use crate::configuration::EndpointStatus;

/// Pause between looks at the engine's own load, which changes without a change of slots.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Where the parts of the status come from.
pub(super) struct StatusSources {
    pub(super) kind: EndpointKind,
    pub(super) live_version: watch::Receiver<Option<ContentDigest>>,
    pub(super) attempts: AttemptsHandle,
    pub(super) drain: watch::Receiver<DrainState>,
}

impl StatusSources {
    /// Keeps `status` current until a source ends.
    pub(super) async fn follow(mut self, status: watch::Sender<EndpointStatus>) {
        let mut load = self.attempts.load();
        let mut looks = interval(LOAD_INTERVAL);
        loop {
            let current = self.compose();
            status.send_if_modified(|before| {
                let changed = *before != current;
                *before = current;
                changed
            });
            let ended = tokio::select! {
                changed = self.live_version.changed() => changed.is_err(),
                changed = load.changed() => changed.is_err(),
                _ = looks.tick() => false,
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
