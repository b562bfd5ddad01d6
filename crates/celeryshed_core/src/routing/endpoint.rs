//! Load and state of one endpoint as one entry knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    AdapterName, AvailabilityZone, ContentDigest, InstanceName, MonoTime, RegionName, ServiceName,
    common_derives,
};

use super::ejection::EjectionState;
use super::options::{RoutingOptions, ScoreRates};
use super::table::RoutingQuery;
use crate::admission::{SlotClass, headroom_of};

common_derives! { value:
    /// Load of an endpoint at the time of a report.
    #[derive(Copy, Default)]
    pub struct EndpointLoad {
        /// Maximum number of requests that run concurrently.
        pub slots: u32,
        /// Number of running requests.
        pub running: u32,
        /// Number of requests queued in the engine.
        pub waiting: u32,
        /// Prompt tokens that the engine has accepted but not processed yet.
        pub queued_prompt_tokens: u64,
    }

    /// Status report of an endpoint.
    pub struct EndpointObservation {
        /// Instance that the report is about.
        pub instance: InstanceName,
        /// Manifest digest of the version that the endpoint serves; `None` while none is loaded.
        pub version: Option<ContentDigest>,
        /// Load when the report was made; it reaches the entry with a lag.
        pub load: EndpointLoad,
        /// Hashes of some of the cached prompt prefixes; empty when the report has none.
        pub prefixes: Vec<u64>,
    }
}

/// A request in progress at an endpoint that its last report doesn't include.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sent_at: MonoTime,
    /// Prompt tokens that are not cached and not processed yet.
    prompt_tokens: u64,
    class: SlotClass,
}

/// Prompt tokens that were sent and are not processed yet, by class.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedTokens {
    best_effort: u64,
    contracted: u64,
}

impl QueuedTokens {
    fn for_class(&mut self, class: SlotClass) -> &mut u64 {
        match class {
            SlotClass::BestEffort => &mut self.best_effort,
            SlotClass::Contracted | SlotClass::Booking => &mut self.contracted,
        }
    }
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    pub(super) instance: InstanceName,
    pub(super) address: String,
    pub(super) zone: AvailabilityZone,
    pub(super) region: RegionName,
    pub(super) service: ServiceName,
    pub(super) live: bool,
    /// Whether the endpoint is in this entry's preferred subset.
    pub(super) in_subset: bool,
    /// `None` until a report or an answer names the version.
    pub(super) version: Option<ContentDigest>,
    /// Adapters that the engine has used and therefore has loaded.
    pub(super) adapters: BTreeSet<AdapterName>,
    pub(super) ejection: EjectionState,
    /// One-way network latency from this entry.
    pub(super) latency_us: u64,
    /// Breaks ties between equal scores; the same at all entries.
    pub(super) name_hash: u64,
    /// Start of the slow start; `None` when the endpoint was there before this entry started.
    pub(super) slow_start_from: Option<MonoTime>,
    load: EndpointLoad,
    /// Requests in progress that the last report doesn't include, by dispatch number.
    sent_since_report: BTreeMap<u64, SentRequest>,
    /// Sums of `prompt_tokens` over `sent_since_report`.
    sent_prompt_tokens: QueuedTokens,
    /// Requests that the last report includes and that have ended since.
    ended_since_report: u32,
    /// Requests of this entry in progress.
    in_flight: u32,
    /// Highest class that was refused as busy since the last report or end of a request.
    busy_class: Option<SlotClass>,
}

impl EndpointRecord {
    pub(super) fn new(
        instance: InstanceName,
        service: ServiceName,
        place: (AvailabilityZone, RegionName),
        slots: u32,
        slow_start_from: Option<MonoTime>,
    ) -> Self {
        let (zone, region) = place;
        let name_hash = ContentDigest::of(instance.as_str().as_bytes()).leading_u64();
        Self {
            instance,
            address: String::new(),
            zone,
            region,
            service,
            live: false,
            in_subset: true,
            version: None,
            adapters: BTreeSet::new(),
            ejection: EjectionState::default(),
            latency_us: 0,
            name_hash,
            slow_start_from,
            load: EndpointLoad { slots, ..EndpointLoad::default() },
            sent_since_report: BTreeMap::new(),
            sent_prompt_tokens: QueuedTokens::default(),
            ended_since_report: 0,
            in_flight: 0,
            busy_class: None,
        }
    }

    /// Applies a report whose load is `lag` old; requests sent more recently than that are added
    /// to the load.
    pub(super) fn apply_report(&mut self, load: EndpointLoad, lag: Duration, now: MonoTime) {
        self.load = load;
        self.busy_class = None;
        self.ended_since_report = 0;
        self.sent_since_report.retain(|_, sent| now - sent.sent_at < lag);
        self.sent_prompt_tokens = QueuedTokens::default();
        for sent in self.sent_since_report.values() {
            *self.sent_prompt_tokens.for_class(sent.class) += sent.prompt_tokens;
        }
    }

