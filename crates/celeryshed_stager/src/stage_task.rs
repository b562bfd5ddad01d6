//! Brings the endpoint to the declared version: fetches and verifies its pieces, orders its load.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_dispatch::{
    PieceFetch, PiecePicker, PieceSource, ReloadSchedule, SidecarPeer, StageManifest,
};
use celeryshed_observe::EventLine;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fetch::{FetchFailure, PieceFetcher};
use crate::inventory_task::InventoryMap;
use crate::pieces::StagedPieces;
use crate::platform::{EngineReport, ReloadReply, WeightPlatform};
use crate::settings::SidecarSettings;
use crate::view::{StageGoal, StageView};

/// Interval of state queries to the endpoint while there is nothing to stage or load.
const IDLE_QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of calls to the endpoint while it starts, drains or loads.
const BUSY_QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a load that has not ended is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Corrupt pieces from the origin after which the manifest is fetched again, as one of its digests
/// may be wrong.
const MAX_CORRUPT_PIECES: u32 = 6;
/// Longest time between two attempts to start fetches.
const PICK_INTERVAL: Duration = Duration::from_millis(60);
/// Time without a new piece after which a newer version is staged instead.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Inventories older than this are ignored: their sender may have stopped.
const INVENTORY_MAX_AGE: Duration = Duration::from_secs(2);
/// Shortest time between telling the entries that the endpoint closes and the load order.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(200);
/// Longest time between telling the entries that the endpoint closes and the load order.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(700);
/// Interval of `stage_progress` events.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a load order that failed or did not fit the state of the endpoint.
const FAILED_ORDER_DELAY: Duration = Duration::from_millis(200);

/// State of the endpoint, as it is reported to the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointCondition {
    pub(crate) report: EngineReport,
    /// Whether entries may send requests.
    pub(crate) accepting: bool,
    /// When the endpoint stops accepting requests to load weights; none if no load is planned.
    pub(crate) closing_at: Option<MonoTime>,
}

/// Stages and loads each new version at the endpoint.
pub(crate) struct StageTask<P> {
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    pub(crate) platform: Arc<P>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) staged: watch::Sender<StagedPieces>,
    pub(crate) condition: watch::Sender<EndpointCondition>,
    /// The last inventory from each other sidecar, with the time of receipt.
    pub(crate) inventories: watch::Receiver<InventoryMap>,
    /// Whether the endpoint replied since this process started.
    pub(crate) endpoint_seen: bool,
    /// Verified pieces that were fetched before the endpoint started, by number.
    pub(crate) buffered_pieces: BTreeMap<u32, Bytes>,
}

impl<P: WeightPlatform> StageTask<P> {
    pub(crate) async fn run(mut self) {
        loop {
            let report = self.query_endpoint().await;
            let goal = self.view.borrow_and_update().goal(&self.settings);
            match (goal, report) {
                (Some(goal), Some(report)) if self.needs_version(&goal, &report) => {
                    self.endpoint_seen = true;
                    self.stage_and_load(goal, report).await;
                }
                // The endpoint starts together with this process; pieces are fetched meanwhile.
                (Some(goal), None) if !self.endpoint_seen => {
                    self.stage_and_load(goal, EngineReport::default()).await;
                }
                (_, Some(_)) => {
                    self.endpoint_seen = true;
                    let _ = timeout(IDLE_QUERY_INTERVAL, self.view.changed()).await;
                }
                _ => {
                    // The endpoint is queried again, after a change of the view or the interval.
                    let _ = timeout(IDLE_QUERY_INTERVAL, self.view.changed()).await;
                }
            }
        }
    }

    fn needs_version(&self, goal: &StageGoal, report: &EngineReport) -> bool {
        let loaded = report.models.get(&goal.model).copied().unwrap_or(0);
        loaded < goal.target.version && !report.busy
    }

    /// Queries the state of the endpoint and publishes it to the other tasks; `None` if the
    /// endpoint gave no valid reply.
    async fn query_endpoint(&self) -> Option<EngineReport> {
        match self.platform.endpoint_report().await {
            Ok(report) => {
                let accepting = !report.busy;
                // The count changes all the time and entries don't need it; each change would send
                // a status message.
                let report = EngineReport { queued: 0, ..report };
                self.staged.send_if_modified(|staged| {
                    let changed = staged.loaded != report.models;
                    staged.loaded = report.models.clone();
                    changed
                });
                self.set_condition(report.clone(), accepting);
                Some(report)
            }
            Err(error) => {
                let was_accepting = self.condition.borrow().accepting;
                if was_accepting {
                    EventLine::new("endpoint_lost").field("error", error).warn();
                }
                self.set_condition(EngineReport::default(), false);
                None
            }
        }
    }

