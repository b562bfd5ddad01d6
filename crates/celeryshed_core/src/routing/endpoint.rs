//! What an entry knows about one endpoint.

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
    /// Load of an endpoint.
    #[derive(Copy, Default)]
    pub struct EndpointLoad {
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait in the engine.
        pub waiting: u32,
        /// Prompt tokens that wait to be processed.
        pub queued_prompt_tokens: u64,
    }

    /// A report about an endpoint.
    pub struct EndpointObservation {
        /// Its instance.
        pub instance: InstanceName,
        /// The version that it serves.
        pub version: Option<ContentDigest>,
        /// Its load.
        pub load: EndpointLoad,
        /// A sample of the prefixes that it caches; `None` when the report has none.
        pub prefixes: Vec<u64>,
    }
}

/// A request that was sent to an endpoint and has not ended.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sent_at: MonoTime,
    prompt_tokens: u64,
    class: SlotClass,
}

/// Prompt tokens sent and not processed yet, by class.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedTokens {
    best_effort: u64,
    contracted: u64,
}

impl QueuedTokens {
    fn of(&mut self, class: SlotClass) -> &mut u64 {
        match class {
            SlotClass::BestEffort => &mut self.best_effort,
            SlotClass::Contracted | SlotClass::Booking => &mut self.contracted,
        }
    }
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    pub(super) instance: InstanceName,
    pub(super) address: String,
    pub(super) zone: AvailabilityZone,
    pub(super) region: RegionName,
    pub(super) service: ServiceName,
    pub(super) live: bool,
    pub(super) in_subset: bool,
    pub(super) version: Option<ContentDigest>,
    pub(super) adapters: BTreeSet<AdapterName>,
    pub(super) ejection: EjectionState,
    pub(super) latency_us: u64,
    /// When it appeared; `None` when it was there before this entry.
    /// Spreads equal choices; the same at all entries.
    pub(super) name_hash: u64,
    pub(super) fresh_since: Option<MonoTime>,
    load: EndpointLoad,
    /// Requests sent since the last report, by their number.
    sent_since_report: BTreeMap<u64, SentRequest>,
    /// Sum of their prompt tokens that are not processed yet.
    sent_prompt_tokens: QueuedTokens,
    ended_since_report: u32,
    in_flight: u32,
    /// Highest class that got a busy answer since the last report or end of a request.
    busy_for: Option<SlotClass>,
}

impl EndpointRecord {
    pub(super) fn new(
        instance: InstanceName,
        service: ServiceName,
        place: (AvailabilityZone, RegionName),
        slots: u32,
        fresh_since: Option<MonoTime>,
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
            fresh_since,
            load: EndpointLoad { slots, ..EndpointLoad::default() },
            sent_since_report: BTreeMap::new(),
            sent_prompt_tokens: QueuedTokens::default(),
            ended_since_report: 0,
            in_flight: 0,
            busy_for: None,
        }
    }

    /// Takes a report that is `lag` old; requests sent since then are not in it.
    pub(super) fn report(&mut self, load: EndpointLoad, lag: Duration, now: MonoTime) {
        self.load = load;
        self.busy_for = None;
        self.ended_since_report = 0;
        self.sent_since_report.retain(|_, sent| now - sent.sent_at < lag);
        self.sent_prompt_tokens = QueuedTokens::default();
        for sent in self.sent_since_report.values() {
            *self.sent_prompt_tokens.of(sent.class) += sent.prompt_tokens;
        }
    }

    /// Whether it may serve `version`: a version not heard of yet is left to its sidecar.
    pub(super) fn may_have(&self, version: Option<ContentDigest>) -> bool {
        version.is_none() || self.version.is_none() || self.version == version
    }

    pub(super) fn sent(
        &mut self,
        number: u64,
        prompt_tokens: u64,
        class: SlotClass,
        now: MonoTime,
    ) {
        self.in_flight += 1;
        *self.sent_prompt_tokens.of(class) += prompt_tokens;
        let sent = SentRequest { sent_at: now, prompt_tokens, class };
        self.sent_since_report.insert(number, sent);
    }

    /// A request ended: it is in the last report, or was sent since.
    pub(super) fn ended(&mut self, number: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.busy_for = None;
        match self.sent_since_report.remove(&number) {
            Some(sent) => *self.sent_prompt_tokens.of(sent.class) -= sent.prompt_tokens,
            None => self.ended_since_report += 1,
        }
    }

    /// The prompt of a request has been processed: its first token came.
    pub(super) fn prefilled(&mut self, number: u64) {
        if let Some(sent) = self.sent_since_report.get_mut(&number) {
            let tokens = std::mem::take(&mut sent.prompt_tokens);
            *self.sent_prompt_tokens.of(sent.class) -= tokens;
        }
    }

    pub(super) fn busy(&mut self, class: SlotClass) {
        self.busy_for = self.busy_for.max(Some(class));
    }

    /// Whether it refused a request of this or a higher class since it was last heard of.
    pub(super) fn refused_busy(&self, class: SlotClass) -> bool {
        self.busy_for.is_some_and(|refused| refused >= class)
    }

    /// Requests there, as far as this entry can know; never fewer than its own.
    pub(super) fn occupied(&self) -> u32 {
        let reported = self.load.running + self.load.waiting + self.sent_since_report.len() as u32;
        reported.saturating_sub(self.ended_since_report).max(self.in_flight)
    }

    /// Slots that may be used now: a fresh endpoint's share rises over the slow start.
    pub(super) fn usable_slots(&self, options: &RoutingOptions, now: MonoTime) -> u32 {
        let age = self.fresh_since.map_or(options.slow_start, |since| now - since);
        if age >= options.slow_start {
            return self.load.slots;
        }
        let share = age.as_micros() * u128::from(self.load.slots) / options.slow_start.as_micros();
        (share as u32).clamp(1, self.load.slots.max(1))
    }

    /// Whether a further request would find none of the `slots` that may be used.
    pub(super) fn is_full(&self, query: &RoutingQuery, slots: u32) -> bool {
        let kept = if query.headroom { headroom_of(slots) } else { 0 };
        self.refused_busy(query.class) || self.occupied() >= slots - kept
    }

    /// Expected time to the first token in microseconds, with `slots` that may be used.
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
                self.load.queued_prompt_tokens / CONTRACTED_PART + sent.contracted
            }
        };
        let remaining = query.prompt_tokens.saturating_sub(cached_tokens);
        let prefill_us = (queued + remaining) * rates.prefill_token_ns / 1000;
        let slots = u64::from(slots.max(1));
        let occupied = u64::from(self.occupied());
        // A request that displaces others doesn't wait for a slot.
        let ahead = if query.may_displace { 0 } else { (occupied + 1).saturating_sub(slots) };
        let occupied_us = (ahead * rates.slot_us + occupied * BATCH_STEP_US * 16) / slots;
        prefill_us + occupied_us + 2 * self.latency_us
    }
}

/// Part of a reported queue of prompt tokens that counts as contracted work: reports don't tell the
/// classes, and long queues are mostly best effort, since contracts stay below the capacity.
const CONTRACTED_PART: u64 = 8;

/// Slowdown of the first token by one sixteenth of occupancy: spreads requests over endpoints
/// whose queues are equal.
const BATCH_STEP_US: u64 = 500;
