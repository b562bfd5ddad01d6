//! Collects the pieces of each declared version, also while an earlier version waits for its load.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_dispatch::{PieceFetch, PiecePicker, PieceSource, SidecarPeer, StageManifest};
use celeryshed_observe::EventLine;
use celeryshed_process::catch_panic;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::endpoint_stage::EndpointStage;
use crate::fetch::{FetchFailure, PieceFetcher, STALL_TIMEOUT};
use crate::inventory_task::InventoryMap;
use crate::piece_store::PieceStore;
use crate::platform::WeightPlatform;
use crate::settings::SidecarSettings;
use crate::view::{StageGoal, StageView};

/// Corrupt pieces from the origin after which the manifest is fetched again, as one of its digests
/// may be wrong.
const MAX_CORRUPT_PIECES: u32 = 6;
/// Longest time between two attempts to start fetches.
const PICK_INTERVAL: Duration = Duration::from_millis(60);
/// Inventories older than this are ignored: their sender may have stopped.
const INVENTORY_MAX_AGE: Duration = Duration::from_secs(2);
/// Interval of `stage_progress` events.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of checks whether a version is needed, if nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Fetches the pieces of the newest declared version into the [`PieceStore`].
pub(crate) struct FetchTask<P> {
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    pub(crate) platform: Arc<P>,
    pub(crate) stage: Arc<EndpointStage<P>>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) store: Arc<watch::Sender<PieceStore>>,
    /// The last inventories from each other sidecar, with the time of receipt.
    pub(crate) inventories: watch::Receiver<InventoryMap>,
}

impl<P: WeightPlatform> FetchTask<P> {
    pub(crate) async fn run(mut self) {
        let mut store = self.store.subscribe();
        loop {
            let goal = self.view.borrow_and_update().goal(&self.settings);
            store.mark_unchanged();
            match goal.filter(|goal| self.needs_pieces(goal)) {
                Some(goal) => self.collect(goal).await,
                None => {
                    let changed = async {
                        tokio::select! {
                            // A closed channel tells no change.
                            Ok(()) = self.view.changed() => {}
                            _ = store.changed() => {}
                        }
                    };
                    // Checks again after a change or the interval.
                    let _ = timeout(CHECK_INTERVAL, changed).await;
                }
            }
        }
    }

    /// Whether the endpoint needs a version that isn't complete here.
    ///
    /// Nothing is fetched before the endpoint was asked what it has loaded. One that doesn't reply
    /// may start together with this process, and its pieces are fetched meanwhile.
    fn needs_pieces(&self, goal: &StageGoal) -> bool {
        let store = self.store.borrow();
        let version = goal.target.version;
        let loaded = store.loaded_version(&goal.model).unwrap_or(0);
        let limit = self.settings.piece_memory_bytes;
        let has_room = store.has_room(version, goal.version_bytes, limit);
        store.endpoint_asked && loaded < version && !store.is_complete(version) && has_room
    }

    /// Whether the pieces of the goal leave the memory as soon as the endpoint stores them.
    fn is_large(&self, goal: &StageGoal) -> bool {
        goal.version_bytes > self.settings.piece_memory_bytes
    }

    /// Whether there is memory for another piece of the goal beside those that are being fetched. One
    /// piece at a time is fetched whatever its size.
    fn has_room_for_piece(&self, goal: &StageGoal, fetch_count: usize) -> bool {
        let bytes = self.store.borrow().memory_bytes() + fetch_count * goal.piece_bytes;
        !self.is_large(goal)
            || bytes == 0
            || bytes + goal.piece_bytes <= self.settings.piece_memory_bytes
    }

    /// Fetches all pieces of the goal, unless a newer version replaces it meanwhile.
    async fn collect(&mut self, goal: StageGoal) {
        let started = self.clock.now();
        let version = goal.target.version;
        let fetcher = Arc::new(PieceFetcher {
            platform: self.platform.clone(),
            goal: goal.clone(),
            settings: self.settings.clone(),
            clock: self.clock,
            view: self.view.clone(),
        });
        let known = self.store.borrow().manifest(version).cloned();
        let mut manifest = match known {
            Some(manifest) => manifest,
            None => match fetcher.manifest().await {
                Some(manifest) => Arc::new(manifest),
                None => return self.abandon(&goal),
            },
        };
        loop {
            self.begin(&goal, &manifest).await;
            match self.fetch_missing(&fetcher, &manifest).await {
                FetchOutcome::Complete => break,
                FetchOutcome::GoalChanged => return self.abandon(&goal),
                FetchOutcome::ManifestDoubtful => {}
            }
            let Some(refetched) = fetcher.manifest().await.map(Arc::new) else {
                return self.abandon(&goal);
            };
            if refetched != manifest {
                EventLine::new("manifest_replaced")
                    .field("model", &goal.model)
                    .field("version", version)
                    .warn();
                manifest = refetched;
            }
        }
        EventLine::new("version_staged")
            .field("model", &goal.model)
            .field("version", version)
            .field("elapsed_ms", (self.clock.now() - started).as_millis())
            .info();
    }

