//! A simulated deployment: entries, sidecars, a log and a network with faults, driven by one seed.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    ClaimId, ContentDigest, CustomerName, InstanceName, LogOffset, MonoTime, ProcessIncarnation,
    ServiceName, UnixMillis,
};
use celeryshed_core::booking::{
    AppendResult, BeginVerdict, BookingIdentity, BookingKey, BookingRequest, BookingResult,
    BookingStanding, ClaimAction, ClaimEvent, ClaimProcedure, ClaimSight, ClaimState,
    DispatchResult, DispatchTicket, FoldOptions, FoldRecord, LogPage, LogSight, OutcomeKind,
    PartitionFold, ProcedureOptions, RefusalReason, RunOutcome, RunVerdict, SealResult,
    SealVerdict, SideTarget,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checks::{ScheduleReport, SimRequest};
use crate::log::{Outages, RETENTION, START, SimLog, SimSide, WINDOW, unix};

const HORIZON: MonoTime = MonoTime(Duration::from_secs(420));
const ENTRIES: usize = 3;
const SIDES: usize = 3;

/// A mechanism that is taken away, to show that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A claim in force is taken over after the timeout without asking its sidecar.
    TakeOverUnsealed,
    /// A claim is dispatched as soon as it is appended, without reading it back.
    DispatchUnread,
    /// A request that can't read the log is told "not run".
    NotRunUnread,
    /// A fresh entry reads from the end of the log instead of the start of the window.
    SkipWindow,
    /// A sidecar confirms seals but doesn't keep them.
    ForgetSeals,
    /// A dispatch without a reply passes for one that ran nothing.
    LostIsNotRun,
    /// A sidecar runs claims of any age.
    IgnoreClaimAge,
    /// An entry accepts keys of any age.
    IgnoreKeyAge,
    /// Requests in progress ignore that another one was told "not run".
    IgnoreFence,
}

#[derive(Clone, Copy)]
struct Process {
    entry: usize,
    life: u32,
    id: usize,
}

enum Happening {
    Request(usize),
    Event(Process, ClaimEvent<u32>),
    StartRead { entry: usize, token: u64 },
    AtLogRead { entry: usize, life: u32, began: MonoTime },
    Page { entry: usize, life: u32, began: MonoTime, page: Option<LogPage> },
    AtLogAppend(Process, FoldRecord),
    LateAppend(FoldRecord),
    AtSideDispatch { from: Process, side: usize, named: ProcessIncarnation, ticket: DispatchTicket },
    RunEnds { from: Process, side: usize, run_by: ProcessIncarnation, claim_id: ClaimId },
    AtSideSeal { from: Process, side: usize, named: ProcessIncarnation, claim_id: ClaimId },
    SideAppend { side: usize, run_by: ProcessIncarnation, record: FoldRecord, answer: u32 },
    KillEntry(usize),
    PauseEntry(usize, Duration),
    ReplaceSide(usize),
}

struct SimEntry {
    life: u32,
    paused_until: MonoTime,
    fold: PartitionFold,
    read_token: u64,
    reading: bool,
    read_again: bool,
    procedures: BTreeMap<usize, (LogOffset, ClaimProcedure<u32>)>,
}

impl SimEntry {
    fn start(life: u32) -> Self {
        let fold = PartitionFold::new(FoldOptions { window: WINDOW, retention: RETENTION });
        Self {
            life,
            paused_until: MonoTime::ZERO,
            fold,
            read_token: 0,
            reading: false,
            read_again: false,
            procedures: BTreeMap::new(),
        }
    }
}

pub(crate) struct World {
    rng: StdRng,
    flaw: Option<Flaw>,
    faults: bool,
    now: MonoTime,
    sequence: u64,
    queue: BTreeMap<(MonoTime, u64), Happening>,
    log: SimLog,
    entries: Vec<SimEntry>,
    sides: Vec<SimSide>,
    log_outages: Vec<Outages>,
    side_cuts: Vec<Outages>,
    hidden: Vec<Outages>,
    busy: Vec<Outages>,
    requests: Vec<SimRequest>,
    claim_owner: BTreeMap<ClaimId, usize>,
    running: BTreeMap<ClaimId, u32>,
    report: ScheduleReport,
}

