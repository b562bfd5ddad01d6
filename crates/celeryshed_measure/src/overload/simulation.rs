//! Event-driven simulation of callers, entries and engines.

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

/// One-way latency between an entry and an engine.
const ENGINE_LATENCY: Duration = Duration::from_millis(2);
/// One-way latency between a caller and an entry.
const CALLER_LATENCY: Duration = Duration::from_millis(3);
/// Interval at which an entry decides on its waiting requests.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of a sidecar's status reports.
const STATUS_INTERVAL: Duration = Duration::from_millis(800);
/// Time from the report that an engine accepts no more requests to the command to load.
const LOAD_COMMAND_DELAY: Duration = Duration::from_millis(200);
/// Retries of a caller after refusals.
const MAX_CALLER_RETRIES: u32 = 1;
/// Engines to which a request is sent, as long as the engines reject it.
const MAX_ENGINE_ATTEMPTS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum SimEvent {
    /// A caller sends a request for the first time.
    Arrival,
    /// A request reaches its entry.
    AtEntry(usize),
    /// A request reaches an engine.
    AtEngine { request: usize, engine: usize },
    /// An engine's pass ends.
    PassEnd(usize),
    /// The rejection of a request by an engine reaches the entry.
    Rejected { request: usize, engine: usize, reason: NotRunReason },
    /// The first event of an answer reaches the entry.
    FirstEvent { request: usize, engine: usize },
    /// The last event of an answer reaches the entry.
    LastEvent { request: usize, engine: usize },
    /// An entry decides on its waiting requests.
    Dispatch(usize),
    /// An entry sends its load to the other entries.
    LoadReport(usize),
    /// A sidecar sends the status of its engine to the entries.
    StatusReport(usize),
    /// An engine stops accepting requests, before it loads new weights.
    StopAccepting(usize),
    /// An engine receives the command to load new weights.
    LoadCommand(usize),
    /// The engines with an index less than `below` go down or recover.
    Outage { below: usize, down: bool },
}

/// A request and its progress.
struct RequestState {
    request: SimRequest,
    /// Engines that rejected the request since the caller last sent it.
    tried_engines: BTreeSet<usize>,
    /// Refusals that the caller received.
    refusals: u32,
    sent_at: MonoTime,
    expected: Duration,
    first_event_at: Option<MonoTime>,
    last_event_at: MonoTime,
    longest_pause: Duration,
}

struct OverloadSimulation {
    options: OverloadOptions,
    random: StdRng,
    now: MonoTime,
    events: BTreeMap<(MonoTime, u64), SimEvent>,
    sequence: u64,
    requests: Vec<RequestState>,
    entries: Vec<SimEntry>,
    /// Weight of each entry in the choice of the load balancer.
    entry_weights: Vec<f64>,
    engines: Vec<SimEngine>,
    closing_at: Vec<Option<MonoTime>>,
    accepting: Vec<bool>,
    report: OverloadReport,
}

