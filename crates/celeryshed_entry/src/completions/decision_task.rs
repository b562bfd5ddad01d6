//! The task that owns the entry's [`EntryDecisions`] and answers requests over a channel.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, ContentDigest, InstanceName, RequestId, TeamName};
use celeryshed_core::admission::QueueOptions;
use celeryshed_core::burn::BURN_WINDOWS;
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::membership::{MemberState, MembershipView};
use celeryshed_core::quarantine::CrashObservation;
use celeryshed_core::routing::{EndpointLoad, EndpointObservation, RoutingOptions};
use celeryshed_wire::{BurnCount, CrashNotice, EndpointReport, LoadReport};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::decisions::{
    AttemptOutcome, EntryDecisions, EntryRefusal, PlacedAttempt, Placement, RefusalReason,
    RequestProfile,
};

/// Interval at which waiting requests are checked for passed deadlines and free slots.
const QUEUE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Maximum number of crash notices kept for starting processes; the notices of one hour, after
/// which a quarantine ends, are far fewer.
const MAX_CRASH_NOTICES: usize = 1024;

type PlaceReply = oneshot::Sender<Result<PlacedAttempt, EntryRefusal>>;

/// Service-level objective counts per team and window length in seconds.
pub(super) type BurnCounts = BTreeMap<TeamName, BTreeMap<u64, BurnCount>>;

enum DecisionCommand {
    Admit(Box<RequestProfile>, oneshot::Sender<Result<(), EntryRefusal>>),
    Place(RequestId, PlaceReply),
    RecordFirstToken(RequestId, ContentDigest),
    EndAttempt(RequestId, AttemptOutcome, oneshot::Sender<Result<(), EntryRefusal>>),
    Finish { request_id: RequestId, complete: bool, tokens: u64 },
    ObserveLoad(InstanceName, LoadReport),
    ObserveReport(Box<EndpointReport>),
    SetReachable(InstanceName, bool),
    ObserveCrash(CrashNotice),
    ReadRecentCrashes(oneshot::Sender<Vec<CrashNotice>>),
    ReadBurnCounts(oneshot::Sender<BurnCounts>),
}

/// Sends commands to the decision task.
#[derive(Clone)]
pub(super) struct DecisionHandle {
    commands: mpsc::UnboundedSender<DecisionCommand>,
}

/// Options and watched state of the decision task.
pub(super) struct DecisionInputs {
    pub(super) routing: RoutingOptions,
    pub(super) queues: QueueOptions,
    pub(super) members: watch::Receiver<Arc<MembershipView>>,
    pub(super) configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
}

/// Keeps an admitted request in progress. Dropping the guard ends the request, as incomplete
/// unless [`RequestGuard::mark_complete`] was called.
pub(super) struct RequestGuard {
    request_id: RequestId,
    decisions: DecisionHandle,
    complete: bool,
    tokens: u64,
}

impl DecisionHandle {
    /// Admits a request, or returns the refusal of a quarantined one.
    pub(super) async fn admit(
        &self,
        profile: RequestProfile,
    ) -> Result<RequestGuard, EntryRefusal> {
        let request_id = profile.request_id;
        self.ask(|reply| DecisionCommand::Admit(Box::new(profile), reply))
            .await
            .unwrap_or(Err(task_stopped()))?;
        Ok(RequestGuard { request_id, decisions: self.clone(), complete: false, tokens: 0 })
    }

    /// Updates an endpoint's version, load and cached prefixes from its sidecar's report.
    pub(super) fn observe_report(&self, report: EndpointReport) {
        self.send(DecisionCommand::ObserveReport(Box::new(report)));
    }

    /// Updates an endpoint's load from the load event of an attempt.
    pub(super) fn observe_load(&self, instance: &InstanceName, load: LoadReport) {
        self.send(DecisionCommand::ObserveLoad(instance.clone(), load));
    }

    /// Records whether requests reach a sidecar. Its reports don't prove this: a link may pass
    /// reports and drop requests.
    pub(super) fn set_reachable(&self, instance: &InstanceName, reachable: bool) {
        self.send(DecisionCommand::SetReachable(instance.clone(), reachable));
    }

    /// Adds a crash notice to the quarantine; returns when the notice is in force.
    pub(super) async fn observe_crash(&self, notice: CrashNotice) {
        self.send(DecisionCommand::ObserveCrash(notice));
        // The task handles its commands in order, so this reply proves that the notice was handled.
        let _ = self.recent_crashes().await;
    }