    /// Gives up a version for a newer one.
    fn abandon(&self, goal: &StageGoal) {
        let version = goal.target.version;
        EventLine::new("version_abandoned")
            .field("model", &goal.model)
            .field("version", version)
            .info();
        self.store.send_modify(|store| store.abandon(version));
    }

    /// Opens the store for a version. Pieces that an earlier sidecar process stored at the endpoint
    /// are kept if they are valid.
    async fn begin(&self, goal: &StageGoal, manifest: &Arc<StageManifest>) {
        let is_new = self.store.send_if_modified(|store| store.begin(manifest));
        let loaded = self.store.borrow().loaded_version(&goal.model);
        if is_new && (loaded.is_none() || !goal.target.declared_while_running) {
            self.keep_valid_pieces(goal, manifest).await;
        }
    }

    async fn keep_valid_pieces(&self, goal: &StageGoal, manifest: &StageManifest) {
        let Ok(stored) = self.platform.staged_pieces(manifest.model()).await else { return };
        for piece in stored {
            if let Ok(Some(bytes)) =
                self.platform.read_piece(manifest.model(), piece, goal.piece_bytes).await
                && manifest.verifies(piece, &bytes)
            {
                self.stage.record_found(manifest.version(), [piece]).await;
                self.store.send_modify(|store| {
                    store.insert(manifest.version(), piece, bytes, &[]);
                    if self.is_large(goal) {
                        store.release(manifest.version(), piece);
                    }
                });
            }
        }
    }

    fn missing(&self, manifest: &StageManifest) -> BTreeSet<u32> {
        let held = self.store.borrow().held(manifest.version());
        (0..manifest.piece_count()).filter(|piece| !held.contains(piece)).collect()
    }

    /// Stores pieces of the goal at the endpoint until one can't be stored. Those of a large version
    /// leave the memory.
    fn write_pieces(
        &self,
        goal: &StageGoal,
        pieces: impl IntoIterator<Item = (u32, Bytes), IntoIter: Send + 'static>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (stage, store) = (self.stage.clone(), self.store.clone());
        let (model, version, is_large) =
            (goal.model.clone(), goal.target.version, self.is_large(goal));
        let pieces = pieces.into_iter();
        async move {
            for (piece, bytes) in pieces {
                if !stage.write_through(&model, version, piece, bytes).await {
                    return;
                }
                if is_large {
                    store.send_modify(|store| store.release(version, piece));
                }
            }
        }
    }

