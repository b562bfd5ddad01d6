//! The run: arrivals, entries, engines and the exchange between entries, in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::{AttemptOutcome, LoadScope, NotRunReason, PeerAddress, UnknownReason};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::callers::{self, LONGEST_PAUSE, SimRequest, TARGET_LATENCY, TIME_LIMIT};
use super::engine::{EngineWork, SimEngine};
use super::entry::{EntryDecision, SimEntry};
use super::options::{OverloadOptions, OverloadScenario, PlacementPolicy};
use super::report::OverloadReport;

/// Time on the way between an entry and an engine or another entry.
const HOP: Duration = Duration::from_millis(2);
/// Time on the way between a caller and an entry.
const CALLER_HOP: Duration = Duration::from_millis(3);
/// Time between two looks at what waits.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two messages of a sidecar on its engine.
const STATUS_INTERVAL: Duration = Duration::from_millis(800);
/// Time from the word to the entries to the order to load.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Refusals that a caller takes before it gives up.
const RETURNS: u32 = 1;
/// Engines that are tried for a request that was not run.
const MOST_SENDS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum SimEvent {
    /// A caller sends a request for the first time.
    Arrival,
    /// A caller's request is at its entry.
    AtEntry(usize),
    /// A request is at an engine.
    AtEngine {
        request: usize,
        engine: usize,
    },
    /// An engine's pass ends.
    PassEnd(usize),
    /// An entry learns that the engine did not run a request.
    Rejected {
        request: usize,
        engine: usize,
        reason: NotRunReason,
    },
    /// The first event of a request is at its entry.
    FirstEvent {
        request: usize,
        engine: usize,
    },
    /// The last event of a request is at its entry.
    LastEvent {
        request: usize,
        engine: usize,
    },
    Dispatch(usize),
    Load(usize),
    Status(usize),
    /// A sidecar tells that its engine is about to load.
    Close(usize),
    /// An engine is ordered to load.
    Order(usize),
    /// The engines with an index below the number go down, or come back.
    Outage {
        below: usize,
        down: bool,
    },
}

/// A request and where it is.
struct RequestState {
    request: SimRequest,
    tried: BTreeSet<usize>,
    returns: u32,
    sent_at: MonoTime,
    expected: Duration,
    first_event_at: Option<MonoTime>,
    last_event_at: MonoTime,
    longest_pause: Duration,
}

struct World {
    options: OverloadOptions,
    random: StdRng,
    now: MonoTime,
    events: BTreeMap<(MonoTime, u64), SimEvent>,
    sequence: u64,
    requests: Vec<RequestState>,
    entries: Vec<SimEntry>,
    shares: Vec<f64>,
    engines: Vec<SimEngine>,
    closing_at: Vec<Option<MonoTime>>,
    accepting: Vec<bool>,
    report: OverloadReport,
}

