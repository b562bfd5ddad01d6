//! Chooses the endpoint of a request.
//!
//! Load pattern: several entries place streams with prompts of unequal length on batching engines,
//! near or beyond the engines' capacity. Each entry learns the load of the others with a delay, and
//! entries that choose the best of all endpoints from the same reports choose the same one. A request
//! is placed on the endpoint with the earliest expected first token among a random sample, which is
//! the smaller the older the reports are. A full engine gets no more requests: they wait at the
//! entry, which can still choose another endpoint or refuse.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use crate::endpoint::EndpointId;
use crate::health::HealthRecord;
use crate::load::PeerLoad;
use crate::pacing::PeerAudience;
use crate::rendezvous::rendezvous;
use crate::request::RequestProfile;
use crate::timing::{EngineTiming, plain_answer_time};

/// Requests placed on an engine in addition to its slots: their prompts are prefilled while the
/// next slot becomes free.
const EXTRA_ENGINE_REQUESTS: u32 = 1;
/// Maximum number of requests per slot of a plain service, running or waiting at the endpoint.
const MAX_PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Time added to the score of an endpoint whose slots are all taken, so that load is balanced;
/// with fewer slots taken, a proportional part is added.
const FULL_UTILIZATION_PENALTY: Duration = Duration::from_millis(60);
/// Time added to the score of an endpoint in another region, whose link is shared and paid for.
const OTHER_REGION_PENALTY: Duration = Duration::from_millis(25);
/// Time added to the score of an endpoint in another availability zone of the same region.
const OTHER_ZONE_PENALTY: Duration = Duration::from_millis(6);
/// Multiple of the expected time to the first token within which a request is certain to start.
const START_TIME_RESERVE: f64 = 2.5;
/// Multiple of the time that a connection takes to open within which bytes are certain to arrive.
const TRANSIT_TIME_RESERVE: f64 = 2.5;
/// Smallest number of endpoints of a region, or of all other regions, that are compared.
const MIN_COMPARED: usize = 2;
/// Maximum random time added to a score, so that entries with equal information choose differently.
const MAX_JITTER: Duration = Duration::from_millis(8);

/// Distance between an endpoint and this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// An endpoint that serves the requested service and model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'c> {
    pub(crate) id: &'c EndpointId,
    pub(crate) slots: u32,
    pub(crate) load: PeerLoad,
    /// Whether `load` holds the requests of all entries; `false` until they have told theirs.
    pub(crate) is_load_known: bool,
    pub(crate) health: &'c HealthRecord,
    pub(crate) distance: Distance,
    pub(crate) timing: Option<EngineTiming>,
    /// Requests that it accepts before it has answered one after a pause; `None` if any number.
    pub(crate) free_trials: Option<u32>,
    pub(crate) closing_at: Option<MonoTime>,
    /// Time until which requests may start, after which a newer version is in force.
    pub(crate) start_deadline: Option<MonoTime>,
}

common_derives! { value:
    /// A request and the conditions of its placement.
    pub(crate) struct PlacementQuery<'q> {
        pub(crate) profile: &'q RequestProfile,
        /// Endpoints that the request was already sent to.
        pub(crate) excluded: &'q BTreeSet<EndpointId>,
        pub(crate) now: MonoTime,
        /// Random number for the random part of scores.
        pub(crate) random: u64,
    }

    /// Result of placing a request.
    pub(crate) enum PlacementChoice {
        /// The request is sent to this endpoint.
        Place {
            id: EndpointId,
            /// Expected time to the first token, or to the answer of a plain service.
            expected: Duration,
            /// Time within which the request is certain to start, if the endpoint works and is
            /// reached.
            certain_start: Duration,
        },
        /// All endpoints that serve the request are full.
        Full,
        /// No endpoint serves the request, except those that it was already sent to.
        NoEndpoint,
    }
}