    /// The most recent crash notices, oldest first.
    pub(super) async fn recent_crashes(&self) -> Vec<CrashNotice> {
        self.ask(DecisionCommand::ReadRecentCrashes).await.unwrap_or_default()
    }

    /// Service-level objective counts; empty if the task has ended.
    pub(super) async fn burn_counts(&self) -> BurnCounts {
        self.ask(DecisionCommand::ReadBurnCounts).await.unwrap_or_default()
    }

    fn send(&self, command: DecisionCommand) {
        let _ = self.commands.send(command);
    }

    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> DecisionCommand,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(command(reply));
        answer.await.ok()
    }
}

impl RequestGuard {
    /// Waits for an endpoint with a free slot.
    pub(super) async fn place(&self) -> Result<PlacedAttempt, EntryRefusal> {
        let request_id = self.request_id;
        let placed = self.decisions.ask(|reply| DecisionCommand::Place(request_id, reply)).await;
        placed.unwrap_or(Err(task_stopped()))
    }

    /// Records the time and the version of an attempt's first token.
    pub(super) fn record_first_token(&self, version: ContentDigest) {
        self.decisions.send(DecisionCommand::RecordFirstToken(self.request_id, version));
    }

    /// Records the end of an attempt; `Ok` permits another attempt.
    pub(super) async fn end_attempt(&self, outcome: AttemptOutcome) -> Result<(), EntryRefusal> {
        let request_id = self.request_id;
        let command = |reply| DecisionCommand::EndAttempt(request_id, outcome, reply);
        self.decisions.ask(command).await.unwrap_or(Err(task_stopped()))
    }

    /// Marks the request as completely answered with `tokens` generated tokens.
    pub(super) fn mark_complete(&mut self, tokens: u64) {
        self.complete = true;
        self.tokens = tokens;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let (request_id, complete, tokens) = (self.request_id, self.complete, self.tokens);
        self.decisions.send(DecisionCommand::Finish { request_id, complete, tokens });
    }
}

/// The refusal when the decision task has ended, which happens only while the process exits.
fn task_stopped() -> EntryRefusal {
    EntryRefusal::new(RefusalReason::Overloaded)
}

struct DecisionTask {
    decisions: EntryDecisions,
    clock: ClockSource,
    waiting: BTreeMap<RequestId, PlaceReply>,
    notices: Vec<CrashNotice>,
    /// Sidecars that requests don't reach; they are treated as silent.
    unreachable: BTreeSet<InstanceName>,
}

/// Starts the task; it ends when the last handle is dropped.
pub(super) fn spawn_decision_task(inputs: DecisionInputs) -> DecisionHandle {
    let (commands, mut command_inbox) = mpsc::unbounded_channel();
    let DecisionInputs { routing, queues, mut members, mut configuration } = inputs;
    let mut task = DecisionTask {
        decisions: EntryDecisions::new(routing, queues),
        clock: ClockSource::start(),
        waiting: BTreeMap::new(),
        notices: Vec::new(),
        unreachable: BTreeSet::new(),
    };
    tokio::spawn(async move {
        let mut queue_checks = tokio::time::interval(QUEUE_CHECK_PERIOD);
        queue_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut members_open, mut configuration_open) = (true, true);
        task.sync(&mut members, &mut configuration);
        loop {
            tokio::select! {
                biased;
                changed = members.changed(), if members_open => members_open = changed.is_ok(),
                changed = configuration.changed(), if configuration_open => {
                    configuration_open = changed.is_ok();
                }
                command = command_inbox.recv() => match command {
                    Some(DecisionCommand::SetReachable(instance, reachable)) => {
                        task.set_reachable(instance, reachable);
                    }
                    Some(command) => {
                        task.handle(command);
                        continue;
                    }
                    None => return,
                },
                _ = queue_checks.tick() => {
                    task.place_waiting();
                    continue;
                }
            }
            task.sync(&mut members, &mut configuration);
        }
    });
    DecisionHandle { commands }
}

impl DecisionTask {
    fn sync(
        &mut self,
        members: &mut watch::Receiver<Arc<MembershipView>>,
        configuration: &mut watch::Receiver<Option<Arc<ConfigurationState>>>,
    ) {
        let mut view = MembershipView::clone(&members.borrow_and_update());
        for instance in &self.unreachable {
            if let Some(side) = view.sides.get_mut(instance) {
                side.state = MemberState::Silent;
            }
        }
        let state = configuration.borrow_and_update().clone();
        self.decisions.sync(&view, state, self.clock.now());
        self.place_waiting();
    }

