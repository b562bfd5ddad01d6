//! Composes the endpoint's status for reports.

use celeryshed_base::ContentDigest;
use celeryshed_core::admission::SlotLoad;
use celeryshed_core::configuration::EndpointKind;
use celeryshed_wire::{EndpointState, LoadReport};
use tokio::sync::watch;

use crate::attempts::DrainState;
use crate::configuration::EndpointStatus;

/// Where the parts of the status come from.
pub(super) struct StatusSources {
    pub(super) kind: EndpointKind,
    pub(super) live_version: watch::Receiver<Option<ContentDigest>>,
    pub(super) load: watch::Receiver<SlotLoad>,
    pub(super) drain: watch::Receiver<DrainState>,
}

impl StatusSources {
    /// Keeps `status` current until a source ends.
    pub(super) async fn follow(mut self, status: watch::Sender<EndpointStatus>) {
        loop {
            let current = self.compose();
            status.send_if_modified(|before| {
                let changed = *before != current;
                *before = current;
                changed
            });
            let ended = tokio::select! {
                changed = self.live_version.changed() => changed.is_err(),
                changed = self.load.changed() => changed.is_err(),
                changed = self.drain.changed() => changed.is_err(),
            };
            if ended {
                return;
            }
        }
    }

    fn compose(&mut self) -> EndpointStatus {
        let live_version = *self.live_version.borrow_and_update();
        let load = *self.load.borrow_and_update();
        let drain = *self.drain.borrow_and_update();
        let state = match (drain, self.kind, live_version) {
            (DrainState::Draining, ..) => EndpointState::Leaving,
            (DrainState::Serving, EndpointKind::Engine, None) => EndpointState::Starting,
            (DrainState::Serving, ..) => EndpointState::Serving,
        };
        let load = LoadReport { slots: load.slots, running: load.running, ..LoadReport::default() };
        EndpointStatus { state, live_version, load, prefixes: Vec::new() }
    }
}
