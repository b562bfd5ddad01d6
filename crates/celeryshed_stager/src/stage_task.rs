//! Brings the endpoint to the declared version: fetch, verify, order.

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

/// Time between two reports of an endpoint with nothing to do.
const IDLE_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two reports of an endpoint that loads.
const LOADING_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time that a load may take before it is ordered again.
const LOAD_LIMIT: Duration = Duration::from_secs(8);
/// Failures at the origin after which the digests themselves are doubted.
const DOUBT_AFTER: u32 = 6;
/// Time between two looks for a piece to fetch.
const PICK_INTERVAL: Duration = Duration::from_millis(60);
/// Time without a new piece after which a newer version goes first.
const STALL_LIMIT: Duration = Duration::from_millis(700);
/// A notice of another sidecar older than this no longer counts: the sidecar may be gone.
const NOTICE_LIFETIME: Duration = Duration::from_secs(2);
/// Least time from the word to the entries to the order.
const CLOSE_LEAST: Duration = Duration::from_millis(200);
/// Longest time from the word to the entries to the order.
const CLOSE_MOST: Duration = Duration::from_millis(700);
/// Time between two log lines on pieces that are missing.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after an order that the endpoint did not take.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// What the endpoint does, for the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointCondition {
    pub(crate) report: EngineReport,
    pub(crate) accepting: bool,
    /// When the endpoint stops accepting work in order to load weights.
    pub(crate) closing_at: Option<MonoTime>,
}

/// The task.
pub(crate) struct StageTask<P> {
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    pub(crate) platform: Arc<P>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) staged: watch::Sender<StagedPieces>,
    pub(crate) condition: watch::Sender<EndpointCondition>,
    /// The last notice of each other sidecar, and when it came.
    pub(crate) inventories: watch::Receiver<InventoryMap>,
    /// Whether the endpoint answered since this process started.
    pub(crate) endpoint_seen: bool,
    /// Pieces that arrived before the endpoint did.
    pub(crate) early: BTreeMap<u32, Bytes>,
}