impl Candidate<'_> {
    fn has_capacity(&self) -> bool {
        self.load.running < self.request_limit() && self.free_trials != Some(0)
    }

    /// Number of requests from which on the endpoint gets no more.
    fn request_limit(&self) -> u32 {
        match self.timing {
            Some(timing) => timing.slots().max(1).saturating_add(EXTRA_ENGINE_REQUESTS),
            None => self.slots.max(1).saturating_mul(MAX_PLAIN_REQUESTS_PER_SLOT),
        }
    }

    /// Whether the request is certain enough to start before a newer version is in force. A request
    /// that is withdrawn at that time may run all the same: not every endpoint notices at once.
    fn starts_in_time(&self, query: &PlacementQuery<'_>) -> bool {
        let Some(start_deadline) = self.start_deadline else { return true };
        query.now + self.certain_start(query.profile) <= start_deadline
    }

    /// Time from its placement within which a request is certain to start. The queue of an endpoint
    /// whose load isn't known may be full.
    fn certain_start(&self, profile: &RequestProfile) -> Duration {
        let certain = certain_start_time(self.expected_time(profile), self.health);
        if self.is_load_known {
            return certain;
        }
        let behind_full_queue = self.time_at_load(self.full_load(), profile);
        certain.max(behind_full_queue.mul_f64(self.health.slowdown()))
    }

    /// The load of an endpoint that gets no more requests and has read no prompt yet.
    fn full_load(&self) -> PeerLoad {
        let running = self.request_limit();
        let unread_tokens = self.timing.map_or(0, |timing| timing.unread_tokens(running));
        PeerLoad { running, unread_tokens }
    }

    fn expected_time(&self, profile: &RequestProfile) -> Duration {
        self.time_at_load(self.load, profile)
    }

    /// Expected time to the first token, or to the answer of a plain service, behind `load`.
    fn time_at_load(&self, load: PeerLoad, profile: &RequestProfile) -> Duration {
        match self.timing {
            Some(timing) => timing.first_token_time(load, profile.prompt_tokens),
            None => plain_answer_time(load, self.slots, self.health.mean_answer_time()),
        }
    }

    fn score(&self, query: &PlacementQuery<'_>, expected: Duration) -> Duration {
        let slowdown = if self.timing.is_some() { self.health.slowdown() } else { 1.0 };
        let distance_penalty = match self.distance {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => OTHER_ZONE_PENALTY,
            Distance::OtherRegion => OTHER_REGION_PENALTY,
        };
        let utilization = f64::from(self.load.running) / f64::from(self.slots.max(1));
        expected.mul_f64(slowdown)
            + distance_penalty
            + FULL_UTILIZATION_PENALTY.mul_f64(utilization)
            + self.health.failure_penalty(query.now)
            + self.weight_load_delay(query, expected)
            + MAX_JITTER.mul_f64(hash_fraction(query.random, self.id))
    }

    /// Time by which the request would delay a planned weight load: the endpoint accepts no work
    /// from `closing_at` on, but starts the load only after its last request has ended.
    fn weight_load_delay(&self, query: &PlacementQuery<'_>, expected: Duration) -> Duration {
        let (Some(timing), Some(closing_at)) = (self.timing, self.closing_at) else {
            return Duration::ZERO;
        };
        let answer = timing.answer_time(self.load.running, query.profile.answer_tokens);
        (query.now + expected + answer) - closing_at
    }
}

/// How many endpoints are compared for one request.
///
/// Entries with the same information choose the same endpoint, and learn only from the next load
/// reports that others did so too. So many endpoints are compared that, at full load, about one
/// request that this entry doesn't know of is placed on the best of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ComparisonLimits {
    own_region: usize,
    other_regions: usize,
}

impl ComparisonLimits {
    /// `slot_interval` is the time between two requests that a full engine starts, and
    /// `load_interval` the one between two load reports of an entry.
    pub(crate) fn new(
        slot_interval: Duration,
        load_interval: impl Fn(PeerAudience) -> Duration,
    ) -> Self {
        let limit = |audience| {
            // Reports are half an interval old on average.
            let mean_age = load_interval(audience).as_secs_f64() / 2.0;
            ((slot_interval.as_secs_f64() / mean_age) as usize).max(MIN_COMPARED)
        };
        Self {
            own_region: limit(PeerAudience::OwnRegion),
            other_regions: limit(PeerAudience::OtherRegions),
        }
    }
}

/// The endpoints that serve a request.
#[derive(Clone, Debug)]
pub(crate) struct CandidatePool<'c> {
    candidates: Vec<Candidate<'c>>,
    /// `None` if all endpoints are compared.
    limits: Option<ComparisonLimits>,
    reopens_at: Option<MonoTime>,
}

