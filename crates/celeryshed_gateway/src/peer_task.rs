//! Exchanges datagrams with other entries and with sidecars.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, ClockSource};
use celeryshed_dispatch::{
    BoundedMap, DispatcherSettings, LoadScope, MAX_PEERS, PeerAddress, PeerAudience,
    heartbeat_interval, load_lifetime, message_lifetime,
};
use celeryshed_peering::{
    ControlHandle, DropLog, EntryHeartbeat, PeerMessage, PeerSocket, ReceivedMessage,
};
use celeryshed_process::{TaskClass, TaskGroup};
use tokio::time::{Instant, sleep};

use crate::dispatcher_task::{DispatcherHandle, LoadQuery};

/// Time between two searches for sidecars that have just started and wait for a heartbeat.
const SIDECAR_SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two such searches while no sidecar is known.
const FIRST_SEARCH_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest time after which an entry gets no more load reports if it sent none itself and no
/// sidecar named it.
const MIN_ENTRY_LIFETIME: Duration = Duration::from_secs(5);

/// Most entries that are taken from one status; sidecars name fewer.
const MAX_NAMED_ENTRIES: usize = 16;

/// Another entry.
struct EntryContact {
    /// When the entry sent a load report, or a sidecar named it.
    heard_at: Instant,
    /// Its availability zone; `None` before its first whole report.
    zone: Option<AvailabilityZone>,
}

/// Sends load reports and heartbeats, and passes received messages to the other tasks.
pub(crate) struct PeerTask {
    pub(crate) address: SocketAddr,
    pub(crate) settings: DispatcherSettings,
    pub(crate) sidecar_port: u16,
    pub(crate) socket: PeerSocket,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) clock: ClockSource,
    pub(crate) control: ControlHandle,
    /// The other entries, by the address of their peer sockets; each belongs to the process that told
    /// of it first.
    entries: Mutex<EntryMap>,
    drops: Mutex<DropLog>,
}

type EntryMap = BoundedMap<SocketAddr, SocketAddr, EntryContact>;

impl PeerTask {
    pub(crate) fn new(
        address: SocketAddr,
        settings: DispatcherSettings,
        sidecar_port: u16,
        socket: PeerSocket,
        dispatcher: DispatcherHandle,
        clock: ClockSource,
        control: ControlHandle,
    ) -> Self {
        Self {
            address,
            settings,
            sidecar_port,
            socket,
            dispatcher,
            clock,
            control,
            entries: Mutex::new(EntryMap::new(MAX_PEERS)),
            drops: Mutex::default(),
        }
    }

    /// Starts its tasks as `tasks` of the role.
    pub(crate) fn start(self, tasks: &TaskGroup) {
        let task = Arc::new(self);
        let class = TaskClass::Essential;
        for audience in PeerAudience::ALL {
            let sender = task.clone();
            tasks.start("loads", class, async move { sender.send_loads(audience).await });
            let sender = task.clone();
            tasks.start("heartbeats", class, async move { sender.send_heartbeats(audience).await });
        }
        tasks.start("peers", class, async move { task.receive().await });
    }

    /// Sends the entries of `audience` load reports until the process ends.
    async fn send_loads(&self, audience: PeerAudience) {
        let mut whole_at: Option<Instant> = None;
        let mut sent_offset = self.control.position().operator;
        let mut position = self.control.watch_position();
        loop {
            let entries = self.entries_in(audience);
            tokio::select! {
                () = sleep(audience.load_interval(entries.len())) => {}
                // Reports the position of new operator records to the other entries at once. A closed
                // channel tells none.
                Ok(_) = position.wait_for(|latest| latest.operator != sent_offset) => {}
            }
            let latest = self.control.position();
            let whole_interval = audience.whole_load_interval(entries.len());
            let is_whole = whole_at.is_none_or(|at| at.elapsed() >= whole_interval)
                || latest.operator != sent_offset;
            if is_whole {
                (whole_at, sent_offset) = (Some(Instant::now()), latest.operator);
            }
            let query = LoadQuery {
                audience,
                scope: if is_whole { LoadScope::Whole } else { LoadScope::Changes },
                position: latest,
                lifetime: load_lifetime(whole_interval),
            };
            let Some(load) = self.dispatcher.load_report(query).await else { return };
            if !load.is_empty() {
                self.socket.send(&PeerMessage::Load(load), &entries);
            }
            if let Some(report) = self.dispatcher.crash_report(audience, is_whole).await {
                self.socket.send(&PeerMessage::Crashes(report), &entries);
            }
        }
    }

    /// The audience of load reports that an entry belongs to. Entries of an unknown zone count as
    /// entries of another region.
    fn audience_of(&self, zone: Option<&AvailabilityZone>) -> PeerAudience {
        match zone {
            Some(zone) if self.settings.is_in_own_region(zone) => PeerAudience::OwnRegion,
            _ => PeerAudience::OtherRegions,
        }
    }

