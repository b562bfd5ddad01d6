//! Handle through which routes and other tasks use the configuration task.

use std::sync::Arc;

use celeryshed_base::ConfigRevision;
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::membership::MembershipView;
use celeryshed_wire::{
    ConfigurationReply, ConfigurationSnapshot, EndpointReport, EndpointState, RevisionExchange,
};
use tokio::sync::{mpsc, watch};

use super::options::{EndpointStatus, SideIdentity};

/// Messages to the configuration task.
#[derive(Debug)]
pub(super) enum ConfigurationMessage {
    /// Records the address of an entry that sent work.
    RecordSender(String),
    /// Records that the platform marks this instance as leaving, as an entry has reported.
    MarkLeaving,
}

/// Handle of the configuration task, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    pub(super) identity: Arc<SideIdentity>,
    pub(super) states: watch::Receiver<Option<Arc<ConfigurationState>>>,
    pub(super) views: watch::Receiver<Arc<MembershipView>>,
    pub(super) listed_leaving: watch::Receiver<bool>,
    pub(super) status: watch::Receiver<EndpointStatus>,
    pub(super) messages: mpsc::Sender<ConfigurationMessage>,
}

impl ConfigurationHandle {
    /// Watches the accepted configuration; `None` until a revision is known.
    pub fn subscribe_state(&self) -> watch::Receiver<Option<Arc<ConfigurationState>>> {
        self.states.clone()
    }

    /// Revision of the accepted configuration; `None` until one is known.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.states.borrow().as_ref().map(|state| state.revision)
    }

    /// Watches the membership, which is read from the platform's instance list.
    pub fn subscribe_view(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.views.clone()
    }

    /// Watches whether the platform marks this instance as leaving; the mark starts the drain.
    pub fn subscribe_leaving(&self) -> watch::Receiver<bool> {
        self.listed_leaving.clone()
    }

    /// Records the address of an entry that sent work, from the request's
    /// [`celeryshed_wire::ENTRY_HEADER`], so that the entry is notified when this sidecar leaves.
    pub fn record_sender(&self, address: &str) {
        // If the queue is full, the address is dropped: the entry's next request records it.
        let _ = self.messages.try_send(ConfigurationMessage::RecordSender(address.to_owned()));
    }

    /// Records that the platform marks `instance` as leaving; returns whether `instance` is this
    /// one.
    pub async fn mark_leaving(&self, instance: &str) -> bool {
        let is_own = self.identity.instance.as_str() == instance;
        if is_own {
            // Fails only if the task has ended, which happens at the end of the process.
            let _ = self.messages.send(ConfigurationMessage::MarkLeaving).await;
        }
        is_own
    }

    /// Replies to an entry; with a snapshot only if this sidecar's revision is newer than the
    /// entry's.
    pub fn reply(&self, exchange: &RevisionExchange) -> ConfigurationReply {
        let state = self.states.borrow().clone();
        let revision = state.as_ref().map(|state| state.revision);
        let newer =
            state.filter(|state| exchange.revision.is_none_or(|known| state.revision > known));
        ConfigurationReply {
            revision,
            snapshot: newer.map(|state| ConfigurationSnapshot::from(&*state)),
            crashes: Vec::new(),
        }
    }

    /// Current status report of this sidecar.
    pub fn report(&self) -> EndpointReport {
        let mut status = self.status.borrow().clone();
        if *self.listed_leaving.borrow() {
            status.state = EndpointState::Leaving;
        }
        self.identity.report(&status, self.revision())
    }
}
