//! Bounded queues of requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{MonoTime, RequestId, TeamName, common_derives};

use super::slots::SlotClass;

/// Weight of a new measurement of the pace, as a part of this many.
const PACE_PARTS: u32 = 8;

common_derives! { value:
    /// A request that waits.
    pub struct QueueItem {
        /// The request.
        pub request_id: RequestId,
        /// The team.
        pub team: TeamName,
        /// The class.
        pub class: SlotClass,
        /// When it stops waiting.
        pub deadline: MonoTime,
        /// Whether its caller has received a part of the answer.
        pub resumes: bool,
    }

    /// Why a request can't wait.
    #[derive(Copy)]
    pub enum QueueRefusal {
        /// The queue holds as many requests of this or a higher class as it may.
        Full,
        /// At the present pace its turn comes after its deadline.
        TooLate {
            /// Expected time until its turn.
            expected: Duration,
        },
    }

    /// Options of a queue.
    #[derive(Copy)]
    pub struct QueueOptions {
        /// Requests that may wait.
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
    arrival: u64,
}

/// Requests that wait for a slot of one service.
///
/// Higher classes go first; within a class answers that began go first, then the teams take
/// turns, each in the order of arrival, so that a team with many requests doesn't hold up the
/// others. When the queue is full, the team with the most waiting requests gives one up.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    options: QueueOptions,
    items: BTreeMap<RequestId, WaitingItem>,
    arrivals: u64,
    /// Number of the last turn of each team.
    turns: BTreeMap<TeamName, u64>,
    turn: u64,
    /// Time between two turns.
    pace: Option<Duration>,
    popped_at: Option<MonoTime>,
}

impl WaitQueue {
    /// An empty queue.
    pub fn new(options: QueueOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Adds a request, or refuses it early; returns a request of a lower class that gives way.
    pub fn push(
        &mut self,
        item: QueueItem,
        now: MonoTime,
    ) -> Result<Option<QueueItem>, QueueRefusal> {
        let expected = self.expected_wait(&item);
        if now + expected > item.deadline {
            return Err(QueueRefusal::TooLate { expected });
        }
        let mut removed = None;
        if self.items.len() >= self.options.length {
            let last = self.gives_way_to(&item).ok_or(QueueRefusal::Full)?;
            removed = self.remove(&last);
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.items.insert(item.request_id, WaitingItem { item, arrival });
        Ok(removed)
    }

    /// The requests whose turns come next, in order.
    pub fn next_candidates(&self, most: usize) -> Vec<RequestId> {
        let mut rounds: BTreeMap<(SlotClass, &TeamName), u64> = BTreeMap::new();
        let mut by_arrival: Vec<&WaitingItem> = self.items.values().collect();
        by_arrival.sort_unstable_by_key(|waiting| waiting.arrival);
        let order = by_arrival.into_iter().map(|waiting| {
            let item = &waiting.item;
            let round = rounds.entry((item.class, &item.team)).or_default();
            *round += 1;
            let last_turn = self.turns.get(&item.team).copied().unwrap_or(0);
            let class = std::cmp::Reverse(item.class);
            (class, !item.resumes, *round, last_turn, waiting.arrival, item.request_id)
        });
        let mut order: Vec<_> = order.collect();
        order.sort_unstable();
        order.into_iter().take(most).map(|key| key.5).collect()
    }

    /// Takes out a request that got its slot.
    pub fn take(&mut self, request_id: &RequestId, now: MonoTime) -> Option<QueueItem> {
        let item = self.remove(request_id)?;
        self.turn += 1;
        self.turns.insert(item.team.clone(), self.turn);
        self.measure_pace(now);
        Some(item)
    }

    /// Takes out a request that stops waiting.
    pub fn remove(&mut self, request_id: &RequestId) -> Option<QueueItem> {
        let removed = self.items.remove(request_id)?.item;
        if self.items.is_empty() {
            // The next measurement would span the time in which nothing waited.
            self.popped_at = None;
            self.turns.clear();
        }
        Some(removed)
    }

    /// Takes out the requests whose deadline passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueueItem> {
        let late = self.items.values().filter(|waiting| waiting.item.deadline <= now);
        let late: Vec<RequestId> = late.map(|waiting| waiting.item.request_id).collect();
        late.iter().filter_map(|request_id| self.remove(request_id)).collect()
    }

    /// Expected wait of a request: those of higher classes go first, and of each other team of
    /// its class as many as the team itself has waiting, and one more.
    pub fn expected_wait(&self, item: &QueueItem) -> Duration {
        let mut waiting: BTreeMap<&TeamName, u32> = BTreeMap::new();
        let mut ahead = 0;
        for other in self.items.values().map(|waiting| &waiting.item) {
            if other.class > item.class || other.resumes && other.class == item.class {
                ahead += 1;
            } else if other.class == item.class && !item.resumes {
                *waiting.entry(&other.team).or_default() += 1;
            }
        }
        let own = waiting.remove(&item.team).unwrap_or(0);
        ahead += own + waiting.values().map(|count| (*count).min(own + 1)).sum::<u32>();
        self.pace.unwrap_or_default().saturating_mul(ahead)
    }

    /// The request that is given up for `item`: of the lowest class, the last one of the team
    /// with the most waiting requests, when `item` has a higher class or its team fewer.
    fn gives_way_to(&self, item: &QueueItem) -> Option<RequestId> {
        let lowest = self.items.values().map(|waiting| waiting.item.class).min()?;
        let mut counts: BTreeMap<&TeamName, usize> = BTreeMap::new();
        let candidates = self.items.values().filter(|waiting| waiting.item.class == lowest);
        for waiting in candidates.clone() {
            *counts.entry(&waiting.item.team).or_default() += 1;
        }
        let (most, count) = counts.iter().max_by_key(|(_, count)| **count)?;
        let own = counts.get(&item.team).copied().unwrap_or(0);
        if item.class < lowest || item.class == lowest && own + 1 >= *count {
            return None;
        }
        let of_most = candidates.filter(|it| it.item.team == **most && !it.item.resumes);
        of_most.max_by_key(|waiting| waiting.arrival).map(|waiting| waiting.item.request_id)
    }

    fn measure_pace(&mut self, now: MonoTime) {
        if let Some(popped_at) = self.popped_at {
            let passed = now - popped_at;
            let pace = self.pace.unwrap_or(passed);
            self.pace = Some((pace * (PACE_PARTS - 1) + passed) / PACE_PARTS);
        }
        self.popped_at = (!self.items.is_empty()).then_some(now);
    }
}
