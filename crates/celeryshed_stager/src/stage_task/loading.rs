//! Orders loads, and finds out whether the endpoint took valid pieces.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::MonoTime;
use celeryshed_dispatch::StageManifest;
use celeryshed_observe::EventLine;
use tokio::time::sleep;

use super::{BUSY_QUERY_INTERVAL, StageTask};
use crate::endpoint_stage::StageReservation;
use crate::load_doubt::{DoubtFinding, LoadDoubt, LoadStep};
use crate::order_state::OrderState;
use crate::piece_check::PieceCheck;
use crate::platform::{EngineReport, LayerRange, LoadOrder, ReloadReply, WeightPlatform};
use crate::view::StageGoal;

/// Time after which a load that has not ended is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a load order that failed or did not fit the state of the endpoint.
const FAILED_ORDER_DELAY: Duration = Duration::from_millis(200);
/// Time after which a report shows an order that was accepted before.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Checks of the pieces at the endpoint, each after a repair or an expired check, before the version is
/// staged anew.
const MAX_PIECE_CHECKS: u32 = 5;

/// A version whose pieces are staged, with the reservation of the stage.
pub(super) struct LoadJob<'j, 's, P> {
    pub(super) goal: &'j StageGoal,
    pub(super) manifest: &'j StageManifest,
    /// The pieces in memory, for repairs.
    pub(super) pieces: &'j BTreeMap<u32, Bytes>,
    pub(super) stage: &'j mut StageReservation<'s, P>,
}

/// Where the order of a step stands.
struct StepOrder<'g> {
    goal: &'g StageGoal,
    step: LoadStep,
    state: OrderState,
    /// Whether the endpoint has rejected it. A load that is reported all the same was ordered by another
    /// process, at an unknown time.
    was_rejected: bool,
    expected_seq_no: Option<u64>,
    started_at_ms: Option<u64>,
    ordered_at: MonoTime,
}

/// How the wait for a load ended.
enum LoadEnd {
    /// The endpoint holds the layers of the step.
    Loaded(EngineReport),
    /// Reports show no load in progress.
    NotLoaded,
    /// The endpoint was lost or has restarted.
    Lost,
}

impl<P: WeightPlatform> StageTask<P> {
    /// Brings the endpoint to the layers of a step with valid pieces, and returns its report; `None` if
    /// that failed.
    ///
    /// While an order may still be accepted, the stage stays reserved and the order is repeated.
    pub(super) async fn load_step(
        &self,
        job: &mut LoadJob<'_, '_, P>,
        step: LoadStep,
    ) -> Option<EngineReport> {
        let (goal, version) = (job.goal, job.goal.target.version);
        let write_count = self.stage.write_count();
        let mut is_untouched = match &self.condition.borrow().doubt {
            Some(doubt) => doubt.is_stage_untouched(version, write_count),
            None => true,
        };
        let mut is_drained = false;
        let mut earlier: Option<StepOrder<'_>> = None;
        let mut check_count = 0;
        loop {
            let is_unsettled = earlier.is_some();
            if is_unsettled && self.condition.borrow().doubt.is_none() {
                // The endpoint has restarted.
                return None;
            }
            if !is_unsettled && check_count == MAX_PIECE_CHECKS {
                return None;
            }
            check_count += 1;
            let check = PieceCheck::begin(self.clock, self.settings.piece_check_lifetime);
            let damaged = match self.damaged_pieces(goal, job.manifest).await {
                Ok(damaged) => damaged,
                Err(error) => {
                    EventLine::new("read_back_failed").field("error", error).warn();
                    sleep(BUSY_QUERY_INTERVAL).await;
                    if !is_unsettled {
                        return None;
                    }
                    self.observe_endpoint().await;
                    continue;
                }
            };
            if !damaged.is_empty() {
                EventLine::new("staged_pieces_spoilt").field("count", damaged.len()).warn();
                if !damaged.iter().all(|piece| job.pieces.contains_key(piece)) {
                    // The pieces have left the memory and must be fetched again.
                    job.stage.record_damaged(&damaged);
                    self.store.send_modify(|store| store.record_damaged(version, &damaged));
                    return None;
                }
                is_untouched = false;
                job.stage.record_damaged(&damaged);
                if !job.stage.write(&goal.model, job.pieces).await {
                    sleep(BUSY_QUERY_INTERVAL).await;
                }
                continue;
            }
            if !is_drained {
                self.drain_endpoint().await;
                is_drained = true;
            }
            let Some(mut order) = self.order_load(goal, step, &check, earlier.as_ref()).await
            else {
                continue;
            };
            let end = self.wait_for_load(&mut order).await;
            match (end, order.state) {
                (LoadEnd::Loaded(report), OrderState::Certain) => return Some(report),
                (LoadEnd::Loaded(report), _) if !step.is_kept => return Some(report),
                (LoadEnd::Loaded(report), _) => {
                    let is_untouched = match order.was_rejected {
                        true => self.stage.write_count() == 0,
                        false => is_untouched,
                    };
                    let is_valid = self.vouch_for_load(job, is_untouched, report.layers).await;
                    return is_valid.then_some(report);
                }
                (LoadEnd::NotLoaded, OrderState::Unsettled) => earlier = Some(order),
                (LoadEnd::NotLoaded | LoadEnd::Lost, _) => return None,
            }
        }
    }

