//! Reports to the entries what the endpoint serves, and receives datagrams from peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::ClockSource;
use celeryshed_peering::{ControlHandle, PeerMessage, PeerSocket, SidecarStatus, VersionAge};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::inventory_task::InventoryMap;
use crate::settings::SidecarSettings;
use crate::stage_task::EndpointCondition;
use crate::view::StageView;

/// Interval of status messages while nothing changes.
const STATUS_INTERVAL: Duration = Duration::from_millis(800);
/// Delay after which a changed status is sent a second time, since datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(60);
/// Time without a heartbeat from an entry of the own region after which entries of other regions
/// are asked for control records too.
const OWN_REGION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without a heartbeat after which an entry gets no more status messages.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(4);

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
    pub(crate) async fn run(self) {
        let (entry_sender, mut entry_receiver) = tokio::sync::mpsc::unbounded_channel();
        let task = Arc::new(self);
        let receiving = task.clone();
        tokio::spawn(async move {
            let mut own_region_at: Option<Instant> = None;
            loop {
                match receiving.socket.receive().await.0 {
                    PeerMessage::Hello(heartbeat) => {
                        let now = Instant::now();
                        let in_own_region = receiving.settings.is_in_own_region(&heartbeat.zone);
                        own_region_at = if in_own_region { Some(now) } else { own_region_at };
                        // Records cross the links between regions only while no entry of the own
                        // region sends heartbeats.
                        let own_region_silent =
                            own_region_at.is_none_or(|at| at.elapsed() > OWN_REGION_TIMEOUT);
                        if in_own_region || own_region_silent {
                            receiving
                                .control
                                .report_peer_position(&heartbeat.entry, heartbeat.position);
                        }
                        // The receiver lives as long as the process.
                        let _ = entry_sender.send(heartbeat.entry);
                    }
                    PeerMessage::Pieces(inventory) => {
                        let received = (receiving.clock.now(), inventory);
                        receiving.inventories.send_modify(|inventories| {
                            inventories.insert(received.1.sidecar.clone(), received);
                        });
                    }
                    PeerMessage::Load(_) | PeerMessage::Status(_) => {}
                }
            }
        });
        let mut condition = task.condition.clone();
        let mut entries: BTreeMap<String, Instant> = BTreeMap::new();
        let mut pause = STATUS_INTERVAL;
        loop {
            tokio::select! {
                changed = timeout(pause, condition.changed()) => {
                    pause = if changed.is_ok() { REPEAT_DELAY } else { STATUS_INTERVAL };
                }
                Some(entry) = entry_receiver.recv() => {
                    // A new entry gets the status at once, a known one at the next interval.
                    if entries.insert(entry, Instant::now()).is_some() {
                        continue;
                    }
                }
            }
            entries.retain(|_, at| at.elapsed() < ENTRY_TIMEOUT);
            task.send_status(&condition.borrow_and_update().clone(), &entries);
        }
    }

    fn send_status(&self, condition: &EndpointCondition, entries: &BTreeMap<String, Instant>) {
        let now = self.clock.now();
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
            entries: entries.keys().cloned().collect(),
        };
        self.socket.send(&PeerMessage::Status(status), entries.keys());
    }
}
