//! Brings the endpoint to the declared version: stores complete versions there and orders their
//! load.

mod loading;

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_dispatch::{ReloadSchedule, StageManifest};
use celeryshed_observe::EventLine;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use self::loading::LoadJob;
use crate::endpoint_stage::EndpointStage;
use crate::load_doubt::{LoadDoubt, LoadStep};
use crate::piece_store::PieceStore;
use crate::platform::{EngineReport, Result, WeightError, WeightPlatform};
use crate::settings::SidecarSettings;
use crate::view::{StageGoal, StageView};

/// Interval of state queries to the endpoint while there is nothing to stage or load.
const IDLE_QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of calls to the endpoint while it starts, drains or loads.
const BUSY_QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// How old the state in a report of the endpoint may be.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Shortest time between telling the entries that the endpoint closes and the load order.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(200);
/// Longest time between telling the entries that the endpoint closes and the load order.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(700);

/// State of the endpoint, as it is reported to the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointCondition {
    pub(crate) report: EngineReport,
    /// Whether entries may send requests.
    pub(crate) accepting: bool,
    /// When the endpoint stops accepting requests to load weights; none if no load is planned.
    pub(crate) closing_at: Option<MonoTime>,
    /// When the endpoint last replied to a query; none while it counts as lost.
    replied_at: Option<MonoTime>,
    /// A load that may have taken damaged pieces; the endpoint accepts no requests meanwhile.
    doubt: Option<LoadDoubt>,
    /// The orders that the endpoint has accepted as far as this process can tell.
    accounted: AccountedOrders,
}

/// How many orders an endpoint may have accepted without a load by another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AccountedOrders {
    /// When the endpoint started that has accepted them, in Unix milliseconds, if it says.
    started_at_ms: Option<u64>,
    /// The highest [`EngineReport::seq_no`] to expect; `None` before the first report.
    seq_no: Option<u64>,
    /// Whether the endpoint was silent before its first report. It may have accepted an order then that
    /// an earlier process has sent.
    was_silent: bool,
    /// When its silence at the start of this process ended; none without such a silence.
    silence_ended_at: Option<MonoTime>,
}

/// Loads each version that is complete in the [`PieceStore`] at the endpoint.
pub(crate) struct StageTask<P> {
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    pub(crate) platform: Arc<P>,
    pub(crate) stage: Arc<EndpointStage<P>>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    pub(crate) store: Arc<watch::Sender<PieceStore>>,
    pub(crate) condition: watch::Sender<EndpointCondition>,
}

impl<P: WeightPlatform> StageTask<P> {
    pub(crate) async fn run(self) {
        let (mut view, mut store) = (self.view.clone(), self.store.subscribe());
        loop {
            view.mark_unchanged();
            let report = self.query_endpoint().await;
            let goal = report.as_ref().and_then(|report| self.next_goal(report));
            if let Some((goal, report)) = goal.zip(report) {
                self.stage_and_load(&goal, &report).await;
                continue;
            }
            if self.complete_goal(&self.store.borrow()).is_some() {
                // The endpoint is busy, or doesn't reply because it is about to start.
                sleep(BUSY_QUERY_INTERVAL).await;
                continue;
            }
            let changed = async {
                tokio::select! {
                    // A closed channel tells no change.
                    Ok(()) = view.changed() => {}
                    _ = store.wait_for(|store| self.complete_goal(store).is_some()) => {}
                }
            };
            // The endpoint is queried again, after a change or the interval.
            let _ = timeout(IDLE_QUERY_INTERVAL, changed).await;
        }
    }

    /// The newest version that is complete in `store` and that the endpoint hasn't loaded.
    fn complete_goal(&self, store: &PieceStore) -> Option<StageGoal> {
        let view = self.view.borrow();
        let newest = view.goal(&self.settings)?;
        let loaded = store.loaded_version(&newest.model).unwrap_or(0);
        let version = store.newest_complete(loaded)?;
        view.goal_of(&self.settings, version)
    }