/// Runs the schedule of `seed`.
pub(crate) fn explore(seed: u64, flaw: Option<Flaw>, faults: bool) -> ScheduleReport {
    let mut rng = StdRng::seed_from_u64(seed);
    let outage = |rng: &mut StdRng, most, longest| match faults {
        true => Outages::random(rng, most, longest),
        false => Outages::default(),
    };
    let shared = outage(&mut rng, 2, 20);
    let log_outages = (0..ENTRIES).map(|_| outage(&mut rng, 1, 15)).chain([shared]).collect();
    let side_cuts = (0..ENTRIES * SIDES).map(|_| outage(&mut rng, 1, 20)).collect();
    let hidden = (0..ENTRIES).map(|_| outage(&mut rng, 2, 10)).collect();
    let busy = (0..SIDES).map(|_| outage(&mut rng, 2, 20)).collect();
    let sides = (0..SIDES).map(|_| SimSide::start(&mut rng)).collect();
    let mut world = World {
        rng,
        flaw,
        faults,
        now: MonoTime::ZERO,
        sequence: 0,
        queue: BTreeMap::new(),
        log: SimLog::default(),
        entries: (0..ENTRIES).map(|_| SimEntry::start(0)).collect(),
        sides,
        log_outages,
        side_cuts,
        hidden,
        busy,
        requests: Vec::new(),
        claim_owner: BTreeMap::new(),
        running: BTreeMap::new(),
        report: ScheduleReport::default(),
    };
    world.plan();
    world.run();
    world.report
}

impl World {
    fn plan(&mut self) {
        for key in 0..3u64 {
            let first = self.rng.random_range(0..100_000);
            let issued_at = START + first - self.rng.random_range(0..70_000u64).min(first);
            for _ in 0..self.rng.random_range(1..=6) {
                let body: u8 = u8::from(self.faults && self.rng.random_ratio(1, 20));
                let spread = [200, 3_000, 60_000, 250_000][self.rng.random_range(0..4)];
                let at = first + self.rng.random_range(0..spread);
                let identity = identity_of(issued_at, key, body);
                let wait = Duration::from_millis(self.rng.random_range(300..25_000));
                let arrival = MonoTime(Duration::from_millis(at));
                let deadline = arrival + wait;
                let index = self.requests.len();
                self.requests.push(SimRequest { key, identity, arrival, deadline });
                self.schedule(arrival, Happening::Request(index));
            }
        }
        for entry in 0..ENTRIES {
            self.schedule_read(entry, Duration::ZERO);
        }
        if self.faults {
            self.plan_faults();
        }
    }

    fn plan_faults(&mut self) {
        // Other bookings, so that a fresh entry needs several reads for the window.
        for filler in 0..40 {
            self.log.append(FoldRecord::Fenced(ContentDigest::of(&[filler])), None, self.now);
        }
        for _ in 0..self.rng.random_range(0..8) {
            // Most faults matter only around the time of a request.
            let request = self.rng.random_range(0..self.requests.len());
            let arrival = self.requests[request].arrival;
            let around = Duration::from_millis(self.rng.random_range(0..2_000));
            let at = MonoTime((arrival + Duration::from_secs(1)) - MonoTime(around));
            let target = self.rng.random_range(0..ENTRIES.min(SIDES));
            let longest = [2_000, 10_000, 90_000][self.rng.random_range(0..3)];
            let pause = Duration::from_millis(self.rng.random_range(100..longest));
            let happening = match self.rng.random_range(0..4) {
                0 => Happening::KillEntry(target),
                1 => Happening::ReplaceSide(target),
                _ => Happening::PauseEntry(target, pause),
            };
            self.schedule(at, happening);
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > HORIZON {
                break;
            }
            self.now = at;
            if let Some(resume) = self.paused(&happening) {
                self.schedule(resume, happening);
                continue;
            }
            self.step(happening);
        }
    }

    fn paused(&self, happening: &Happening) -> Option<MonoTime> {
        let entry = match happening {
            Happening::Event(process, _) => process.entry,
            Happening::Page { entry, .. } | Happening::StartRead { entry, .. } => *entry,
            _ => return None,
        };
        let resume = self.entries[entry].paused_until;
        (self.now < resume).then_some(resume)
    }

