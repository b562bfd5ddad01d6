//! Access to the configuration task from routes and other tasks.

use std::sync::Arc;

use celeryshed_base::ConfigRevision;
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::membership::MembershipView;
use celeryshed_wire::{
    ConfigurationReply, ConfigurationSnapshot, EndpointReport, EndpointState, RevisionExchange,
};
use tokio::sync::{mpsc, watch};

use super::options::{EndpointStatus, SideIdentity};

/// What the configuration task is told.
#[derive(Debug)]
pub(super) enum SideNotice {
    /// Address of an entry that sent work.
    Sender(String),
    /// An entry has read that the platform marks this instance as leaving.
    MarkedLeaving,
}

/// Access to the configuration; the task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    pub(super) identity: Arc<SideIdentity>,
    pub(super) states: watch::Receiver<Option<Arc<ConfigurationState>>>,
    pub(super) views: watch::Receiver<Arc<MembershipView>>,
    pub(super) listed_leaving: watch::Receiver<bool>,
    pub(super) status: watch::Receiver<EndpointStatus>,
    pub(super) notices: mpsc::Sender<SideNotice>,
}

impl ConfigurationHandle {
    /// The accepted configuration as it changes; `None` until a revision is known.
    pub fn subscribe_state(&self) -> watch::Receiver<Option<Arc<ConfigurationState>>> {
        self.states.clone()
    }

    /// The revision in force; `None` until one is known.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.states.borrow().as_ref().map(|state| state.revision)
    }

    /// The membership by the platform's list, as it changes.
    pub fn subscribe_view(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.views.clone()
    }

    /// Whether the platform marks this instance as leaving; the drain starts then.
    pub fn subscribe_leaving(&self) -> watch::Receiver<bool> {
        self.listed_leaving.clone()
    }

    /// Takes note of the address of an entry that sent work, as its
    /// [`celeryshed_wire::ENTRY_HEADER`] says; it is told when this sidecar leaves.
    pub fn record_sender(&self, address: &str) {
        // A full queue means that many senders were noted just before; this one sends again.
        let _ = self.notices.try_send(SideNotice::Sender(address.to_owned()));
    }

    /// Takes note that the platform marks `instance` as leaving; returns whether that is this one.
    pub async fn mark_leaving(&self, instance: &str) -> bool {
        let own = self.identity.instance.as_str() == instance;
        if own {
            // The task only ends with the process.
            let _ = self.notices.send(SideNotice::MarkedLeaving).await;
        }
        own
    }

    /// Answers an entry that asks for the state.
    pub fn reply(&self, exchange: &RevisionExchange) -> ConfigurationReply {
        let state = self.states.borrow().clone();
        let revision = state.as_ref().map(|state| state.revision);
        let newer = state.filter(|state| exchange.revision.is_none_or(|own| state.revision > own));
        ConfigurationReply {
            revision,
            snapshot: newer.map(|state| ConfigurationSnapshot::from(&*state)),
            crashes: Vec::new(),
        }
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
