//! Exchange with other entries and with sidecars.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::AvailabilityZone;
use celeryshed_dispatch::{LoadScope, PeerAddress};
use celeryshed_peering::{ControlHandle, EntryHeartbeat, PeerMessage, PeerSocket};
use tokio::time::{Instant, sleep};

use crate::dispatcher_task::DispatcherHandle;

/// Least time between two messages to the other entries on what changed.
const LOAD_INTERVAL: Duration = Duration::from_millis(30);
/// Time between two such messages, for each of them.
const LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(4);
/// Time between two messages to the other entries on the whole load.
const WHOLE_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two looks for sidecars that have just started: they wait for a greeting.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// The same until the first ones are known.
const START_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two greetings of the sidecars.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// An entry that no sidecar named for this long is no longer told.
const ENTRY_LIFETIME: Duration = Duration::from_secs(5);

/// Sends this entry's load and greetings, and passes on what arrives.
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
        let receiving = task.clone();
        let (found, mut heard) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move { receiving.receive(found).await });
        let telling = task.clone();
        tokio::spawn(async move { telling.greet_sidecars().await });
        let mut entries: BTreeMap<String, Instant> = BTreeMap::new();
        let mut whole_at: Option<Instant> = None;
        let mut told = task.control.position().operator;
        let mut position = task.control.watch_position();
        loop {
            let interval = LOAD_INTERVAL.max(LOAD_INTERVAL_PER_ENTRY * entries.len() as u32);
            tokio::select! {
                () = sleep(interval) => {}
                // News from operators reach the other entries at once.
                _ = position.wait_for(|known| known.operator != told) => {}
            }
            while let Ok(entry) = heard.try_recv() {
                entries.insert(entry, Instant::now());
            }
            entries.retain(|_, at| at.elapsed() < ENTRY_LIFETIME);
            let known = task.control.position().operator;
            let due = whole_at.is_none_or(|at| at.elapsed() >= WHOLE_INTERVAL) || known != told;
            if due {
                (whole_at, told) = (Some(Instant::now()), known);
            }
            let scope = if due { LoadScope::Whole } else { LoadScope::Changes };
            task.send_load(scope, entries.keys()).await;
        }
    }

    async fn send_load(&self, scope: LoadScope, entries: impl Iterator<Item = &String>) {
        let Some(load) = self.dispatcher.report(scope, self.control.position()).await else {
            return;
        };
        if !load.is_empty() {
            self.socket.send(&PeerMessage::Load(load), entries);
        }
    }

    async fn greet_sidecars(&self) {
        let mut greeted_at: Option<Instant> = None;
        let mut greeted: BTreeSet<String> = BTreeSet::new();
        let mut told = self.control.position().operator;
        let mut position = self.control.watch_position();
        loop {
            let interval = if greeted.is_empty() { START_INTERVAL } else { LOOK_INTERVAL };
            tokio::select! {
                () = sleep(interval) => {}
                // News from operators reach the sidecars at once.
                _ = position.wait_for(|known| known.operator != told) => {}
            }
            let known = self.control.position().operator;
            let due = greeted_at.is_none_or(|at| at.elapsed() >= HELLO_INTERVAL);
            let sidecars = self.sidecars().await;
            if due || known != told {
                told = known;
                greeted_at = Some(Instant::now());
                self.greet(&sidecars);
            } else {
                // A sidecar that has just started waits for a greeting to learn what it needs.
                self.greet(sidecars.difference(&greeted));
            }
            greeted = sidecars;
        }
    }

    /// Addresses of the sidecars beside all endpoints.
    async fn sidecars(&self) -> BTreeSet<String> {
        let targets = self.dispatcher.targets().await;
        let sidecars = targets.endpoints.iter().filter_map(|endpoint| {
            let address: SocketAddr = endpoint.parse().ok()?;
            Some(SocketAddr::new(address.ip(), self.sidecar_port).to_string())
        });
        sidecars.collect()
    }

    fn greet<'s>(&self, sidecars: impl IntoIterator<Item = &'s String>) {
        let heartbeat = EntryHeartbeat {
            entry: self.address.to_string(),
            zone: self.zone.clone(),
            position: self.control.position(),
        };
        self.socket.send(&PeerMessage::Hello(heartbeat), sidecars);
    }

    async fn receive(&self, found: tokio::sync::mpsc::UnboundedSender<String>) {
        let own = self.address.to_string();
        loop {
            let (message, from) = self.socket.receive().await;
            match message {
                PeerMessage::Load(load) => {
                    let peer = from.to_string();
                    self.control.report_peer_position(&peer, load.position);
                    // The sending half ends only with the process.
                    let _ = found.send(peer.clone());
                    self.dispatcher.load(PeerAddress(peer), load);
                }
                PeerMessage::Status(status) => {
                    for entry in status.entries.iter().filter(|entry| **entry != own) {
                        let _ = found.send(entry.clone());
                    }
                    self.dispatcher.status(status);
                }
                PeerMessage::Hello(_) | PeerMessage::Pieces(_) => {}
            }
        }
    }
}
