//! A simulated deployment: entries, sidecars, a log and a network with faults, driven by one seed.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    ClaimId, ContentDigest, LogOffset, MonoTime, ProcessIncarnation, ServiceName, TeamName,
    UnixMillis,
};
use celeryshed_core::booking::{
    AppendResult, BookingIdentity, BookingKey, BookingRequest, BookingResult, BookingState,
    ClaimAction, ClaimEvent, ClaimLogPage, ClaimLogRecord, ClaimProcedure, ClaimState, ClaimView,
    DispatchPermit, LogView, PartitionReplica, ProcedureOptions, RefusalReason, ReplayOptions,
    RunVerdict,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checks::{ScheduleReport, SimRequest};
use crate::log::{Outages, RETENTION, START, SimLog, SimSide, WINDOW, unix};

mod sides;

/// End of a schedule; a long one outlasts window, retention and the memory of a register.
const HORIZON: MonoTime = MonoTime(Duration::from_secs(300));
const LONG_HORIZON: MonoTime = MonoTime(Duration::from_secs(1_600));
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
    /// An entry accepts keys whose claims the log may have removed.
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
    AtLogRead { entry: usize, life: u32, read_started: MonoTime },
    Page { entry: usize, life: u32, read_started: MonoTime, page: Option<ClaimLogPage> },
    AtLogAppend(Process, ClaimLogRecord),
    LateAppend(ClaimLogRecord),
    AtSideDispatch { from: Process, side: usize, named: ProcessIncarnation, permit: DispatchPermit },
    RunEnds { from: Process, side: usize, run_by: ProcessIncarnation, claim_id: ClaimId },
    AtSideSeal { from: Process, side: usize, named: ProcessIncarnation, claim_id: ClaimId },
    SideAppend { side: usize, run_by: ProcessIncarnation, record: ClaimLogRecord, answer: u32 },
    KillEntry(usize),
    PauseEntry(usize, Duration),
    ReplaceSide(usize),
}

struct SimEntry {
    life: u32,
    paused_until: MonoTime,
    replica: PartitionReplica,
    read_token: u64,
    reading: bool,
    read_again: bool,
    procedures: BTreeMap<usize, (LogOffset, ClaimProcedure<u32>)>,
}

