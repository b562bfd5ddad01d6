//! Simulated deployment of entries, sidecars, a claim log and a faulty network, driven by a seed.

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
use crate::log::{LOG_START_MS, Outages, RETENTION, SimLog, SimSide, WINDOW, unix};

mod sides;

/// Length of a schedule.
const SCHEDULE_END: MonoTime = MonoTime(Duration::from_secs(300));

/// Length of a long schedule. Longer than the booking window, the log's retention and the time that
/// a register keeps claim ids.
const LONG_SCHEDULE_END: MonoTime = MonoTime(Duration::from_secs(1_600));
const ENTRY_COUNT: usize = 3;
const SIDE_COUNT: usize = 3;

/// A bug that disables one mechanism, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    /// An entry treats a claim in force as sealed after the timeout without asking its sidecar.
    TakeOverUnsealed,
    /// An entry dispatches a claim once it is appended, without reading it back from the log.
    DispatchUnread,
    /// An entry that can't read the log replies "not run".
    NotRunUnread,
    /// A restarted entry reads from the end of the log instead of the start of the window.
    SkipWindow,
    /// A sidecar confirms seals but doesn't keep them.
    ForgetSeals,
    /// An entry treats a dispatch without a reply as not run.
    LostIsNotRun,
    /// A sidecar runs claims of any age.
    IgnoreClaimAge,
    /// An entry accepts keys whose claims the log may have removed.
    IgnoreKeyAge,
    /// Requests in progress ignore fences.
    IgnoreFence,
}

/// Identifies a procedure; events for an earlier generation of the entry are dropped.
#[derive(Clone, Copy)]
struct ProcedureAddress {
    entry: usize,
    generation: u32,
    request: usize,
}

enum SimEvent {
    Request(usize),
    Deliver(ProcedureAddress, ClaimEvent<u32>),
    StartRead {
        entry: usize,
        token: u64,
    },
    ReadAtLog {
        entry: usize,
        generation: u32,
        read_started: MonoTime,
    },
    Page {
        entry: usize,
        generation: u32,
        read_started: MonoTime,
        page: Option<ClaimLogPage>,
    },
    AppendAtLog(ProcedureAddress, ClaimLogRecord),
    LateAppend(ClaimLogRecord),
    DispatchAtSide {
        from: ProcedureAddress,
        side: usize,
        named: ProcessIncarnation,
        permit: DispatchPermit,
    },
    RunEnds {
        from: ProcedureAddress,
        side: usize,
        run_by: ProcessIncarnation,
        claim_id: ClaimId,
    },
    SealAtSide {
        from: ProcedureAddress,
        side: usize,
        named: ProcessIncarnation,
        claim_id: ClaimId,
    },
    SideAppend {
        side: usize,
        run_by: ProcessIncarnation,
        record: ClaimLogRecord,
        answer: u32,
    },
    RestartEntry(usize),
    PauseEntry(usize, Duration),
    ReplaceSide(usize),
}

struct SimEntry {
    /// Number of restarts.
    generation: u32,
    paused_until: MonoTime,
    replica: PartitionReplica,
    /// Number of the latest scheduled read; earlier ones are dropped.
    read_token: u64,
    reading: bool,
    read_again: bool,
    procedures: BTreeMap<usize, (LogOffset, ClaimProcedure<u32>)>,
}

impl SimEntry {
    fn start(generation: u32) -> Self {
        let replica = PartitionReplica::new(ReplayOptions { window: WINDOW, retention: RETENTION });
        Self {
            generation,
            paused_until: MonoTime::ZERO,
            replica,
            read_token: 0,
            reading: false,
            read_again: false,
            procedures: BTreeMap::new(),
        }
    }
}

pub(crate) struct Simulation {
    rng: StdRng,
    bug: Option<InjectedBug>,
    faults: bool,
    /// Whether the schedule ends at [`LONG_SCHEDULE_END`].
    long: bool,
    now: MonoTime,
    sequence: u64,
    queue: BTreeMap<(MonoTime, u64), SimEvent>,
    log: SimLog,
    entries: Vec<SimEntry>,
    sides: Vec<SimSide>,
    /// Per entry, when it can't reach the log; the last item applies to all entries and sidecars.
    log_outages: Vec<Outages>,
    /// Per entry and sidecar, when they can't reach each other.
    side_outages: Vec<Outages>,
    /// Per entry, when it finds no sidecar to choose.
    choice_outages: Vec<Outages>,
    /// Per sidecar, when it refuses bookings because it is busy.
    busy_times: Vec<Outages>,
    requests: Vec<SimRequest>,
    /// Index of the request that made each claim.
    request_by_claim: BTreeMap<ClaimId, usize>,
    /// Answer of each claim that was started.
    answers: BTreeMap<ClaimId, u32>,
    report: ScheduleReport,
}