    /// Whether the endpoint can serve `version`. While the endpoint's version is unknown the answer
    /// is yes, and its sidecar refuses the request if the version differs.
    pub(super) fn can_serve(&self, version: Option<ContentDigest>) -> bool {
        version.is_none() || self.version.is_none() || self.version == version
    }

    pub(super) fn record_sent(
        &mut self,
        number: u64,
        prompt_tokens: u64,
        class: SlotClass,
        now: MonoTime,
    ) {
        self.in_flight += 1;
        *self.sent_prompt_tokens.for_class(class) += prompt_tokens;
        let sent = SentRequest { sent_at: now, prompt_tokens, class };
        self.sent_since_report.insert(number, sent);
    }

    /// Records the end of a request, which is either part of the last report or was sent since.
    pub(super) fn record_ended(&mut self, number: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.busy_class = None;
        match self.sent_since_report.remove(&number) {
            Some(sent) => *self.sent_prompt_tokens.for_class(sent.class) -= sent.prompt_tokens,
            None => self.ended_since_report += 1,
        }
    }

    /// Records that a request's prompt is processed, which the first token shows.
    pub(super) fn record_prefilled(&mut self, number: u64) {
        if let Some(sent) = self.sent_since_report.get_mut(&number) {
            let tokens = std::mem::take(&mut sent.prompt_tokens);
            *self.sent_prompt_tokens.for_class(sent.class) -= tokens;
        }
    }

    pub(super) fn record_busy(&mut self, class: SlotClass) {
        self.busy_class = self.busy_class.max(Some(class));
    }

    /// Whether the endpoint refused a request of this or a higher class since the last report or
    /// end of a request.
    pub(super) fn is_busy_for(&self, class: SlotClass) -> bool {
        self.busy_class.is_some_and(|busy_class| busy_class >= class)
    }

    /// Estimated number of requests at the endpoint; never less than those of this entry.
    pub(super) fn occupied(&self) -> u32 {
        let reported = self.load.running + self.load.waiting + self.sent_since_report.len() as u32;
        reported.saturating_sub(self.ended_since_report).max(self.in_flight)
    }

    /// Slots that may be used at `now`; during the slow start the number rises linearly from 1 to
    /// all slots.
    pub(super) fn usable_slots(&self, options: &RoutingOptions, now: MonoTime) -> u32 {
        let age = self.slow_start_from.map_or(options.slow_start, |since| now - since);
        if age >= options.slow_start {
            return self.load.slots;
        }
        let share = age.as_micros() * u128::from(self.load.slots) / options.slow_start.as_micros();
        (share as u32).clamp(1, self.load.slots.max(1))
    }

    /// Whether none of the usable `slots` is free for another request.
    pub(super) fn is_full(&self, query: &RoutingQuery, slots: u32) -> bool {
        let reserved = if query.reserves_headroom { headroom_of(slots) } else { 0 };
        self.is_busy_for(query.class) || self.occupied() >= slots - reserved
    }

    /// Expected time to the first token in microseconds, with `slots` usable slots.
    pub(super) fn expected_us(
        &self,
        query: &RoutingQuery,
        cached_tokens: u64,
        slots: u32,
        rates: &ScoreRates,
    ) -> u64 {
        // Engines process prompts of higher classes first.
        let sent = &self.sent_prompt_tokens;
        let queued = match query.class {
            SlotClass::BestEffort => {
                self.load.queued_prompt_tokens + sent.best_effort + sent.contracted
            }
            SlotClass::Contracted | SlotClass::Booking => {
                self.load.queued_prompt_tokens / CONTRACTED_QUEUE_DIVISOR + sent.contracted
            }
        };
        let remaining = query.prompt_tokens.saturating_sub(cached_tokens);
        let prefill_us = (queued + remaining) * rates.prefill_token_ns / 1000;
        let slots = u64::from(slots.max(1));
        let occupied = u64::from(self.occupied());
        // A request that may displace others doesn't wait for a slot.
        let excess = if query.may_displace { 0 } else { (occupied + 1).saturating_sub(slots) };
        let occupied_us = (excess * rates.slot_us + occupied * OCCUPANCY_DELAY_US * 16) / slots;
        prefill_us + occupied_us + 2 * self.latency_us
    }
}

/// One reported queued prompt token in this many counts as contracted work. Reports don't give the
/// classes, and long queues consist mostly of best-effort work, because contracts can't reserve
/// more than the capacity.
const CONTRACTED_QUEUE_DIVISOR: u64 = 8;

/// Delay of the first token, in microseconds, for each sixteenth of the slots that is in use.
/// Distributes requests over endpoints with equal queues.
const OCCUPANCY_DELAY_US: u64 = 500;