impl<P: WeightPlatform> StageTask<P> {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let report = self.observe().await;
            let goal = self.view.borrow_and_update().goal(&self.settings);
            match (goal, report) {
                (Some(goal), Some(report)) if self.is_due(&goal, &report) => {
                    self.endpoint_seen = true;
                    self.reach(goal, report).await;
                }
                // The endpoint starts with this process; pieces are fetched meanwhile.
                (Some(goal), None) if !self.endpoint_seen => {
                    self.reach(goal, EngineReport::default()).await;
                }
                (_, Some(_)) => {
                    self.endpoint_seen = true;
                    let _ = timeout(IDLE_INTERVAL, self.view.changed()).await;
                }
                _ => {
                    // Either way the endpoint is looked at again.
                    let _ = timeout(IDLE_INTERVAL, self.view.changed()).await;
                }
            }
        }
    }

    fn is_due(&self, goal: &StageGoal, report: &EngineReport) -> bool {
        let loaded = report.models.get(&goal.model).copied().unwrap_or(0);
        loaded < goal.target.version && !report.busy
    }

    /// Asks the endpoint for its state, and passes it on.
    async fn observe(&self) -> Option<EngineReport> {
        match self.platform.report().await {
            Ok(report) => {
                let accepting = !report.busy;
                // The count changes all the time and is of no interest to the entries.
                let report = EngineReport { queued: 0, ..report };
                self.staged.send_if_modified(|staged| {
                    let changed = staged.loaded != report.models;
                    staged.loaded = report.models.clone();
                    changed
                });
                self.tell(report.clone(), accepting);
                Some(report)
            }
            Err(error) => {
                let lost = self.condition.borrow().accepting;
                if lost {
                    EventLine::new("endpoint_lost").field("error", error).warn();
                }
                self.tell(EngineReport::default(), false);
                None
            }
        }
    }

    fn tell(&self, report: EngineReport, accepting: bool) {
        self.condition.send_if_modified(|old| {
            let closing_at = old.closing_at.filter(|_| accepting);
            let condition = EndpointCondition { report, accepting, closing_at };
            let changed = *old != condition;
            *old = condition;
            changed
        });
    }

    /// Stages the goal and has it loaded; returns early when another goal took its place before all
    /// pieces were there, or the endpoint was lost.
    async fn reach(&mut self, goal: StageGoal, report: EngineReport) {
        let started = self.clock.now();
        let loaded = report.models.get(&goal.model).copied();
        // A process before this one may have laid pieces down.
        let may_be_present = loaded.is_none() || !goal.target.age_known;
        let Some(manifest) = self.stage(&goal, may_be_present).await else { return };
        EventLine::new("version_staged")
            .field("model", &goal.model)
            .field("version", goal.target.version)
            .field("elapsed_ms", (self.clock.now() - started).as_millis())
            .info();
        self.wait_for_turn(&goal, loaded).await;
        if !self.verify(&goal, &manifest).await {
            return;
        }
        self.order(&goal).await;
    }

    /// Fetches what is missing; none if the goal changed meanwhile.
    async fn stage(&mut self, goal: &StageGoal, check_present: bool) -> Option<Arc<StageManifest>> {
        let fetcher = Arc::new(PieceFetcher {
            platform: self.platform.clone(),
            goal: goal.clone(),
            settings: self.settings.clone(),
            clock: self.clock,
            view: self.view.clone(),
        });
        let held = self.staged.borrow().manifest.clone().filter(|manifest| {
            manifest.model() == goal.model && manifest.version() == goal.target.version
        });
        let mut manifest = match held {
            Some(manifest) => manifest,
            None => {
                let manifest = Arc::new(fetcher.manifest().await);
                self.start_over(&manifest);
                if check_present {
                    self.adopt_present(&manifest).await;
                }
                manifest
            }
        };
        loop {
            match self.fetch_missing(&fetcher, &manifest).await {
                FetchEnd::Whole => return Some(manifest),
                FetchEnd::GoalChanged => return None,
                FetchEnd::Doubtful => {}
            }
            let again = Arc::new(fetcher.manifest().await);
            if again != manifest {
                EventLine::new("manifest_replaced")
                    .field("model", &goal.model)
                    .field("version", goal.target.version)
                    .warn();
                manifest = again;
                self.start_over(&manifest);
                self.adopt_present(&manifest).await;
            }
        }
    }

    fn start_over(&self, manifest: &Arc<StageManifest>) {
        self.staged.send_modify(|staged| {
            staged.manifest = Some(manifest.clone());
            staged.verified.clear();
        });
    }

    fn missing(&self, manifest: &StageManifest) -> BTreeSet<u32> {
        let staged = self.staged.borrow();
        (0..manifest.piece_count()).filter(|piece| !staged.verified.contains(piece)).collect()
    }

    /// The goal that took the place of another one.
    fn newer_goal(&self, goal: &StageGoal) -> Option<StageGoal> {
        let latest = self.view.borrow().goal(&self.settings);
        latest.filter(|latest| latest.target.version != goal.target.version)
    }

    /// Keeps the pieces that lie at the endpoint already and match.
    async fn adopt_present(&self, manifest: &StageManifest) {
        let Ok(present) = self.platform.staged_pieces(manifest.model()).await else { return };
        for piece in present {
            if let Ok(Some(bytes)) = self.platform.read_piece(manifest.model(), piece).await
                && manifest.verifies(piece, &bytes)
            {
                self.staged.send_modify(|staged| {
                    staged.verified.insert(piece);
                });
            }
        }
    }

    /// Fetches pieces until none is missing.
    async fn fetch_missing(
        &mut self,
        fetcher: &Arc<PieceFetcher<P>>,
        manifest: &Arc<StageManifest>,
    ) -> FetchEnd {
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
        let mut corrupt = 0;
        let mut progress_at = started;
        let mut logged_at = started;
        let mut heard: Option<Arc<StageView>> = None;
        self.inventories.mark_changed();
        while !picker.missing().is_empty() {
            let now = self.clock.now();
            self.hear_peers(now, goal, &mut picker, &mut heard);
            if now - logged_at >= PROGRESS_INTERVAL {
                logged_at = now;
                log_progress(now, goal, &picker);
            }
            while let Some(fetch) = picker.next(now, rand::random()) {
                let (fetcher, manifest) = (fetcher.clone(), manifest.clone());
                let keep = !self.endpoint_seen;
                fetches.spawn(async move {
                    let fetched = fetch_piece(&fetcher, &manifest, &fetch, keep).await;
                    (fetch, fetched)
                });
            }
            let ended = timeout(PICK_INTERVAL, fetches.join_next()).await;
            match ended {
                Ok(Some(Ok((fetch, PieceFetched::Kept(bytes))))) => {
                    picker.fetched(fetch.piece);
                    self.early.insert(fetch.piece, bytes);
                    progress_at = self.clock.now();
                }
                Ok(Some(Ok((fetch, PieceFetched::Staged)))) => {
                    picker.fetched(fetch.piece);
                    self.staged.send_modify(|staged| {
                        staged.verified.insert(fetch.piece);
                    });
                    progress_at = self.clock.now();
                }
                Ok(Some(Ok((fetch, PieceFetched::Failed)))) => {
                    picker.failed(self.clock.now(), fetch);
                }
                Ok(Some(Ok((fetch, PieceFetched::Corrupt)))) => {
                    corrupt += u32::from(fetch.source == PieceSource::Origin);
                    picker.failed(self.clock.now(), fetch);
                }
                Ok(Some(Err(_))) | Err(_) => {}
                Ok(None) => sleep(PICK_INTERVAL).await,
            }
            // A version that is well on its way is finished first, since its own deadline runs,
            // unless nothing arrives any more.
            let stalled = self.clock.now() - progress_at > STALL_LIMIT;
            let newer = self.newer_goal(goal).map(|newer| newer.target);
            if newer.is_some_and(|newer| {
                stalled || !goal.target.is_worth_finishing(&newer, goal.origin_transfer)
            }) {
                return FetchEnd::GoalChanged;
            }
            if corrupt >= DOUBT_AFTER {
                return FetchEnd::Doubtful;
            }
        }
        self.stage_early(goal).await;
        FetchEnd::Whole
    }

    /// Lays down what arrived before the endpoint did, once it is there.
    async fn stage_early(&mut self, goal: &StageGoal) {
        while let Some((piece, bytes)) = self.early.pop_first() {
            match self.platform.write_piece(&goal.model, piece, bytes.clone()).await {
                Ok(()) => self.staged.send_modify(|staged| {
                    staged.verified.insert(piece);
                }),
                Err(_starting) => {
                    self.early.insert(piece, bytes);
                    sleep(LOADING_INTERVAL).await;
                }
            }
        }
        self.endpoint_seen = true;
    }

    /// Takes over what the other sidecars have.
    fn hear_peers(
        &mut self,
        now: MonoTime,
        goal: &StageGoal,
        picker: &mut PiecePicker,
        heard: &mut Option<Arc<StageView>>,
    ) {
        let view = self.view.borrow().clone();
        if !heard.as_ref().is_some_and(|last| Arc::ptr_eq(last, &view)) {
            picker.set_peers(now, &view.peers(now, &self.settings, goal));
            *heard = Some(view);
        }
        if !self.inventories.has_changed().unwrap_or(false) {
            return;
        }
        let inventories = self.inventories.borrow_and_update();
        for (at, inventory) in inventories.values() {
            if inventory.model == goal.model
                && inventory.version == goal.target.version
                && now - *at < NOTICE_LIFETIME
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

    /// Waits for this endpoint's turn; an endpoint that serves nothing loads at once.
    async fn wait_for_turn(&self, goal: &StageGoal, loaded: Option<u64>) {
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
            sleep(rest.min(IDLE_INTERVAL)).await;
            self.observe().await;
        }
    }

    /// Reads every piece back: what lies at the endpoint may have changed since it was laid there.
    async fn verify(&self, goal: &StageGoal, manifest: &StageManifest) -> bool {
        let mut spoilt = Vec::new();
        for piece in 0..manifest.piece_count() {
            let bytes = self.platform.read_piece(&goal.model, piece).await;
            if !matches!(bytes, Ok(Some(bytes)) if manifest.verifies(piece, &bytes)) {
                spoilt.push(piece);
            }
        }
        if spoilt.is_empty() {
            return true;
        }
        EventLine::new("staged_pieces_spoilt").field("count", spoilt.len()).warn();
        self.staged.send_modify(|staged| {
            staged.verified.retain(|piece| !spoilt.contains(piece));
        });
        false
    }

    async fn order(&self, goal: &StageGoal) {
        self.close().await;
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
            sleep(ORDER_PAUSE).await;
        }
        self.await_load(goal, ordered_at).await;
    }

    /// Tells the entries to send no more, and waits until what they sent has begun: a request that
    /// waits at the endpoint when it is ordered to load waits for the whole load.
    async fn close(&self) {
        let report = self.condition.borrow().report.clone();
        let serves = !report.models.is_empty();
        self.tell(report, false);
        if !serves {
            return;
        }
        let closed_at = self.clock.now();
        sleep(CLOSE_LEAST).await;
        while self.clock.now() - closed_at < CLOSE_MOST {
            match self.platform.report().await {
                Ok(report) if report.queued > 0 => sleep(LOADING_INTERVAL).await,
                _ => return,
            }
        }
    }

    async fn await_load(&self, goal: &StageGoal, ordered_at: MonoTime) {
        while self.clock.now() - ordered_at < LOAD_LIMIT {
            let Ok(report) = self.platform.report().await else { return };
            let loaded = report.models.get(&goal.model).copied().unwrap_or(0);
            if loaded >= goal.target.version {
                EventLine::new("version_loaded")
                    .field("model", &goal.model)
                    .field("version", loaded)
                    .field("elapsed_ms", (self.clock.now() - ordered_at).as_millis())
                    .info();
                self.staged.send_modify(|staged| staged.loaded = report.models.clone());
                self.tell(report, true);
                return;
            }
            if !report.busy {
                return;
            }
            sleep(LOADING_INTERVAL).await;
        }
    }
}

