//! Event-driven simulation of callers, entries, sidecars and engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{
    AttemptId, AvailabilityZone, ContentDigest, InstanceName, MonoTime, RegionName, RequestId,
};
use celeryshed_core::admission::{QueueOptions, SlotDecision, SlotRequest};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::routing::{EndpointObservation, RoutingOptions};
use celeryshed_entry::completions::decisions::{
    AttemptOutcome, EntryDecisions, EntryRefusal, Placement, RequestProfile,
};
use celeryshed_wire::{FailureCause, RunStatus};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::engine::{STEP_INTERVAL, SimEngine};
use super::events::{EventQueue, SimAttempt, SimEvent};
use super::options::{ScarcityOptions, ScarcityScenario};
use super::report::{ScarcityReport, TeamResult, first_token_histogram};
use super::traffic::{self, ENGINES, SimPrompt, SimTeam, ZONES};

/// Time before calls are counted. Each template of a small team is requested every 8 s on average, so
/// that 98% of the templates are cached at the end of the warm-up.
const WARM_UP: Duration = Duration::from_secs(30);

/// Time after the last arrival during which answers are still counted.
const COOL_DOWN: Duration = Duration::from_secs(20);

/// Time from the sending of a request to its deadline.
const REQUEST_DEADLINE: Duration = Duration::from_secs(30);

/// One-way latency between two zones; each zone is a region of its own.
const ZONE_LATENCY: Duration = Duration::from_millis(2);

/// Latency that the distribution of weights adds to a link. Live traffic has priority and waits for
/// at most one packet of 1,500 bytes, which takes 0.6 ms at 20 Mbit/s.
const DISTRIBUTION_LATENCY: Duration = Duration::from_millis(1);

/// Interval of a sidecar's reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which an entry tries to place its waiting requests.
const PLACE_INTERVAL: Duration = Duration::from_millis(50);

/// Time until a connection attempt to an unreachable machine fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Resends of one call in scenario `retry_storm`.
const MAX_RESENDS: u32 = 5;
/// Time from a refusal to the resend in scenario `retry_storm`.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// A caller's call; each time it is sent to an entry, it becomes a new request.
pub(super) struct SimCall {
    team: usize,
    prompt: Rc<SimPrompt>,
    arrived: MonoTime,
    sends: u32,
    first_token: Option<MonoTime>,
    /// Whether the call arrived after the warm-up.
    counted: bool,
}

/// A call that was sent to an entry.
pub(super) struct SimRequest {
    pub(super) call: usize,
    pub(super) entry: usize,
    /// Tokens that its attempts generated.
    pub(super) delivered_tokens: u32,
    pub(super) dispatches: u32,
    pub(super) displaced: bool,
    pub(super) current_attempt: Option<AttemptId>,
}

pub(super) struct SimEntry {
    pub(super) alive: bool,
    pub(super) decisions: EntryDecisions,
}

pub(super) struct ScarcitySimulation {
    pub(super) options: ScarcityOptions,
    /// One random generator per team, so that the arrivals don't depend on the product's decisions.
    pub(super) arrival_randoms: Vec<StdRng>,
    pub(super) random: StdRng,
    pub(super) now: MonoTime,
    pub(super) queue: EventQueue,
    pub(super) teams: Vec<SimTeam>,
    pub(super) configuration: Arc<ConfigurationState>,
    pub(super) entries: Vec<SimEntry>,
    pub(super) engines: Vec<SimEngine>,
    /// Whether the next step of each engine is scheduled.
    pub(super) step_scheduled: Vec<bool>,
    pub(super) engine_names: Vec<InstanceName>,
    pub(super) engine_indexes: BTreeMap<InstanceName, usize>,
    pub(super) calls: Vec<SimCall>,
    pub(super) requests: BTreeMap<RequestId, SimRequest>,
    /// The id that was given out last.
    pub(super) last_id: u128,
    pub(super) results: Vec<TeamResult>,
    pub(super) requested_tokens: Vec<u64>,
    pub(super) answered_tokens: Vec<u64>,
    pub(super) first_tokens: Histogram<u64>,
    pub(super) dispatches: u64,
    pub(super) dispatched_requests: u64,
    /// Whether the distribution of weights delays traffic on the links.
    pub(super) distribution_active: bool,
}

