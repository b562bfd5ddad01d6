//! One entry: the product's dispatcher, or a plain policy in its place.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, LogOffset, MonoTime, RegionName, ServiceName};
use celeryshed_dispatch::{
    AttemptOutcome, BudgetLimits, DirectoryRecord, DispatchDecision, DispatcherSettings,
    EndpointHash, EndpointId, EndpointState, EndpointStatus, EntryDispatcher, ListedEndpoint,
    LoadScope, PeerAddress, PeerLoad, RequestNumber, RequestProfile, RouteKind, RoutingSnapshot,
    ServiceProfile, VersionDeadlines,
};
use rand::Rng;
use rand::rngs::StdRng;

use super::callers::{SimRequest, TARGET_LATENCY, TIME_LIMIT};
use super::engine::{SLOTS, published_profile};
use super::options::PlacementPolicy;

/// The model that all engines serve.
pub(super) const MODEL: &str = "letters";
/// Availability zones, each a region of its own.
pub(super) const ZONES: [&str; 4] = ["north-a", "east-a", "south-a", "west-a"];

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryDecision {
    /// It goes to this engine.
    Send { request: usize, engine: usize, expected: Duration },
    /// It is refused.
    Refuse { request: usize, retry_after: Duration },
}

/// An entry.
pub(super) struct SimEntry {
    policy: PlacementPolicy,
    dispatcher: EntryDispatcher,
    engines: usize,
    /// Load of this entry and, as last heard, of the others, for the plain policies.
    own: BTreeMap<usize, PeerLoad>,
    heard: BTreeMap<PeerAddress, BTreeMap<EndpointHash, PeerLoad>>,
    closed: BTreeSet<usize>,
    next: usize,
    queue: Vec<usize>,
}

/// The id of an engine.
pub(super) fn engine_id(index: usize) -> EndpointId {
    EndpointId::from(format!("i-{index}").as_str())
}

fn engine_hash(index: usize) -> EndpointHash {
    EndpointHash::from(&engine_id(index))
}

fn engine_index(id: &EndpointId) -> usize {
    id.as_str()[2..].parse().unwrap_or_default()
}

fn zone(index: usize) -> AvailabilityZone {
    AvailabilityZone::try_from(ZONES[index % ZONES.len()]).expect("a constant name is valid")
}

impl SimEntry {
    pub(super) fn new(policy: PlacementPolicy, index: usize, engines: usize) -> Self {
        let regions = ZONES.iter().enumerate().filter_map(|(index, name)| {
            Some((zone(index), RegionName::try_from(name.split('-').next()?).ok()?))
        });
        let budget = BudgetLimits { percent: 20, allowance: 100, window: Duration::from_secs(10) };
        let mut dispatcher = EntryDispatcher::new(DispatcherSettings {
            zone: zone(index),
            regions: regions.collect(),
            budget,
            versions: VersionDeadlines {
                after_declaration: Duration::from_secs(13),
                after_start: Duration::ZERO,
            },
        });
        let mut snapshot = RoutingSnapshot::default();
        let engine = Some(published_profile(MODEL));
        snapshot.services.insert(service(), ServiceProfile { engine, origin: None });
        dispatcher.set_configuration(&snapshot);
        for engine in 0..engines {
            let endpoint = ListedEndpoint {
                service: service(),
                address: format!("10.0.{}.{}:8000", engine / 250, engine % 250),
                zone: zone(engine),
                slots: SLOTS,
                state: EndpointState::Ready,
                models: BTreeMap::from([(MODEL.to_owned(), 1)]),
                started_at_ms: 1,
            };
            let offset = LogOffset(engine as u64 + 1);
            let record =
                DirectoryRecord { id: engine_id(engine), offset, endpoint: Some(endpoint) };
            dispatcher.directory_mut().apply(MonoTime::ZERO, record);
        }
        dispatcher.sync_directory(MonoTime::ZERO);
        Self {
            policy,
            dispatcher,
            engines,
            own: BTreeMap::new(),
            heard: BTreeMap::new(),
            closed: BTreeSet::new(),
            next: index,
            queue: Vec::new(),
        }
    }

    /// A request arrived, or an engine did not take it.
    pub(super) fn submit(
        &mut self,
        now: MonoTime,
        number: usize,
        request: &SimRequest,
        excluded: &BTreeSet<usize>,
    ) {
        if self.policy != PlacementPolicy::Product {
            self.queue.push(number);
            return;
        }
        let profile = RequestProfile {
            service: service(),
            kind: RouteKind::Stream { resumable: true },
            model: Some(MODEL.to_owned()),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: Some(request.hint),
            arrived_at: now,
            deadline: request.first_at + TIME_LIMIT,
            target_latency: TARGET_LATENCY,
            rank: 1,
            caller_retry: request.caller_retry,
            version: None,
        };
        let excluded = excluded.iter().map(|engine| engine_id(*engine)).collect();
        self.dispatcher.submit(now, RequestNumber(number as u64), profile, excluded);
    }

