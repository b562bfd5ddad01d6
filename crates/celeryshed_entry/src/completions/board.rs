//! The task that owns the entry's decisions.

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

/// Pause between two looks at the deadlines of waiting requests.
const WAKE_PERIOD: Duration = Duration::from_millis(50);

/// Crash notices that are kept for processes that start; those of the last hour are far fewer.
const KEPT_NOTICES: usize = 1024;

type PlaceReply = oneshot::Sender<Result<PlacedAttempt, EntryRefusal>>;

/// Counts per team and window length in seconds.
pub(super) type BurnCounts = BTreeMap<TeamName, BTreeMap<u64, BurnCount>>;

enum BoardCommand {
    Arrive(Box<RequestProfile>, oneshot::Sender<Result<(), EntryRefusal>>),
    Place(RequestId, PlaceReply),
    FirstToken(RequestId, ContentDigest),
    AttemptEnded(RequestId, AttemptOutcome, oneshot::Sender<Result<(), EntryRefusal>>),
    Finish { request_id: RequestId, complete: bool, tokens: u64 },
    Load(InstanceName, LoadReport),
    Report(Box<EndpointReport>),
    Reachable(InstanceName, bool),
    Crash(CrashNotice),
    RecentCrashes(oneshot::Sender<Vec<CrashNotice>>),
    Burn(oneshot::Sender<BurnCounts>),
}

/// Handle of the board task.
#[derive(Clone)]
pub(super) struct BoardHandle {
    commands: mpsc::UnboundedSender<BoardCommand>,
}

/// What the board task needs.
pub(super) struct BoardInputs {
    pub(super) routing: RoutingOptions,
    pub(super) queues: QueueOptions,
    pub(super) members: watch::Receiver<Arc<MembershipView>>,
    pub(super) configuration: watch::Receiver<Option<Arc<ConfigurationState>>>,
}

/// A request that the board admitted; dropping it ends the request as incomplete.
pub(super) struct RequestTicket {
    request_id: RequestId,
    board: BoardHandle,
    complete: bool,
    tokens: u64,
}

impl BoardHandle {
    /// Admits a request.
    pub(super) async fn arrive(
        &self,
        profile: RequestProfile,
    ) -> Result<RequestTicket, EntryRefusal> {
        let request_id = profile.request_id;
        self.ask(|reply| BoardCommand::Arrive(Box::new(profile), reply))
            .await
            .unwrap_or(Err(lost()))?;
        Ok(RequestTicket { request_id, board: self.clone(), complete: false, tokens: 0 })
    }

    /// Takes a sidecar's report.
    pub(super) fn report(&self, report: EndpointReport) {
        self.send(BoardCommand::Report(Box::new(report)));
    }

    /// Takes the load that an endpoint named when it answered an attempt.
    pub(super) fn load(&self, instance: &InstanceName, load: LoadReport) {
        self.send(BoardCommand::Load(instance.clone(), load));
    }

    /// Takes note whether requests reach a sidecar; reports may pass a link that requests don't.
    pub(super) fn reachable(&self, instance: &InstanceName, reachable: bool) {
        self.send(BoardCommand::Reachable(instance.clone(), reachable));
    }

    /// Takes a crash notice; returns when it is in force.
    pub(super) async fn crash(&self, notice: CrashNotice) {
        self.send(BoardCommand::Crash(notice));
        // The task handles its commands in order.
        let _ = self.recent_crashes().await;
    }

    /// Crash notices that were taken.
    pub(super) async fn recent_crashes(&self) -> Vec<CrashNotice> {
        self.ask(BoardCommand::RecentCrashes).await.unwrap_or_default()
    }

    /// Counts of the service-level objectives.
    pub(super) async fn burn(&self) -> BurnCounts {
        self.ask(BoardCommand::Burn).await.unwrap_or_default()
    }

    fn send(&self, command: BoardCommand) {
        let _ = self.commands.send(command);
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> BoardCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(command(reply));
        answer.await.ok()
    }
}

impl RequestTicket {
    /// Waits for an endpoint.
    pub(super) async fn place(&self) -> Result<PlacedAttempt, EntryRefusal> {
        let request_id = self.request_id;
        let placed = self.board.ask(|reply| BoardCommand::Place(request_id, reply)).await;
        placed.unwrap_or(Err(lost()))
    }

    /// Notes the first token of an attempt.
    pub(super) fn first_token(&self, version: ContentDigest) {
        self.board.send(BoardCommand::FirstToken(self.request_id, version));
    }

    /// Notes the end of an attempt; `Ok` permits another one.
    pub(super) async fn attempt_ended(&self, outcome: AttemptOutcome) -> Result<(), EntryRefusal> {
        let request_id = self.request_id;
        let command = |reply| BoardCommand::AttemptEnded(request_id, outcome, reply);
        self.board.ask(command).await.unwrap_or(Err(lost()))
    }

    /// Notes that the caller got a whole answer.
    pub(super) fn completed(&mut self, tokens: u64) {
        self.complete = true;
        self.tokens = tokens;
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        let (request_id, complete, tokens) = (self.request_id, self.complete, self.tokens);
        self.board.send(BoardCommand::Finish { request_id, complete, tokens });
    }
}