enum FetchEnd {
    Whole,
    GoalChanged,
    /// The origin's pieces don't match the digests: the digests may be wrong.
    Doubtful,
}

enum PieceFetched {
    /// It lies at the endpoint.
    Staged,
    /// It waits for the endpoint to start.
    Kept(Bytes),
    /// The source gave none.
    Failed,
    /// The source gave one that doesn't match its digest.
    Corrupt,
}

fn log_progress(now: MonoTime, goal: &StageGoal, picker: &PiecePicker) {
    EventLine::new("stage_progress")
        .field("model", &goal.model)
        .field("version", goal.target.version)
        .field("missing", picker.missing().len())
        .field("fetching", picker.fetching())
        .field("first_missing", picker.missing().first().copied().unwrap_or_default())
        .field("holders", picker.holders_of_first(now))
        .info();
}

/// Fetches a piece and lays it down at the endpoint; `keep`s it if there is none yet.
async fn fetch_piece<P: WeightPlatform>(
    fetcher: &PieceFetcher<P>,
    manifest: &StageManifest,
    fetch: &PieceFetch,
    keep: bool,
) -> PieceFetched {
    let bytes = match fetcher.piece(manifest, fetch).await {
        Ok(bytes) => bytes,
        Err(FetchFailure::Unavailable) => return PieceFetched::Failed,
        Err(FetchFailure::Corrupt) => return PieceFetched::Corrupt,
    };
    match fetcher.platform.write_piece(&fetcher.goal.model, fetch.piece, bytes.clone()).await {
        Ok(()) => PieceFetched::Staged,
        Err(_starting) if keep => PieceFetched::Kept(bytes),
        Err(error) => {
            EventLine::new("stage_failed").field("piece", fetch.piece).field("error", error).warn();
            PieceFetched::Failed
        }
    }
}
