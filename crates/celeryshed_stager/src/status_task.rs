//! Reports to the entries what the endpoint serves, and receives datagrams from peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::ClockSource;
use celeryshed_dispatch::{message_lifetime, status_interval};
use celeryshed_peering::{ControlHandle, PeerMessage, PeerSocket, SidecarStatus, VersionAge};
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
        let (entry_sender, entry_receiver) = mpsc::unbounded_channel();
        let task = Arc::new(self);
        let receiving = task.clone();
        let class = TaskClass::Essential;
        tasks.start("datagrams", class, async move { receiving.receive(&entry_sender).await });
        tasks.start("status", class, async move { task.send_statuses(entry_receiver).await });
    }

    /// Receives all datagrams, and passes the entries in heartbeats on.
    async fn receive(&self, entry_sender: &mpsc::UnboundedSender<(String, Instant)>) {
        let mut own_region_at: Option<Instant> = None;
        loop {
            match self.socket.receive().await.0 {
                PeerMessage::Hello(heartbeat) => {
                    let now = Instant::now();
                    let in_own_region = self.settings.is_in_own_region(&heartbeat.zone);
                    own_region_at = if in_own_region { Some(now) } else { own_region_at };
                    // Records cross the links between regions only while no entry of the own
                    // region sends heartbeats.
                    let own_region_silent =
                        own_region_at.is_none_or(|at| at.elapsed() > OWN_REGION_TIMEOUT);
                    if in_own_region || own_region_silent {
                        self.control.report_peer_position(&heartbeat.entry, heartbeat.position);
                    }
                    // The receiver lives as long as the process.
                    let lifetime = Duration::from_millis(heartbeat.lifetime_ms.into());
                    let _ = entry_sender.send((heartbeat.entry, now + lifetime));
                }
                PeerMessage::Pieces(inventory) => {
                    let now = self.clock.now();
                    let key = (inventory.sidecar.clone(), inventory.version);
                    self.inventories.send_modify(|inventories| {
                        if inventories.insert(key, (now, inventory)).is_none() {
                            inventories.retain(|_, (at, _)| now - *at < INVENTORY_LIFETIME);
                        }
                    });
                }
                PeerMessage::Load(_) | PeerMessage::Status(_) | PeerMessage::Crashes(_) => {}
            }
        }
    }

    /// Sends the status to the entries.
    async fn send_statuses(&self, mut entry_receiver: mpsc::UnboundedReceiver<(String, Instant)>) {
        let mut condition = self.condition.clone();
        // Entries with the time at which each counts as gone unless it sends another heartbeat.
        let mut entries: BTreeMap<String, Instant> = BTreeMap::new();
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
                Some((entry, gone_at)) = entry_receiver.recv() => {
                    // A new entry gets the status at once, a known one at the next interval.
                    if entries.insert(entry.clone(), gone_at).is_none() {
                        self.send_status(&condition.borrow().clone(), &entries, sent_count, [&entry]);
                        sent_count += 1;
                    }
                    continue;
                }
            }
            entries.retain(|_, gone_at| Instant::now() < *gone_at);
            let latest = condition.borrow_and_update().clone();
            self.send_status(&latest, &entries, sent_count, entries.keys());
            sent_count += 1;
        }
    }

    /// Sends the status to `receivers`. The message names a few of all `entries`, in turn by the
    /// number of messages sent before.
    fn send_status<'r>(
        &self,
        condition: &EndpointCondition,
        entries: &BTreeMap<String, Instant>,
        sent_count: usize,
        receivers: impl IntoIterator<Item = &'r String>,
    ) {
        let now = self.clock.now();
        let first_named = sent_count * MAX_NAMED_ENTRIES % entries.len().max(1);
        let named = entries.keys().cycle().skip(first_named);
        let view = self.view.borrow().clone();
        let versions = view.versions_of_known_age().map(|(model, target)| VersionAge {
            model: model.clone(),
            version: target.version,
            age_ms: (now - target.learned_at).as_millis() as u64,
        });
        let status = SidecarStatus {
            versions: versions.collect(),
            endpoint: self.settings.endpoint.clone(),
            models: condition.report.models.clone(),
            accepting: condition.accepting,
            closing_in_ms: condition.closing_at.map(|at| (at - now).as_millis() as u64),
            entries: named.take(entries.len().min(MAX_NAMED_ENTRIES)).cloned().collect(),
            lifetime_ms: message_lifetime(status_interval(entries.len())).as_millis() as u32,
        };
        self.socket.send(&PeerMessage::Status(status), receivers);
    }
}