/// Simulates the schedule of `seed` and returns its report.
///
/// `bug` disables one mechanism; without `faults`, nothing fails.
pub(crate) fn simulate(seed: u64, bug: Option<InjectedBug>, faults: bool) -> ScheduleReport {
    let mut rng = StdRng::seed_from_u64(seed);
    let outage = |rng: &mut StdRng, most, longest| match faults {
        true => Outages::random(rng, most, longest),
        false => Outages::default(),
    };
    let shared = outage(&mut rng, 2, 20);
    let log_outages = (0..ENTRY_COUNT).map(|_| outage(&mut rng, 1, 15)).chain([shared]).collect();
    let side_outages = (0..ENTRY_COUNT * SIDE_COUNT).map(|_| outage(&mut rng, 1, 20)).collect();
    let choice_outages = (0..ENTRY_COUNT).map(|_| outage(&mut rng, 4, 40)).collect();
    let busy_times = (0..SIDE_COUNT).map(|_| outage(&mut rng, 2, 20)).collect();
    let sides = (0..SIDE_COUNT).map(|_| SimSide::start(&mut rng)).collect();
    let mut simulation = Simulation {
        rng,
        bug,
        faults,
        long: false,
        now: MonoTime::ZERO,
        sequence: 0,
        queue: BTreeMap::new(),
        log: SimLog::default(),
        entries: (0..ENTRY_COUNT).map(|_| SimEntry::start(0)).collect(),
        sides,
        log_outages,
        side_outages,
        choice_outages,
        busy_times,
        requests: Vec::new(),
        request_by_claim: BTreeMap::new(),
        answers: BTreeMap::new(),
        report: ScheduleReport::default(),
    };
    simulation.plan_requests();
    simulation.run();
    simulation.report
}