/// Runs the experiment on a Tokio runtime of its own with a paused clock.
///
/// Scenario `overload` without a given load also runs with lower loads, to find the highest
/// `tokens_per_s`.
pub fn run_scarcity(options: &ScarcityOptions) -> ScarcityReport {
    let mut report = run_once(options);
    if options.scenario == ScarcityScenario::Overload && options.uncontracted_load.is_none() {
        let loads = [0.4, 0.55, 0.65, 0.8];
        let results = loads.map(|load| {
            let options = ScarcityOptions { uncontracted_load: Some(load), ..options.clone() };
            run_once(&options).tokens_per_s
        });
        report.best_tokens_per_s = Some(results.into_iter().fold(report.tokens_per_s, f64::max));
    }
    report
}

fn run_once(options: &ScarcityOptions) -> ScarcityReport {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O needs no system resources");
    runtime.block_on(ScarcitySimulation::new(options.clone()).run())
}

pub(super) fn version(number: u8) -> ContentDigest {
    ContentDigest::of(&[number])
}

pub(super) fn zone(number: usize) -> AvailabilityZone {
    AvailabilityZone::try_from(format!("zone-{number}")).expect("constant name is valid")
}

pub(super) fn region(number: usize) -> RegionName {
    RegionName::try_from(format!("region-{number}")).expect("constant name is valid")
}

pub(super) fn entry_name(number: usize) -> InstanceName {
    InstanceName::try_from(format!("entry-{number}")).expect("constant name is valid")
}

impl ScarcitySimulation {
    fn new(options: ScarcityOptions) -> Self {
        let load = options.uncontracted_load.unwrap_or(options.scenario.uncontracted_load());
        let teams = traffic::teams(load);
        let names = (0..ENGINES).map(|number| {
            InstanceName::try_from(format!("engine-{number:02}")).expect("constant name is valid")
        });
        let names: Vec<InstanceName> = names.collect();
        let entries = (0..ZONES).map(|number| {
            let mut routing = RoutingOptions::new(entry_name(number), zone(number), region(number));
            routing.region_latency = ZONE_LATENCY;
            routing.prefill_tokens_per_s = 10_000;
            routing.policy = options.policy;
            let decisions = EntryDecisions::new(routing, QueueOptions::default());
            SimEntry { alive: true, decisions }
        });
        let results = teams.iter().map(|team| TeamResult::new(team.name.clone(), team.contracted));
        Self {
            arrival_randoms: (0..teams.len() as u64)
                .map(|team| StdRng::seed_from_u64(options.seed << 8 | team))
                .collect(),
            random: StdRng::seed_from_u64(options.seed),
            now: MonoTime::ZERO,
            queue: EventQueue::default(),
            configuration: Arc::new(traffic::configuration(&teams)),
            entries: entries.collect(),
            engines: (0..ENGINES)
                .map(|engine| SimEngine::new(engine % ZONES, version(1)))
                .collect(),
            step_scheduled: vec![false; ENGINES],
            engine_indexes: names
                .iter()
                .cloned()
                .enumerate()
                .map(|(index, name)| (name, index))
                .collect(),
            engine_names: names,
            calls: Vec::new(),
            requests: BTreeMap::new(),
            last_id: 0,
            results: results.collect(),
            requested_tokens: vec![0; teams.len()],
            answered_tokens: vec![0; teams.len()],
            first_tokens: first_token_histogram(),
            dispatches: 0,
            dispatched_requests: 0,
            distribution_active: false,
            teams,
            options,
        }
    }