    fn step(&mut self, happening: Happening) {
        match happening {
            Happening::Request(index) => self.arrive(index),
            Happening::Event(process, event) => self.deliver(process, event),
            Happening::StartRead { entry, token } => self.start_read(entry, token),
            Happening::AtLogRead { entry, life, began } => {
                let from = self.entries[entry].fold.next_offset();
                let readable = !self.log_down(entry);
                let skips = self.flaw == Some(Flaw::SkipWindow) && from == LogOffset(0);
                let from = if skips && life > 0 { self.log.end() } else { from };
                let mut page = readable.then(|| self.log.read(from, self.now));
                if let Some(page) = page.as_mut().filter(|_| skips && life > 0) {
                    page.oldest = from;
                }
                self.send(Happening::Page { entry, life, began, page });
            }
            Happening::Page { entry, life, began, page } => self.page(entry, life, began, page),
            Happening::AtLogAppend(from, record) => self.append(from, record),
            Happening::LateAppend(record) => self.log.append(record, None, self.now),
            Happening::AtSideDispatch { from, side, named, ticket } => {
                self.side_dispatch(from, side, named, ticket);
            }
            Happening::RunEnds { from, side, run_by, claim_id } => {
                self.end_run(from, side, run_by, claim_id);
            }
            Happening::AtSideSeal { from, side, named, claim_id } => {
                self.side_seal(from, side, named, claim_id);
            }
            Happening::SideAppend { side, run_by, record, answer } => {
                self.side_append(side, run_by, record, answer);
            }
            Happening::KillEntry(entry) => {
                self.entries[entry] = SimEntry::start(self.entries[entry].life + 1);
                self.schedule_read(entry, Duration::ZERO);
            }
            Happening::PauseEntry(entry, pause) => {
                self.entries[entry].paused_until = self.now + pause;
            }
            Happening::ReplaceSide(side) => {
                let incarnation = ProcessIncarnation::from_u128(self.rng.random());
                self.sides[side].replace(incarnation, self.now);
            }
        }
    }

