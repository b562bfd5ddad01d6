//! The table of endpoints from which an entry chooses.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{AdapterName, ContentDigest, InstanceName, MonoTime, ServiceName};

use super::endpoint::{EndpointLoad, EndpointObservation, EndpointRecord};
use super::options::{RoutingOptions, RoutingPolicy, ScoreRates};
use super::prefixes::{PrefixHints, PromptPrefix};
use crate::admission::SlotClass;
use crate::configuration::ConfigurationState;
use crate::membership::{MemberState, MembershipView};

/// Assumed slots of an endpoint that is added before the entry knows the definition of its service;
/// the first report replaces the number.
const UNKNOWN_SLOTS: u32 = 1;

/// Scores that exceed the lowest by this much or less count as equal, so that entries with the same
/// reports don't all choose the same endpoint.
const SCORE_TOLERANCE_US: u64 = 2_000;

/// Age of the load in the answer to an attempt; about the latency of a link.
const ANSWER_LAG: Duration = Duration::from_millis(5);

/// For a prompt with prefixes, the lowest score divided by this number is added to the tolerance.
/// Endpoints with scores within the tolerance must all process most of the prompt, and caching a
/// shared prefix at few endpoints saves later requests more than the latency of a link.
const PREFIX_TOLERANCE_DIVISOR: u64 = 16;

/// Added to the score of a full endpoint: the displaced request's prompt is processed again
/// elsewhere, and the running requests may turn out not to be displaceable.
const DISPLACEMENT_COST_US: u64 = 30_000;

/// At most one in this many live endpoints of a service is ejected at the same time.
const MAX_EJECTED_DIVISOR: usize = 3;

/// What a request needs from an endpoint.
#[derive(Clone, Debug)]
pub struct RoutingQuery {
    /// Service whose endpoints are eligible.
    pub service: ServiceName,
    /// Manifest digest of the version that must answer; `None` accepts any version.
    pub version: Option<ContentDigest>,
    /// Adapter that the request uses; `None` for the base model.
    pub adapter: Option<AdapterName>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Prefixes of the prompt, shortest first; empty for a prompt shorter than the first length.
    pub prefixes: Vec<PromptPrefix>,
    /// Breaks ties between equal scores; derived from the request's id.
    pub seed: u64,
    /// Slot class of the request.
    pub class: SlotClass,
    /// Whether a full endpoint is eligible, because running requests there can be displaced.
    pub may_displace: bool,
    /// Whether the request must leave an endpoint's headroom slots to contracted requests.
    pub reserves_headroom: bool,
    /// Endpoints that are not eligible because earlier attempts failed or were refused there.
    pub excluded: BTreeSet<InstanceName>,
}

/// An endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingChoice {
    /// Instance of the endpoint.
    pub instance: InstanceName,
    /// IP address and port of its sidecar.
    pub address: String,
    /// Expected time to the first token, in microseconds, including an adapter load and a
    /// displacement; under [`RoutingPolicy::LeastLoad`] a score that is not a time.
    pub expected_us: u64,
}

/// Identifies a request that was sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchId {
    /// Endpoint that received the request.
    pub instance: InstanceName,
    /// Counts the dispatches of this entry, from 1.
    number: u64,
}

/// Result of choosing an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// The request goes to this endpoint.
    Endpoint(RoutingChoice),
    /// All eligible endpoints are full.
    Full,
    /// No endpoint is eligible.
    NoEndpoint,
}

/// Endpoints with their load and the requests that this entry sent to them.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    options: RoutingOptions,
    indexes: BTreeMap<InstanceName, usize>,
    by_service: BTreeMap<ServiceName, Vec<usize>>,
    endpoints: Vec<EndpointRecord>,
    hints: PrefixHints,
    round_robin_index: usize,
    dispatches: u64,
}

struct Candidate {
    index: usize,
    full: bool,
    score: u64,
}

impl EndpointTable {
    /// An empty table; [`Self::sync`] adds the endpoints.
    pub fn new(options: RoutingOptions) -> Self {
        Self {
            options,
            indexes: BTreeMap::new(),
            by_service: BTreeMap::new(),
            endpoints: Vec::new(),
            hints: PrefixHints::default(),
            round_robin_index: 0,
            dispatches: 0,
        }
    }

