//! The endpoints that an entry chooses among.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{AdapterName, ContentDigest, InstanceName, MonoTime, ServiceName};

use super::endpoint::{EndpointLoad, EndpointObservation, EndpointRecord};
use super::options::{RoutingOptions, RoutingPolicy, ScoreRates};
use super::prefixes::{PrefixHints, PromptPrefix};
use crate::admission::SlotClass;
use crate::configuration::ConfigurationState;
use crate::membership::{MemberState, MembershipView};

/// Slots of an endpoint before its service's definition is known.
const UNKNOWN_SLOTS: u32 = 1;

/// Scores within this distance of the best count as equal, so that several entries with the same
/// reports don't all choose the same endpoint.
const EQUAL_US: u64 = 2_000;

/// Age of the load in the answer to an attempt: the latency of a link.
const ANSWER_LAG: Duration = Duration::from_millis(5);

/// For a prompt with prefixes, scores count as equal as well when they differ by less than this part
/// of the best: these endpoints must all process most of the prompt, and where it is cached first
/// matters more for later requests than the latency of a link.
const EQUAL_PART: u64 = 16;

/// Cost of a displacement: the displaced request's prompt is processed again elsewhere, and the
/// work there may turn out not to be displaceable.
const DISPLACEMENT_US: u64 = 30_000;

/// At most one in this many endpoints of a service is ejected at once.
const EJECTED_PART: usize = 3;

/// What a request needs from an endpoint.
#[derive(Clone, Debug)]
pub struct RoutingQuery {
    /// The service.
    pub service: ServiceName,
    /// The version that must answer.
    pub version: Option<ContentDigest>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Its prefixes, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Number that spreads equal choices, taken from the request's id.
    pub seed: u64,
    /// Class of the request.
    pub class: SlotClass,
    /// Whether an endpoint without a free slot will do, because work there can be displaced.
    pub may_displace: bool,
    /// Whether the request leaves the headroom of an endpoint to contracted work.
    pub headroom: bool,
    /// Endpoints that failed or refused the request before.
    pub excluded: BTreeSet<InstanceName>,
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingChoice {
    /// Its instance.
    pub instance: InstanceName,
    /// IP address and port of its sidecar.
    pub address: String,
    /// Expected time to the first token, in microseconds.
    pub expected_us: u64,
}

/// A request that was sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchId {
    /// The endpoint.
    pub instance: InstanceName,
    number: u64,
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// This endpoint.
    Endpoint(RoutingChoice),
    /// Endpoints fit, but none has a free slot.
    Full,
    /// No endpoint fits.
    NoEndpoint,
}

/// Endpoints, their load and the requests sent to them.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    options: RoutingOptions,
    indexes: BTreeMap<InstanceName, usize>,
    by_service: BTreeMap<ServiceName, Vec<usize>>,
    endpoints: Vec<EndpointRecord>,
    hints: PrefixHints,
    turn: usize,
    dispatches: u64,
}

struct Candidate {
    index: usize,
    full: bool,
    score: u64,
}

impl EndpointTable {
    /// An empty table.
    pub fn new(options: RoutingOptions) -> Self {
        Self {
            options,
            indexes: BTreeMap::new(),
            by_service: BTreeMap::new(),
            endpoints: Vec::new(),
            hints: PrefixHints::default(),
            turn: 0,
            dispatches: 0,
        }
    }

