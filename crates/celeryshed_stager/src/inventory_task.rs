//! Sends the other sidecars an inventory of the pieces at this endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_peering::{PeerMessage, PeerSocket, PieceInventory};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::pieces::StagedPieces;
use crate::settings::SidecarSettings;
use crate::view::StageView;

/// Interval of inventories while no new piece arrives.
const INVENTORY_INTERVAL: Duration = Duration::from_millis(450);
/// Shortest time between two inventories, for each of their receivers.
const PAUSE_PER_RECEIVER: Duration = Duration::from_millis(4);
/// Time after the last new piece in which inventories are still sent, for sidecars that start
/// later.
const RESEND_PERIOD: Duration = Duration::from_secs(6);

/// Age up to which the sender of a received inventory gets inventories too, even if it is not
/// listed.
const SENDER_MAX_AGE: Duration = Duration::from_secs(2);

/// The last inventory from each other sidecar by its address, with the time of receipt.
pub(crate) type InventoryMap = BTreeMap<String, (MonoTime, PieceInventory)>;

/// Sends inventories while sidecars stage a version.
pub(crate) struct InventoryTask {
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    pub(crate) socket: Arc<PeerSocket>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) staged: watch::Receiver<StagedPieces>,
    pub(crate) inventories: watch::Receiver<InventoryMap>,
}

impl InventoryTask {
    pub(crate) async fn run(mut self) {
        let mut changed_at: Option<MonoTime> = None;
        loop {
            let now = self.clock.now();
            // A sidecar that lacks pieces keeps sending even if none arrive: the others leave a
            // silent sidecar out of their ranking, so it would lose its rank while the origin is
            // down.
            let resending = changed_at.is_some_and(|at| now - at < RESEND_PERIOD)
                || self.staged.borrow().lacks_pieces();
            let change = if resending {
                timeout(INVENTORY_INTERVAL, self.staged.changed()).await
            } else {
                Ok(self.staged.changed().await)
            };
            match change {
                Ok(Ok(())) => changed_at = Some(self.clock.now()),
                Ok(Err(_closed)) => return,
                Err(_elapsed) => {}
            }
            let receiver_count = self.send_inventory();
            sleep(PAUSE_PER_RECEIVER * receiver_count as u32).await;
        }
    }

    /// Sends the current inventory; returns the number of receivers.
    fn send_inventory(&mut self) -> usize {
        let staged = self.staged.borrow_and_update().clone();
        let Some(manifest) = &staged.manifest else { return 0 };
        let inventory = PieceInventory {
            sidecar: self.settings.peer_address.to_string(),
            region: self.settings.region_of(&self.settings.zone),
            model: manifest.model().to_owned(),
            version: manifest.version(),
            pieces: staged.verified.into_iter().collect(),
        };
        let now = self.clock.now();
        let listed = self.view.borrow().sidecars(now, &self.settings);
        // The inventory of a sidecar that just started may arrive before it is listed.
        let inventories = self.inventories.borrow();
        let recent = inventories.values().filter(|(at, _)| now - *at < SENDER_MAX_AGE);
        let senders = recent.map(|(_, inventory)| inventory.sidecar.clone());
        let receivers: BTreeSet<String> = listed.into_iter().chain(senders).collect();
        let receiver_count = receivers.len();
        self.socket.send(&PeerMessage::Pieces(inventory), receivers);
        receiver_count
    }
}