    /// Updates the table from the membership; only live endpoints get requests.
    pub fn sync(
        &mut self,
        view: &MembershipView,
        configuration: Option<&ConfigurationState>,
        now: MonoTime,
    ) {
        // No slow start for the first view: these endpoints ran before this entry started.
        let slow_start_from = (!self.endpoints.is_empty()).then_some(now);
        let mut live = vec![false; self.endpoints.len()];
        for (instance, side) in &view.sides {
            let definition = configuration.and_then(|state| state.services.get(&side.service));
            let slots = definition.map_or(UNKNOWN_SLOTS, |service| service.slots_per_endpoint);
            let index = self.indexes.get(instance).copied().unwrap_or_else(|| {
                let place = (side.zone.clone(), side.region.clone());
                let service = side.service.clone();
                self.endpoints.push(EndpointRecord::new(
                    instance.clone(),
                    service,
                    place,
                    slots,
                    slow_start_from,
                ));
                live.push(false);
                self.indexes.insert(instance.clone(), self.endpoints.len() - 1);
                self.endpoints.len() - 1
            });
            live[index] = side.state == MemberState::Live;
            let latency_us = self.latency_us(index);
            let endpoint = &mut self.endpoints[index];
            endpoint.address.clone_from(&side.address);
            endpoint.latency_us = latency_us;
            if live[index] && !endpoint.live && slow_start_from.is_some() {
                endpoint.slow_start_from = slow_start_from;
            }
        }
        for (endpoint, live) in self.endpoints.iter_mut().zip(live) {
            endpoint.live = live;
        }
        self.rebuild_services();
        self.hints.expire(self.options.hint_age, now);
    }

    /// Applies a status report; reports about unknown endpoints are ignored.
    pub fn apply_report(&mut self, observation: EndpointObservation, now: MonoTime) {
        let Some(index) = self.indexes.get(&observation.instance).copied() else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.version = observation.version;
        endpoint.apply_report(observation.load, self.options.report_lag, now);
        for hash in observation.prefixes {
            self.hints.record(hash, index as u32, now);
        }
    }

    /// Chooses an endpoint; the caller calls [`Self::begin_dispatch`] when it sends the request.
    pub fn choose(&mut self, query: &RoutingQuery, now: MonoTime) -> RoutingDecision {
        let candidates = self.candidates(query, now);
        if candidates.is_empty() {
            return RoutingDecision::NoEndpoint;
        }
        let usable = candidates.iter().filter(|candidate| {
            let accepts_class = || !self.endpoints[candidate.index].is_busy_for(query.class);
            !candidate.full || query.may_displace && accepts_class()
        });
        let usable: Vec<&Candidate> = usable.collect();
        let Some(chosen) = self.pick(&usable, query) else {
            return RoutingDecision::Full;
        };
        let (index, score) = (chosen.index, chosen.score);
        let endpoint = &self.endpoints[index];
        RoutingDecision::Endpoint(RoutingChoice {
            instance: endpoint.instance.clone(),
            address: endpoint.address.clone(),
            expected_us: score,
        })
    }

    /// Records that a request was sent; its id is passed to the methods that record its end.
    pub fn begin_dispatch(
        &mut self,
        instance: &InstanceName,
        query: &RoutingQuery,
        now: MonoTime,
    ) -> DispatchId {
        self.dispatches += 1;
        let id = DispatchId { instance: instance.clone(), number: self.dispatches };
        let Some(index) = self.indexes.get(instance).copied() else {
            return id;
        };
        let cached = self.hints.cached_at(&query.prefixes, index as u32);
        let prompt_tokens = query.prompt_tokens.saturating_sub(cached);
        self.endpoints[index].record_sent(id.number, prompt_tokens, query.class, now);
        for prefix in &query.prefixes {
            self.hints.record(prefix.hash, index as u32, now);
        }
        id
    }

    /// Applies the load that an endpoint included in its answer to an attempt.
    pub fn observe_load(&mut self, instance: &InstanceName, load: EndpointLoad, now: MonoTime) {
        if let Some(endpoint) = self.endpoint_mut(instance) {
            endpoint.apply_report(load, ANSWER_LAG, now);
        }
    }