    async fn run(mut self) -> ScarcityReport {
        let started = Instant::now();
        self.schedule_initial_events();
        let end = MonoTime(self.options.duration + COOL_DOWN);
        while let Some((at, event)) = self.queue.next() {
            if at > end {
                break;
            }
            tokio::time::sleep_until(started + at.0).await;
            self.now = at;
            self.handle(event);
        }
        self.report()
    }

    fn schedule_initial_events(&mut self) {
        self.sync_members();
        for team in 0..self.teams.len() {
            self.schedule_arrival(team);
        }
        for engine in 0..ENGINES {
            let offset = REPORT_INTERVAL * engine as u32 / ENGINES as u32;
            self.schedule_after(offset, SimEvent::Report { engine });
        }
        for entry in 0..ZONES {
            self.schedule_after(PLACE_INTERVAL, SimEvent::PlaceWaiting { entry });
        }
        let fault_after = self.options.duration * 2 / 5;
        match self.options.scenario {
            ScarcityScenario::Calm | ScarcityScenario::Overload => {}
            ScarcityScenario::HalfGone | ScarcityScenario::ZoneGone => {
                self.schedule_after(fault_after, SimEvent::Fault);
            }
            ScarcityScenario::RetryStorm | ScarcityScenario::Spread => {
                self.schedule_after(fault_after, SimEvent::Fault);
                self.schedule_after(self.options.duration * 7 / 10, SimEvent::Recovery);
            }
        }
    }

    pub(super) fn schedule_after(&mut self, pause: Duration, event: SimEvent) {
        self.queue.add(self.now + pause, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { team } => self.handle_arrival(team),
            SimEvent::Resend { call } => self.send_call(call),
            SimEvent::AtSide { attempt } => self.handle_at_side(attempt),
            SimEvent::FirstToken { attempt } => self.handle_first_token(attempt),
            SimEvent::Complete { attempt } => self.handle_complete(attempt),
            SimEvent::Failed { attempt, cause, not_run } => {
                self.handle_failure(attempt, cause, not_run)
            }
            SimEvent::EventTimeout { attempt } => {
                self.handle_failure(attempt, FailureCause::EndpointFailed, RunStatus::Unknown);
            }
            SimEvent::Step { engine } => self.handle_step(engine),
            SimEvent::Report { engine } => self.send_side_report(engine),
            SimEvent::PlaceWaiting { entry } => {
                self.place_waiting(entry);
                self.schedule_after(PLACE_INTERVAL, SimEvent::PlaceWaiting { entry });
            }
            SimEvent::Fault => self.start_fault(),
            SimEvent::Recovery => self.end_fault(),
            SimEvent::SyncMembers => self.sync_members(),
            SimEvent::NewVersion { engine } => self.engines[engine].version = version(2),
        }
    }

    fn schedule_arrival(&mut self, team: usize) {
        let rate = self.teams[team].requests_per_s;
        let pause = traffic::arrival_pause(rate, &mut self.arrival_randoms[team]);
        if (self.now + pause).0 < self.options.duration {
            self.schedule_after(pause, SimEvent::Arrival { team });
        }
    }

    fn handle_arrival(&mut self, team: usize) {
        let number = self.calls.len() as u64;
        let prompt = Rc::new(traffic::draw_prompt(team, number, &mut self.arrival_randoms[team]));
        let counted = self.now.0 >= WARM_UP;
        if counted {
            self.results[team].calls += 1;
            self.requested_tokens[team] += u64::from(prompt.max_tokens);
        }
        let (arrived, first_token) = (self.now, None);
        self.calls.push(SimCall { team, prompt, arrived, sends: 0, first_token, counted });
        self.send_call(number as usize);
        self.schedule_arrival(team);
    }

