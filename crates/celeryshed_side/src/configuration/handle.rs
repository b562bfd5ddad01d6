//! Access to the configuration task from routes and other tasks.

use std::sync::Arc;

use celeryshed_base::ConfigRevision;
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::membership::MemberView;
use celeryshed_wire::{EndpointReport, EndpointState};
use tokio::sync::{mpsc, watch};

use super::options::{EndpointStatus, SideIdentity};

/// Access to the configuration; the task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    pub(super) identity: Arc<SideIdentity>,
    pub(super) states: watch::Receiver<Option<Arc<ConfigurationState>>>,
    pub(super) views: watch::Receiver<Arc<MemberView>>,
    pub(super) listed_leaving: watch::Receiver<bool>,
    pub(super) status: watch::Receiver<EndpointStatus>,
    pub(super) senders: mpsc::Sender<String>,
}

impl ConfigurationHandle {
    /// The accepted configuration as it changes; `None` until a revision is known.
    pub fn states(&self) -> watch::Receiver<Option<Arc<ConfigurationState>>> {
        self.states.clone()
    }

    /// The revision in force; `None` until one is known.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.states.borrow().as_ref().map(|state| state.revision)
    }

    /// The membership by the platform's list, as it changes.
    pub fn views(&self) -> watch::Receiver<Arc<MemberView>> {
        self.views.clone()
    }

    /// Whether the platform marks this instance as leaving; the drain starts then.
    pub fn listed_leaving(&self) -> watch::Receiver<bool> {
        self.listed_leaving.clone()
    }

    /// Takes note of the address of an entry that sent work, as its
    /// [`celeryshed_wire::ENTRY_HEADER`] says; it is told when this sidecar leaves.
    pub fn note_sender(&self, address: &str) {
        // A full queue means that many senders were noted just before; this one sends again.
        let _ = self.senders.try_send(address.to_owned());
    }

    /// The report as of now.
    pub fn report(&self) -> EndpointReport {
        let mut status = self.status.borrow().clone();
        if *self.listed_leaving.borrow() {
            status.state = EndpointState::Leaving;
        }
        self.identity.report(&status, self.revision())
    }
}
