//! Reports to the entries what the endpoint serves, and receives datagrams from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, ModelName};
use celeryshed_dispatch::{
    BoundedMap, MAX_PEERS, message_lifetime, status_interval, told_heartbeat_lifetime,
};
use celeryshed_peering::{
    ControlHandle, DropLog, EntryHeartbeat, PeerMessage, PeerSocket, PieceInventory, SidecarStatus,
    VersionAge,
};
use celeryshed_process::{TaskClass, TaskGroup};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};

use crate::inventory_task::InventoryMap;
use crate::settings::SidecarSettings;
use crate::stage_task::EndpointCondition;
use crate::view::StageView;

/// Time after which an inventory is forgotten, so that those of former versions and sidecars don't
/// add up.
const INVENTORY_LIFETIME: Duration = Duration::from_secs(30);
/// Delay after which a changed status is sent a second time, since datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(60);
/// Time without a heartbeat from an entry of the own region after which entries of other regions
/// are asked for control records too.
const OWN_REGION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of entries that one status message names, so that its length doesn't grow with
/// their number.
const MAX_NAMED_ENTRIES: usize = 6;

/// Heartbeats that wait for the next status. Further ones wait in the socket, which drops those that it
/// has no room for.
const MAX_WAITING_HEARTBEATS: usize = 64;
/// Most pieces of an inventory; a manifest lists fewer.
const MAX_PIECES: u32 = 16 * 1024;

/// Entries with the time at which each counts as gone unless it sends another heartbeat. Each belongs
/// to the process that sent it.
type EntryMap = BoundedMap<SocketAddr, SocketAddr, Instant>;

/// A heartbeat of an entry that counts until `gone_at`.
struct EntryContact {
    sender: SocketAddr,
    entry: SocketAddr,
    gone_at: Instant,
}

/// Sends the status to the entries with a recent heartbeat, and receives all datagrams.
pub(crate) struct StatusTask {
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) socket: Arc<PeerSocket>,
    pub(crate) control: ControlHandle,
    pub(crate) condition: watch::Receiver<EndpointCondition>,
    pub(crate) clock: ClockSource,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) inventories: watch::Sender<InventoryMap>,
}

impl StatusTask {
    /// Starts its tasks as `tasks` of the role.
    pub(crate) fn start(self, tasks: &TaskGroup) {
        let (contacts, received_contacts) = mpsc::channel(MAX_WAITING_HEARTBEATS);
        let task = Arc::new(self);
        let receiving = task.clone();
        let class = TaskClass::Essential;
        tasks.start("datagrams", class, async move { receiving.receive(contacts).await });
        tasks.start("status", class, async move { task.send_statuses(received_contacts).await });
    }

    /// Sends the status to the entries.
    async fn send_statuses(&self, mut received_contacts: mpsc::Receiver<EntryContact>) {
        let mut condition = self.condition.clone();
        let mut entries = EntryMap::new(MAX_PEERS);
        let mut drops = DropLog::default();
        let mut next_at = Instant::now();
        let mut sent_count = 0;
        loop {
            tokio::select! {
                changed = timeout_at(next_at, condition.changed()) => {
                    let pause = match changed {
                        Ok(Ok(())) => REPEAT_DELAY,
                        // The task that knows the condition has ended.
                        Ok(Err(_closed)) => return,
                        Err(_elapsed) => status_interval(entries.len()),
                    };
                    next_at = Instant::now() + pause;
                }
                Some(EntryContact { sender, entry, gone_at }) = received_contacts.recv() => {
                    if let Some(known) = entries.get_mut(&entry) {
                        *known = gone_at;
                        continue;
                    }
                    entries.insert(sender, entry, gone_at);
                    drops.report("entries", entries.take_dropped(), sender);
                    // A new entry gets the status at once, a known one at the next interval.
                    if entries.get(&entry).is_some() {
                        let receivers = [entry.to_string()];
                        self.send_status(&condition.borrow().clone(), &entries, sent_count, &receivers);
                        sent_count += 1;
                    }
                    continue;
                }
            }
            entries.retain(|_, gone_at| Instant::now() < *gone_at);
            let latest = condition.borrow_and_update().clone();
            let receivers: Vec<String> =
                entries.iter().map(|(entry, _)| entry.to_string()).collect();
            self.send_status(&latest, &entries, sent_count, &receivers);
            sent_count += 1;
        }
    }