    /// The version to load next at an endpoint in the reported state.
    fn next_goal(&self, report: &EngineReport) -> Option<StageGoal> {
        if report.busy {
            return None;
        }
        self.complete_goal(&self.store.borrow())
    }

    /// Queries the state of the endpoint and publishes it to the other tasks; `None` if the
    /// endpoint gave no valid reply.
    ///
    /// A silent endpoint keeps its last state until the limit for silence: it may go on unchanged.
    async fn query_endpoint(&self) -> Option<EngineReport> {
        let report = self.observe_endpoint().await?;
        Some(self.without_doubtful(&report))
    }

    /// Like [`Self::query_endpoint`], but returns the report as received, with a doubtful load.
    async fn observe_endpoint(&self) -> Option<EngineReport> {
        match self.platform.endpoint_report().await {
            Ok(_) if self.may_be_of_before_silence() => {
                // The endpoint may load meanwhile, on an order that it has just accepted.
                self.set_condition(EngineReport::default(), false);
                None
            }
            Ok(received) => {
                let accepting = !received.busy;
                self.end_doubt_if(|doubt| doubt.is_ended_by(&received));
                self.doubt_unfinished_load(&received);
                self.doubt_foreign_load(&received);
                let report = self.without_doubtful(&received);
                // The count changes all the time and entries don't need it; each change would send
                // a status message.
                let report = EngineReport { queued: 0, ..report };
                if self.has_restarted(&report) {
                    EventLine::new("endpoint_restarted").warn();
                    self.store.send_if_modified(PieceStore::record_endpoint_lost);
                }
                self.store.send_if_modified(|store| store.record_loaded(&report.models));
                self.set_condition(report.clone(), accepting);
                self.record_reply(Some(self.clock.now()));
                Some(received)
            }
            Err(error) if error.is_timeout() && self.is_silence_short() => {
                EventLine::new("endpoint_silent").field("error", error).warn();
                None
            }
            Err(error) => {
                let was_accepting = self.condition.borrow().accepting;
                if was_accepting {
                    EventLine::new("endpoint_lost").field("error", &error).warn();
                }
                self.store.send_if_modified(PieceStore::record_endpoint_lost);
                if error.is_timeout() {
                    self.record_silent_start();
                } else {
                    // An endpoint that doesn't say when it started counts as restarted.
                    self.end_doubt_if(|doubt| doubt.started_at_ms.is_none());
                }
                self.set_condition(EngineReport::default(), false);
                self.record_reply(None);
                None
            }
        }
    }

    /// A report without the version of a doubtful load.
    fn without_doubtful(&self, report: &EngineReport) -> EngineReport {
        let mut report = report.clone();
        if let Some(doubt) = &self.condition.borrow().doubt {
            report
                .models
                .retain(|model, version| *model != doubt.model || *version != doubt.version);
        }
        report
    }

    fn doubt_unfinished_load(&self, report: &EngineReport) {
        let Some(goal) = self.view.borrow().goal(&self.settings) else { return };
        let Some(doubt) = LoadDoubt::of_unfinished(&goal.model, report) else { return };
        self.condition.send_if_modified(|condition| {
            if condition.doubt.is_none() {
                EventLine::new("load_unfinished")
                    .field("model", &doubt.model)
                    .field("version", doubt.version)
                    .warn();
                condition.doubt = Some(doubt);
            }
            false
        });
    }

