//! Access to the configuration task from routes and other tasks.

use std::sync::Arc;

use celeryshed_base::{ConfigRevision, InstanceName};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_wire::{ConfigurationReply, ConfigurationSnapshot, RevisionExchange};
use tokio::sync::{mpsc, watch};

use super::options::CrashExchange;

/// A process that reported a newer revision than this entry has.
#[derive(Debug)]
pub(super) enum NewerPeer {
    Entry(InstanceName),
    /// Address of a sidecar.
    Side(String),
}

/// Access to the accepted configuration; the task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    pub(super) states: watch::Receiver<Option<Arc<ConfigurationState>>>,
    pub(super) newer_peers: mpsc::Sender<NewerPeer>,
    pub(super) crashes: Option<CrashExchange>,
}

impl ConfigurationHandle {
    /// The accepted configuration as it changes; `None` until a revision is known.
    pub fn subscribe_state(&self) -> watch::Receiver<Option<Arc<ConfigurationState>>> {
        self.states.clone()
    }

    /// The accepted configuration; `None` until a revision is known.
    pub fn state(&self) -> Option<Arc<ConfigurationState>> {
        self.states.borrow().clone()
    }

    /// The revision in force; `None` until one is known.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.states.borrow().as_ref().map(|state| state.revision)
    }

    /// Answers a peer or sidecar; a peer with a newer revision is asked for its state at once.
    pub fn reply(&self, exchange: &RevisionExchange) -> ConfigurationReply {
        let state = self.state();
        let revision = state.as_ref().map(|state| state.revision);
        if exchange.revision > revision {
            // When the queue is full, exchanges with other peers are in progress already.
            let _ = self.newer_peers.try_send(NewerPeer::Entry(exchange.instance.clone()));
        }
        let newer = state.filter(|state| exchange.revision.is_none_or(|own| state.revision > own));
        ConfigurationReply {
            revision,
            snapshot: newer.map(|state| ConfigurationSnapshot::from(&*state)),
            crashes: if exchange.revision.is_none() {
                self.known_crash_notices()
            } else {
                Vec::new()
            },
        }
    }

    /// Records the revision that the sidecar at `address` reported.
    ///
    /// When all entries were replaced while the log can't be read, only sidecars know the
    /// configuration, which is then fetched from a sidecar with a newer revision.
    pub fn record_side_revision(&self, address: &str, revision: Option<ConfigRevision>) {
        if revision > self.revision() {
            // When the queue is full, exchanges with other peers are in progress already.
            let _ = self.newer_peers.try_send(NewerPeer::Side(address.to_owned()));
        }
    }

    fn known_crash_notices(&self) -> Vec<celeryshed_wire::CrashNotice> {
        self.crashes.as_ref().map(|crashes| crashes.known.borrow().to_vec()).unwrap_or_default()
    }
}