impl Simulation {
    fn plan_requests(&mut self) {
        // In long schedules, the entries restart and read the log after records were removed.
        self.long = self.faults && self.rng.random_ratio(1, 10);
        let spreads = if self.long { [100, 400_000] } else { [200, 3_000] };
        if self.long {
            let at = MonoTime(RETENTION + Duration::from_secs(30));
            (0..ENTRY_COUNT).for_each(|entry| self.schedule(at, SimEvent::RestartEntry(entry)));
        }
        for key in 0..3u64 {
            let first = self.rng.random_range(0..100_000);
            let issued_at = LOG_START_MS + first - self.rng.random_range(0..70_000u64).min(first);
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
                self.schedule(arrival, SimEvent::Request(index));
            }
        }
        for entry in 0..ENTRY_COUNT {
            self.schedule_read(entry, Duration::ZERO);
        }
        if self.faults {
            self.plan_faults();
        }
    }

    fn plan_faults(&mut self) {
        // Records of other bookings, so that a restarted entry needs several reads for the window.
        for filler in 0..40 {
            self.log.append(ClaimLogRecord::Fenced(ContentDigest::of(&[filler])), None, self.now);
        }
        for _ in 0..self.rng.random_range(0..8) {
            // Most faults have an effect only around the arrival of a request.
            let request = self.rng.random_range(0..self.requests.len());
            let arrival = self.requests[request].arrival;
            let around = Duration::from_millis(self.rng.random_range(0..2_000));
            let at = MonoTime((arrival + Duration::from_secs(1)) - MonoTime(around));
            let target = self.rng.random_range(0..ENTRY_COUNT.min(SIDE_COUNT));
            let longest = [2_000, 10_000, 90_000][self.rng.random_range(0..3)];
            let pause = Duration::from_millis(self.rng.random_range(100..longest));
            let event = match self.rng.random_range(0..4) {
                0 => SimEvent::RestartEntry(target),
                1 => SimEvent::ReplaceSide(target),
                _ => SimEvent::PauseEntry(target, pause),
            };
            self.schedule(at, event);
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > if self.long { LONG_SCHEDULE_END } else { SCHEDULE_END } {
                break;
            }
            self.now = at;
            if let Some(resume) = self.resume_time(&event) {
                self.schedule(resume, event);
                continue;
            }
            self.handle(event);
        }
    }

    /// Returns when the entry resumes that the event is for; `None` if it isn't paused.
    fn resume_time(&self, event: &SimEvent) -> Option<MonoTime> {
        let entry = match event {
            SimEvent::Deliver(address, _) => address.entry,
            SimEvent::Page { entry, .. } | SimEvent::StartRead { entry, .. } => *entry,
            _ => return None,
        };
        let resume = self.entries[entry].paused_until;
        (self.now < resume).then_some(resume)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Request(index) => self.arrive(index),
            SimEvent::Deliver(address, event) => self.deliver(address, event),
            SimEvent::StartRead { entry, token } => self.start_read(entry, token),
            SimEvent::ReadAtLog { entry, generation, read_started } => {
                let from = self.entries[entry].replica.next_offset();
                let readable = !self.log_down(entry);
                let skips_window =
                    self.bug == Some(InjectedBug::SkipWindow) && from == LogOffset(0);
                let from = if skips_window && generation > 0 { self.log.end() } else { from };
                let mut page = readable.then(|| self.log.read(from, self.now));
                if let Some(page) = page.as_mut().filter(|_| skips_window && generation > 0) {
                    page.oldest = from;
                }
                self.send(SimEvent::Page { entry, generation, read_started, page });
            }
            SimEvent::Page { entry, generation, read_started, page } => {
                self.receive_page(entry, generation, read_started, page)
            }
            SimEvent::AppendAtLog(from, record) => self.append(from, record),
            SimEvent::LateAppend(record) => self.append_now(record),
            SimEvent::DispatchAtSide { from, side, named, permit } => {
                self.side_dispatch(from, side, named, permit);
            }
            SimEvent::RunEnds { from, side, run_by, claim_id } => {
                self.end_run(from, side, run_by, claim_id);
            }
            SimEvent::SealAtSide { from, side, named, claim_id } => {
                self.side_seal(from, side, named, claim_id);
            }
            SimEvent::SideAppend { side, run_by, record, answer } => {
                self.side_append(side, run_by, record, answer);
            }
            SimEvent::RestartEntry(entry) => {
                self.entries[entry] = SimEntry::start(self.entries[entry].generation + 1);
                self.schedule_read(entry, Duration::ZERO);
            }
            SimEvent::PauseEntry(entry, pause) => {
                self.entries[entry].paused_until = self.now + pause;
            }
            SimEvent::ReplaceSide(side) => {
                let incarnation = ProcessIncarnation::from_u128(self.rng.random());
                self.sides[side].replace(incarnation, self.now);
            }
        }
    }

    fn schedule(&mut self, at: MonoTime, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Sends a message; some take seconds or minutes, as when the sender is paused before sending.
    fn send(&mut self, event: SimEvent) {
        let slow_one_in = if self.long { 20 } else { 200 };
        let slow = if self.faults { self.rng.random_range(0..slow_one_in) } else { 200 };
        // A read is limited by the client's timeout; other messages may be delayed longer.
        let read = matches!(event, SimEvent::ReadAtLog { .. } | SimEvent::Page { .. });
        let longest = match slow {
            0 if !read && self.long => 1_300_000,
            0 if !read => 200_000,
            0..8 if !read && !self.long => 3_000,
            0 => 2_000,
            _ => 15,
        };
        let delay = Duration::from_millis(self.rng.random_range(1..=longest));
        self.schedule(self.now + delay, event);
    }

    /// Returns `true` with a probability of `percent`; never without faults.
    fn chance(&mut self, percent: u32) -> bool {
        self.faults && self.rng.random_ratio(percent, 100)
    }

    fn log_down(&self, entry: usize) -> bool {
        self.log_outages[entry].contains(self.now)
            || self.log_outages[ENTRY_COUNT].contains(self.now)
    }

    fn arrive(&mut self, index: usize) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        self.report.requests += 1;
        let request = &self.requests[index];
        let any_age = self.bug == Some(InjectedBug::IgnoreKeyAge);
        let window = if any_age { 10 * WINDOW } else { WINDOW };
        let options = ProcedureOptions { window, ..ProcedureOptions::default() };
        let (identity, deadline) = (request.identity, request.deadline);
        let request = BookingRequest { identity, deadline };
        let procedure = ClaimProcedure::new(request, options, self.now);
        let generation = self.entries[entry].generation;
        let address = ProcedureAddress { entry, generation, request: index };
        let arrival_offset = self.entries[entry].replica.next_offset();
        self.entries[entry].procedures.insert(index, (arrival_offset, procedure));
        self.schedule_read(entry, Duration::ZERO);
        self.deliver(address, ClaimEvent::TimerFired);
    }

    fn deliver(&mut self, address: ProcedureAddress, event: ClaimEvent<u32>) {
        let entry = &mut self.entries[address.entry];
        let live = entry.generation == address.generation;
        let Some((_, procedure)) = entry.procedures.get_mut(&address.request).filter(|_| live)
        else {
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
            entry.procedures.remove(&address.request);
        }
        if let Some(wake) = wake {
            let wake = wake.max(self.now + Duration::from_millis(1));
            self.schedule(wake, SimEvent::Deliver(address, ClaimEvent::TimerFired));
        }
        for action in actions {
            self.perform(address, action);
        }
        if read_now {
            self.schedule_read(address.entry, Duration::ZERO);
        }
        if let (Some(InjectedBug::DispatchUnread), Some(ClaimLogRecord::Claim(_))) =
            (self.bug, &appended)
        {
            self.deliver_unread_claim(address, appended.unwrap());
        }
    }

    /// Delivers a view in which the log contains only the claim that was just appended.
    fn deliver_unread_claim(&mut self, address: ProcedureAddress, record: ClaimLogRecord) {
        let ClaimLogRecord::Claim(details) = record else { return };
        let claim = ClaimView {
            claim_id: details.claim_id,
            offset: LogOffset(0),
            appended_at: unix(self.now),
            spec: details.spec,
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
        self.deliver(address, ClaimEvent::LogRead(view));
    }

    fn perform(&mut self, from: ProcedureAddress, action: ClaimAction<u32>) {
        match action {
            ClaimAction::ChooseSide { avoid } => self.choose(from, &avoid),
            ClaimAction::Append(record) => self.send(SimEvent::AppendAtLog(from, record)),
            ClaimAction::Dispatch { side, permit } => self.dispatch(from, &side, permit),
            ClaimAction::RequestSeal { claim_id, side } => self.ask_seal(from, claim_id, &side),
            ClaimAction::ReadAnswer { offset } => {
                let readable = !self.log_down(from.entry);
                let answer = self.log.answer(offset).filter(|_| readable);
                self.send(SimEvent::Deliver(from, ClaimEvent::AnswerRead(answer)));
            }
            ClaimAction::Reply(result) => self.check_reply(from.request, &result),
            ClaimAction::Finish => {}
        }
    }

    fn check_reply(&mut self, index: usize, result: &BookingResult<u32>) {
        let replies_not_run = self.bug == Some(InjectedBug::NotRunUnread);
        let result = match result {
            BookingResult::Refused { reason: RefusalReason::LogUnreadable, .. }
                if replies_not_run =>
            {
                let reason = RefusalReason::LogUnreadable;
                &BookingResult::Refused { reason, verdict: RunVerdict::NotRun }
            }
            _ => result,
        };
        self.report.note_reply(index, &self.requests[index], result, self.now);
    }

    fn append(&mut self, from: ProcedureAddress, record: ClaimLogRecord) {
        let roll = if self.faults { self.rng.random_range(0..100) } else { 100 };
        let result = match roll {
            _ if self.log_down(from.entry) => AppendResult::Refused,
            0..4 => AppendResult::Unknown,
            4..8 => {
                let delay = Duration::from_millis(self.rng.random_range(0..5_000));
                self.schedule(self.now + delay, SimEvent::LateAppend(record.clone()));
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
        self.send(SimEvent::Deliver(from, ClaimEvent::AppendEnded { record, result }));
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
        self.schedule(self.now + pause, SimEvent::StartRead { entry, token });
    }

    fn start_read(&mut self, entry: usize, token: u64) {
        let state = &mut self.entries[entry];
        if state.reading || state.read_token != token {
            return;
        }
        state.reading = true;
        let (generation, read_started) = (state.generation, self.now);
        self.send(SimEvent::ReadAtLog { entry, generation, read_started });
    }

    fn receive_page(
        &mut self,
        entry: usize,
        generation: u32,
        read_started: MonoTime,
        page: Option<ClaimLogPage>,
    ) {
        if self.entries[entry].generation != generation {
            return;
        }
        self.entries[entry].reading = false;
        let idle = self.entries[entry].procedures.is_empty();
        let mut pause = Duration::from_millis(if idle { 2_000 } else { 50 });
        match page {
            Some(page) => {
                let at_end = self.entries[entry].replica.apply(&page);
                if at_end {
                    self.deliver_views(entry, read_started, page.log_now);
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

    /// Delivers the replica's state to the procedures of an entry.
    fn deliver_views(&mut self, entry: usize, read_started: MonoTime, log_now: UnixMillis) {
        let generation = self.entries[entry].generation;
        let procedures = &self.entries[entry].procedures;
        let waiting: Vec<_> = procedures
            .iter()
            .map(|(request, (arrival_offset, _))| (*request, *arrival_offset))
            .collect();
        for (request, arrival_offset) in waiting {
            let identity = self.requests[request].identity;
            let replica = &self.entries[entry].replica;
            let any_age = self.bug == Some(InjectedBug::IgnoreKeyAge);
            let covered = any_age || replica.covers(identity.key.issued_at());
            let booking_state = replica.booking_state(&identity.booking);
            let ignore_fence = self.bug == Some(InjectedBug::IgnoreFence);
            let arrival_offset = if ignore_fence { LogOffset(u64::MAX) } else { arrival_offset };
            let view = LogView { read_started, log_now, arrival_offset, covered, booking_state };
            self.deliver(
                ProcedureAddress { entry, generation, request },
                ClaimEvent::LogRead(view),
            );
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