    fn set_condition(&self, report: EngineReport, accepting: bool) {
        self.condition.send_if_modified(|old| {
            let closing_at = old.closing_at.filter(|_| accepting);
            let condition = EndpointCondition { report, accepting, closing_at };
            let changed = *old != condition;
            *old = condition;
            changed
        });
    }

    /// Stages the goal and orders its load.
    ///
    /// Returns without a load if another goal replaced this one before all pieces were staged, or
    /// if a staged piece fails the last check.
    async fn stage_and_load(&mut self, goal: StageGoal, report: EngineReport) {
        let started = self.clock.now();
        let loaded = report.models.get(&goal.model).copied();
        // An earlier sidecar process may have stored pieces.
        let check_stored = loaded.is_none() || !goal.target.declared_while_running;
        let Some(manifest) = self.stage(&goal, check_stored).await else { return };
        EventLine::new("version_staged")
            .field("model", &goal.model)
            .field("version", goal.target.version)
            .field("elapsed_ms", (self.clock.now() - started).as_millis())
            .info();
        self.wait_for_reload_time(&goal, loaded).await;
        if !self.verify(&goal, &manifest).await {
            return;
        }
        self.order_load(&goal).await;
    }

    /// Fetches the missing pieces; `None` if the goal changed meanwhile. With `check_stored`, valid
    /// pieces at the endpoint are kept.
    async fn stage(&mut self, goal: &StageGoal, check_stored: bool) -> Option<Arc<StageManifest>> {
        let fetcher = Arc::new(PieceFetcher {
            platform: self.platform.clone(),
            goal: goal.clone(),
            settings: self.settings.clone(),
            clock: self.clock,
            view: self.view.clone(),
        });
        let known = self.staged.borrow().manifest.clone().filter(|manifest| {
            manifest.model() == goal.model && manifest.version() == goal.target.version
        });
        let mut manifest = match known {
            Some(manifest) => manifest,
            None => {
                let manifest = Arc::new(fetcher.manifest().await);
                self.reset_staged(&manifest);
                if check_stored {
                    self.keep_valid_pieces(&manifest).await;
                }
                manifest
            }
        };
        loop {
            match self.fetch_missing(&fetcher, &manifest).await {
                FetchOutcome::Complete => return Some(manifest),
                FetchOutcome::GoalChanged => return None,
                FetchOutcome::ManifestDoubtful => {}
            }
            let refetched = Arc::new(fetcher.manifest().await);
            if refetched != manifest {
                EventLine::new("manifest_replaced")
                    .field("model", &goal.model)
                    .field("version", goal.target.version)
                    .warn();
                manifest = refetched;
                self.reset_staged(&manifest);
                self.keep_valid_pieces(&manifest).await;
            }
        }
    }

    fn reset_staged(&self, manifest: &Arc<StageManifest>) {
        self.staged.send_modify(|staged| {
            staged.manifest = Some(manifest.clone());
            staged.verified.clear();
        });
    }

    fn missing(&self, manifest: &StageManifest) -> BTreeSet<u32> {
        let staged = self.staged.borrow();
        (0..manifest.piece_count()).filter(|piece| !staged.verified.contains(piece)).collect()
    }

    /// The current goal, if its version differs from that of `goal`.
    fn newer_goal(&self, goal: &StageGoal) -> Option<StageGoal> {
        let latest = self.view.borrow().goal(&self.settings);
        latest.filter(|latest| latest.target.version != goal.target.version)
    }