    fn set_reachable(&mut self, instance: InstanceName, reachable: bool) {
        if reachable {
            self.unreachable.remove(&instance);
        } else {
            self.unreachable.insert(instance);
        }
    }

    fn handle(&mut self, command: DecisionCommand) {
        let now = self.clock.now();
        match command {
            DecisionCommand::Admit(profile, reply) => {
                let _ = reply.send(self.decisions.admit(*profile, now));
            }
            DecisionCommand::Place(request_id, reply) => {
                let placement = self.decisions.place(request_id, now);
                self.waiting.insert(request_id, reply);
                self.send_placement(request_id, placement);
                self.place_waiting();
            }
            DecisionCommand::RecordFirstToken(request_id, version) => {
                self.decisions.record_first_token(request_id, version, now);
            }
            DecisionCommand::EndAttempt(request_id, outcome, reply) => {
                let _ = reply.send(self.decisions.end_attempt(request_id, &outcome, now));
                self.place_waiting();
            }
            DecisionCommand::Finish { request_id, complete, tokens } => {
                self.waiting.remove(&request_id);
                self.decisions.finish(request_id, complete, tokens, now);
                self.place_waiting();
            }
            DecisionCommand::ObserveLoad(instance, load) => {
                self.decisions.observe_load(&instance, load_from_report(&load), now);
            }
            DecisionCommand::ObserveReport(report) => {
                self.decisions.observe(observation_from_report(*report), now);
                self.place_waiting();
            }
            DecisionCommand::SetReachable(instance, reachable) => {
                self.set_reachable(instance, reachable);
            }
            DecisionCommand::ObserveCrash(notice) => self.observe_crash(notice),
            DecisionCommand::ReadRecentCrashes(reply) => {
                let _ = reply.send(self.notices.clone());
            }
            DecisionCommand::ReadBurnCounts(reply) => {
                let _ = reply.send(self.burn_counts());
            }
        }
    }

    fn place_waiting(&mut self) {
        if self.decisions.waiting() == 0 {
            return;
        }
        for (request_id, placement) in self.decisions.place_waiting(self.clock.now()) {
            self.send_placement(request_id, placement);
        }
    }

    fn send_placement(&mut self, request_id: RequestId, placement: Placement) {
        let result = match placement {
            Placement::Wait => return,
            Placement::Dispatch(placed) => Ok(placed),
            Placement::Refuse(refusal) => Err(refusal),
        };
        if let Some(reply) = self.waiting.remove(&request_id) {
            // A disconnected caller's guard is dropped, which ends the request and frees its slot.
            let _ = reply.send(result);
        }
    }

    fn observe_crash(&mut self, notice: CrashNotice) {
        if self.notices.iter().any(|known| known.notice_id == notice.notice_id) {
            return;
        }
        self.decisions.observe_crash(&observation_from_notice(&notice), self.clock.now());
        if self.notices.len() == MAX_CRASH_NOTICES {
            self.notices.remove(0);
        }
        self.notices.push(notice);
    }

    fn burn_counts(&self) -> BurnCounts {
        let (burn, now) = (self.decisions.burn(), self.clock.now());
        let per_team = burn.teams().map(|team| {
            let windows = BURN_WINDOWS.map(|window| {
                let count = burn.count(team, window, now);
                (window.as_secs(), BurnCount { total: count.total, bad: count.bad })
            });
            (team.clone(), BTreeMap::from(windows))
        });
        per_team.collect()
    }
}

fn observation_from_report(report: EndpointReport) -> EndpointObservation {
    EndpointObservation {
        instance: report.instance,
        version: report.live_version,
        load: load_from_report(&report.load),
        prefixes: report.prefixes,
    }
}

fn load_from_report(load: &LoadReport) -> EndpointLoad {
    EndpointLoad {
        slots: load.slots,
        running: load.running,
        waiting: load.waiting,
        queued_prompt_tokens: load.queued_prompt_tokens,
    }
}

fn observation_from_notice(notice: &CrashNotice) -> CrashObservation {
    CrashObservation {
        notice_id: notice.notice_id,
        in_flight: notice.in_flight.clone(),
        suspects: notice.suspects.clone(),
        cleared: notice.cleared.clone(),
    }
}