    /// Decides on what waits.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: MonoTime,
        random: &mut StdRng,
    ) -> Vec<EntryDecision> {
        if self.policy == PlacementPolicy::Product {
            let decisions = self.dispatcher.dispatch_waiting(now, random.random());
            return decisions.into_iter().map(entry_decision).collect();
        }
        let waiting = std::mem::take(&mut self.queue);
        waiting.into_iter().map(|request| self.choose(request, random)).collect()
    }

    fn choose(&mut self, request: usize, random: &mut StdRng) -> EntryDecision {
        let open: Vec<usize> = (0..self.engines).filter(|e| !self.closed.contains(e)).collect();
        if open.is_empty() {
            return EntryDecision::Refuse { request, retry_after: Duration::from_secs(1) };
        }
        let engine = match self.policy {
            PlacementPolicy::InTurn => {
                self.next += 1;
                open[self.next % open.len()]
            }
            PlacementPolicy::Random => open[random.random_range(0..open.len())],
            PlacementPolicy::LeastLoad | PlacementPolicy::Product => {
                let load = |engine: usize| self.known_load(engine);
                let least = open.iter().map(|engine| load(*engine)).min().unwrap_or_default();
                let best: Vec<usize> =
                    open.iter().copied().filter(|engine| load(*engine) == least).collect();
                best[random.random_range(0..best.len())]
            }
        };
        self.own.entry(engine).or_default().running += 1;
        EntryDecision::Send { request, engine, expected: Duration::from_millis(100) }
    }

    fn known_load(&self, engine: usize) -> u32 {
        let hash = engine_hash(engine);
        let heard = self.heard.values().filter_map(|loads| loads.get(&hash));
        let own = self.own.get(&engine).map_or(0, |load| load.running);
        own + heard.map(|load| load.running).sum::<u32>()
    }

    /// The first event of a request came.
    pub(super) fn answered(
        &mut self,
        engine: usize,
        prompt_tokens: u32,
        expected: Duration,
        measured: Duration,
    ) {
        self.dispatcher.answered(&engine_id(engine), prompt_tokens, expected, measured);
    }

    /// A request ended at an engine.
    pub(super) fn finish(
        &mut self,
        now: MonoTime,
        engine: usize,
        unread_tokens: u32,
        outcome: AttemptOutcome,
    ) {
        if let Some(load) = self.own.get_mut(&engine) {
            load.running = load.running.saturating_sub(1);
        }
        self.dispatcher.finish(now, &engine_id(engine), unread_tokens, outcome);
    }

    /// Its load, for the others.
    pub(super) fn take_own_loads(&mut self, scope: LoadScope) -> BTreeMap<EndpointHash, PeerLoad> {
        match self.policy {
            PlacementPolicy::Product => self.dispatcher.take_own_loads(scope),
            _ => self.own.iter().map(|(engine, load)| (engine_hash(*engine), *load)).collect(),
        }
    }

    /// Another entry told its load.
    pub(super) fn hear(
        &mut self,
        now: MonoTime,
        peer: &PeerAddress,
        scope: LoadScope,
        loads: &BTreeMap<EndpointHash, PeerLoad>,
    ) {
        match self.policy {
            PlacementPolicy::Product => self.dispatcher.apply_peer_load(now, peer, scope, loads),
            _ => {
                self.heard.insert(peer.clone(), loads.clone());
            }
        }
    }

    /// A sidecar told the state of its engine.
    pub(super) fn status(
        &mut self,
        now: MonoTime,
        engine: usize,
        accepting: bool,
        closing_at: Option<MonoTime>,
    ) {
        if accepting {
            self.closed.remove(&engine);
        } else {
            self.closed.insert(engine);
        }
        let models = BTreeMap::from([(MODEL.to_owned(), 1)]);
        let status = EndpointStatus { received_at: now, models, accepting, closing_at };
        self.dispatcher.apply_status(&engine_id(engine), status);
    }
}

fn entry_decision(decision: DispatchDecision) -> EntryDecision {
    match decision {
        DispatchDecision::Place { number, target, expected } => {
            let engine = engine_index(&target.id);
            EntryDecision::Send { request: number.0 as usize, engine, expected }
        }
        DispatchDecision::Refuse { number, retry_after, .. } => {
            EntryDecision::Refuse { request: number.0 as usize, retry_after }
        }
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("copywriter").expect("a constant name is valid")
}
