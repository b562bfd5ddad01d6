//! Tells the other sidecars which pieces lie here.

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

/// Time between two notices without a new piece.
const NOTICE_INTERVAL: Duration = Duration::from_millis(450);
/// Least time between two notices, for each sidecar that is told.
const PAUSE_PER_PEER: Duration = Duration::from_millis(4);
/// Time after the last new piece in which notices go on, for sidecars that start later.
const NOTICE_PERIOD: Duration = Duration::from_secs(6);

/// Time in which a sidecar that was heard is told, listed or not.
const HEARD_PERIOD: Duration = Duration::from_secs(2);

/// The last notice of each other sidecar, and when it came.
pub(crate) type InventoryMap = BTreeMap<String, (MonoTime, PieceInventory)>;

/// Sends notices while a version spreads.
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
            // One that still lacks pieces is heard too, else it would lose its rank while the origin
            // is away.
            let spreading = changed_at.is_some_and(|at| now - at < NOTICE_PERIOD)
                || self.staged.borrow().lacks_pieces();
            let change = if spreading {
                timeout(NOTICE_INTERVAL, self.staged.changed()).await
            } else {
                Ok(self.staged.changed().await)
            };
            match change {
                Ok(Ok(())) => changed_at = Some(self.clock.now()),
                Ok(Err(_closed)) => return,
                Err(_elapsed) => {}
            }
            let told = self.send();
            sleep(PAUSE_PER_PEER * told as u32).await;
        }
    }

    /// Sends a notice; how many sidecars were told.
    fn send(&mut self) -> usize {
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
        // Sidecars that started lately may be heard before the list names them.
        let inventories = self.inventories.borrow();
        let heard = inventories.values().filter(|(at, _)| now - *at < HEARD_PERIOD);
        let heard = heard.map(|(_, inventory)| inventory.sidecar.clone());
        let peers: BTreeSet<String> = listed.into_iter().chain(heard).collect();
        let told = peers.len();
        self.socket.send(&PeerMessage::Pieces(inventory), peers);
        told
    }
}