    /// Records the first token of a request and the version that produced it.
    pub fn record_first_token(&mut self, id: &DispatchId, version: ContentDigest) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.record_prefilled(id.number);
            endpoint.version = Some(version);
        }
    }

    /// Records that a request ended with a complete answer, which ends the endpoint's series of
    /// failures.
    pub fn record_success(&mut self, id: &DispatchId, adapter: Option<&AdapterName>) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.record_ended(id.number);
            endpoint.ejection.record_success();
            endpoint.adapters.extend(adapter.cloned());
        }
    }

    /// Records that a request ended early for a reason that doesn't concern the endpoint's health.
    pub fn end_dispatch(&mut self, id: &DispatchId) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.record_ended(id.number);
        }
    }

    /// Records that the endpoint refused a request because it had no free slot.
    pub fn record_busy(&mut self, id: &DispatchId, class: SlotClass) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.record_ended(id.number);
            endpoint.record_busy(class);
        }
    }

    /// Records that the endpoint refused a request because it is leaving.
    pub fn record_leaving(&mut self, id: &DispatchId) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.record_ended(id.number);
            endpoint.live = false;
        }
    }

    /// Records that the endpoint failed. Consecutive failures eject the endpoint unless a third of
    /// the service's live endpoints is ejected already.
    pub fn record_failure(&mut self, id: &DispatchId, now: MonoTime) {
        let Some(index) = self.indexes.get(&id.instance).copied() else {
            return;
        };
        self.endpoints[index].record_ended(id.number);
        self.hints.remove_endpoint(index as u32);
        if self.endpoints[index].ejection.is_ejected(now) {
            return;
        }
        let may_eject = self.may_eject_another(index, now);
        let endpoint = &mut self.endpoints[index];
        endpoint.adapters.clear();
        if endpoint.ejection.record_failure(&self.options, now) && may_eject {
            endpoint.ejection.eject(&self.options, now);
        }
    }

    /// Endpoints of a service that are ejected at `now`.
    pub fn ejected(&self, service: &ServiceName, now: MonoTime) -> Vec<&InstanceName> {
        let indexes = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let endpoints = indexes.iter().map(|index| &self.endpoints[*index]);
        let ejected = endpoints.filter(|endpoint| endpoint.ejection.is_ejected(now));
        ejected.map(|endpoint| &endpoint.instance).collect()
    }

    fn endpoint_mut(&mut self, instance: &InstanceName) -> Option<&mut EndpointRecord> {
        let index = self.indexes.get(instance).copied()?;
        Some(&mut self.endpoints[index])
    }

    fn may_eject_another(&self, index: usize, now: MonoTime) -> bool {
        let service = &self.endpoints[index].service;
        let indexes = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let live = indexes.iter().filter(|index| self.endpoints[**index].live).count();
        (self.ejected(service, now).len() + 1) * MAX_EJECTED_DIVISOR <= live
    }

    fn latency_us(&self, index: usize) -> u64 {
        let endpoint = &self.endpoints[index];
        let latency = if endpoint.zone == self.options.zone {
            return 0;
        } else if endpoint.region == self.options.region {
            self.options.zone_latency
        } else {
            self.options.region_latency
        };
        latency.as_micros() as u64
    }

    fn rebuild_services(&mut self) {
        self.by_service.clear();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            self.by_service.entry(endpoint.service.clone()).or_default().push(index);
        }
        for indexes in self.by_service.values() {
            let subset = preferred_subset(&self.options, &self.endpoints, indexes);
            for index in indexes {
                self.endpoints[*index].in_subset = subset.contains(index);
            }
        }
    }

    /// Eligible endpoints: of the preferred subset if one of these has a free slot, else all.
    /// Endpoints that failed recently are returned only if no other endpoint is eligible.
    fn candidates(&self, query: &RoutingQuery, now: MonoTime) -> Vec<Candidate> {
        let indexes = self.by_service.get(&query.service).map_or(&[][..], Vec::as_slice);
        let excluded = query.excluded.iter().filter_map(|instance| self.indexes.get(instance));
        let excluded: Vec<usize> = excluded.copied().collect();
        let cached = self.hints.cached_tokens(&query.prefixes, self.endpoints.len());
        let eligible = indexes.iter().copied().filter(|index| {
            let endpoint = &self.endpoints[*index];
            endpoint.live
                && !excluded.contains(index)
                && !endpoint.ejection.is_ejected(now)
                && endpoint.can_serve(query.version)
        });
        let rates = self.options.rates();
        let (mut others, mut deprioritized) = (Vec::new(), Vec::new());
        let mut subset = Vec::with_capacity(indexes.len());
        for index in eligible {
            let endpoint = &self.endpoints[index];
            let slots = endpoint.usable_slots(&self.options, now);
            let full = endpoint.is_full(query, slots);
            let displacement_us = if full { DISPLACEMENT_COST_US } else { 0 };
            let score = self.score(endpoint, query, cached[index], slots, &rates) + displacement_us;
            let target = match endpoint.ejection.is_deprioritized(now) {
                true => &mut deprioritized,
                false if endpoint.in_subset => &mut subset,
                false => &mut others,
            };
            target.push(Candidate { index, full, score });
        }
        if subset.is_empty() && others.is_empty() {
            return deprioritized;
        }
        if subset.iter().all(|candidate| candidate.full) {
            subset.append(&mut others);
        }
        subset
    }

    fn score(
        &self,
        endpoint: &EndpointRecord,
        query: &RoutingQuery,
        cached_tokens: u64,
        slots: u32,
        rates: &ScoreRates,
    ) -> u64 {
        if self.options.policy == RoutingPolicy::LeastLoad {
            return u64::from(endpoint.occupied()) * SCORE_TOLERANCE_US * 2;
        }
        let expected = endpoint.expected_us(query, cached_tokens, slots, rates);
        let must_load =
            query.adapter.as_ref().is_some_and(|name| !endpoint.adapters.contains(name));
        let adapter_us = if must_load { self.options.adapter_load.as_micros() as u64 } else { 0 };
        expected + adapter_us
    }

    /// Key that decides between endpoints with equal scores. With the shortest prefix as the key,
    /// all entries send a shared prefix to the same few engines; requests without a prefix are
    /// distributed by their ids.
    fn tie_break_key(&self, query: &RoutingQuery) -> u64 {
        match (self.options.policy, query.prefixes.first()) {
            (RoutingPolicy::Expected, Some(prefix)) => prefix.hash,
            _ => query.seed,
        }
    }

    fn pick<'a>(
        &mut self,
        usable: &[&'a Candidate],
        query: &RoutingQuery,
    ) -> Option<&'a Candidate> {
        match self.options.policy {
            RoutingPolicy::Expected | RoutingPolicy::LeastLoad => {
                let best = usable.iter().map(|candidate| candidate.score).min()?;
                let prefix_tolerance =
                    if query.prefixes.is_empty() { 0 } else { best / PREFIX_TOLERANCE_DIVISOR };
                let limit = best + SCORE_TOLERANCE_US + prefix_tolerance;
                let equal = usable.iter().filter(|candidate| candidate.score <= limit);
                let key = self.tie_break_key(query);
                equal
                    .copied()
                    .max_by_key(|candidate| mix(key, self.endpoints[candidate.index].name_hash))
            }
            RoutingPolicy::Random => {
                let hash = |candidate: &&Candidate| {
                    mix(query.seed, self.endpoints[candidate.index].name_hash)
                };
                usable.iter().copied().max_by_key(hash)
            }
            RoutingPolicy::RoundRobin => {
                self.round_robin_index += 1;
                usable.get(self.round_robin_index % usable.len().max(1)).copied()
            }
        }
    }
}

/// Returns the live endpoints of a service that this entry prefers, by rendezvous hashing.
fn preferred_subset(
    options: &RoutingOptions,
    endpoints: &[EndpointRecord],
    indexes: &[usize],
) -> BTreeSet<usize> {
    let live = indexes.iter().copied().filter(|index| endpoints[*index].live);
    let mut scored: Vec<(u64, usize)> = live
        .map(|index| {
            let names = [options.instance.as_str(), endpoints[index].instance.as_str()];
            let digest = ContentDigest::of_parts(&names.map(str::as_bytes));
            (digest.leading_u64(), index)
        })
        .collect();
    scored.sort_unstable_by(|first, second| second.cmp(first));
    scored.into_iter().take(options.subset_size).map(|(_, index)| index).collect()
}

/// Hashes two numbers with the finalizer of splitmix64; fast enough to run for each endpoint of a
/// decision.
fn mix(seed: u64, index: u64) -> u64 {
    let mut value = seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