/// The board task ended, which happens only when the process ends.
fn lost() -> EntryRefusal {
    EntryRefusal::new(RefusalReason::Overloaded)
}

struct BoardTask {
    decisions: EntryDecisions,
    clock: ClockSource,
    waiting: BTreeMap<RequestId, PlaceReply>,
    notices: Vec<CrashNotice>,
    /// Sidecars that requests don't reach.
    unreachable: BTreeSet<InstanceName>,
}

/// Starts the task.
pub(super) fn spawn_board(inputs: BoardInputs) -> BoardHandle {
    let (commands, mut inbox) = mpsc::unbounded_channel();
    let BoardInputs { routing, queues, mut members, mut configuration } = inputs;
    let mut task = BoardTask {
        decisions: EntryDecisions::new(routing, queues),
        clock: ClockSource::start(),
        waiting: BTreeMap::new(),
        notices: Vec::new(),
        unreachable: BTreeSet::new(),
    };
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(WAKE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut members_open, mut configuration_open) = (true, true);
        task.sync(&mut members, &mut configuration);
        loop {
            tokio::select! {
                biased;
                changed = members.changed(), if members_open => members_open = changed.is_ok(),
                changed = configuration.changed(), if configuration_open => {
                    configuration_open = changed.is_ok();
                }
                command = inbox.recv() => match command {
                    Some(BoardCommand::Reachable(instance, reachable)) => {
                        task.note_reachable(instance, reachable);
                    }
                    Some(command) => {
                        task.handle(command);
                        continue;
                    }
                    None => return,
                },
                _ = ticks.tick() => {
                    task.wake();
                    continue;
                }
            }
            task.sync(&mut members, &mut configuration);
        }
    });
    BoardHandle { commands }
}

impl BoardTask {
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
        self.wake();
    }

    fn note_reachable(&mut self, instance: InstanceName, reachable: bool) {
        if reachable {
            self.unreachable.remove(&instance);
        } else {
            self.unreachable.insert(instance);
        }
    }

    fn handle(&mut self, command: BoardCommand) {
        let now = self.clock.now();
        match command {
            BoardCommand::Arrive(profile, reply) => {
                let _ = reply.send(self.decisions.admit(*profile, now));
            }
            BoardCommand::Place(request_id, reply) => {
                let placement = self.decisions.place(request_id, now);
                self.waiting.insert(request_id, reply);
                self.answer(request_id, placement);
                self.wake();
            }
            BoardCommand::FirstToken(request_id, version) => {
                self.decisions.first_token(request_id, version, now);
            }
            BoardCommand::AttemptEnded(request_id, outcome, reply) => {
                let _ = reply.send(self.decisions.attempt_ended(request_id, &outcome, now));
                self.wake();
            }
            BoardCommand::Finish { request_id, complete, tokens } => {
                self.waiting.remove(&request_id);
                self.decisions.finish(request_id, complete, tokens, now);
                self.wake();
            }
            BoardCommand::Load(instance, load) => {
                self.decisions.observe_load(&instance, load_of(&load), now);
            }
            BoardCommand::Report(report) => {
                self.decisions.observe(observation_of(*report), now);
                self.wake();
            }
            BoardCommand::Reachable(instance, reachable) => {
                self.note_reachable(instance, reachable);
            }
            BoardCommand::Crash(notice) => self.crash(notice),
            BoardCommand::RecentCrashes(reply) => {
                let _ = reply.send(self.notices.clone());
            }
            BoardCommand::Burn(reply) => {
                let _ = reply.send(self.burn_counts());
            }
        }
    }

    fn wake(&mut self) {
        if self.decisions.waiting() == 0 {
            return;
        }
        for (request_id, placement) in self.decisions.place_waiting(self.clock.now()) {
            self.answer(request_id, placement);
        }
    }

    fn answer(&mut self, request_id: RequestId, placement: Placement) {
        let result = match placement {
            Placement::Wait => return,
            Placement::Dispatch(placed) => Ok(placed),
            Placement::Refuse(refusal) => Err(refusal),
        };
        if let Some(reply) = self.waiting.remove(&request_id) {
            // A caller that is gone drops its ticket, which ends the request and its slot.
            let _ = reply.send(result);
        }
    }

    fn crash(&mut self, notice: CrashNotice) {
        if self.notices.iter().any(|known| known.notice_id == notice.notice_id) {
            return;
        }
        self.decisions.observe_crash(&crash_observation(&notice), self.clock.now());
        if self.notices.len() == KEPT_NOTICES {
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

fn observation_of(report: EndpointReport) -> EndpointObservation {
    EndpointObservation {
        instance: report.instance,
        version: report.live_version,
        load: load_of(&report.load),
        prefixes: report.prefixes,
    }
}

fn load_of(load: &LoadReport) -> EndpointLoad {
    EndpointLoad {
        slots: load.slots,
        running: load.running,
        waiting: load.waiting,
        queued_prompt_tokens: load.queued_prompt_tokens,
    }
}

fn crash_observation(notice: &CrashNotice) -> CrashObservation {
    CrashObservation {
        notice_id: notice.notice_id,
        in_flight: notice.in_flight.clone(),
        suspects: notice.suspects.clone(),
        cleared: notice.cleared.clone(),
    }
}