    /// Doubts a load that this process has not ordered: nobody knows the check on which an earlier
    /// process has ordered it.
    fn doubt_foreign_load(&self, report: &EngineReport) {
        let Some(goal) = self.view.borrow().goal(&self.settings) else { return };
        let Some(seq_no) = report.seq_no else { return };
        self.condition.send_if_modified(|condition| {
            let accounted = &mut condition.accounted;
            let highest = match accounted.seq_no {
                Some(highest) if accounted.started_at_ms == report.started_at_ms => highest,
                Some(_) => seq_no,
                // An order in progress isn't one of this process.
                None => seq_no.saturating_sub(u64::from(report.busy || accounted.was_silent)),
            };
            let is_foreign = seq_no > highest && !report.busy;
            *accounted = AccountedOrders {
                started_at_ms: report.started_at_ms,
                seq_no: Some(if is_foreign { seq_no } else { highest }),
                was_silent: false,
                silence_ended_at: None,
            };
            if is_foreign && condition.doubt.is_none() {
                condition.doubt = LoadDoubt::of_foreign(&goal.model, report);
                EventLine::new("load_not_ordered_here")
                    .field("model", &goal.model)
                    .field("seq_no", seq_no)
                    .field("accounted", highest)
                    .warn();
            }
            false
        });
    }

    /// Whether a report that arrives now may be older than the end of a silence at the start of this
    /// process, so that it lacks an order which the endpoint has accepted since.
    fn may_be_of_before_silence(&self) -> bool {
        let now = self.clock.now();
        let mut is_possible = false;
        self.condition.send_if_modified(|condition| {
            let accounted = &mut condition.accounted;
            if accounted.was_silent && accounted.seq_no.is_none() {
                let ended_at = *accounted.silence_ended_at.get_or_insert(now);
                is_possible = now - ended_at < MAX_REPORT_AGE;
            }
            false
        });
        is_possible
    }

    fn record_silent_start(&self) {
        self.condition.send_if_modified(|condition| {
            let accounted = &mut condition.accounted;
            accounted.was_silent = accounted.seq_no.is_none();
            accounted.silence_ended_at = None;
            false
        });
    }

    /// Records that an order is sent which the endpoint accepts if its `seq_no` is the expected one.
    fn account_for_order(&self, expected_seq_no: Option<u64>) {
        self.condition.send_if_modified(|condition| {
            let highest = &mut condition.accounted.seq_no;
            *highest = (*highest).max(expected_seq_no.map(|expected| expected.saturating_add(1)));
            false
        });
    }

    fn end_doubt_if(&self, is_ended: impl Fn(&LoadDoubt) -> bool) {
        self.condition.send_if_modified(|condition| {
            condition.doubt.take_if(|doubt| is_ended(doubt));
            false
        });
    }

    /// Whether the endpoint has started anew since its last report; it has lost what it held.
    fn has_restarted(&self, report: &EngineReport) -> bool {
        let known = self.condition.borrow().report.started_at_ms;
        known.zip(report.started_at_ms).is_some_and(|(known, reported)| known != reported)
    }

    fn is_silence_short(&self) -> bool {
        let replied_at = self.condition.borrow().replied_at;
        let limit = self.settings.endpoint_silence_limit;
        replied_at.is_some_and(|replied_at| self.clock.now() - replied_at < limit)
    }

    /// Records when the endpoint replied. Entries aren't told, since each reply would send a status
    /// message.
    fn record_reply(&self, replied_at: Option<MonoTime>) {
        self.condition.send_if_modified(|condition| {
            condition.replied_at = replied_at;
            false
        });
    }

    fn set_condition(&self, report: EngineReport, accepting: bool) {
        self.condition.send_if_modified(|old| {
            let closing_at = old.closing_at.filter(|_| accepting);
            let replied_at = old.replied_at;
            let (doubt, accounted) = (old.doubt.clone(), old.accounted);
            let accepting = accepting && doubt.is_none();
            let condition =
                EndpointCondition { report, accepting, closing_at, replied_at, doubt, accounted };
            let changed = *old != condition;
            *old = condition;
            changed
        });
    }