    /// Marks the pieces at the endpoint that match the manifest as verified.
    async fn keep_valid_pieces(&self, manifest: &StageManifest) {
        let Ok(stored) = self.platform.staged_pieces(manifest.model()).await else { return };
        for piece in stored {
            if let Ok(Some(bytes)) = self.platform.read_piece(manifest.model(), piece).await
                && manifest.verifies(piece, &bytes)
            {
                self.staged.send_modify(|staged| {
                    staged.verified.insert(piece);
                });
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
        let region = self.settings.region_of(&self.settings.zone);
        let own = self.settings.peer_address.to_string();
        let missing = self.missing(manifest);
        let started = self.clock.now();
        let mut picker = PiecePicker::new(
            &own,
            &region,
            goal.target.version,
            missing,
            goal.origin_transfer,
            started,
        );
        let mut fetches = JoinSet::new();
        let mut corrupt_count = 0;
        let mut last_piece_at = started;
        let mut logged_at = started;
        let mut last_view: Option<Arc<StageView>> = None;
        self.inventories.mark_changed();
        while !picker.missing().is_empty() {
            let now = self.clock.now();
            self.update_peers(now, goal, &mut picker, &mut last_view);
            if now - logged_at >= PROGRESS_INTERVAL {
                logged_at = now;
                log_progress(now, goal, &picker);
            }
            while let Some(fetch) = picker.start_next_fetch(now, rand::random()) {
                let (fetcher, manifest) = (fetcher.clone(), manifest.clone());
                let buffer = !self.endpoint_seen;
                fetches.spawn(async move {
                    let outcome = fetch_piece(&fetcher, &manifest, &fetch, buffer).await;
                    (fetch, outcome)
                });
            }
            let ended = timeout(PICK_INTERVAL, fetches.join_next()).await;
            match ended {
                Ok(Some(Ok((fetch, PieceOutcome::Buffered(bytes))))) => {
                    picker.record_fetched(fetch.piece);
                    self.buffered_pieces.insert(fetch.piece, bytes);
                    last_piece_at = self.clock.now();
                }
                Ok(Some(Ok((fetch, PieceOutcome::Staged)))) => {
                    picker.record_fetched(fetch.piece);
                    self.staged.send_modify(|staged| {
                        staged.verified.insert(fetch.piece);
                    });
                    last_piece_at = self.clock.now();
                }
                Ok(Some(Ok((fetch, PieceOutcome::Failed)))) => {
                    picker.record_failure(self.clock.now(), fetch);
                }
                Ok(Some(Ok((fetch, PieceOutcome::Corrupt)))) => {
                    corrupt_count += u32::from(fetch.source == PieceSource::Origin);
                    picker.record_failure(self.clock.now(), fetch);
                }
                Ok(Some(Err(_))) | Err(_) => {}
                Ok(None) => sleep(PICK_INTERVAL).await,
            }
            // A version that was declared long enough before the newer one is finished first, since
            // its own deadline still applies, unless no more pieces arrive.
            let stalled = self.clock.now() - last_piece_at > STALL_TIMEOUT;
            let newer = self.newer_goal(goal).map(|newer| newer.target);
            if newer.is_some_and(|newer| {
                stalled || !goal.target.is_worth_finishing(&newer, goal.origin_transfer)
            }) {
                return FetchOutcome::GoalChanged;
            }
            if corrupt_count >= MAX_CORRUPT_PIECES {
                return FetchOutcome::ManifestDoubtful;
            }
        }
        self.store_buffered_pieces(goal).await;
        FetchOutcome::Complete
    }

    /// Stores the buffered pieces at the endpoint as soon as the endpoint has started.
    async fn store_buffered_pieces(&mut self, goal: &StageGoal) {
        while let Some((piece, bytes)) = self.buffered_pieces.pop_first() {
            match self.platform.write_piece(&goal.model, piece, bytes.clone()).await {
                Ok(()) => self.staged.send_modify(|staged| {
                    staged.verified.insert(piece);
                }),
                Err(_starting) => {
                    self.buffered_pieces.insert(piece, bytes);
                    sleep(BUSY_QUERY_INTERVAL).await;
                }
            }
        }
        self.endpoint_seen = true;
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
        for (at, inventory) in inventories.values() {
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

    /// Waits for the time at which this endpoint may reload, so that the endpoints of a service
    /// don't all reload at once. An endpoint without a loaded version does not wait.
    async fn wait_for_reload_time(&self, goal: &StageGoal, loaded: Option<u64>) {
        let Some(loaded) = loaded else { return };
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        let due_at = view.first_due(&goal.model, loaded).unwrap_or(goal.target.due_at);
        let endpoints = view.endpoints(now, &self.settings);
        let names: Vec<&str> = endpoints.iter().map(String::as_str).collect();
        let own = &self.settings.endpoint;
        let schedule = ReloadSchedule::plan(own, &names, goal.target, due_at, goal.origin_transfer);
        self.condition.send_modify(|condition| condition.closing_at = Some(schedule.reload_at));
        self.wait_until(schedule.reload_at).await;
    }

    async fn wait_until(&self, at: MonoTime) {
        while self.clock.now() < at {
            let rest = at - self.clock.now();
            sleep(rest.min(IDLE_QUERY_INTERVAL)).await;
            self.query_endpoint().await;
        }
    }

    /// Reads every piece back and checks it, since pieces may have changed after they were stored.
    /// Damaged pieces are no longer counted as verified.
    async fn verify(&self, goal: &StageGoal, manifest: &StageManifest) -> bool {
        let mut damaged = Vec::new();
        for piece in 0..manifest.piece_count() {
            let bytes = self.platform.read_piece(&goal.model, piece).await;
            if !matches!(bytes, Ok(Some(bytes)) if manifest.verifies(piece, &bytes)) {
                damaged.push(piece);
            }
        }
        if damaged.is_empty() {
            return true;
        }
        EventLine::new("staged_pieces_spoilt").field("count", damaged.len()).warn();
        self.staged.send_modify(|staged| {
            staged.verified.retain(|piece| !damaged.contains(piece));
        });
        false
    }

    async fn order_load(&self, goal: &StageGoal) {
        self.drain_endpoint().await;
        let ordered_at = self.clock.now();
        let reply = self.platform.load(&goal.model, goal.target.version).await;
        let line = EventLine::new("load_ordered")
            .field("model", &goal.model)
            .field("version", goal.target.version);
        match &reply {
            Ok(reply) => line.field("outcome", format_args!("{reply:?}")).info(),
            Err(error) => line.field("error", error).warn(),
        }
        if matches!(reply, Ok(ReloadReply::Conflict) | Err(_)) {
            sleep(FAILED_ORDER_DELAY).await;
        }
        self.wait_for_load(goal, ordered_at).await;
    }

    /// Tells the entries to send no more requests, and waits until the requests in the endpoint's
    /// queue have started: a request that is still queued at the load order waits for the whole
    /// load.
    async fn drain_endpoint(&self) {
        let report = self.condition.borrow().report.clone();
        let has_models = !report.models.is_empty();
        self.set_condition(report, false);
        if !has_models {
            return;
        }
        let closed_at = self.clock.now();
        sleep(MIN_DRAIN_TIME).await;
        while self.clock.now() - closed_at < MAX_DRAIN_TIME {
            match self.platform.endpoint_report().await {
                Ok(report) if report.queued > 0 => sleep(BUSY_QUERY_INTERVAL).await,
                _ => return,
            }
        }
    }

    async fn wait_for_load(&self, goal: &StageGoal, ordered_at: MonoTime) {
        while self.clock.now() - ordered_at < LOAD_TIMEOUT {
            let Ok(report) = self.platform.endpoint_report().await else { return };
            let loaded = report.models.get(&goal.model).copied().unwrap_or(0);
            if loaded >= goal.target.version {
                EventLine::new("version_loaded")
                    .field("model", &goal.model)
                    .field("version", loaded)
                    .field("elapsed_ms", (self.clock.now() - ordered_at).as_millis())
                    .info();
                self.staged.send_modify(|staged| staged.loaded = report.models.clone());
                self.set_condition(report, true);
                return;
            }
            if !report.busy {
                return;
            }
            sleep(BUSY_QUERY_INTERVAL).await;
        }
    }
}

enum FetchOutcome {
    Complete,
    GoalChanged,
    /// Too many pieces from the origin don't match the manifest, which may be wrong itself.
    ManifestDoubtful,
}

enum PieceOutcome {
    /// The piece is stored at the endpoint.
    Staged,
    /// The piece is valid, but the endpoint has not started yet.
    Buffered(Bytes),
    /// The source did not deliver the piece, or it can't be stored.
    Failed,
    /// The bytes don't match the digest in the manifest.
    Corrupt,
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

/// Fetches a piece and stores it at the endpoint; returns it if that fails and `buffer` is set.
async fn fetch_piece<P: WeightPlatform>(
    fetcher: &PieceFetcher<P>,
    manifest: &StageManifest,
    fetch: &PieceFetch,
    buffer: bool,
) -> PieceOutcome {
    let bytes = match fetcher.piece(manifest, fetch).await {
        Ok(bytes) => bytes,
        Err(FetchFailure::Unavailable) => return PieceOutcome::Failed,
        Err(FetchFailure::Corrupt) => return PieceOutcome::Corrupt,
    };
    match fetcher.platform.write_piece(&fetcher.goal.model, fetch.piece, bytes.clone()).await {
        Ok(()) => PieceOutcome::Staged,
        Err(_starting) if buffer => PieceOutcome::Buffered(bytes),
        Err(error) => {
            EventLine::new("stage_failed").field("piece", fetch.piece).field("error", error).warn();
            PieceOutcome::Failed
        }
    }
}
