//! A simulated entry: the product's dispatcher or one of the baseline policies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, LogPosition, MonoTime, RegionName, ServiceName};
use celeryshed_dispatch::{
    AttemptOutcome, BudgetLimits, DirectoryRecord, DispatchDecision, DispatcherSettings,
    EndpointHash, EndpointId, EndpointState, EndpointStatus, EntryDispatcher, ListedEndpoint,
    LoadReport, LoadScope, NoticeLimits, PeerAddress, PeerAudience, PeerLoad, RequestNumber,
    RequestProfile, RouteKind, RoutingSnapshot, ServiceProfile, VersionDeadlines, load_lifetime,
    message_lifetime, status_interval,
};
use rand::Rng;
use rand::rngs::StdRng;

use super::callers::{SimRequest, TARGET_LATENCY, TIME_LIMIT};
use super::engine::{SLOTS, published_profile};
use super::options::PlacementPolicy;

/// Name of the model that all engines serve.
pub(super) const MODEL_NAME: &str = "letters";
/// Availability zones; each one is in a region of its own.
pub(super) const ZONES: [&str; 4] = ["north-a", "east-a", "south-a", "west-a"];

/// Decision of an entry on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryDecision {
    /// Send the request to `engine`; its first event is expected after `expected`.
    Send { request: usize, engine: usize, expected: Duration },
    /// Refuse the request; the caller may retry after `retry_after`.
    Refuse { request: usize, retry_after: Duration },
}

/// A simulated entry.
pub(super) struct SimEntry {
    policy: PlacementPolicy,
    dispatcher: EntryDispatcher,
    engines: usize,
    /// Load that this entry puts on each engine; for the baseline policies.
    own_loads: BTreeMap<usize, PeerLoad>,
    /// Last report of each other entry; for the baseline policies.
    peer_loads: BTreeMap<PeerAddress, BTreeMap<EndpointHash, PeerLoad>>,
    /// Engines that accept no requests.
    closed_engines: BTreeSet<usize>,
    /// Position of the round robin.
    next_engine: usize,
    /// Requests that wait for a decision of a baseline policy.
    waiting: Vec<usize>,
}

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
    AvailabilityZone::try_from(ZONES[index % ZONES.len()]).expect("constant name is valid")
}

impl SimEntry {
    pub(super) fn new(policy: PlacementPolicy, index: usize, engines: usize) -> Self {
        let regions = ZONES.iter().enumerate().filter_map(|(index, name)| {
            Some((zone(index), RegionName::try_from(name.split('-').next()?).ok()?))
        });
        let budget = BudgetLimits {
            retry_percent: 20,
            retry_allowance: 100,
            window: Duration::from_secs(10),
        };
        let mut dispatcher = EntryDispatcher::new(DispatcherSettings {
            zone: zone(index),
            regions: regions.collect(),
            budget,
            versions: VersionDeadlines {
                after_declaration: Duration::from_secs(13),
                after_start: Duration::ZERO,
            },
            notices: NoticeLimits { max_pause: Duration::from_secs(12) },
        });
        let mut snapshot = RoutingSnapshot::default();
        let engine = Some(published_profile(MODEL_NAME));
        snapshot.services.insert(service(), ServiceProfile { engine, origin: None });
        dispatcher.set_configuration(&snapshot);
        for engine in 0..engines {
            let endpoint = ListedEndpoint {
                service: service(),
                address: format!("10.0.{}.{}:8000", engine / 250, engine % 250),
                zone: zone(engine),
                slots: SLOTS,
                state: EndpointState::Ready,
                models: BTreeMap::from([(MODEL_NAME.to_owned(), 1)]),
                started_at_ms: 1,
                seq_no: None,
            };
            let position = LogPosition::default().next();
            let record =
                DirectoryRecord { id: engine_id(engine), position, endpoint: Some(endpoint) };
            dispatcher.directory_mut().apply(MonoTime::ZERO, record);
        }
        dispatcher.sync_directory(MonoTime::ZERO);
        Self {
            policy,
            dispatcher,
            engines,
            own_loads: BTreeMap::new(),
            peer_loads: BTreeMap::new(),
            closed_engines: BTreeSet::new(),
            next_engine: index,
            waiting: Vec::new(),
        }
    }