    /// Addresses of the other entries of `audience`; forgets those that are gone.
    fn entries_in(&self, audience: PeerAudience) -> Vec<String> {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        let far_interval = PeerAudience::OtherRegions.whole_load_interval(entries.len());
        let lifetime = MIN_ENTRY_LIFETIME.max(load_lifetime(far_interval));
        entries.retain(|_, entry| entry.heard_at.elapsed() < lifetime);
        let members =
            entries.iter().filter(|(_, entry)| self.audience_of(entry.zone.as_ref()) == audience);
        members.map(|(address, _)| address.to_string()).collect()
    }

    /// Records that `sender` told of an entry, which may be itself.
    fn record_entry(&self, sender: SocketAddr, entry: SocketAddr, zone: Option<AvailabilityZone>) {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        let heard_at = Instant::now();
        if let Some(known) = entries.get_mut(&entry) {
            known.heard_at = heard_at;
            known.zone = zone.or_else(|| known.zone.take());
            return;
        }
        entries.insert(sender, entry, EntryContact { heard_at, zone });
        let dropped = entries.take_dropped();
        drop(entries);
        let mut drops = self.drops.lock().expect("no holder of the lock panics");
        drops.report("entries", dropped, sender);
    }

    /// Sends heartbeats to the sidecars of `audience` until the process ends.
    async fn send_heartbeats(&self, audience: PeerAudience) {
        let mut heartbeat_at: Option<Instant> = None;
        let mut known_sidecars: BTreeSet<String> = BTreeSet::new();
        let mut sent_offset = self.control.position().operator;
        let mut position = self.control.watch_position();
        loop {
            let search_interval = if known_sidecars.is_empty() {
                FIRST_SEARCH_INTERVAL
            } else {
                SIDECAR_SEARCH_INTERVAL
            };
            tokio::select! {
                () = sleep(search_interval) => {}
                // Reports the position of new operator records to the sidecars at once. A closed
                // channel tells none.
                Ok(_) = position.wait_for(|latest| latest.operator != sent_offset) => {}
            }
            let offset = self.control.position().operator;
            let sidecars = self.sidecars_in(audience).await;
            let interval = heartbeat_interval(sidecars.len());
            let is_due = heartbeat_at.is_none_or(|at| at.elapsed() >= interval);
            // Sidecars read records from entries of their own region, as long as there is one.
            let has_news = offset != sent_offset && audience == PeerAudience::OwnRegion;
            sent_offset = offset;
            if is_due || has_news {
                heartbeat_at = Some(Instant::now());
                self.send_heartbeat(interval, &sidecars);
            } else {
                // A sidecar that has just started needs a heartbeat to know where to fetch records.
                self.send_heartbeat(interval, sidecars.difference(&known_sidecars));
            }
            known_sidecars = sidecars;
        }
    }

    /// Addresses of the peer sockets of the sidecars in the regions of `audience`; a sidecar runs
    /// on the instance of each endpoint.
    async fn sidecars_in(&self, audience: PeerAudience) -> BTreeSet<String> {
        let endpoints = self.dispatcher.listed_endpoints().await;
        let members = endpoints.iter().filter(|(_, zone)| self.audience_of(Some(zone)) == audience);
        let sidecars = members.filter_map(|(address, _)| {
            let address: SocketAddr = address.parse().ok()?;
            Some(SocketAddr::new(address.ip(), self.sidecar_port).to_string())
        });
        sidecars.collect()
    }

    /// Sends a heartbeat that the sender repeats after `interval`.
    fn send_heartbeat<'s>(
        &self,
        interval: Duration,
        sidecars: impl IntoIterator<Item = &'s String>,
    ) {
        let heartbeat = EntryHeartbeat {
            entry: self.address.to_string(),
            zone: self.settings.zone.clone(),
            position: self.control.position(),
            lifetime_ms: message_lifetime(interval).as_millis() as u32,
        };
        self.socket.send(&PeerMessage::Hello(heartbeat), sidecars);
    }

    async fn receive(&self) {
        let mut reader = self.socket.reader(self.clock);
        loop {
            let ReceivedMessage { message, sender, arrived_after } = reader.receive().await;
            let peer = PeerAddress(sender.to_string());
            match message {
                PeerMessage::Load(load) => {
                    self.record_entry(sender, sender, load.zone.clone());
                    self.control.report_peer_position(&peer.0, load.position);
                    self.dispatcher.apply_peer_load(peer, load, arrived_after).await;
                }
                PeerMessage::Status(status) => {
                    let named = status.entries.iter().take(MAX_NAMED_ENTRIES);
                    let named = named.filter_map(|entry| entry.parse().ok());
                    for entry in named.filter(|entry| *entry != self.address) {
                        self.record_entry(sender, entry, None);
                    }
                    self.dispatcher.apply_sidecar_status(peer, status, arrived_after).await;
                }
                PeerMessage::Crashes(report) => self.dispatcher.apply_peer_crashes(report).await,
                PeerMessage::Hello(_) | PeerMessage::Pieces(_) => {}
            }
        }
    }
}