    /// Receives datagrams until the process ends.
    async fn receive(&self, contacts: mpsc::Sender<EntryContact>) {
        let mut own_region_at: Option<Instant> = None;
        let mut drops = DropLog::default();
        loop {
            let (message, sender) = self.socket.receive().await;
            match message {
                PeerMessage::Hello(heartbeat) => {
                    let Ok(entry) = heartbeat.entry.parse() else { continue };
                    self.apply_position(&heartbeat, &mut own_region_at);
                    let gone_at = Instant::now() + told_heartbeat_lifetime(heartbeat.lifetime_ms);
                    // The receiver lives as long as the process.
                    let _ = contacts.send(EntryContact { sender, entry, gone_at }).await;
                }
                PeerMessage::Pieces(inventory) => {
                    let dropped = self.keep_inventory(sender, inventory);
                    drops.report("inventories", dropped, sender);
                }
                PeerMessage::Load(_) | PeerMessage::Status(_) | PeerMessage::Crashes(_) => {}
            }
        }
    }

    /// Reports the position of an entry to the control task.
    fn apply_position(&self, heartbeat: &EntryHeartbeat, own_region_at: &mut Option<Instant>) {
        let in_own_region = self.settings.is_in_own_region(&heartbeat.zone);
        if in_own_region {
            *own_region_at = Some(Instant::now());
        }
        // Records cross the links between regions only while no entry of the own region sends
        // heartbeats.
        let own_region_silent = own_region_at.is_none_or(|at| at.elapsed() > OWN_REGION_TIMEOUT);
        if in_own_region || own_region_silent {
            self.control.report_peer_position(&heartbeat.entry, heartbeat.position);
        }
    }

    /// Keeps the inventory of a sidecar, unless it is of another model than the endpoint's. Returns how
    /// many were dropped at the limit.
    fn keep_inventory(&self, sender: SocketAddr, mut inventory: PieceInventory) -> u64 {
        let goal = self.view.borrow().goal(&self.settings);
        let is_of_use = match goal {
            Some(goal) => goal.model == inventory.model,
            None => ModelName::try_from(inventory.model.as_str()).is_ok(),
        };
        if !is_of_use || inventory.sidecar.parse::<SocketAddr>().is_err() {
            return 0;
        }
        inventory.pieces.truncate(MAX_PIECES);
        let now = self.clock.now();
        let key = (inventory.sidecar.clone(), inventory.version);
        let mut dropped = 0;
        self.inventories.send_modify(|inventories| {
            if inventories.get(&key).is_none() {
                inventories.retain(|_, (at, _)| now - *at < INVENTORY_LIFETIME);
            }
            inventories.insert(sender, key, (now, inventory));
            dropped = inventories.take_dropped();
        });
        dropped
    }

    /// Sends the status to `receivers`. The message names a few of all `entries`, in turn by the
    /// number of messages sent before.
    fn send_status(
        &self,
        condition: &EndpointCondition,
        entries: &EntryMap,
        sent_count: usize,
        receivers: &[String],
    ) {
        let now = self.clock.now();
        let first_named = sent_count * MAX_NAMED_ENTRIES % entries.len().max(1);
        let addresses: Vec<&SocketAddr> = entries.iter().map(|(entry, _)| entry).collect();
        let named = addresses.iter().cycle().skip(first_named);
        let view = self.view.borrow().clone();
        let versions = view.newest_known_ages().map(|(model, version, age)| VersionAge {
            model: model.to_owned(),
            version,
            age_ms: age.as_millis() as u64,
        });
        let status = SidecarStatus {
            versions: versions.collect(),
            endpoint: self.settings.endpoint.clone(),
            models: condition.report.models.clone(),
            accepting: condition.accepting,
            closing_in_ms: condition.closing_at.map(|at| (at - now).as_millis() as u64),
            entries: named
                .take(entries.len().min(MAX_NAMED_ENTRIES))
                .map(|entry| entry.to_string())
                .collect(),
            lifetime_ms: message_lifetime(status_interval(entries.len())).as_millis() as u32,
        };
        self.socket.send(&PeerMessage::Status(status), receivers);
    }
}
