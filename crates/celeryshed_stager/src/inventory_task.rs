//! Sends the other sidecars inventories of the pieces that this one holds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_dispatch::{BoundedMap, PeerAudience, inventory_interval};
use celeryshed_peering::{PeerMessage, PeerSocket, PieceInventory};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::piece_store::PieceStore;
use crate::settings::SidecarSettings;
use crate::view::StageView;

/// Interval of inventories while no new piece arrives.
const INVENTORY_INTERVAL: Duration = Duration::from_millis(450);
/// Time after the last new piece in which inventories are still sent, for sidecars that start
/// later.
const RESEND_PERIOD: Duration = Duration::from_secs(6);

/// Age up to which the sender of a received inventory gets inventories too, even if it is not
/// listed.
const SENDER_MAX_AGE: Duration = Duration::from_secs(2);

/// Most inventories that are kept: those of a few versions from each sidecar of a large fleet.
pub(crate) const MAX_INVENTORIES: usize = 2048;

/// The last inventory of each version from each other sidecar, by the sidecar's address and the
/// version, with the time of receipt. Each belongs to the process that sent it.
pub(crate) type InventoryMap = BoundedMap<SocketAddr, (String, u64), (MonoTime, PieceInventory)>;

/// Sends inventories to the sidecars of one audience while versions are collected.
///
/// They are sent at once if a piece arrives that the audience may not know of, and otherwise at
/// intervals that grow with the number of receivers: the others can fetch the piece elsewhere.
pub(crate) struct InventoryTask {
    pub(crate) audience: PeerAudience,
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    pub(crate) socket: Arc<PeerSocket>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) store: watch::Receiver<PieceStore>,
    pub(crate) inventories: watch::Receiver<InventoryMap>,
}

impl InventoryTask {
    pub(crate) async fn run(self) {
        let (mut changes, mut arrivals) = (self.store.clone(), self.store.clone());
        let mut changed_at: Option<MonoTime> = None;
        let mut next_at = Instant::now();
        let mut told_pieces = 0;
        loop {
            let now = self.clock.now();
            // A sidecar that lacks pieces keeps sending even if none arrive: the others leave a
            // silent sidecar out of their ranking, so it would lose its rank while the origin is
            // down.
            let resending = changed_at.is_some_and(|at| now - at < RESEND_PERIOD)
                || self.store.borrow().lacks_pieces();
            let regular = async {
                sleep_until(next_at).await;
                if resending {
                    timeout(INVENTORY_INTERVAL, changes.changed()).await
                } else {
                    Ok(changes.changed().await)
                }
            };
            let is_unknown =
                |store: &PieceStore| store.unknown_pieces(self.audience) != told_pieces;
            let change = tokio::select! {
                arrival = arrivals.wait_for(is_unknown) => Ok(arrival.map(|_| ())),
                change = regular => change,
            };
            match change {
                Ok(Ok(())) => changed_at = Some(self.clock.now()),
                Ok(Err(_closed)) => return,
                Err(_elapsed) => {}
            }
            told_pieces = self.store.borrow().unknown_pieces(self.audience);
            let receiver_count = self.send_inventories();
            next_at = Instant::now() + inventory_interval(receiver_count);
        }
    }

    /// Sends the current inventories; returns the number of receivers.
    fn send_inventories(&self) -> usize {
        let now = self.clock.now();
        let receivers = self.receivers(now);
        let store = self.store.borrow();
        for (manifest, pieces) in store.inventories() {
            let inventory = PieceInventory {
                sidecar: self.settings.peer_address.to_string(),
                region: self.settings.region_of(&self.settings.zone),
                model: manifest.model().to_owned(),
                version: manifest.version(),
                pieces,
            };
            self.socket.send(&PeerMessage::Pieces(inventory), &receivers);
        }
        receivers.len()
    }

    fn receivers(&self, now: MonoTime) -> BTreeSet<String> {
        let in_own_region = self.audience == PeerAudience::OwnRegion;
        let mut receivers: BTreeSet<String> =
            self.view.borrow().sidecars(now, &self.settings, in_own_region).into_iter().collect();
        // The inventory of a sidecar that just started may arrive before it is listed.
        let own_region = self.settings.region_of(&self.settings.zone);
        let inventories = self.inventories.borrow();
        let recent = inventories.iter().filter(|(_, (at, _))| now - *at < SENDER_MAX_AGE);
        let senders = recent.filter(|(_, (_, sent))| (sent.region == own_region) == in_own_region);
        receivers.extend(senders.map(|(_, (_, inventory))| inventory.sidecar.clone()));
        receivers
    }
}