    /// Stores the pieces of the goal at the endpoint and orders their load.
    ///
    /// Returns without a load if the state of the endpoint changed or a newer version is complete
    /// before its turn comes.
    async fn stage_and_load(&self, goal: &StageGoal, report: &EngineReport) {
        let version = goal.target.version;
        let doubt = self.condition.borrow().doubt.clone();
        let doubt = doubt.filter(|doubt| doubt.version == version && doubt.model == goal.model);
        let steps = doubt.map_or(Some(vec![LoadStep::WHOLE]), |doubt| doubt.reload_steps());
        let Some(steps) = steps else {
            // A newer version or a restart of the endpoint ends the doubt.
            sleep(IDLE_QUERY_INTERVAL).await;
            return;
        };
        let pieces = self.store.borrow().in_memory(version);
        let Some(manifest) = self.store.borrow().manifest(version).cloned() else { return };
        let mut stage = self.stage.reserve(version).await;
        self.store.send_modify(|store| store.record_staging(version));
        if !stage.write(&goal.model, &pieces).await {
            sleep(BUSY_QUERY_INTERVAL).await;
            return;
        }
        self.store.send_modify(|store| store.record_staged(version));
        let loaded = report.models.get(&goal.model).copied();
        if !self.wait_for_reload_time(goal, loaded).await {
            return;
        }
        let mut job = LoadJob { goal, manifest: &manifest, pieces: &pieces, stage: &mut stage };
        let mut last_report = None;
        for step in steps {
            if let Some(report) = last_report.take() {
                // The next order expects the number that this report has.
                self.set_condition(self.without_doubtful(&report), false);
            }
            last_report = self.load_step(&mut job, step).await;
            if last_report.is_none() {
                return;
            }
        }
        if let Some(report) = last_report {
            self.open_endpoint(version, report);
        }
    }

    /// Waits for the time at which this endpoint may reload, so that the endpoints of a service
    /// don't all reload at once. An endpoint without a loaded version does not wait.
    ///
    /// Returns `false` if the endpoint has loaded something else meanwhile, or if a newer version
    /// is complete, which the endpoint then loads alone.
    async fn wait_for_reload_time(&self, goal: &StageGoal, loaded: Option<u64>) -> bool {
        let Some(loaded) = loaded else { return true };
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        let due_at = view.first_due(&goal.model, loaded).unwrap_or(goal.target.due_at);
        let endpoints = view.endpoints(now, &self.settings);
        let names: Vec<&str> = endpoints.iter().map(String::as_str).collect();
        let own = &self.settings.endpoint;
        let loaded_due_at = view.due_of(&goal.model, loaded);
        let schedule = ReloadSchedule::plan(
            own,
            &names,
            goal.target,
            due_at,
            loaded_due_at,
            goal.origin_transfer,
        );
        self.condition.send_modify(|condition| condition.closing_at = Some(schedule.reload_at));
        let mut store = self.store.subscribe();
        loop {
            let rest = schedule.reload_at - self.clock.now();
            if rest.is_zero() {
                return true;
            }
            let is_replaced = |store: &PieceStore| {
                store.loaded_version(&goal.model) != Some(loaded)
                    || store.newest_complete(loaded) != Some(goal.target.version)
            };
            let replaced = store.wait_for(is_replaced);
            if timeout(rest.min(IDLE_QUERY_INTERVAL), replaced).await.is_ok() {
                return false;
            }
            self.query_endpoint().await;
        }
    }

    /// Reads every piece back and checks it, since pieces may have changed after they were stored.
    ///
    /// A call that fails says nothing of the piece, and ends the check with its error. A piece that
    /// the endpoint refuses to return, or returns with too many bytes, counts as damaged.
    async fn damaged_pieces(&self, goal: &StageGoal, manifest: &StageManifest) -> Result<Vec<u32>> {
        let mut damaged = Vec::new();
        for piece in 0..manifest.piece_count() {
            match self.platform.read_piece(&goal.model, piece, goal.piece_bytes).await {
                Ok(Some(bytes)) if manifest.verifies(piece, &bytes) => {}
                Ok(_) | Err(WeightError::Refused { .. } | WeightError::TooLarge { .. }) => {
                    damaged.push(piece);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(damaged)
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
}