impl<'c> CandidatePool<'c> {
    pub(crate) fn new(
        candidates: Vec<Candidate<'c>>,
        limits: Option<ComparisonLimits>,
        reopens_at: Option<MonoTime>,
    ) -> Self {
        Self { candidates, limits, reopens_at }
    }

    /// Earliest end of a pause of an endpoint that serves the request; `None` if none is paused.
    pub(crate) fn reopens_at(&self) -> Option<MonoTime> {
        self.reopens_at
    }

    /// Number of endpoints, also of those without a free slot.
    pub(crate) fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Counts a request that was placed on an endpoint after the pool was created.
    pub(crate) fn count_placement(&mut self, id: &EndpointId, prompt_tokens: u32) {
        for candidate in self.candidates.iter_mut().filter(|candidate| candidate.id == id) {
            candidate.load = candidate.load.with_request(prompt_tokens);
            candidate.free_trials = candidate.free_trials.map(|free| free.saturating_sub(1));
        }
    }

    /// Chooses the endpoint with the lowest score among a random sample of those that have a free
    /// slot.
    ///
    /// Endpoints that the request was already sent to are skipped. A suspended endpoint is chosen
    /// only if no other one has a free slot, so that a service whose endpoints are all suspended
    /// still gets requests.
    pub(crate) fn choose(&self, query: &PlacementQuery<'_>) -> PlacementChoice {
        let mut untried = self
            .candidates
            .iter()
            .filter(|candidate| !query.excluded.contains(candidate.id))
            .peekable();
        if untried.peek().is_none() {
            return PlacementChoice::NoEndpoint;
        }
        let (suspended, open): (Vec<&Candidate<'c>>, Vec<_>) = untried
            .filter(|candidate| candidate.has_capacity() && candidate.starts_in_time(query))
            .partition(|candidate| candidate.health.is_suspended(query.now));
        let eligible = if open.is_empty() { suspended } else { open };
        let (own_region, other_regions): (Vec<&Candidate<'_>>, Vec<_>) =
            eligible.into_iter().partition(|candidate| candidate.distance != Distance::OtherRegion);
        let compared = match self.limits {
            Some(limits) => sample(own_region, limits.own_region, query.random)
                .chain(sample(other_regions, limits.other_regions, query.random))
                .collect(),
            None => [own_region, other_regions].concat(),
        };
        let scored = compared.iter().map(|candidate| {
            let expected = candidate.expected_time(query.profile);
            let certain_start = candidate.certain_start(query.profile);
            (candidate.score(query, expected), candidate.id, expected, certain_start)
        });
        match scored.min() {
            Some((_, id, expected, certain_start)) => {
                PlacementChoice::Place { id: id.clone(), expected, certain_start }
            }
            None => PlacementChoice::Full,
        }
    }
}

/// Time from its placement within which a request is certain to start, if the endpoint works and is
/// reached; `expected` is the expected time to the first token.
pub(crate) fn certain_start_time(expected: Duration, health: &HealthRecord) -> Duration {
    expected.mul_f64(health.slowdown() * START_TIME_RESERVE)
}

/// Time within which bytes are certain to arrive over a connection that took `connect_time` to open, if
/// no link is down.
pub(crate) fn certain_transit_time(connect_time: Duration) -> Duration {
    connect_time.mul_f64(TRANSIT_TIME_RESERVE)
}

/// A random sample of at most `limit` candidates.
fn sample<'p, 'c>(
    mut candidates: Vec<&'p Candidate<'c>>,
    limit: usize,
    random: u64,
) -> impl Iterator<Item = &'p Candidate<'c>> {
    if candidates.len() > limit {
        let hash = |candidate: &&Candidate<'_>| rendezvous(candidate.id.as_str(), random);
        candidates.sort_by_cached_key(hash);
    }
    candidates.into_iter().take(limit)
}

/// Hashes both arguments to a number from 0 to 1.
fn hash_fraction(random: u64, id: &EndpointId) -> f64 {
    let mut hash = random ^ 0x9e37_79b9_7f4a_7c15;
    for byte in id.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
