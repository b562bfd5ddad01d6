//! Access to the configuration task from routes and other tasks.

use std::sync::Arc;

use celeryshed_base::{ConfigRevision, InstanceName};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_wire::{ConfigurationReply, ConfigurationSnapshot, RevisionExchange};
use tokio::sync::{mpsc, watch};

use super::options::CrashExchange;

/// A process that knows a newer revision.
#[derive(Debug)]
pub(super) enum PeerAhead {
    Entry(InstanceName),
    /// Address of a sidecar.
    Side(String),
}

/// Access to the configuration; the task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    pub(super) states: watch::Receiver<Option<Arc<ConfigurationState>>>,
    pub(super) peers_ahead: mpsc::Sender<PeerAhead>,
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

    /// Answers a peer or sidecar; a peer that is ahead is asked for its state right away.
    pub fn reply(&self, exchange: &RevisionExchange) -> ConfigurationReply {
        let state = self.state();
        let revision = state.as_ref().map(|state| state.revision);
        if exchange.revision > revision {
            // A full queue means that exchanges are under way already.
            let _ = self.peers_ahead.try_send(PeerAhead::Entry(exchange.instance.clone()));
        }
        let newer = state.filter(|state| exchange.revision.is_none_or(|own| state.revision > own));
        ConfigurationReply {
            revision,
            snapshot: newer.map(|state| ConfigurationSnapshot::from(&*state)),
            crashes: if exchange.revision.is_none() { self.known_crashes() } else { Vec::new() },
        }
    }

    /// Takes note of the revision that a sidecar reports.
    ///
    /// When all entries were replaced while the log can't be read, only sidecars know the
    /// configuration; it is fetched from one that is ahead.
    pub fn note_side(&self, address: &str, revision: Option<ConfigRevision>) {
        if revision > self.revision() {
            // A full queue means that exchanges are under way already.
            let _ = self.peers_ahead.try_send(PeerAhead::Side(address.to_owned()));
        }
    }

    fn known_crashes(&self) -> Vec<celeryshed_wire::CrashNotice> {
        self.crashes.as_ref().map(|crashes| crashes.known.borrow().to_vec()).unwrap_or_default()
    }
}
