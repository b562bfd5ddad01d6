//! Bounded wait queue for requests that need a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{MonoTime, RequestId, TeamName, common_derives};

use super::slots::SlotClass;

/// Smoothing factor of the average turn interval: a new interval has a weight of one in this many.
const INTERVAL_SMOOTHING: u32 = 8;

common_derives! { value:
    /// A waiting request.
    pub struct QueueItem {
        /// Identifies the request in the queue.
        pub request_id: RequestId,
        /// The team, for taking turns.
        pub team: TeamName,
        /// Priority class; higher classes leave the queue first.
        pub class: SlotClass,
        /// When the request stops waiting.
        pub deadline: MonoTime,
        /// Whether the caller has already received part of the answer.
        pub resumed: bool,
    }

    /// Why a request can't wait.
    #[derive(Copy)]
    pub enum QueueRefusal {
        /// The queue is full, and no waiting request gives way to this one.
        Full,
        /// The expected turn of the request is later than its deadline.
        TooLate {
            /// Expected time until the request's turn.
            expected: Duration,
        },
    }

    /// Options of a wait queue.
    #[derive(Copy)]
    pub struct QueueOptions {
        /// Maximum number of waiting requests; 512 by default.
        pub length: usize,
    }
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self { length: 512 }
    }
}

#[derive(Clone, Debug)]
struct WaitingItem {
    item: QueueItem,
    /// Sequence number of the arrival.
    arrival: u64,
}

/// Requests that wait for a slot of one service.
///
/// Higher classes leave first. Within a class, requests whose answers have begun leave first; then
/// the teams take turns, each in order of arrival, so that a team with many requests doesn't delay
/// the others. When the queue is full, a new request may evict the last request of the team with
/// the most waiting requests.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    options: QueueOptions,
    items: BTreeMap<RequestId, WaitingItem>,
    arrival_count: u64,
    /// Number of each team's last turn.
    last_turns: BTreeMap<TeamName, u64>,
    turn_count: u64,
    /// Average time between two turns; `None` before the second turn.
    turn_interval: Option<Duration>,
    /// When the last turn was; `None` if the queue has been empty since.
    last_turn_at: Option<MonoTime>,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(options: QueueOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Adds a request, and returns the waiting request that it evicted, if any.
    ///
    /// Refuses a request that would reach its turn too late, or that finds the queue full and may
    /// evict no other request.
    pub fn push(
        &mut self,
        item: QueueItem,
        now: MonoTime,
    ) -> Result<Option<QueueItem>, QueueRefusal> {
        let expected = self.expected_wait(&item);
        if now + expected > item.deadline {
            return Err(QueueRefusal::TooLate { expected });
        }
        let mut evicted = None;
        if self.items.len() >= self.options.length {
            let victim = self.evictable_for(&item).ok_or(QueueRefusal::Full)?;
            evicted = self.remove(&victim);
        }
        self.arrival_count += 1;
        let arrival = self.arrival_count;
        self.items.insert(item.request_id, WaitingItem { item, arrival });
        Ok(evicted)
    }

    /// Returns up to `most` requests in the order of their turns.
    pub fn next_candidates(&self, most: usize) -> Vec<RequestId> {
        let mut rounds: BTreeMap<(SlotClass, &TeamName), u64> = BTreeMap::new();
        let mut by_arrival: Vec<&WaitingItem> = self.items.values().collect();
        by_arrival.sort_unstable_by_key(|waiting| waiting.arrival);
        let order = by_arrival.into_iter().map(|waiting| {
            let item = &waiting.item;
            let round = rounds.entry((item.class, &item.team)).or_default();
            *round += 1;
            let last_turn = self.last_turns.get(&item.team).copied().unwrap_or(0);
            let class = std::cmp::Reverse(item.class);
            (class, !item.resumed, *round, last_turn, waiting.arrival, item.request_id)
        });
        let mut order: Vec<_> = order.collect();
        order.sort_unstable();
        order.into_iter().take(most).map(|key| key.5).collect()
    }

    /// Removes a request that got a slot, and counts a turn of its team.
    pub fn take(&mut self, request_id: &RequestId, now: MonoTime) -> Option<QueueItem> {
        let item = self.remove(request_id)?;
        self.turn_count += 1;
        self.last_turns.insert(item.team.clone(), self.turn_count);
        self.update_turn_interval(now);
        Some(item)
    }

    /// Removes a request that stops waiting.
    pub fn remove(&mut self, request_id: &RequestId) -> Option<QueueItem> {
        let removed = self.items.remove(request_id)?.item;
        if self.items.is_empty() {
            // The next interval must not include the time during which the queue was empty.
            self.last_turn_at = None;
            self.last_turns.clear();
        }
        Some(removed)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueueItem> {
        let expired = self.items.values().filter(|waiting| waiting.item.deadline <= now);
        let expired: Vec<RequestId> = expired.map(|waiting| waiting.item.request_id).collect();
        expired.iter().filter_map(|request_id| self.remove(request_id)).collect()
    }

    /// Returns the expected time until the turn of `item` if it were added now.
    ///
    /// Requests of higher classes and resumed requests of the same class go first. Because the
    /// teams of a class take turns, each other team then gets at most one turn more than the number
    /// of requests that the item's team has waiting. Zero before the second turn.
    pub fn expected_wait(&self, item: &QueueItem) -> Duration {
        let mut waiting: BTreeMap<&TeamName, u32> = BTreeMap::new();
        let mut ahead = 0;
        for other in self.items.values().map(|waiting| &waiting.item) {
            if other.class > item.class || other.resumed && other.class == item.class {
                ahead += 1;
            } else if other.class == item.class && !item.resumed {
                *waiting.entry(&other.team).or_default() += 1;
            }
        }
        let own_count = waiting.remove(&item.team).unwrap_or(0);
        ahead += own_count + waiting.values().map(|count| (*count).min(own_count + 1)).sum::<u32>();
        self.turn_interval.unwrap_or_default().saturating_mul(ahead)
    }

    /// Returns the request to evict for `item`: in the lowest waiting class, the last request of
    /// the team with the most requests, except resumed ones.
    ///
    /// `None` without such a request, if `item` has a lower class, or if it has the same class and
    /// its team would not have fewer requests than that team.
    fn evictable_for(&self, item: &QueueItem) -> Option<RequestId> {
        let lowest = self.items.values().map(|waiting| waiting.item.class).min()?;
        let mut counts: BTreeMap<&TeamName, usize> = BTreeMap::new();
        let candidates = self.items.values().filter(|waiting| waiting.item.class == lowest);
        for waiting in candidates.clone() {
            *counts.entry(&waiting.item.team).or_default() += 1;
        }
        let (largest_team, largest_count) = counts.iter().max_by_key(|(_, count)| **count)?;
        let own_count = counts.get(&item.team).copied().unwrap_or(0);
        if item.class < lowest || item.class == lowest && own_count + 1 >= *largest_count {
            return None;
        }
        let evictable = candidates
            .filter(|waiting| waiting.item.team == **largest_team && !waiting.item.resumed);
        evictable.max_by_key(|waiting| waiting.arrival).map(|waiting| waiting.item.request_id)
    }

    fn update_turn_interval(&mut self, now: MonoTime) {
        if let Some(last_turn_at) = self.last_turn_at {
            let elapsed = now - last_turn_at;
            let average = self.turn_interval.unwrap_or(elapsed);
            self.turn_interval =
                Some((average * (INTERVAL_SMOOTHING - 1) + elapsed) / INTERVAL_SMOOTHING);
        }
        self.last_turn_at = (!self.items.is_empty()).then_some(now);
    }
}
