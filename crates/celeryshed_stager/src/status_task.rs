//! Tells the entries what the endpoint serves.

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

/// Time between two messages without a change.
const STATUS_INTERVAL: Duration = Duration::from_millis(800);
/// Time after a change at which it is told once more, since datagrams may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(60);
/// Time without a greeting from an entry of the own region after which others are asked for news.
const NEAR_LIFETIME: Duration = Duration::from_millis(2500);
/// An entry that sent no greeting for this long is no longer told.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);

/// Sends the status to the entries that greeted lately, and receives all datagrams.
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
        let (greeted, mut greetings) = tokio::sync::mpsc::unbounded_channel();
        let task = Arc::new(self);
        let receiving = task.clone();
        tokio::spawn(async move {
            let mut near_at: Option<Instant> = None;
            loop {
                match receiving.socket.receive().await.0 {
                    PeerMessage::Hello(heartbeat) => {
                        let now = Instant::now();
                        let near = receiving.settings.is_near(&heartbeat.zone);
                        near_at = if near { Some(now) } else { near_at };
                        // News cross the links between regions only where no entry is near.
                        let alone = near_at.is_none_or(|at| at.elapsed() > NEAR_LIFETIME);
                        if near || alone {
                            receiving
                                .control
                                .report_peer_position(&heartbeat.entry, heartbeat.position);
                        }
                        // The receiver ends only with the process.
                        let _ = greeted.send(heartbeat.entry);
                    }
                    PeerMessage::Pieces(inventory) => {
                        let heard = (receiving.clock.now(), inventory);
                        receiving.inventories.send_modify(|inventories| {
                            inventories.insert(heard.1.sidecar.clone(), heard);
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
                    pause = if changed.is_ok() { REPEAT_AFTER } else { STATUS_INTERVAL };
                }
                Some(entry) = greetings.recv() => {
                    // A new entry is told at once.
                    if entries.insert(entry, Instant::now()).is_some() {
                        continue;
                    }
                }
            }
            entries.retain(|_, at| at.elapsed() < ENTRY_LIFETIME);
            task.send(&condition.borrow_and_update().clone(), &entries);
        }
    }

    fn send(&self, condition: &EndpointCondition, entries: &BTreeMap<String, Instant>) {
        let now = self.clock.now();
        let view = self.view.borrow().clone();
        let versions = view.dated_versions().map(|(model, target)| VersionAge {
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