/// Runs the experiment.
///
/// ```
/// use celeryshed_measure::overload::*;
/// let mut options = OverloadOptions::new(1, OverloadScenario::Steady, PlacementPolicy::Product);
/// (options.engines, options.entries) = (4, 2);
/// assert!(run_overload(&options).served_worth() > 0.5);
/// ```
pub fn run_overload(options: &OverloadOptions) -> OverloadReport {
    let mut world = World::new(*options);
    world.prepare();
    while let Some(((at, _), event)) = world.events.pop_first() {
        if at > MonoTime::ZERO + options.duration + TIME_LIMIT {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.report
}

impl World {
    fn new(options: OverloadOptions) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let (entries, engines) = (options.entries as usize, options.engines as usize);
        // A balancer hashes callers, so that entries get unequal shares.
        let shares = (0..entries).map(|_| random.random_range(0.7..1.3)).collect();
        Self {
            options,
            random,
            now: MonoTime::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            requests: Vec::new(),
            entries: (0..entries)
                .map(|index| SimEntry::new(options.policy, index, engines))
                .collect(),
            shares,
            engines: vec![SimEngine::default(); engines],
            closing_at: vec![None; engines],
            accepting: vec![true; engines],
            report: OverloadReport::new(options),
        }
    }

    fn at(&mut self, at: MonoTime, event: SimEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn after(&mut self, pause: Duration, event: SimEvent) {
        self.at(self.now + pause, event);
    }

    fn prepare(&mut self) {
        self.after(Duration::ZERO, SimEvent::Arrival);
        for entry in 0..self.entries.len() {
            let shift = Duration::from_millis(7 * entry as u64);
            self.at(MonoTime::ZERO + shift, SimEvent::Load(entry));
            self.at(MonoTime::ZERO + shift, SimEvent::Dispatch(entry));
        }
        let engines = self.engines.len();
        let (start, length) = (OverloadScenario::START, self.options.scenario.length());
        match self.options.scenario {
            OverloadScenario::Steady | OverloadScenario::Burst => {}
            OverloadScenario::Loading => {
                for engine in 0..engines {
                    let order_at = start + length.mul_f64(engine as f64 / engines as f64);
                    self.closing_at[engine] = Some(order_at);
                    self.at(order_at, SimEvent::Close(engine));
                    self.at(start - Duration::from_secs(2), SimEvent::Status(engine));
                }
            }
            OverloadScenario::Halved | OverloadScenario::Outage => {
                let all = self.options.scenario == OverloadScenario::Outage;
                let below = if all { engines } else { engines / 2 };
                self.at(start, SimEvent::Outage { below, down: true });
                self.at(start + length, SimEvent::Outage { below, down: false });
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.arrival(),
            SimEvent::AtEntry(request) => self.submit(request),
            SimEvent::AtEngine { request, engine } => self.at_engine(request, engine),
            SimEvent::PassEnd(engine) => self.pass_end(engine),
            SimEvent::Rejected { request, engine, reason } => {
                self.rejected(request, engine, reason);
            }
            SimEvent::FirstEvent { request, engine } => {
                let state = &self.requests[request];
                let measured = self.now - state.sent_at;
                let (prompt, expected) = (state.request.prompt_tokens, state.expected);
                let entry = state.request.entry;
                self.entries[entry].answered(engine, prompt, expected, measured);
            }
            SimEvent::LastEvent { request, engine } => {
                let entry = self.requests[request].request.entry;
                self.entries[entry].finish(self.now, engine, 0, AttemptOutcome::Served);
                self.dispatch_waiting(entry);
            }
            SimEvent::Dispatch(entry) => {
                self.dispatch_waiting(entry);
                self.after(DISPATCH_INTERVAL, SimEvent::Dispatch(entry));
            }
            SimEvent::Load(entry) => self.tell_load(entry),
            SimEvent::Status(engine) => {
                self.tell_status(engine);
                self.after(STATUS_INTERVAL, SimEvent::Status(engine));
            }
            SimEvent::Close(engine) => {
                self.accepting[engine] = false;
                self.tell_status(engine);
                self.after(CLOSE_TIME, SimEvent::Order(engine));
            }
            SimEvent::Order(engine) => {
                self.engines[engine].to_load = true;
                self.begin_pass(engine);
            }
            SimEvent::Outage { below, down } => self.outage(below, down),
        }
    }

    fn arrival(&mut self) {
        if self.now < MonoTime::ZERO + self.options.duration {
            let factor = self.options.scenario.arrival_factor(self.now);
            let per_s = self.options.per_engine_s * f64::from(self.options.engines) * factor;
            let pause = callers::pause(per_s, &mut self.random);
            self.after(pause, SimEvent::Arrival);
        }
        let entry = self.draw_entry();
        let request = callers::draw_request(self.now, entry, &mut self.random);
        if let Some(window) = self.report.window(self.now) {
            window.asked += 1;
            window.owed += request.worth;
        }
        self.requests.push(RequestState {
            request,
            tried: BTreeSet::new(),
            returns: 0,
            sent_at: self.now,
            expected: Duration::ZERO,
            first_event_at: None,
            last_event_at: self.now,
            longest_pause: Duration::ZERO,
        });
        self.after(CALLER_HOP, SimEvent::AtEntry(self.requests.len() - 1));
    }

    fn draw_entry(&mut self) -> usize {
        let mut rest = self.random.random_range(0.0..self.shares.iter().sum());
        for (index, share) in self.shares.iter().enumerate() {
            if rest < *share {
                return index;
            }
            rest -= share;
        }
        0
    }

    fn submit(&mut self, request: usize) {
        let state = &self.requests[request];
        let entry = state.request.entry;
        self.entries[entry].submit(self.now, request, &state.request, &state.tried);
        self.dispatch_waiting(entry);
    }

    fn dispatch_waiting(&mut self, entry: usize) {
        for decision in self.entries[entry].dispatch_waiting(self.now, &mut self.random) {
            match decision {
                EntryDecision::Send { request, engine, expected } => {
                    let state = &mut self.requests[request];
                    (state.sent_at, state.expected) = (self.now, expected);
                    self.after(HOP, SimEvent::AtEngine { request, engine });
                }
                EntryDecision::Refuse { request, retry_after } => {
                    self.refused(request, retry_after);
                }
            }
        }
    }

    fn refused(&mut self, request: usize, retry_after: Duration) {
        let entry = self.draw_entry();
        let state = &mut self.requests[request];
        state.returns += 1;
        let back_at = self.now + retry_after + CALLER_HOP * 2;
        if state.returns > RETURNS || back_at > state.request.first_at + TIME_LIMIT {
            return;
        }
        state.request.caller_retry = true;
        state.request.entry = entry;
        state.tried.clear();
        self.at(back_at, SimEvent::AtEntry(request));
    }

    fn at_engine(&mut self, request: usize, engine: usize) {
        let state = &self.requests[request].request;
        let work = EngineWork {
            request,
            unread: state.prompt_tokens,
            context: state.prompt_tokens,
            unwritten: state.answer_tokens,
        };
        if !self.engines[engine].accept(work) {
            let reason = match self.engines[engine].down {
                true => NotRunReason::Unreachable,
                false => NotRunReason::Full,
            };
            self.after(HOP, SimEvent::Rejected { request, engine, reason });
            return;
        }
        self.begin_pass(engine);
    }

    fn begin_pass(&mut self, engine: usize) {
        if self.engines[engine].passing || self.engines[engine].down {
            return;
        }
        if let Some(length) = self.engines[engine].begin_pass() {
            self.after(length, SimEvent::PassEnd(engine));
        }
    }

    fn pass_end(&mut self, engine: usize) {
        if self.engines[engine].down {
            self.engines[engine].passing = false;
            return;
        }
        let result = self.engines[engine].end_pass();
        for request in result.first_events {
            let state = &mut self.requests[request];
            state.last_event_at = self.now - result.writing_time;
            state.first_event_at = Some(state.last_event_at);
            self.after(HOP, SimEvent::FirstEvent { request, engine });
        }
        for request in result.events {
            let state = &mut self.requests[request];
            state.longest_pause = state.longest_pause.max(self.now - state.last_event_at);
            state.last_event_at = self.now;
        }
        for request in result.complete {
            self.complete(request);
            self.after(HOP, SimEvent::LastEvent { request, engine });
        }
        if result.loaded {
            self.accepting[engine] = true;
            self.closing_at[engine] = None;
            self.tell_status(engine);
        }
        self.begin_pass(engine);
    }

    fn complete(&mut self, request: usize) {
        let state = &self.requests[request];
        let Some(first_event_at) = state.first_event_at else { return };
        let first_event = first_event_at - state.request.first_at + HOP + CALLER_HOP;
        let in_time = first_event <= TARGET_LATENCY && state.longest_pause <= LONGEST_PAUSE;
        let (first_at, worth) = (state.request.first_at, state.request.worth);
        self.report.answered(first_at, worth, first_event, in_time);
    }

    fn rejected(&mut self, request: usize, engine: usize, reason: NotRunReason) {
        self.report.rejected += 1;
        let state = &mut self.requests[request];
        state.tried.insert(engine);
        let (entry, prompt) = (state.request.entry, state.request.prompt_tokens);
        let again = state.tried.len() < MOST_SENDS;
        let outcome = AttemptOutcome::NotRun(reason);
        self.entries[entry].finish(self.now, engine, prompt, outcome);
        if again {
            self.submit(request);
        } else {
            self.refused(request, Duration::from_secs(1));
        }
    }

    fn tell_load(&mut self, entry: usize) {
        self.after(self.options.load_interval, SimEvent::Load(entry));
        let scope = if self.now == MonoTime::ZERO { LoadScope::Whole } else { LoadScope::Changes };
        let loads = self.entries[entry].take_own_loads(scope);
        let peer = PeerAddress(format!("entry-{entry}"));
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            self.entries[other].hear(self.now, &peer, scope, &loads);
        }
    }

    fn tell_status(&mut self, engine: usize) {
        let (accepting, closing_at) = (self.accepting[engine], self.closing_at[engine]);
        for entry in &mut self.entries {
            entry.status(self.now, engine, accepting, closing_at);
        }
    }

    fn outage(&mut self, below: usize, down: bool) {
        for engine in 0..below {
            self.engines[engine].down = down;
            self.accepting[engine] = !down;
            self.tell_status(engine);
            // A status is repeated while the state lasts, since entries forget old ones.
            self.after(STATUS_INTERVAL, SimEvent::Status(engine));
            for request in self.engines[engine].clear() {
                let state = &self.requests[request];
                let (entry, prompt) = (state.request.entry, state.request.prompt_tokens);
                let unread = if state.first_event_at.is_some() { 0 } else { prompt };
                let outcome = AttemptOutcome::Unknown(UnknownReason::Reset);
                self.entries[entry].finish(self.now, engine, unread, outcome);
            }
        }
    }
}

impl PlacementPolicy {
    /// Runs a scenario with every policy.
    ///
    /// ```
    /// use celeryshed_measure::overload::*;
    /// let mut options = OverloadOptions::new(1, OverloadScenario::Burst, PlacementPolicy::Product);
    /// (options.engines, options.entries) = (2, 2);
    /// assert_eq!(PlacementPolicy::compare(&options).len(), 4);
    /// ```
    pub fn compare(options: &OverloadOptions) -> Vec<OverloadReport> {
        let runs = Self::ALL.map(|policy| OverloadOptions { policy, ..*options });
        runs.iter().map(run_overload).collect()
    }
}