    /// Takes over the membership; endpoints that left or fell silent get nothing.
    pub fn sync(
        &mut self,
        view: &MembershipView,
        configuration: Option<&ConfigurationState>,
        now: MonoTime,
    ) {
        // An entry that starts finds endpoints that have long been running.
        let fresh_since = (!self.endpoints.is_empty()).then_some(now);
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
                    fresh_since,
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
            if live[index] && !endpoint.live && fresh_since.is_some() {
                endpoint.fresh_since = fresh_since;
            }
        }
        for (endpoint, live) in self.endpoints.iter_mut().zip(live) {
            endpoint.live = live;
        }
        self.rebuild_services();
        self.hints.expire(self.options.hint_age, now);
    }

    /// Takes a report.
    pub fn observe(&mut self, observation: EndpointObservation, now: MonoTime) {
        let Some(index) = self.indexes.get(&observation.instance).copied() else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.version = observation.version;
        endpoint.report(observation.load, self.options.report_lag, now);
        for hash in observation.prefixes {
            self.hints.note(hash, index as u32, now);
        }
    }

    /// Chooses an endpoint; the caller notes with [`Self::begin_dispatch`] that it was used.
    pub fn choose(&mut self, query: &RoutingQuery, now: MonoTime) -> RoutingDecision {
        let candidates = self.candidates(query, now);
        if candidates.is_empty() {
            return RoutingDecision::NoEndpoint;
        }
        let usable = candidates.iter().filter(|candidate| {
            let displaces = || !self.endpoints[candidate.index].refused_busy(query.class);
            !candidate.full || query.may_displace && displaces()
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

    /// Notes that a request was sent.
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
        self.endpoints[index].sent(id.number, prompt_tokens, query.class, now);
        for prefix in &query.prefixes {
            self.hints.note(prefix.hash, index as u32, now);
        }
        id
    }

    /// Takes the load that an endpoint named when it answered an attempt.
    pub fn observe_load(&mut self, instance: &InstanceName, load: EndpointLoad, now: MonoTime) {
        if let Some(endpoint) = self.endpoint_mut(instance) {
            endpoint.report(load, ANSWER_LAG, now);
        }
    }

    /// Notes that the first token of a request came, from this version.
    pub fn first_token(&mut self, id: &DispatchId, version: ContentDigest) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.prefilled(id.number);
            endpoint.version = Some(version);
        }
    }

    /// Notes that a request ended with a whole answer.
    pub fn succeeded(&mut self, id: &DispatchId, adapter: Option<&AdapterName>) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.ended(id.number);
            endpoint.ejection.succeed();
            endpoint.adapters.extend(adapter.cloned());
        }
    }

    /// Notes that a request ended early for a reason that says nothing about the endpoint.
    pub fn end_dispatch(&mut self, id: &DispatchId) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.ended(id.number);
        }
    }

    /// Notes that the endpoint refused a request for want of a slot.
    pub fn refused_busy(&mut self, id: &DispatchId, class: SlotClass) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.ended(id.number);
            endpoint.busy(class);
        }
    }

    /// Notes that the endpoint said that it is leaving.
    pub fn leaving(&mut self, id: &DispatchId) {
        if let Some(endpoint) = self.endpoint_mut(&id.instance) {
            endpoint.ended(id.number);
            endpoint.live = false;
        }
    }

    /// Notes that the endpoint failed; it is ejected after several failures in a row, unless a
    /// third of its service is ejected already.
    pub fn failed(&mut self, id: &DispatchId, now: MonoTime) {
        let Some(index) = self.indexes.get(&id.instance).copied() else {
            return;
        };
        self.endpoints[index].ended(id.number);
        self.hints.forget(index as u32);
        if self.endpoints[index].ejection.is_ejected(now) {
            return;
        }
        let may_eject = self.may_eject_one_more(index, now);
        let endpoint = &mut self.endpoints[index];
        endpoint.adapters.clear();
        if endpoint.ejection.fail(&self.options, now) && may_eject {
            endpoint.ejection.eject(&self.options, now);
        }
    }

    /// Endpoints of a service that are ejected now.
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

    fn may_eject_one_more(&self, index: usize, now: MonoTime) -> bool {
        let service = &self.endpoints[index].service;
        let indexes = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let live = indexes.iter().filter(|index| self.endpoints[**index].live).count();
        (self.ejected(service, now).len() + 1) * EJECTED_PART <= live
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
            let subset = subset_of(&self.options, &self.endpoints, indexes);
            for index in indexes {
                self.endpoints[*index].in_subset = subset.contains(index);
            }
        }
    }

    /// The endpoints that fit, of the subset when one of these fits and has a free slot.
    fn candidates(&self, query: &RoutingQuery, now: MonoTime) -> Vec<Candidate> {
        let indexes = self.by_service.get(&query.service).map_or(&[][..], Vec::as_slice);
        let excluded = query.excluded.iter().filter_map(|instance| self.indexes.get(instance));
        let excluded: Vec<usize> = excluded.copied().collect();
        let cached = self.hints.cached_tokens(&query.prefixes, self.endpoints.len());
        let fitting = indexes.iter().copied().filter(|index| {
            let endpoint = &self.endpoints[*index];
            endpoint.live
                && !excluded.contains(index)
                && !endpoint.ejection.is_ejected(now)
                && endpoint.may_have(query.version)
        });
        let rates = self.options.rates();
        let (mut others, mut distrusted) = (Vec::new(), Vec::new());
        let mut subset = Vec::with_capacity(indexes.len());
        for index in fitting {
            let endpoint = &self.endpoints[index];
            let slots = endpoint.usable_slots(&self.options, now);
            let full = endpoint.is_full(query, slots);
            let displaces_us = if full { DISPLACEMENT_US } else { 0 };
            let score = self.score(endpoint, query, cached[index], slots, &rates) + displaces_us;
            let target = match endpoint.ejection.is_distrusted(now) {
                true => &mut distrusted,
                false if endpoint.in_subset => &mut subset,
                false => &mut others,
            };
            target.push(Candidate { index, full, score });
        }
        if subset.is_empty() && others.is_empty() {
            return distrusted;
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
            return u64::from(endpoint.occupied()) * EQUAL_US * 2;
        }
        let expected = endpoint.expected_us(query, cached_tokens, slots, rates);
        let cold = query.adapter.as_ref().is_some_and(|name| !endpoint.adapters.contains(name));
        let adapter_us = if cold { self.options.adapter_load.as_micros() as u64 } else { 0 };
        expected + adapter_us
    }

    /// Equal choices are spread by the beginning of the prompt, alike at all entries, so that a
    /// shared prefix is cached at few engines; requests without a prefix are spread by their ids.
    fn spreading_key(&self, query: &RoutingQuery) -> u64 {
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
                let cold_part = if query.prefixes.is_empty() { 0 } else { best / EQUAL_PART };
                let limit = best + EQUAL_US + cold_part;
                let equal = usable.iter().filter(|it| it.score <= limit);
                let key = self.spreading_key(query);
                equal.copied().max_by_key(|it| mix(key, self.endpoints[it.index].name_hash))
            }
            RoutingPolicy::Random => {
                let hash = |it: &&Candidate| mix(query.seed, self.endpoints[it.index].name_hash);
                usable.iter().copied().max_by_key(hash)
            }
            RoutingPolicy::RoundRobin => {
                self.turn += 1;
                usable.get(self.turn % usable.len().max(1)).copied()
            }
        }
    }
}

/// The endpoints of a service that this entry considers first, by rendezvous hashing.
fn subset_of(
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

/// Mixes two numbers (the finalizer of splitmix64); cheap enough for each endpoint of a decision.
fn mix(seed: u64, index: u64) -> u64 {
    let mut value = seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