    fn schedule(&mut self, at: MonoTime, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), happening);
    }

    /// Sends a message; some take seconds, as when the sender is paused before it writes.
    fn send(&mut self, happening: Happening) {
        let slow = if self.faults { self.rng.random_range(0..200) } else { 200 };
        // Reads end at the client's timeout; other messages may be held for longer.
        let read = matches!(happening, Happening::AtLogRead { .. } | Happening::Page { .. });
        let longest = match slow {
            0 if !read => 200_000,
            0..8 if !read => 3_000,
            0 => 2_000,
            _ => 15,
        };
        let delay = Duration::from_millis(self.rng.random_range(1..=longest));
        self.schedule(self.now + delay, happening);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.faults && self.rng.random_ratio(percent, 100)
    }

    fn log_down(&self, entry: usize) -> bool {
        self.log_outages[entry].hit(self.now) || self.log_outages[ENTRIES].hit(self.now)
    }

    fn arrive(&mut self, index: usize) {
        let entry = self.rng.random_range(0..ENTRIES);
        self.report.requests += 1;
        let request = &self.requests[index];
        let any_age = self.flaw == Some(Flaw::IgnoreKeyAge);
        let window = if any_age { 10 * WINDOW } else { WINDOW };
        let options = ProcedureOptions { window, ..ProcedureOptions::default() };
        let (identity, deadline) = (request.identity, request.deadline);
        let request = BookingRequest { identity, deadline };
        let procedure = ClaimProcedure::new(request, options, self.now);
        let life = self.entries[entry].life;
        let process = Process { entry, life, id: index };
        let arrival = self.entries[entry].fold.next_offset();
        self.entries[entry].procedures.insert(index, (arrival, procedure));
        self.schedule_read(entry, Duration::ZERO);
        self.deliver(process, ClaimEvent::TimePassed);
    }

    fn deliver(&mut self, process: Process, event: ClaimEvent<u32>) {
        let entry = &mut self.entries[process.entry];
        let live = entry.life == process.life;
        let Some((_, procedure)) = entry.procedures.get_mut(&process.id).filter(|_| live) else {
            return;
        };
        let appended = match &event {
            ClaimEvent::AppendEnded { record, result: AppendResult::Done } => Some(record.clone()),
            _ => None,
        };
        let read_now = matches!(event, ClaimEvent::AppendEnded { .. });
        let actions = procedure.handle(event, self.now);
        let wake = procedure.next_wake();
        if procedure.is_finished() {
            entry.procedures.remove(&process.id);
        }
        if let Some(wake) = wake {
            let wake = wake.max(self.now + Duration::from_millis(1));
            self.schedule(wake, Happening::Event(process, ClaimEvent::TimePassed));
        }
        for action in actions {
            self.perform(process, action);
        }
        if read_now {
            self.schedule_read(process.entry, Duration::ZERO);
        }
        if let (Some(Flaw::DispatchUnread), Some(FoldRecord::Claim(_))) = (self.flaw, &appended) {
            self.forge_sight(process, appended.unwrap());
        }
    }

    /// Pretends that the log shows nothing but the claim that was just appended.
    fn forge_sight(&mut self, process: Process, record: FoldRecord) {
        let FoldRecord::Claim(details) = record else { return };
        let claim = ClaimSight {
            claim_id: details.claim_id,
            offset: LogOffset(0),
            appended_at: unix(self.now),
            terms: details.terms,
            state: ClaimState::InForce,
        };
        let standing = BookingStanding { fence: None, claims: vec![claim] };
        let arrival = LogOffset(0);
        let sight =
            LogSight { began: self.now, log_now: unix(self.now), arrival, covered: true, standing };
        self.deliver(process, ClaimEvent::LogRead(sight));
    }

    fn perform(&mut self, from: Process, action: ClaimAction<u32>) {
        match action {
            ClaimAction::ChooseSide { avoid } => self.choose(from, &avoid),
            ClaimAction::Append(record) => self.send(Happening::AtLogAppend(from, record)),
            ClaimAction::Dispatch { side, ticket } => self.dispatch(from, &side, ticket),
            ClaimAction::AskSeal { claim_id, side } => self.ask_seal(from, claim_id, &side),
            ClaimAction::ReadAnswer { offset } => {
                let readable = !self.log_down(from.entry);
                let answer = self.log.answer(offset).filter(|_| readable);
                self.send(Happening::Event(from, ClaimEvent::AnswerRead(answer)));
            }
            ClaimAction::Reply(result) => self.check_reply(from.id, &result),
            ClaimAction::Finish => {}
        }
    }

    fn check_reply(&mut self, index: usize, result: &BookingResult<u32>) {
        let unread = self.flaw == Some(Flaw::NotRunUnread);
        let result = match result {
            BookingResult::Refused { reason: RefusalReason::LogUnreadable, .. } if unread => {
                let reason = RefusalReason::LogUnreadable;
                &BookingResult::Refused { reason, verdict: RunVerdict::NotRun }
            }
            _ => result,
        };
        self.report.note_reply(index, &self.requests[index], result, self.now);
    }

    fn choose(&mut self, from: Process, avoid: &[InstanceName]) {
        let free: Vec<_> = (0..SIDES).filter(|side| !avoid.contains(&side_name(*side))).collect();
        let lag = Duration::from_millis(self.rng.random_range(0..4_000));
        let seen = MonoTime(self.now - MonoTime(lag));
        let none = free.is_empty() || self.hidden[from.entry].hit(self.now);
        let pick = if none { None } else { Some(free[self.rng.random_range(0..free.len())]) };
        let side = pick.map(|side| SideTarget {
            instance: side_name(side),
            incarnation: self.sides[side].seen_at(seen),
        });
        let claim_id = ClaimId::from_u128(self.rng.random());
        self.claim_owner.insert(claim_id, from.id);
        self.schedule(self.now, Happening::Event(from, ClaimEvent::SideChosen { side, claim_id }));
    }

    fn dispatch(&mut self, from: Process, target: &SideTarget, ticket: DispatchTicket) {
        let side = side_index(&target.instance);
        self.report.note_dispatch(ticket.claim_id);
        if self.side_cuts[from.entry * SIDES + side].hit(self.now) {
            let unsent = self.rng.random_bool(0.5);
            return match unsent {
                true => self.dispatch_ended(from, ticket.claim_id, not_run(false)),
                false => self.dispatch_ended(from, ticket.claim_id, DispatchResult::Lost),
            };
        }
        let named = target.incarnation;
        self.send(Happening::AtSideDispatch { from, side, named, ticket });
    }

    fn dispatch_ended(&mut self, from: Process, claim_id: ClaimId, result: DispatchResult<u32>) {
        let lost = matches!(result, DispatchResult::Lost);
        let result = match self.flaw {
            Some(Flaw::LostIsNotRun) if lost => not_run(false),
            _ => result,
        };
        self.send(Happening::Event(from, ClaimEvent::DispatchEnded { claim_id, result }));
    }

    fn side_dispatch(
        &mut self,
        from: Process,
        side: usize,
        named: ProcessIncarnation,
        ticket: DispatchTicket,
    ) {
        let claim_id = ticket.claim_id;
        if self.busy[side].hit(self.now) {
            return self.dispatch_ended(from, claim_id, not_run(false));
        }
        let any_age = self.flaw == Some(Flaw::IgnoreClaimAge);
        let appended_at = if any_age { unix(self.now) } else { ticket.appended_at };
        let unix_now = self.sides[side].unix(self.now);
        let register = &mut self.sides[side].register;
        let result = match register.begin(claim_id, named, appended_at, self.now, unix_now) {
            BeginVerdict::Run => return self.start_run(from, side, claim_id),
            BeginVerdict::Ran(answer) => DispatchResult::Answer(answer),
            BeginVerdict::Refused(_) => not_run(true),
            BeginVerdict::Recorded | BeginVerdict::Running | BeginVerdict::Unknown => {
                DispatchResult::Lost
            }
        };
        self.dispatch_ended(from, claim_id, result);
    }

    fn start_run(&mut self, from: Process, side: usize, claim_id: ClaimId) {
        let run_by = self.sides[side].incarnation();
        if self.chance(4) {
            self.sides[side].register.finish(claim_id, RunOutcome::NotRun, self.now);
            return self.dispatch_ended(from, claim_id, not_run(false));
        }
        let owner = self.claim_owner[&claim_id];
        let run = self.report.note_run(owner, &self.requests[owner], self.now);
        self.running.insert(claim_id, run);
        let longest = if self.chance(20) { 8_000 } else { 100 };
        let run_time = Duration::from_millis(self.rng.random_range(5..longest));
        self.schedule(self.now + run_time, Happening::RunEnds { from, side, run_by, claim_id });
    }

    fn end_run(&mut self, from: Process, side: usize, run_by: ProcessIncarnation, id: ClaimId) {
        if self.sides[side].incarnation() != run_by {
            return self.dispatch_ended(from, id, DispatchResult::Lost);
        }
        let answer = self.running[&id];
        let (outcome, kind, result) = if self.chance(6) {
            (RunOutcome::Unknown, OutcomeKind::Unknown, DispatchResult::Lost)
        } else {
            let large = OutcomeKind::AnswerNotKept { status: 200, size: 100_000 };
            let kind = if self.chance(6) { large } else { OutcomeKind::Answer };
            (RunOutcome::Answer(answer), kind, DispatchResult::Answer(answer))
        };
        self.sides[side].register.finish(id, outcome, self.now);
        let cut = self.side_cuts[from.entry * SIDES + side].hit(self.now) || self.chance(3);
        self.dispatch_ended(from, id, if cut { DispatchResult::Lost } else { result });
        let record = FoldRecord::Outcome(id, kind);
        self.send(Happening::SideAppend { side, run_by, record, answer });
    }

    fn side_append(
        &mut self,
        side: usize,
        run_by: ProcessIncarnation,
        record: FoldRecord,
        answer: u32,
    ) {
        if self.sides[side].incarnation() != run_by {
            return;
        }
        let down = self.log_outages[ENTRIES].hit(self.now);
        if !down {
            self.log.append(record.clone(), Some(answer), self.now);
        }
        let lost = self.chance(10);
        if let (false, false, FoldRecord::Outcome(claim_id, _)) = (down, lost, &record) {
            return self.sides[side].register.note_recorded(*claim_id, self.now);
        }
        let retry = self.now + Duration::from_millis(500);
        self.schedule(retry, Happening::SideAppend { side, run_by, record, answer });
    }

    fn ask_seal(&mut self, from: Process, claim_id: ClaimId, target: &SideTarget) {
        let side = side_index(&target.instance);
        if self.flaw == Some(Flaw::TakeOverUnsealed) {
            return self.seal_ended(from, claim_id, SealResult::Sealed);
        }
        if self.side_cuts[from.entry * SIDES + side].hit(self.now) {
            return self.seal_ended(from, claim_id, SealResult::Unreachable);
        }
        let named = target.incarnation;
        self.send(Happening::AtSideSeal { from, side, named, claim_id });
    }

    fn side_seal(&mut self, from: Process, side: usize, named: ProcessIncarnation, id: ClaimId) {
        let kept = self.sides[side].register.clone();
        let result = match self.sides[side].register.seal(id, named, self.now) {
            SealVerdict::Ran(answer) => SealResult::Ran(answer),
            SealVerdict::Recorded => SealResult::Recorded,
            SealVerdict::Running => SealResult::Running,
            SealVerdict::Sealed => SealResult::Sealed,
            SealVerdict::Unknown => SealResult::Lost,
            SealVerdict::OtherIncarnation(_) => SealResult::OtherIncarnation,
        };
        if self.flaw == Some(Flaw::ForgetSeals) {
            self.sides[side].register = kept;
        }
        let result = if self.chance(5) { SealResult::Unreachable } else { result };
        self.seal_ended(from, id, result);
    }

    fn seal_ended(&mut self, from: Process, claim_id: ClaimId, result: SealResult<u32>) {
        self.send(Happening::Event(from, ClaimEvent::SealEnded { claim_id, result }));
    }

    fn append(&mut self, from: Process, record: FoldRecord) {
        let fate = if self.faults { self.rng.random_range(0..100) } else { 100 };
        let result = match fate {
            _ if self.log_down(from.entry) => AppendResult::Refused,
            0..4 => AppendResult::Unknown,
            4..8 => {
                let delay = Duration::from_millis(self.rng.random_range(0..5_000));
                self.schedule(self.now + delay, Happening::LateAppend(record.clone()));
                AppendResult::Unknown
            }
            8..12 => {
                self.log.append(record.clone(), None, self.now);
                AppendResult::Unknown
            }
            _ => {
                self.log.append(record.clone(), None, self.now);
                AppendResult::Done
            }
        };
        self.send(Happening::Event(from, ClaimEvent::AppendEnded { record, result }));
    }

    fn schedule_read(&mut self, entry: usize, pause: Duration) {
        if self.entries[entry].reading {
            self.entries[entry].read_again |= pause.is_zero();
            return;
        }
        self.entries[entry].read_token += 1;
        let token = self.entries[entry].read_token;
        self.schedule(self.now + pause, Happening::StartRead { entry, token });
    }

    fn start_read(&mut self, entry: usize, token: u64) {
        let state = &mut self.entries[entry];
        if state.reading || state.read_token != token {
            return;
        }
        state.reading = true;
        let (life, began) = (state.life, self.now);
        self.send(Happening::AtLogRead { entry, life, began });
    }

    fn page(&mut self, entry: usize, life: u32, began: MonoTime, page: Option<LogPage>) {
        if self.entries[entry].life != life {
            return;
        }
        self.entries[entry].reading = false;
        let idle = self.entries[entry].procedures.is_empty();
        let mut pause = Duration::from_millis(if idle { 2_000 } else { 50 });
        match page {
            Some(page) => {
                let at_end = self.entries[entry].fold.apply(&page);
                if at_end {
                    self.show(entry, began, page.log_now);
                } else {
                    pause = Duration::ZERO;
                }
            }
            None => pause = Duration::from_millis(200),
        }
        if std::mem::take(&mut self.entries[entry].read_again) {
            pause = Duration::ZERO;
        }
        self.schedule_read(entry, pause);
    }

    /// Shows the fold's state to the procedures of an entry.
    fn show(&mut self, entry: usize, began: MonoTime, log_now: UnixMillis) {
        let life = self.entries[entry].life;
        let procedures = &self.entries[entry].procedures;
        let waiting: Vec<_> = procedures.iter().map(|(id, (arrival, _))| (*id, *arrival)).collect();
        for (id, arrival) in waiting {
            let identity = self.requests[id].identity;
            let fold = &self.entries[entry].fold;
            let covered = fold.covers(identity.key.issued_at());
            let standing = fold.standing(&identity.booking);
            let ignored = self.flaw == Some(Flaw::IgnoreFence);
            let arrival = if ignored { LogOffset(u64::MAX) } else { arrival };
            let sight = LogSight { began, log_now, arrival, covered, standing };
            self.deliver(Process { entry, life, id }, ClaimEvent::LogRead(sight));
        }
    }
}

fn not_run(claim_only: bool) -> DispatchResult<u32> {
    DispatchResult::NotRun { detail: "refused".to_owned(), claim_only }
}

fn side_name(index: usize) -> InstanceName {
    InstanceName::try_from(format!("side-{index}")).unwrap()
}

fn side_index(name: &InstanceName) -> usize {
    (0..SIDES).find(|index| side_name(*index) == *name).unwrap()
}

fn identity_of(issued_at: u64, key: u64, body: u8) -> BookingIdentity {
    let bits = (u128::from(issued_at) << 80) | (0x7 << 76) | (0x8 << 60) | u128::from(key);
    let text = uuid::Uuid::from_u128(bits).to_string();
    let key = BookingKey::try_from(text.as_str()).unwrap();
    let customer = CustomerName::try_from("clinic").unwrap();
    let service = ServiceName::try_from("orders").unwrap();
    BookingIdentity::of(&customer, key, &service, "POST", "kits", &[body])
}