    /// Orders the load of pieces that `check` found valid; `None` if nothing was sent, since the check
    /// has expired.
    async fn order_load<'g>(
        &self,
        goal: &'g StageGoal,
        step: LoadStep,
        check: &PieceCheck,
        earlier: Option<&StepOrder<'_>>,
    ) -> Option<StepOrder<'g>> {
        let ordered_at = self.clock.now();
        let check_age = check.age();
        // With the number that the earlier order expected, at most one of the two is accepted.
        let (expected_seq_no, started_at_ms) = match earlier {
            Some(earlier) => (earlier.expected_seq_no, earlier.started_at_ms),
            None => {
                let report = &self.condition.borrow().report;
                (report.seq_no, report.started_at_ms)
            }
        };
        let order = LoadOrder {
            model: &goal.model,
            version: goal.target.version,
            layers: step.layers,
            expected_seq_no,
        };
        self.account_for_order(expected_seq_no);
        let reply = self.platform.load(&order, check).await;
        if matches!(reply, Ok(ReloadReply::CheckExpired)) {
            EventLine::new("piece_check_expired")
                .field("model", &goal.model)
                .field("version", goal.target.version)
                .field("check_age_ms", check.age().as_millis())
                .warn();
            metrics::counter!("celeryshed_piece_checks_expired_total").increment(1);
            return None;
        }
        let reply_age = check.age();
        let is_in_time = reply_age < self.settings.load_reply_limit;
        let state =
            OrderState::after_reply(&reply, is_in_time, earlier.map(|earlier| earlier.state));
        let line = EventLine::new("load_ordered")
            .field("model", &goal.model)
            .field("version", goal.target.version)
            .field("check_age_ms", check_age.as_millis())
            .field("reply_age_ms", reply_age.as_millis())
            .field("state", format_args!("{state:?}"));
        let line = match step.layers {
            Some(layers) => line.field("from", layers.from).field("to", layers.to),
            None => line,
        };
        match &reply {
            Ok(reply) => line.field("outcome", format_args!("{reply:?}")).info(),
            Err(error) => line.field("error", error).warn(),
        }
        let mut order = StepOrder {
            goal,
            step,
            state,
            was_rejected: state == OrderState::Rejected,
            expected_seq_no,
            started_at_ms,
            ordered_at,
        };
        self.set_order_state(&mut order, state);
        if matches!(reply, Ok(ReloadReply::Conflict) | Err(_)) {
            sleep(FAILED_ORDER_DELAY).await;
        }
        Some(order)
    }

    /// Records the state of an order. The endpoint accepts no requests from then on if the order is
    /// open.
    fn set_order_state(&self, order: &mut StepOrder<'_>, state: OrderState) {
        order.state = state;
        if !state.is_open() {
            return;
        }
        let (model, version) = (&order.goal.model, order.goal.target.version);
        let is_new = self.condition.send_if_modified(|condition| {
            let is_known = |doubt: &LoadDoubt| doubt.version == version && doubt.model == *model;
            if condition.doubt.as_ref().is_some_and(is_known) {
                return false;
            }
            condition.accepting = false;
            condition.doubt = Some(LoadDoubt {
                model: model.clone(),
                version,
                started_at_ms: order.started_at_ms,
                write_count: self.stage.write_count(),
                finding: DoubtFinding::Open,
            });
            true
        });
        if is_new {
            EventLine::new("load_doubtful")
                .field("model", model)
                .field("version", version)
                .field("state", format_args!("{state:?}"))
                .warn();
            metrics::counter!("celeryshed_doubtful_loads_total").increment(1);
        }
    }

    /// Waits until the endpoint holds the layers of the order, or until its reports show that it
    /// doesn't load them.
    ///
    /// A silent endpoint may still accept an open order, so the wait goes on until it replies.
    async fn wait_for_load(&self, order: &mut StepOrder<'_>) -> LoadEnd {
        let (model, version) = (&order.goal.model, order.goal.target.version);
        let mut reports_since: Option<MonoTime> = None;
        loop {
            let report = match order.state.is_open() {
                true => self.observe_endpoint().await,
                false => self.platform.endpoint_report().await.ok(),
            };
            if order.state.is_open() && self.condition.borrow().doubt.is_none() {
                return LoadEnd::Lost;
            }
            let Some(report) = report else {
                if !order.state.is_open() {
                    return LoadEnd::Lost;
                }
                reports_since = None;
                sleep(BUSY_QUERY_INTERVAL).await;
                continue;
            };
            let loaded = report.models.get(model).copied().unwrap_or(0);
            // Layers that are dropped are missing in reports while requests still run on them.
            if loaded >= version && !report.busy && order.step.is_reached(report.layers) {
                self.set_order_state(order, order.state.after_acceptance());
                let line = EventLine::new("version_loaded")
                    .field("model", model)
                    .field("version", loaded)
                    .field("elapsed_ms", (self.clock.now() - order.ordered_at).as_millis());
                match order.step.layers {
                    Some(layers) => line.field("from", layers.from).field("to", layers.to).info(),
                    None => line.info(),
                }
                return LoadEnd::Loaded(report);
            }
            if report.busy || is_later(report.seq_no, order.expected_seq_no) {
                self.set_order_state(order, order.state.after_acceptance());
            }
            let since = *reports_since.get_or_insert_with(|| self.clock.now());
            let limit = match (report.busy, order.state) {
                (true, _) => LOAD_TIMEOUT,
                (false, OrderState::Rejected) => Duration::ZERO,
                (false, _) => MAX_REPORT_AGE,
            };
            if self.clock.now() - since >= limit {
                return LoadEnd::NotLoaded;
            }
            sleep(BUSY_QUERY_INTERVAL).await;
        }
    }

    /// Reads the pieces of a doubtful load back, and returns whether it took valid ones. They were
    /// valid when the endpoint took them if they are now and none was stored since the order.
    async fn vouch_for_load(
        &self,
        job: &LoadJob<'_, '_, P>,
        is_untouched: bool,
        layers: Option<LayerRange>,
    ) -> bool {
        let (goal, version) = (job.goal, job.goal.target.version);
        let damaged_count = loop {
            match self.damaged_pieces(goal, job.manifest).await {
                Ok(damaged) => break damaged.len(),
                Err(error) => {
                    EventLine::new("read_back_failed").field("error", error).warn();
                    sleep(BUSY_QUERY_INTERVAL).await;
                    self.observe_endpoint().await;
                    if self.condition.borrow().doubt.is_none() {
                        return false;
                    }
                }
            }
        };
        let is_valid = is_untouched && damaged_count == 0;
        let line = EventLine::new("load_checked")
            .field("model", &goal.model)
            .field("version", version)
            .field("damaged", damaged_count)
            .field("untouched", is_untouched);
        if is_valid {
            line.info();
            return true;
        }
        line.warn();
        metrics::counter!("celeryshed_spoilt_loads_total").increment(1);
        self.condition.send_if_modified(|condition| {
            if let Some(doubt) = &mut condition.doubt
                && doubt.finding == DoubtFinding::Open
            {
                doubt.finding = DoubtFinding::Spoilt(layers);
            }
            false
        });
        false
    }

    /// Opens the endpoint after a load of valid pieces.
    pub(super) fn open_endpoint(&self, version: u64, report: EngineReport) {
        self.end_doubt_if(|_| true);
        self.store.send_if_modified(|store| {
            store.record_staged(version);
            store.record_loaded(&report.models)
        });
        self.set_condition(report, true);
    }
}

/// Whether the endpoint has accepted an order since it reported the `expected` number.
fn is_later(reported: Option<u64>, expected: Option<u64>) -> bool {
    reported.zip(expected).is_some_and(|(reported, expected)| reported > expected)
}