    /// Sends a call to a random live entry, as a load balancer would.
    fn send_call(&mut self, call: usize) {
        let live: Vec<usize> = (0..ZONES).filter(|entry| self.entries[*entry].alive).collect();
        let entry = live[self.random.random_range(0..live.len())];
        self.calls[call].sends += 1;
        self.last_id += 1;
        let request_id = RequestId::from_u128(self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (team, prompt) = (self.calls[call].team, Rc::clone(&self.calls[call].prompt));
        let profile = RequestProfile {
            request_id,
            team: self.teams[team].name.clone(),
            service: traffic::service(),
            adapter: None,
            prompt_tokens: prompt.prompt_tokens,
            prefixes: prompt.prefixes.clone(),
            max_tokens: prompt.max_tokens,
            fingerprint: ContentDigest::from([0; 32]),
            time_left: REQUEST_DEADLINE,
        };
        let request = SimRequest {
            call,
            entry,
            delivered_tokens: 0,
            dispatches: 0,
            displaced: false,
            current_attempt: None,
        };
        self.requests.insert(request_id, request);
        match self.entries[entry].decisions.admit(profile, self.now) {
            Ok(()) => self.place(request_id, entry),
            Err(refusal) => self.handle_refusal(request_id, &refusal),
        }
    }

    fn place(&mut self, request_id: RequestId, entry: usize) {
        let placement = self.entries[entry].decisions.place(request_id, self.now);
        self.apply_placement(request_id, placement);
        self.place_waiting(entry);
    }

    fn apply_placement(&mut self, request_id: RequestId, placement: Placement) {
        let placed = match placement {
            Placement::Wait => return,
            Placement::Refuse(refusal) => return self.handle_refusal(request_id, &refusal),
            Placement::Dispatch(placed) => placed,
        };
        let engine = self.engine_indexes[&placed.choice.instance];
        self.last_id += 1;
        let attempt_id = AttemptId::from_u128(self.last_id);
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let is_retry = request.delivered_tokens == 0 && !request.displaced;
        self.dispatched_requests += u64::from(request.dispatches == 0);
        self.dispatches += u64::from(request.dispatches == 0 || is_retry);
        request.dispatches += 1;
        request.current_attempt = Some(attempt_id);
        let (entry, class) = (request.entry, placed.class);
        let attempt = SimAttempt { attempt_id, request_id, entry, engine, class };
        let latency = self.latency(entry, engine);
        if self.engines[engine].alive {
            return self.schedule_after(latency, SimEvent::AtSide { attempt });
        }
        let zone_gone = self.options.scenario == ScarcityScenario::ZoneGone;
        let pause = if zone_gone { CONNECT_TIMEOUT } else { 2 * latency };
        let (cause, not_run) = (FailureCause::EndpointUnreachable, RunStatus::NotRun);
        self.schedule_after(pause, SimEvent::Failed { attempt, cause, not_run });
    }

    pub(super) fn latency(&self, entry: usize, engine: usize) -> Duration {
        let zone_latency =
            if entry == self.engines[engine].zone { Duration::ZERO } else { ZONE_LATENCY };
        zone_latency + if self.distribution_active { DISTRIBUTION_LATENCY } else { Duration::ZERO }
    }

    fn handle_at_side(&mut self, attempt: SimAttempt) {
        let SimAttempt { attempt_id, request_id, entry, engine, class } = attempt;
        let latency = self.latency(entry, engine);
        let failed_event = |cause, not_run| SimEvent::Failed { attempt, cause, not_run };
        if !self.engines[engine].alive {
            let event = failed_event(FailureCause::EndpointFailed, RunStatus::Unknown);
            return self.schedule_after(latency, event);
        }
        let Some(request) = self.requests.get(&request_id) else { return };
        let (delivered_tokens, was_displaced) = (request.delivered_tokens, request.displaced);
        let call = &self.calls[request.call];
        let (team, prompt) = (call.team, Rc::clone(&call.prompt));
        let load = self.engines[engine].load_now();
        let decisions = &mut self.entries[entry].decisions;
        decisions.observe_load(&self.engine_names[engine], load, self.now);
        let slot = SlotRequest {
            attempt_id,
            team: self.teams[team].name.clone(),
            class,
            resumable: true,
            suspect: false,
        };
        match self.engines[engine].slots.request(slot, Some(&self.configuration)) {
            SlotDecision::Granted => {}
            SlotDecision::Displaced { victim } => self.displace(engine, victim),
            SlotDecision::Busy
            | SlotDecision::SuspectRuns
            | SlotDecision::Cancelled
            | SlotDecision::Duplicate => {
                let event = failed_event(FailureCause::Busy, RunStatus::NotRun);
                return self.schedule_after(latency, event);
            }
        }
        let tokens = prompt.prompt_tokens + u64::from(delivered_tokens);
        let tokens_left = prompt.max_tokens - delivered_tokens;
        let prefill_tokens =
            self.engines[engine].start(attempt, tokens, &prompt.blocks, tokens_left);
        if was_displaced {
            self.results[team].wasted_tokens += prefill_tokens;
        }
        if !std::mem::replace(&mut self.step_scheduled[engine], true) {
            self.schedule_after(STEP_INTERVAL, SimEvent::Step { engine });
        }
    }

    fn displace(&mut self, engine: usize, victim: AttemptId) {
        let Some(attempt) = self.engines[engine].stop(&victim) else { return };
        if let Some(request) = self.requests.get_mut(&attempt.request_id) {
            request.displaced = true;
            self.results[self.calls[request.call].team].displaced += 1;
        }
        let (cause, not_run) = (FailureCause::Displaced, RunStatus::Ran);
        let latency = self.latency(attempt.entry, engine);
        self.schedule_after(latency, SimEvent::Failed { attempt, cause, not_run });
    }

    fn handle_step(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            self.step_scheduled[engine] = false;
            return;
        }
        let result = self.engines[engine].step();
        for (attempt, first) in result.tokens {
            if let Some(request) = self.requests.get_mut(&attempt.request_id)
                && request.current_attempt == Some(attempt.attempt_id)
            {
                request.delivered_tokens += 1;
            }
            if first {
                let latency = self.latency(attempt.entry, engine);
                self.schedule_after(latency, SimEvent::FirstToken { attempt });
            }
        }
        for attempt in result.complete {
            let latency = self.latency(attempt.entry, engine);
            self.schedule_after(latency, SimEvent::Complete { attempt });
        }
        match self.engines[engine].slots.load().running {
            0 => self.step_scheduled[engine] = false,
            _ => self.schedule_after(STEP_INTERVAL, SimEvent::Step { engine }),
        }
    }