    /// Fetches pieces until none is missing, the goal changes or the manifest proves doubtful.
    async fn fetch_missing(
        &mut self,
        fetcher: &Arc<PieceFetcher<P>>,
        manifest: &Arc<StageManifest>,
    ) -> FetchOutcome {
        let goal = &fetcher.goal;
        let version = goal.target.version;
        let region = self.settings.region_of(&self.settings.zone);
        let own = self.settings.peer_address.to_string();
        let missing = self.missing(manifest);
        let started = self.clock.now();
        let mut picker =
            PiecePicker::new(&own, &region, version, missing, goal.origin_transfer, started);
        let mut fetches = JoinSet::new();
        let mut writes = JoinSet::new();
        let mut corrupt_count = 0;
        let mut last_piece_at = started;
        let mut logged_at = started;
        let mut last_view: Option<Arc<StageView>> = None;
        self.inventories.mark_changed();
        let outcome = loop {
            if picker.missing().is_empty() {
                break FetchOutcome::Complete;
            }
            let now = self.clock.now();
            self.update_peers(now, goal, &mut picker, &mut last_view);
            if now - logged_at >= PROGRESS_INTERVAL {
                logged_at = now;
                log_progress(now, goal, &picker);
            }
            while writes.try_join_next().is_some() {}
            if writes.is_empty() && !self.has_room_for_piece(goal, picker.fetch_count()) {
                // The endpoint didn't store them when they arrived.
                let pieces = self.store.borrow().in_memory(version);
                writes.spawn(self.write_pieces(goal, pieces));
            }
            while self.has_room_for_piece(goal, picker.fetch_count())
                && let Some(fetch) = picker.start_next_fetch(now, rand::random())
            {
                let (fetcher, manifest) = (fetcher.clone(), manifest.clone());
                fetches.spawn(async move {
                    // Otherwise the piece would never be fetched again.
                    let fetched = catch_panic(fetcher.piece(&manifest, &fetch)).await;
                    let outcome = fetched.unwrap_or(Err(FetchFailure::Unavailable));
                    (fetch, outcome)
                });
            }
            let ended: Option<(PieceFetch, Result<Bytes, FetchFailure>)> =
                match timeout(PICK_INTERVAL, fetches.join_next()).await {
                    Ok(Some(Ok(ended))) => Some(ended),
                    Ok(Some(Err(_))) | Err(_) => None,
                    Ok(None) => {
                        sleep(PICK_INTERVAL).await;
                        None
                    }
                };
            match ended {
                Some((fetch, Ok(bytes))) => {
                    picker.record_fetched(fetch.piece);
                    let uninformed = picker.uninformed(&fetch);
                    self.store.send_modify(|store| {
                        store.insert(version, fetch.piece, bytes.clone(), uninformed);
                    });
                    writes.spawn(self.write_pieces(goal, [(fetch.piece, bytes)]));
                    last_piece_at = self.clock.now();
                }
                Some((fetch, Err(failure))) => {
                    let from_origin = fetch.source == PieceSource::Origin;
                    corrupt_count += u32::from(from_origin && failure == FetchFailure::Corrupt);
                    let now = self.clock.now();
                    match failure {
                        FetchFailure::Missing => picker.record_missing(now, fetch),
                        FetchFailure::Unavailable | FetchFailure::Corrupt => {
                            picker.record_failure(now, fetch);
                        }
                    }
                }
                None => {}
            }
            if fetcher.is_replaced(self.clock.now() - last_piece_at > STALL_TIMEOUT) {
                break FetchOutcome::GoalChanged;
            }
            if corrupt_count >= MAX_CORRUPT_PIECES {
                break FetchOutcome::ManifestDoubtful;
            }
        };
        // A write that is cut off may reach the endpoint later, among pieces of another version.
        while writes.join_next().await.is_some() {}
        outcome
    }

    /// Passes the other sidecars and their inventories to the picker, if they changed.
    fn update_peers(
        &mut self,
        now: MonoTime,
        goal: &StageGoal,
        picker: &mut PiecePicker,
        last_view: &mut Option<Arc<StageView>>,
    ) {
        let view = self.view.borrow().clone();
        if !last_view.as_ref().is_some_and(|last| Arc::ptr_eq(last, &view)) {
            picker.set_peers(now, &view.sidecar_peers(now, &self.settings, goal));
            *last_view = Some(view);
        }
        if !self.inventories.has_changed().unwrap_or(false) {
            return;
        }
        let inventories = self.inventories.borrow_and_update();
        for (_, (at, inventory)) in inventories.iter() {
            if inventory.model == goal.model
                && inventory.version == goal.target.version
                && now - *at < INVENTORY_MAX_AGE
            {
                let peer = SidecarPeer {
                    address: inventory.sidecar.clone(),
                    region: inventory.region.clone(),
                    has_all_pieces: false,
                };
                picker.record_peer_pieces(now, *at, &peer, &inventory.pieces);
            }
        }
    }
}

enum FetchOutcome {
    Complete,
    GoalChanged,
    /// Too many pieces from the origin don't match the manifest, which may be wrong itself.
    ManifestDoubtful,
}

fn log_progress(now: MonoTime, goal: &StageGoal, picker: &PiecePicker) {
    EventLine::new("stage_progress")
        .field("model", &goal.model)
        .field("version", goal.target.version)
        .field("missing", picker.missing().len())
        .field("fetching", picker.fetch_count())
        .field("first_missing", picker.missing().first().copied().unwrap_or_default())
        .field("holders", picker.first_piece_holder_count(now))
        .info();
}