/// Runs one scenario with one policy, in simulated time.
///
/// ```
/// use celeryshed_measure::overload::*;
/// let mut options = OverloadOptions::new(1, OverloadScenario::Steady, PlacementPolicy::Product);
/// (options.engines, options.entries) = (4, 2);
/// assert!(run_overload(&options).served_value_share() > 0.5);
/// ```
pub fn run_overload(options: &OverloadOptions) -> OverloadReport {
    let mut simulation = OverloadSimulation::new(*options);
    simulation.schedule_initial_events();
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        if at > MonoTime::ZERO + options.duration + TIME_LIMIT {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.report
}

impl OverloadSimulation {
    fn new(options: OverloadOptions) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let (entries, engines) = (options.entries as usize, options.engines as usize);
        // A load balancer that hashes callers gives the entries unequal shares.
        let entry_weights = (0..entries).map(|_| random.random_range(0.7..1.3)).collect();
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
            entry_weights,
            engines: vec![SimEngine::default(); engines],
            closing_at: vec![None; engines],
            accepting: vec![true; engines],
            report: OverloadReport::new(options),
        }
    }

    fn schedule_at(&mut self, at: MonoTime, event: SimEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule_after(&mut self, pause: Duration, event: SimEvent) {
        self.schedule_at(self.now + pause, event);
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_after(Duration::ZERO, SimEvent::Arrival);
        for entry in 0..self.entries.len() {
            let shift = Duration::from_millis(7 * entry as u64);
            self.schedule_at(MonoTime::ZERO + shift, SimEvent::LoadReport(entry));
            self.schedule_at(MonoTime::ZERO + shift, SimEvent::Dispatch(entry));
        }
        let engines = self.engines.len();
        let (start, length) =
            (OverloadScenario::DISTURBANCE_START, self.options.scenario.disturbance_length());
        match self.options.scenario {
            OverloadScenario::Steady | OverloadScenario::Burst => {}
            OverloadScenario::Loading => {
                for engine in 0..engines {
                    let stop_at = start + length.mul_f64(engine as f64 / engines as f64);
                    self.closing_at[engine] = Some(stop_at);
                    self.schedule_at(stop_at, SimEvent::StopAccepting(engine));
                    self.schedule_at(
                        start - Duration::from_secs(2),
                        SimEvent::StatusReport(engine),
                    );
                }
            }
            OverloadScenario::Halved | OverloadScenario::Outage => {
                let all = self.options.scenario == OverloadScenario::Outage;
                let below = if all { engines } else { engines / 2 };
                self.schedule_at(start, SimEvent::Outage { below, down: true });
                self.schedule_at(start + length, SimEvent::Outage { below, down: false });
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::AtEntry(request) => self.submit(request),
            SimEvent::AtEngine { request, engine } => self.handle_at_engine(request, engine),
            SimEvent::PassEnd(engine) => self.handle_pass_end(engine),
            SimEvent::Rejected { request, engine, reason } => {
                self.handle_rejection(request, engine, reason);
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
                self.schedule_after(DISPATCH_INTERVAL, SimEvent::Dispatch(entry));
            }
            SimEvent::LoadReport(entry) => self.send_load(entry),
            SimEvent::StatusReport(engine) => {
                self.send_status(engine);
                self.schedule_after(STATUS_INTERVAL, SimEvent::StatusReport(engine));
            }
            SimEvent::StopAccepting(engine) => {
                self.accepting[engine] = false;
                self.send_status(engine);
                self.schedule_after(LOAD_COMMAND_DELAY, SimEvent::LoadCommand(engine));
            }
            SimEvent::LoadCommand(engine) => {
                self.engines[engine].load_pending = true;
                self.begin_pass(engine);
            }
            SimEvent::Outage { below, down } => self.set_outage(below, down),
        }
    }

    fn handle_arrival(&mut self) {
        if self.now < MonoTime::ZERO + self.options.duration {
            let factor = self.options.scenario.arrival_factor(self.now);
            let requests_per_s =
                self.options.per_engine_s * f64::from(self.options.engines) * factor;
            let pause = callers::arrival_pause(requests_per_s, &mut self.random);
            self.schedule_after(pause, SimEvent::Arrival);
        }
        let entry = self.draw_entry();
        let request = callers::draw_request(self.now, entry, &mut self.random);
        if let Some(window) = self.report.window(self.now) {
            window.requests += 1;
            window.full_value += request.full_value;
        }
        self.requests.push(RequestState {
            request,
            tried_engines: BTreeSet::new(),
            refusals: 0,
            sent_at: self.now,
            expected: Duration::ZERO,
            first_event_at: None,
            last_event_at: self.now,
            longest_pause: Duration::ZERO,
        });
        self.schedule_after(CALLER_LATENCY, SimEvent::AtEntry(self.requests.len() - 1));
    }

    fn draw_entry(&mut self) -> usize {
        let mut rest = self.random.random_range(0.0..self.entry_weights.iter().sum());
        for (index, share) in self.entry_weights.iter().enumerate() {
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
        self.entries[entry].submit(self.now, request, &state.request, &state.tried_engines);
        self.dispatch_waiting(entry);
    }

    fn dispatch_waiting(&mut self, entry: usize) {
        for decision in self.entries[entry].dispatch_waiting(self.now, &mut self.random) {
            match decision {
                EntryDecision::Send { request, engine, expected } => {
                    let state = &mut self.requests[request];
                    (state.sent_at, state.expected) = (self.now, expected);
                    self.schedule_after(ENGINE_LATENCY, SimEvent::AtEngine { request, engine });
                }
                EntryDecision::Refuse { request, retry_after } => {
                    self.handle_refusal(request, retry_after);
                }
            }
        }
    }

    fn handle_refusal(&mut self, request: usize, retry_after: Duration) {
        let entry = self.draw_entry();
        let state = &mut self.requests[request];
        state.refusals += 1;
        let retry_at = self.now + retry_after + CALLER_LATENCY * 2;
        if state.refusals > MAX_CALLER_RETRIES || retry_at > state.request.first_at + TIME_LIMIT {
            return;
        }
        state.request.caller_retry = true;
        state.request.entry = entry;
        state.tried_engines.clear();
        self.schedule_at(retry_at, SimEvent::AtEntry(request));
    }

    fn handle_at_engine(&mut self, request: usize, engine: usize) {
        let state = &self.requests[request].request;
        let work = EngineWork {
            request,
            prefill_tokens_left: state.prompt_tokens,
            context_tokens: state.prompt_tokens,
            answer_tokens_left: state.answer_tokens,
        };
        if !self.engines[engine].accept(work) {
            let reason = match self.engines[engine].down {
                true => NotRunReason::Unreachable,
                false => NotRunReason::Full,
            };
            self.schedule_after(ENGINE_LATENCY, SimEvent::Rejected { request, engine, reason });
            return;
        }
        self.begin_pass(engine);
    }

    fn begin_pass(&mut self, engine: usize) {
        if self.engines[engine].pass_in_progress || self.engines[engine].down {
            return;
        }
        if let Some(length) = self.engines[engine].begin_pass() {
            self.schedule_after(length, SimEvent::PassEnd(engine));
        }
    }

    fn handle_pass_end(&mut self, engine: usize) {
        if self.engines[engine].down {
            self.engines[engine].pass_in_progress = false;
            return;
        }
        let result = self.engines[engine].end_pass();
        for request in result.first_events {
            let state = &mut self.requests[request];
            state.last_event_at = self.now - result.decode_time;
            state.first_event_at = Some(state.last_event_at);
            self.schedule_after(ENGINE_LATENCY, SimEvent::FirstEvent { request, engine });
        }
        for request in result.events {
            let state = &mut self.requests[request];
            state.longest_pause = state.longest_pause.max(self.now - state.last_event_at);
            state.last_event_at = self.now;
        }
        for request in result.complete {
            self.record_complete(request);
            self.schedule_after(ENGINE_LATENCY, SimEvent::LastEvent { request, engine });
        }
        if result.loaded {
            self.accepting[engine] = true;
            self.closing_at[engine] = None;
            self.send_status(engine);
        }
        self.begin_pass(engine);
    }

    fn record_complete(&mut self, request: usize) {
        let state = &self.requests[request];
        let Some(first_event_at) = state.first_event_at else { return };
        let first_event_after =
            first_event_at - state.request.first_at + ENGINE_LATENCY + CALLER_LATENCY;
        let in_time = first_event_after <= TARGET_LATENCY && state.longest_pause <= LONGEST_PAUSE;
        let (first_at, full_value) = (state.request.first_at, state.request.full_value);
        self.report.record_answer(first_at, full_value, first_event_after, in_time);
    }

    fn handle_rejection(&mut self, request: usize, engine: usize, reason: NotRunReason) {
        self.report.rejected += 1;
        let state = &mut self.requests[request];
        state.tried_engines.insert(engine);
        let (entry, prompt) = (state.request.entry, state.request.prompt_tokens);
        let can_resend = state.tried_engines.len() < MAX_ENGINE_ATTEMPTS;
        let outcome = AttemptOutcome::NotRun(reason);
        self.entries[entry].finish(self.now, engine, prompt, outcome);
        if can_resend {
            self.submit(request);
        } else {
            self.handle_refusal(request, Duration::from_secs(1));
        }
    }

    fn send_load(&mut self, entry: usize) {
        self.schedule_after(self.options.load_interval, SimEvent::LoadReport(entry));
        let scope = if self.now == MonoTime::ZERO { LoadScope::Whole } else { LoadScope::Changes };
        let loads = self.entries[entry].take_own_loads(scope);
        let peer = PeerAddress(format!("entry-{entry}"));
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            self.entries[other].apply_peer_load(self.now, &peer, scope, &loads);
        }
    }

    fn send_status(&mut self, engine: usize) {
        let (accepting, closing_at) = (self.accepting[engine], self.closing_at[engine]);
        for entry in &mut self.entries {
            entry.apply_status(self.now, engine, accepting, closing_at);
        }
    }

    fn set_outage(&mut self, below: usize, down: bool) {
        for engine in 0..below {
            self.engines[engine].down = down;
            self.accepting[engine] = !down;
            self.send_status(engine);
            // The status is repeated, because entries ignore old ones.
            self.schedule_after(STATUS_INTERVAL, SimEvent::StatusReport(engine));
            for request in self.engines[engine].drop_requests() {
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
    /// Runs the scenario of `options` with each policy of [`PlacementPolicy::ALL`].
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
