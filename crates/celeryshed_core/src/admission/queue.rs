//! Bounded queues of requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{CustomerName, MonoTime, RequestId, common_derives};

use super::slots::SlotClass;

/// Weight of a new measurement of the pace, as a part of this many.
const PACE_PARTS: u32 = 8;

common_derives! { value:
    /// A request that waits.
    pub struct QueueItem {
        /// The request.
        pub request_id: RequestId,
        /// The customer.
        pub customer: CustomerName,
        /// The class.
        pub class: SlotClass,
        /// When it stops waiting.
        pub deadline: MonoTime,
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
/// Higher classes go first; within a class the customers take turns, each in the order of arrival,
/// so that a customer with many requests doesn't hold up the others.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    options: QueueOptions,
    items: BTreeMap<RequestId, WaitingItem>,
    arrivals: u64,
    /// Number of the last turn of each customer.
    turns: BTreeMap<CustomerName, u64>,
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
        let expected = self.expected_wait(item.class);
        if now + expected > item.deadline {
            return Err(QueueRefusal::TooLate { expected });
        }
        let mut removed = None;
        if self.items.len() >= self.options.length {
            let last =
                self.items.values().max_by_key(|it| (std::cmp::Reverse(it.item.class), it.arrival));
            let last = last.filter(|last| last.item.class < item.class);
            let last = last.ok_or(QueueRefusal::Full)?.item.request_id;
            removed = self.remove(&last);
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.items.insert(item.request_id, WaitingItem { item, arrival });
        Ok(removed)
    }

    /// The requests whose turns come next, in order.
    pub fn next_turns(&self, most: usize) -> Vec<RequestId> {
        let turn_of = |it: &WaitingItem| self.turns.get(&it.item.customer).copied().unwrap_or(0);
        let mut order: Vec<_> = self
            .items
            .iter()
            .map(|(id, it)| (std::cmp::Reverse(it.item.class), turn_of(it), it.arrival, *id))
            .collect();
        order.sort_unstable();
        order.into_iter().take(most).map(|(_, _, _, request_id)| request_id).collect()
    }

    /// Takes out a request that got its slot.
    pub fn take(&mut self, request_id: &RequestId, now: MonoTime) -> Option<QueueItem> {
        let item = self.remove(request_id)?;
        self.turn += 1;
        self.turns.insert(item.customer.clone(), self.turn);
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

    /// Expected wait of a request of this class.
    pub fn expected_wait(&self, class: SlotClass) -> Duration {
        let ahead = self.items.values().filter(|waiting| waiting.item.class >= class).count();
        self.pace.unwrap_or_default().saturating_mul(ahead as u32)
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
