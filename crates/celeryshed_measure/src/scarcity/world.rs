//! The run: callers, entries, sidecars and engines.

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

use super::engine::{STEP, SimEngine};
use super::events::{EventQueue, SimAttempt, WorldEvent};
use super::options::{ScarcityOptions, ScarcityScenario};
use super::report::{ScarcityReport, TeamResult, empty_histogram};
use super::traffic::{self, ENGINES, SimPrompt, SimTeam, ZONES};

/// Time before calls are counted: a template of a small team is asked for every 8 s, so that
/// 98% of the templates are cached by then.
const WARM_UP: Duration = Duration::from_secs(30);

/// Time after the last call in which calls may end.
const RUN_OUT: Duration = Duration::from_secs(20);

/// Time of a request until its deadline.
const DEADLINE: Duration = Duration::from_secs(30);

/// One-way latency between two zones; each zone is a region of its own.
const ZONE_LATENCY: Duration = Duration::from_millis(2);

/// Latency that the distribution of weights adds to a link: it takes what live traffic leaves, so
/// that at most one packet of 1,500 bytes is ahead at 20 Mbit/s (0.6 ms).
const SPREAD_LATENCY: Duration = Duration::from_millis(1);

/// Pause between two reports of a sidecar.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Pause between two looks of an entry at its waiting requests.
const WAKE_PERIOD: Duration = Duration::from_millis(50);

/// Time until a connection to a machine that is gone fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Resends of one call in scenario `retry_storm`, and the pause before each.
const RESENDS: u32 = 5;
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// A caller's call; it may be sent several times.
pub(super) struct SimCall {
    team: usize,
    prompt: Rc<SimPrompt>,
    arrived: MonoTime,
    sends: u32,
    first_token: Option<MonoTime>,
    counted: bool,
}

/// One sending of a call.
pub(super) struct SimRequest {
    pub(super) call: usize,
    pub(super) entry: usize,
    pub(super) delivered: u32,
    pub(super) dispatches: u32,
    pub(super) displaced: bool,
    pub(super) running: Option<AttemptId>,
}

pub(super) struct SimEntry {
    pub(super) alive: bool,
    pub(super) decisions: EntryDecisions,
}

pub(super) struct World {
    pub(super) options: ScarcityOptions,
    /// One per team, so that the same calls arrive whatever the product decides.
    pub(super) arrivals: Vec<StdRng>,
    pub(super) random: StdRng,
    pub(super) now: MonoTime,
    pub(super) queue: EventQueue,
    pub(super) teams: Vec<SimTeam>,
    pub(super) configuration: Arc<ConfigurationState>,
    pub(super) entries: Vec<SimEntry>,
    pub(super) engines: Vec<SimEngine>,
    pub(super) stepping: Vec<bool>,
    pub(super) names: Vec<InstanceName>,
    pub(super) indexes: BTreeMap<InstanceName, usize>,
    pub(super) calls: Vec<SimCall>,
    pub(super) requests: BTreeMap<RequestId, SimRequest>,
    pub(super) ids: u128,
    pub(super) results: Vec<TeamResult>,
    pub(super) asked_tokens: Vec<u64>,
    pub(super) answered_tokens: Vec<u64>,
    pub(super) first_tokens: Histogram<u64>,
    pub(super) dispatches: u64,
    pub(super) dispatched_requests: u64,
    pub(super) slow_links: bool,
}

/// Runs the experiment in a runtime of its own, whose clock is paused.
///
/// For scenario `overload` the highest result of several loads is found as well.
pub fn run_scarcity(options: &ScarcityOptions) -> ScarcityReport {
    let mut report = run_once(options);
    if options.scenario == ScarcityScenario::Overload && options.uncontracted_load.is_none() {
        let loads = [0.4, 0.55, 0.65, 0.8];
        let best = loads.map(|load| {
            let options = ScarcityOptions { uncontracted_load: Some(load), ..options.clone() };
            run_once(&options).tokens_per_s
        });
        report.best_tokens_per_s = Some(best.into_iter().fold(report.tokens_per_s, f64::max));
    }
    report
}