impl SimEntry {
    fn start(life: u32) -> Self {
        let replica = PartitionReplica::new(ReplayOptions { window: WINDOW, retention: RETENTION });
        Self {
            life,
            paused_until: MonoTime::ZERO,
            replica,
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
    long: bool,
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
    let hidden = (0..ENTRIES).map(|_| outage(&mut rng, 4, 40)).collect();
    let busy = (0..SIDES).map(|_| outage(&mut rng, 2, 20)).collect();
    let sides = (0..SIDES).map(|_| SimSide::start(&mut rng)).collect();
    let mut world = World {
        rng,
        flaw,
        faults,
        long: false,
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
        // In long schedules entries read the log afresh after records were removed.
        self.long = self.faults && self.rng.random_ratio(1, 10);
        let spreads = if self.long { [100, 400_000] } else { [200, 3_000] };
        if self.long {
            let at = MonoTime(RETENTION + Duration::from_secs(30));
            (0..ENTRIES).for_each(|entry| self.schedule(at, Happening::KillEntry(entry)));
        }
        for key in 0..3u64 {
            let first = self.rng.random_range(0..100_000);
            let issued_at = START + first - self.rng.random_range(0..70_000u64).min(first);
            for _ in 0..self.rng.random_range(1..=6) {
                let body: u8 = u8::from(self.faults && self.rng.random_ratio(1, 20));
                let spread = [spreads[0], spreads[1], 60_000][self.rng.random_range(0..3)];
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
            self.log.append(ClaimLogRecord::Fenced(ContentDigest::of(&[filler])), None, self.now);
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
            if at > if self.long { LONG_HORIZON } else { HORIZON } {
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
            Happening::AtLogRead { entry, life, read_started } => {
                let from = self.entries[entry].replica.next_offset();
                let readable = !self.log_down(entry);
                let skips = self.flaw == Some(Flaw::SkipWindow) && from == LogOffset(0);
                let from = if skips && life > 0 { self.log.end() } else { from };
                let mut page = readable.then(|| self.log.read(from, self.now));
                if let Some(page) = page.as_mut().filter(|_| skips && life > 0) {
                    page.oldest = from;
                }
                self.send(Happening::Page { entry, life, read_started, page });
            }
            Happening::Page { entry, life, read_started, page } => {
                self.page(entry, life, read_started, page)
            }
            Happening::AtLogAppend(from, record) => self.append(from, record),
            Happening::LateAppend(record) => self.append_now(record),
            Happening::AtSideDispatch { from, side, named, permit } => {
                self.side_dispatch(from, side, named, permit);
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
        let slow_one_in = if self.long { 20 } else { 200 };
        let slow = if self.faults { self.rng.random_range(0..slow_one_in) } else { 200 };
        // Reads end at the client's timeout; other messages may be held for longer.
        let read = matches!(happening, Happening::AtLogRead { .. } | Happening::Page { .. });
        let longest = match slow {
            0 if !read && self.long => 1_300_000,
            0 if !read => 200_000,
            0..8 if !read && !self.long => 3_000,
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
        let arrival_offset = self.entries[entry].replica.next_offset();
        self.entries[entry].procedures.insert(index, (arrival_offset, procedure));
        self.schedule_read(entry, Duration::ZERO);
        self.deliver(process, ClaimEvent::TimerFired);
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
        let wake = procedure.next_timer();
        if procedure.is_finished() {
            entry.procedures.remove(&process.id);
        }
        if let Some(wake) = wake {
            let wake = wake.max(self.now + Duration::from_millis(1));
            self.schedule(wake, Happening::Event(process, ClaimEvent::TimerFired));
        }
        for action in actions {
            self.perform(process, action);
        }
        if read_now {
            self.schedule_read(process.entry, Duration::ZERO);
        }
        if let (Some(Flaw::DispatchUnread), Some(ClaimLogRecord::Claim(_))) = (self.flaw, &appended)
        {
            self.forge_view(process, appended.unwrap());
        }
    }

    /// Pretends that the log shows nothing but the claim that was just appended.
    fn forge_view(&mut self, process: Process, record: ClaimLogRecord) {
        let ClaimLogRecord::Claim(details) = record else { return };
        let claim = ClaimView {
            claim_id: details.claim_id,
            offset: LogOffset(0),
            appended_at: unix(self.now),
            terms: details.terms,
            state: ClaimState::InForce,
        };
        let booking_state = BookingState { fence: None, claims: vec![claim] };
        let arrival_offset = LogOffset(0);
        let view = LogView {
            read_started: self.now,
            log_now: unix(self.now),
            arrival_offset,
            covered: true,
            booking_state,
        };
        self.deliver(process, ClaimEvent::LogRead(view));
    }

    fn perform(&mut self, from: Process, action: ClaimAction<u32>) {
        match action {
            ClaimAction::ChooseSide { avoid } => self.choose(from, &avoid),
            ClaimAction::Append(record) => self.send(Happening::AtLogAppend(from, record)),
            ClaimAction::Dispatch { side, permit } => self.dispatch(from, &side, permit),
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

    fn append(&mut self, from: Process, record: ClaimLogRecord) {
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
                self.append_now(record.clone());
                AppendResult::Unknown
            }
            _ => {
                self.append_now(record.clone());
                AppendResult::Done
            }
        };
        self.send(Happening::Event(from, ClaimEvent::AppendEnded { record, result }));
    }

    fn append_now(&mut self, record: ClaimLogRecord) {
        self.report.note_append(&record, self.now);
        self.log.append(record, None, self.now);
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
        let (life, read_started) = (state.life, self.now);
        self.send(Happening::AtLogRead { entry, life, read_started });
    }

    fn page(
        &mut self,
        entry: usize,
        life: u32,
        read_started: MonoTime,
        page: Option<ClaimLogPage>,
    ) {
        if self.entries[entry].life != life {
            return;
        }
        self.entries[entry].reading = false;
        let idle = self.entries[entry].procedures.is_empty();
        let mut pause = Duration::from_millis(if idle { 2_000 } else { 50 });
        match page {
            Some(page) => {
                let at_end = self.entries[entry].replica.apply(&page);
                if at_end {
                    self.show(entry, read_started, page.log_now);
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

    /// Shows the replica's state to the procedures of an entry.
    fn show(&mut self, entry: usize, read_started: MonoTime, log_now: UnixMillis) {
        let life = self.entries[entry].life;
        let procedures = &self.entries[entry].procedures;
        let waiting: Vec<_> =
            procedures.iter().map(|(id, (arrival_offset, _))| (*id, *arrival_offset)).collect();
        for (id, arrival_offset) in waiting {
            let identity = self.requests[id].identity;
            let replica = &self.entries[entry].replica;
            let any_age = self.flaw == Some(Flaw::IgnoreKeyAge);
            let covered = any_age || replica.covers(identity.key.issued_at());
            let booking_state = replica.booking_state(&identity.booking);
            let ignored = self.flaw == Some(Flaw::IgnoreFence);
            let arrival_offset = if ignored { LogOffset(u64::MAX) } else { arrival_offset };
            let view = LogView { read_started, log_now, arrival_offset, covered, booking_state };
            self.deliver(Process { entry, life, id }, ClaimEvent::LogRead(view));
        }
    }
}

fn identity_of(issued_at: u64, key: u64, body: u8) -> BookingIdentity {
    let bits = (u128::from(issued_at) << 80) | (0x7 << 76) | (0x8 << 60) | u128::from(key);
    let text = uuid::Uuid::from_u128(bits).to_string();
    let key = BookingKey::try_from(text.as_str()).unwrap();
    let team = TeamName::try_from("clinic").unwrap();
    let service = ServiceName::try_from("orders").unwrap();
    BookingIdentity::of(&team, key, &service, "POST", "kits", &[body])
}
