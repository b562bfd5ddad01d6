//! Cache events, published with a delay and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_wire::EngineEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::cache::CacheChange;

/// Maximum number of events kept. Older events are dropped, so readers see a gap.
const MAX_KEPT_EVENTS: usize = 4_096;

/// Maximum number of events in one reply.
const MAX_REPLY_EVENTS: usize = 1_000;

/// Published events and events whose delay has not passed yet.
#[derive(Debug)]
pub(super) struct EventFeed {
    delay: Duration,
    loss_permille: u32,
    next_sequence: u64,
    /// Events with the time from which readers see them, oldest first.
    events: VecDeque<(MonoTime, EngineEvent)>,
    random: StdRng,
    pub(super) lost: u64,
}

impl EventFeed {
    pub(super) fn new(delay: Duration, loss_permille: u32, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { delay, loss_permille, next_sequence: 0, events: VecDeque::new(), random, lost: 0 }
    }

    /// Drops all events and restarts the sequence numbers at 0.
    pub(super) fn restart(&mut self) {
        self.events.clear();
        self.next_sequence = 0;
    }

    /// Adds the changes of the cache as events, except for those lost at random.
    pub(super) fn publish(&mut self, change: &CacheChange, now: MonoTime) {
        let stored = change.stored.iter().map(|prefix| (*prefix, true));
        let evicted = change.evicted.iter().map(|prefix| (*prefix, false));
        for (prefix, stored) in stored.chain(evicted) {
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            if self.random.random_range(0..1000) < self.loss_permille {
                self.lost += 1;
                continue;
            }
            let event = EngineEvent { sequence, prefix, stored };
            self.events.push_back((now + self.delay, event));
        }
        while self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with sequence number `from` or higher that readers see at `now`.
    pub(super) fn read(&self, from: u64, now: MonoTime) -> Vec<EngineEvent> {
        let visible = self.events.iter().take_while(|(visible_at, _)| *visible_at <= now);
        let wanted = visible.filter(|(_, event)| event.sequence >= from);
        wanted.take(MAX_REPLY_EVENTS).map(|(_, event)| event.clone()).collect()
    }
}