    /// Whether the attempt is the current one of its request and the entry is live.
    fn is_current(&self, attempt: &SimAttempt) -> bool {
        let request = self.requests.get(&attempt.request_id);
        request.is_some_and(|request| request.current_attempt == Some(attempt.attempt_id))
            && self.entries[attempt.entry].alive
    }

    fn handle_first_token(&mut self, attempt: SimAttempt) {
        if !self.is_current(&attempt) {
            return;
        }
        let decisions = &mut self.entries[attempt.entry].decisions;
        decisions.record_first_token(
            attempt.request_id,
            self.engines[attempt.engine].version,
            self.now,
        );
        let call = self.requests[&attempt.request_id].call;
        self.calls[call].first_token.get_or_insert(self.now);
    }

    fn handle_complete(&mut self, attempt: SimAttempt) {
        if !self.is_current(&attempt) {
            return;
        }
        let Some(request) = self.requests.remove(&attempt.request_id) else { return };
        let decisions = &mut self.entries[attempt.entry].decisions;
        let _ = decisions.end_attempt(attempt.request_id, &AttemptOutcome::Complete, self.now);
        decisions.finish(attempt.request_id, true, u64::from(request.delivered_tokens), self.now);
        let call = &self.calls[request.call];
        let (team, tokens) = (call.team, u64::from(call.prompt.max_tokens));
        let first_token = call.first_token.unwrap_or(self.now) - call.arrived;
        if call.counted && self.now.0 < self.options.duration + COOL_DOWN {
            let result = &mut self.results[team];
            result.answered += 1;
            let _ = result.first_tokens.record(first_token.as_micros() as u64);
            if self.teams[team].contracted {
                let _ = self.first_tokens.record(first_token.as_micros() as u64);
            }
        }
        if (WARM_UP..self.options.duration).contains(&self.now.0) {
            self.answered_tokens[team] += tokens;
        }
        self.place_waiting(attempt.entry);
    }