fn run_once(options: &ScarcityOptions) -> ScarcityReport {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O needs nothing from the system");
    runtime.block_on(World::new(options.clone()).run())
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

impl World {
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
        let results = teams.iter().map(|it| TeamResult::new(it.name.clone(), it.contracted));
        Self {
            arrivals: (0..teams.len() as u64)
                .map(|team| StdRng::seed_from_u64(options.seed << 8 | team))
                .collect(),
            random: StdRng::seed_from_u64(options.seed),
            now: MonoTime::ZERO,
            queue: EventQueue::default(),
            configuration: Arc::new(traffic::configuration(&teams)),
            entries: entries.collect(),
            engines: (0..ENGINES).map(|it| SimEngine::new(it % ZONES, version(1))).collect(),
            stepping: vec![false; ENGINES],
            indexes: names.iter().cloned().enumerate().map(|(index, it)| (it, index)).collect(),
            names,
            calls: Vec::new(),
            requests: BTreeMap::new(),
            ids: 0,
            results: results.collect(),
            asked_tokens: vec![0; teams.len()],
            answered_tokens: vec![0; teams.len()],
            first_tokens: empty_histogram(),
            dispatches: 0,
            dispatched_requests: 0,
            slow_links: false,
            teams,
            options,
        }
    }

    async fn run(mut self) -> ScarcityReport {
        let started = Instant::now();
        self.prepare();
        let end = MonoTime(self.options.duration + RUN_OUT);
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

    fn prepare(&mut self) {
        self.sync_members();
        for team in 0..self.teams.len() {
            self.next_arrival(team);
        }
        for engine in 0..ENGINES {
            let offset = REPORT_PERIOD * engine as u32 / ENGINES as u32;
            self.after(offset, WorldEvent::Report { engine });
        }
        for entry in 0..ZONES {
            self.after(WAKE_PERIOD, WorldEvent::Wake { entry });
        }
        let fault = self.options.duration * 2 / 5;
        match self.options.scenario {
            ScarcityScenario::Calm | ScarcityScenario::Overload => {}
            ScarcityScenario::HalfGone | ScarcityScenario::ZoneGone => {
                self.after(fault, WorldEvent::Fault);
            }
            ScarcityScenario::RetryStorm | ScarcityScenario::Spread => {
                self.after(fault, WorldEvent::Fault);
                self.after(self.options.duration * 7 / 10, WorldEvent::Recovery);
            }
        }
    }

    pub(super) fn after(&mut self, pause: Duration, event: WorldEvent) {
        self.queue.add(self.now + pause, event);
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrival { team } => self.arrival(team),
            WorldEvent::Resend { call } => self.send(call),
            WorldEvent::AtSide { attempt } => self.at_side(attempt),
            WorldEvent::FirstToken { attempt } => self.first_token(attempt),
            WorldEvent::Complete { attempt } => self.complete(attempt),
            WorldEvent::Failed { attempt, cause, not_run } => self.failed(attempt, cause, not_run),
            WorldEvent::Gap { attempt } => {
                self.failed(attempt, FailureCause::EndpointFailed, RunStatus::Unknown);
            }
            WorldEvent::Step { engine } => self.step(engine),
            WorldEvent::Report { engine } => self.side_report(engine),
            WorldEvent::Wake { entry } => {
                self.wake(entry);
                self.after(WAKE_PERIOD, WorldEvent::Wake { entry });
            }
            WorldEvent::Fault => self.fault(),
            WorldEvent::Recovery => self.recover(),
            WorldEvent::Silence => self.sync_members(),
            WorldEvent::NewVersion { engine } => self.engines[engine].version = version(2),
        }
    }

    fn next_arrival(&mut self, team: usize) {
        let rate = self.teams[team].requests_per_s;
        let pause = traffic::pause(rate, &mut self.arrivals[team]);
        if (self.now + pause).0 < self.options.duration {
            self.after(pause, WorldEvent::Arrival { team });
        }
    }

    fn arrival(&mut self, team: usize) {
        let number = self.calls.len() as u64;
        let prompt = Rc::new(traffic::prompt(team, number, &mut self.arrivals[team]));
        let counted = self.now.0 >= WARM_UP;
        if counted {
            self.results[team].calls += 1;
            self.asked_tokens[team] += u64::from(prompt.max_tokens);
        }
        let (arrived, first_token) = (self.now, None);
        self.calls.push(SimCall { team, prompt, arrived, sends: 0, first_token, counted });
        self.send(number as usize);
        self.next_arrival(team);
    }

    /// Sends a call to an entry that the balancer considers live.
    fn send(&mut self, call: usize) {
        let live: Vec<usize> = (0..ZONES).filter(|entry| self.entries[*entry].alive).collect();
        let entry = live[self.random.random_range(0..live.len())];
        self.calls[call].sends += 1;
        self.ids += 1;
        let request_id = RequestId::from_u128(self.ids.wrapping_mul(0x9e37_79b9_7f4a_7c15));
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
            time_left: DEADLINE,
        };
        let request = SimRequest {
            call,
            entry,
            delivered: 0,
            dispatches: 0,
            displaced: false,
            running: None,
        };
        self.requests.insert(request_id, request);
        match self.entries[entry].decisions.admit(profile, self.now) {
            Ok(()) => self.place(request_id, entry),
            Err(refusal) => self.refused(request_id, &refusal),
        }
    }

    fn place(&mut self, request_id: RequestId, entry: usize) {
        let placement = self.entries[entry].decisions.place(request_id, self.now);
        self.placed(request_id, placement);
        self.wake(entry);
    }

    fn placed(&mut self, request_id: RequestId, placement: Placement) {
        let placed = match placement {
            Placement::Wait => return,
            Placement::Refuse(refusal) => return self.refused(request_id, &refusal),
            Placement::Dispatch(placed) => placed,
        };
        let engine = self.indexes[&placed.choice.instance];
        self.ids += 1;
        let attempt_id = AttemptId::from_u128(self.ids);
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let repeats = request.delivered == 0 && !request.displaced;
        self.dispatched_requests += u64::from(request.dispatches == 0);
        self.dispatches += u64::from(request.dispatches == 0 || repeats);
        request.dispatches += 1;
        request.running = Some(attempt_id);
        let (entry, class) = (request.entry, placed.class);
        let attempt = SimAttempt { attempt_id, request_id, entry, engine, class };
        let latency = self.latency(entry, engine);
        if self.engines[engine].alive {
            return self.after(latency, WorldEvent::AtSide { attempt });
        }
        let zone_gone = self.options.scenario == ScarcityScenario::ZoneGone;
        let pause = if zone_gone { CONNECT_TIMEOUT } else { 2 * latency };
        let (cause, not_run) = (FailureCause::EndpointUnreachable, RunStatus::NotRun);
        self.after(pause, WorldEvent::Failed { attempt, cause, not_run });
    }

    pub(super) fn latency(&self, entry: usize, engine: usize) -> Duration {
        let distance =
            if entry == self.engines[engine].zone { Duration::ZERO } else { ZONE_LATENCY };
        distance + if self.slow_links { SPREAD_LATENCY } else { Duration::ZERO }
    }

    fn at_side(&mut self, attempt: SimAttempt) {
        let SimAttempt { attempt_id, request_id, entry, engine, class } = attempt;
        let latency = self.latency(entry, engine);
        let fail = |cause, not_run| WorldEvent::Failed { attempt, cause, not_run };
        if !self.engines[engine].alive {
            let event = fail(FailureCause::EndpointFailed, RunStatus::Unknown);
            return self.after(latency, event);
        }
        let Some(request) = self.requests.get(&request_id) else { return };
        let (delivered, was_displaced) = (request.delivered, request.displaced);
        let call = &self.calls[request.call];
        let (team, prompt) = (call.team, Rc::clone(&call.prompt));
        let load = self.engines[engine].load_now();
        let decisions = &mut self.entries[entry].decisions;
        decisions.observe_load(&self.names[engine], load, self.now);
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
                let event = fail(FailureCause::Busy, RunStatus::NotRun);
                return self.after(latency, event);
            }
        }
        let tokens = prompt.prompt_tokens + u64::from(delivered);
        let tokens_left = prompt.max_tokens - delivered;
        let processed = self.engines[engine].start(attempt, tokens, &prompt.blocks, tokens_left);
        if was_displaced {
            self.results[team].wasted_tokens += processed;
        }
        if !std::mem::replace(&mut self.stepping[engine], true) {
            self.after(STEP, WorldEvent::Step { engine });
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
        self.after(latency, WorldEvent::Failed { attempt, cause, not_run });
    }

    fn step(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            self.stepping[engine] = false;
            return;
        }
        let result = self.engines[engine].step();
        for (attempt, first) in result.tokens {
            if let Some(request) = self.requests.get_mut(&attempt.request_id)
                && request.running == Some(attempt.attempt_id)
            {
                request.delivered += 1;
            }
            if first {
                let latency = self.latency(attempt.entry, engine);
                self.after(latency, WorldEvent::FirstToken { attempt });
            }
        }
        for attempt in result.complete {
            let latency = self.latency(attempt.entry, engine);
            self.after(latency, WorldEvent::Complete { attempt });
        }
        match self.engines[engine].slots.load().running {
            0 => self.stepping[engine] = false,
            _ => self.after(STEP, WorldEvent::Step { engine }),
        }
    }

    /// Whether the event belongs to the attempt that its request waits for.
    fn is_current(&self, attempt: &SimAttempt) -> bool {
        let request = self.requests.get(&attempt.request_id);
        request.is_some_and(|request| request.running == Some(attempt.attempt_id))
            && self.entries[attempt.entry].alive
    }

    fn first_token(&mut self, attempt: SimAttempt) {
        if !self.is_current(&attempt) {
            return;
        }
        let decisions = &mut self.entries[attempt.entry].decisions;
        decisions.first_token(attempt.request_id, self.engines[attempt.engine].version, self.now);
        let call = self.requests[&attempt.request_id].call;
        self.calls[call].first_token.get_or_insert(self.now);
    }

    fn complete(&mut self, attempt: SimAttempt) {
        if !self.is_current(&attempt) {
            return;
        }
        let Some(request) = self.requests.remove(&attempt.request_id) else { return };
        let decisions = &mut self.entries[attempt.entry].decisions;
        let _ = decisions.attempt_ended(attempt.request_id, &AttemptOutcome::Complete, self.now);
        decisions.finish(attempt.request_id, true, u64::from(request.delivered), self.now);
        let call = &self.calls[request.call];
        let (team, tokens) = (call.team, u64::from(call.prompt.max_tokens));
        let first_token = call.first_token.unwrap_or(self.now) - call.arrived;
        if call.counted && self.now.0 < self.options.duration + RUN_OUT {
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
        self.wake(attempt.entry);
    }

    fn failed(&mut self, attempt: SimAttempt, cause: FailureCause, not_run: RunStatus) {
        if !self.is_current(&attempt) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&attempt.request_id) {
            request.running = None;
        }
        let outcome = AttemptOutcome::Failed { cause, not_run, repeatable: true };
        let decisions = &mut self.entries[attempt.entry].decisions;
        match decisions.attempt_ended(attempt.request_id, &outcome, self.now) {
            Ok(()) => self.place(attempt.request_id, attempt.entry),
            Err(refusal) => self.refused(attempt.request_id, &refusal),
        }
        self.wake(attempt.entry);
    }

    fn refused(&mut self, request_id: RequestId, refusal: &EntryRefusal) {
        let Some(request) = self.requests.remove(&request_id) else { return };
        let decisions = &mut self.entries[request.entry].decisions;
        decisions.finish(request_id, false, u64::from(request.delivered), self.now);
        let call = &self.calls[request.call];
        if call.counted {
            let kind = format!("{:?}", refusal.reason);
            *self.results[call.team].refusals.entry(kind).or_default() += 1;
        }
        let storm = self.options.scenario == ScarcityScenario::RetryStorm;
        if storm && call.sends <= RESENDS {
            self.after(RESEND_PAUSE, WorldEvent::Resend { call: request.call });
        }
    }

    fn wake(&mut self, entry: usize) {
        if !self.entries[entry].alive || self.entries[entry].decisions.waiting() == 0 {
            return;
        }
        for (request_id, placement) in self.entries[entry].decisions.place_waiting(self.now) {
            self.placed(request_id, placement);
        }
    }

    fn side_report(&mut self, engine: usize) {
        self.after(REPORT_PERIOD, WorldEvent::Report { engine });
        if !self.engines[engine].alive {
            return;
        }
        let load = self.engines[engine].reported_load(self.now);
        let ends = traffic::template_ends(self.teams.len());
        let cached: Vec<u64> = ends.filter(|block| self.engines[engine].caches(*block)).collect();
        let named = cached.into_iter().filter(|_| self.random.random_bool(0.5));
        let observation = EndpointObservation {
            instance: self.names[engine].clone(),
            version: Some(self.engines[engine].version),
            load,
            prefixes: named.collect(),
        };
        for entry in self.entries.iter_mut().filter(|entry| entry.alive) {
            entry.decisions.observe(observation.clone(), self.now);
        }
        for entry in 0..ZONES {
            self.wake(entry);
        }
    }

    fn report(mut self) -> ScarcityReport {
        let seconds = (self.options.duration - WARM_UP).as_secs_f64();
        for (number, result) in self.results.iter_mut().enumerate() {
            result.tokens_per_s = self.answered_tokens[number] as f64 / seconds;
            let asked = self.asked_tokens[number] as f64 / seconds;
            let due = asked.min(self.teams[number].reserved_tokens_per_s);
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