    /// Queues a request that arrived or that an engine in `excluded` rejected.
    pub(super) fn submit(
        &mut self,
        now: MonoTime,
        number: usize,
        request: &SimRequest,
        excluded: &BTreeSet<usize>,
    ) {
        if self.policy != PlacementPolicy::Product {
            self.waiting.push(number);
            return;
        }
        let profile = RequestProfile {
            service: service(),
            kind: RouteKind::Stream { resumable: true },
            model: Some(MODEL_NAME.to_owned()),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: Some(request.answer_tokens_hint),
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

    /// Decides on the waiting requests; requests without a decision go on waiting.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: MonoTime,
        random: &mut StdRng,
    ) -> Vec<EntryDecision> {
        if self.policy == PlacementPolicy::Product {
            let decisions = self.dispatcher.dispatch_waiting(now, random.random());
            return decisions.into_iter().map(entry_decision).collect();
        }
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|request| self.choose_engine(request, random)).collect()
    }

    fn choose_engine(&mut self, request: usize, random: &mut StdRng) -> EntryDecision {
        let open_engines: Vec<usize> =
            (0..self.engines).filter(|engine| !self.closed_engines.contains(engine)).collect();
        if open_engines.is_empty() {
            return EntryDecision::Refuse { request, retry_after: Duration::from_secs(1) };
        }
        let engine = match self.policy {
            PlacementPolicy::InTurn => {
                self.next_engine += 1;
                open_engines[self.next_engine % open_engines.len()]
            }
            PlacementPolicy::Random => open_engines[random.random_range(0..open_engines.len())],
            PlacementPolicy::LeastLoad | PlacementPolicy::Product => {
                let load = |engine: usize| self.known_load(engine);
                let lowest =
                    open_engines.iter().map(|engine| load(*engine)).min().unwrap_or_default();
                let least_loaded: Vec<usize> =
                    open_engines.iter().copied().filter(|engine| load(*engine) == lowest).collect();
                least_loaded[random.random_range(0..least_loaded.len())]
            }
        };
        self.own_loads.entry(engine).or_default().running += 1;
        EntryDecision::Send { request, engine, expected: Duration::from_millis(100) }
    }

    fn known_load(&self, engine: usize) -> u32 {
        let hash = engine_hash(engine);
        let peer_loads = self.peer_loads.values().filter_map(|loads| loads.get(&hash));
        let own = self.own_loads.get(&engine).map_or(0, |load| load.running);
        own + peer_loads.map(|load| load.running).sum::<u32>()
    }

    /// Records the time to the first event of a request.
    pub(super) fn answered(
        &mut self,
        engine: usize,
        prompt_tokens: u32,
        expected: Duration,
        measured: Duration,
    ) {
        self.dispatcher.record_first_event(&engine_id(engine), prompt_tokens, expected, measured);
    }

    /// Records the end of an attempt at an engine.
    pub(super) fn finish(
        &mut self,
        now: MonoTime,
        engine: usize,
        unread_tokens: u32,
        outcome: AttemptOutcome,
    ) {
        if let Some(load) = self.own_loads.get_mut(&engine) {
            load.running = load.running.saturating_sub(1);
        }
        self.dispatcher.record_end(now, &engine_id(engine), unread_tokens, outcome);
    }

    /// Load of this entry for a report to the other entries.
    pub(super) fn take_own_loads(&mut self, scope: LoadScope) -> BTreeMap<EndpointHash, PeerLoad> {
        match self.policy {
            PlacementPolicy::Product => {
                self.dispatcher.take_own_loads(PeerAudience::OwnRegion, scope)
            }
            _ => {
                self.own_loads.iter().map(|(engine, load)| (engine_hash(*engine), *load)).collect()
            }
        }
    }

    /// Applies a load report of another entry.
    pub(super) fn apply_peer_load(
        &mut self,
        now: MonoTime,
        peer: &PeerAddress,
        scope: LoadScope,
        loads: &BTreeMap<EndpointHash, PeerLoad>,
    ) {
        match self.policy {
            PlacementPolicy::Product => {
                let whole_interval = PeerAudience::OwnRegion.whole_load_interval(1);
                let lifetime = load_lifetime(whole_interval);
                let (loads, zone) = (loads.clone(), Some(self.dispatcher.zone().clone()));
                let report = LoadReport { scope, loads, lifetime, zone };
                self.dispatcher.apply_peer_load(now, peer, &report);
            }
            _ => {
                self.peer_loads.insert(peer.clone(), loads.clone());
            }
        }
    }

    /// Applies a sidecar's status report on its engine.
    pub(super) fn apply_status(
        &mut self,
        now: MonoTime,
        engine: usize,
        accepting: bool,
        closing_at: Option<MonoTime>,
    ) {
        if accepting {
            self.closed_engines.remove(&engine);
        } else {
            self.closed_engines.insert(engine);
        }
        let models = BTreeMap::from([(MODEL_NAME.to_owned(), 1)]);
        let expires_at = now + message_lifetime(status_interval(1));
        let status = EndpointStatus { expires_at, models, accepting, closing_at };
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
    ServiceName::try_from("copywriter").expect("constant name is valid")
}