    fn handle_failure(&mut self, attempt: SimAttempt, cause: FailureCause, not_run: RunStatus) {
        if !self.is_current(&attempt) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&attempt.request_id) {
            request.current_attempt = None;
        }
        let outcome = AttemptOutcome::Failed { cause, run_status: not_run, repeatable: true };
        let decisions = &mut self.entries[attempt.entry].decisions;
        match decisions.end_attempt(attempt.request_id, &outcome, self.now) {
            Ok(()) => self.place(attempt.request_id, attempt.entry),
            Err(refusal) => self.handle_refusal(attempt.request_id, &refusal),
        }
        self.place_waiting(attempt.entry);
    }

    fn handle_refusal(&mut self, request_id: RequestId, refusal: &EntryRefusal) {
        let Some(request) = self.requests.remove(&request_id) else { return };
        let decisions = &mut self.entries[request.entry].decisions;
        decisions.finish(request_id, false, u64::from(request.delivered_tokens), self.now);
        let call = &self.calls[request.call];
        if call.counted {
            let kind = format!("{:?}", refusal.reason);
            *self.results[call.team].refusals.entry(kind).or_default() += 1;
        }
        let resends = self.options.scenario == ScarcityScenario::RetryStorm;
        if resends && call.sends <= MAX_RESENDS {
            self.schedule_after(RESEND_PAUSE, SimEvent::Resend { call: request.call });
        }
    }

    fn place_waiting(&mut self, entry: usize) {
        if !self.entries[entry].alive || self.entries[entry].decisions.waiting() == 0 {
            return;
        }
        for (request_id, placement) in self.entries[entry].decisions.place_waiting(self.now) {
            self.apply_placement(request_id, placement);
        }
    }

    fn send_side_report(&mut self, engine: usize) {
        self.schedule_after(REPORT_INTERVAL, SimEvent::Report { engine });
        if !self.engines[engine].alive {
            return;
        }
        let load = self.engines[engine].reported_load(self.now);
        let blocks = traffic::last_template_blocks(self.teams.len());
        let cached: Vec<u64> =
            blocks.filter(|block| self.engines[engine].is_cached(*block)).collect();
        // A report names a random half of the cached blocks.
        let reported = cached.into_iter().filter(|_| self.random.random_bool(0.5));
        let observation = EndpointObservation {
            instance: self.engine_names[engine].clone(),
            version: Some(self.engines[engine].version),
            load,
            prefixes: reported.collect(),
        };
        for entry in self.entries.iter_mut().filter(|entry| entry.alive) {
            entry.decisions.observe(observation.clone(), self.now);
        }
        for entry in 0..ZONES {
            self.place_waiting(entry);
        }
    }

    fn report(mut self) -> ScarcityReport {
        let seconds = (self.options.duration - WARM_UP).as_secs_f64();
        for (number, result) in self.results.iter_mut().enumerate() {
            result.tokens_per_s = self.answered_tokens[number] as f64 / seconds;
            let requested = self.requested_tokens[number] as f64 / seconds;
            let due = requested.min(self.teams[number].reserved_tokens_per_s);
            result.reserved_served =
                if due > 0.0 { result.tokens_per_s.min(due) / due } else { 1.0 };
        }
        ScarcityReport {
            tokens_per_s: self.results.iter().map(|result| result.tokens_per_s).sum(),
            amplification: self.dispatches as f64 / self.dispatched_requests.max(1) as f64,
            teams: self.results,
            best_tokens_per_s: None,
            first_tokens: self.first_tokens,
        }
    }
}
