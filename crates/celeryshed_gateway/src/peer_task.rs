//! Exchanges datagrams with other entries and with sidecars.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::AvailabilityZone;
use celeryshed_dispatch::{LoadScope, PeerAddress};
use celeryshed_peering::{ControlHandle, EntryHeartbeat, PeerMessage, PeerSocket};
use tokio::time::{Instant, sleep};

use crate::dispatcher_task::DispatcherHandle;

/// Shortest time between two load reports, unless new operator records arrive.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(30);
/// Shortest time between two load reports, per receiving entry, so that the number of datagrams per
/// second doesn't grow with the number of entries.
const LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(4);
/// Time between two load reports that list all endpoints instead of the changed ones.
const WHOLE_LOAD_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two searches for sidecars that have just started and wait for a heartbeat.
const SIDECAR_SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two such searches while no sidecar is known.
const FIRST_SEARCH_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two heartbeats to all sidecars.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an entry gets no more load reports if it sent none itself and no sidecar listed
/// it.
const ENTRY_LIFETIME: Duration = Duration::from_secs(5);

/// Sends load reports and heartbeats, and passes received messages to the other tasks.
pub(crate) struct PeerTask {
    pub(crate) address: SocketAddr,
    pub(crate) zone: AvailabilityZone,
    pub(crate) sidecar_port: u16,
    pub(crate) socket: PeerSocket,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) control: ControlHandle,
}

impl PeerTask {
    pub(crate) async fn run(self) {
        let task = Arc::new(self);
        let receive_task = task.clone();
        let (entry_sender, mut entry_receiver) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move { receive_task.receive(entry_sender).await });
        let heartbeat_task = task.clone();
        tokio::spawn(async move { heartbeat_task.send_heartbeats().await });
        let mut entries: BTreeMap<String, Instant> = BTreeMap::new();
        let mut whole_at: Option<Instant> = None;
        let mut sent_offset = task.control.position().operator;
        let mut position = task.control.watch_position();
        loop {
            let interval = MIN_LOAD_INTERVAL.max(LOAD_INTERVAL_PER_ENTRY * entries.len() as u32);
            tokio::select! {
                () = sleep(interval) => {}
                // Reports the position of new operator records to the other entries at once.
                _ = position.wait_for(|latest| latest.operator != sent_offset) => {}
            }
            while let Ok(entry) = entry_receiver.try_recv() {
                entries.insert(entry, Instant::now());
            }
            entries.retain(|_, at| at.elapsed() < ENTRY_LIFETIME);
            let offset = task.control.position().operator;
            let due = whole_at.is_none_or(|at| at.elapsed() >= WHOLE_LOAD_INTERVAL)
                || offset != sent_offset;
            if due {
                (whole_at, sent_offset) = (Some(Instant::now()), offset);
            }
            let scope = if due { LoadScope::Whole } else { LoadScope::Changes };
            task.send_load(scope, entries.keys()).await;
        }
    }

    async fn send_load(&self, scope: LoadScope, entries: impl Iterator<Item = &String>) {
        let Some(load) = self.dispatcher.entry_status(scope, self.control.position()).await else {
            return;
        };
        if !load.is_empty() {
            self.socket.send(&PeerMessage::Load(load), entries);
        }
    }

    async fn send_heartbeats(&self) {
        let mut heartbeat_at: Option<Instant> = None;
        let mut known_sidecars: BTreeSet<String> = BTreeSet::new();
        let mut sent_offset = self.control.position().operator;
        let mut position = self.control.watch_position();
        loop {
            let interval = if known_sidecars.is_empty() {
                FIRST_SEARCH_INTERVAL
            } else {
                SIDECAR_SEARCH_INTERVAL
            };
            tokio::select! {
                () = sleep(interval) => {}
                // Reports the position of new operator records to the sidecars at once.
                _ = position.wait_for(|latest| latest.operator != sent_offset) => {}
            }
            let offset = self.control.position().operator;
            let due = heartbeat_at.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL);
            let sidecars = self.sidecars().await;
            if due || offset != sent_offset {
                sent_offset = offset;
                heartbeat_at = Some(Instant::now());
                self.send_heartbeat(&sidecars);
            } else {
                // A sidecar that has just started needs a heartbeat to know where to fetch records.
                self.send_heartbeat(sidecars.difference(&known_sidecars));
            }
            known_sidecars = sidecars;
        }
    }

    /// Addresses of the peer sockets of all sidecars; each runs on the instance of an endpoint.
    async fn sidecars(&self) -> BTreeSet<String> {
        let addresses = self.dispatcher.endpoint_addresses().await;
        let sidecars = addresses.endpoints.iter().filter_map(|endpoint| {
            let address: SocketAddr = endpoint.parse().ok()?;
            Some(SocketAddr::new(address.ip(), self.sidecar_port).to_string())
        });
        sidecars.collect()
    }

    fn send_heartbeat<'s>(&self, sidecars: impl IntoIterator<Item = &'s String>) {
        let heartbeat = EntryHeartbeat {
            entry: self.address.to_string(),
            zone: self.zone.clone(),
            position: self.control.position(),
        };
        self.socket.send(&PeerMessage::Hello(heartbeat), sidecars);
    }

    async fn receive(&self, entry_sender: tokio::sync::mpsc::UnboundedSender<String>) {
        let own = self.address.to_string();
        loop {
            let (message, sender) = self.socket.receive().await;
            match message {
                PeerMessage::Load(load) => {
                    let peer = sender.to_string();
                    self.control.report_peer_position(&peer, load.position);
                    // The receiver ends only with the process.
                    let _ = entry_sender.send(peer.clone());
                    self.dispatcher.apply_peer_load(PeerAddress(peer), load);
                }
                PeerMessage::Status(status) => {
                    for entry in status.entries.iter().filter(|entry| **entry != own) {
                        let _ = entry_sender.send(entry.clone());
                    }
                    self.dispatcher.apply_sidecar_status(status);
                }
                PeerMessage::Hello(_) | PeerMessage::Pieces(_) => {}
            }
        }
    }
}
