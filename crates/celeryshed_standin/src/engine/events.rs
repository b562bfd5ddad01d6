//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_wire::EngineEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::cache::CacheChange;

/// Events that are kept; older ones become a gap.
const MAX_EVENTS: usize = 4_096;

/// Events in one reply.
const MAX_REPLY_EVENTS: usize = 1_000;

/// The published events and those still to be published.
#[derive(Debug)]
pub(super) struct EventFeed {
    delay: Duration,
    loss_permille: u32,
    next_sequence: u64,
    /// Events with the time from which they are shown.
    events: VecDeque<(MonoTime, EngineEvent)>,
    random: StdRng,
    pub(super) lost: u64,
}

impl EventFeed {
    pub(super) fn new(delay: Duration, loss_permille: u32, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { delay, loss_permille, next_sequence: 0, events: VecDeque::new(), random, lost: 0 }
    }

    /// Forgets all events and counts sequence numbers from 0 again.
    pub(super) fn restart(&mut self) {
        self.events.clear();
        self.next_sequence = 0;
    }

    /// Publishes the changes of the cache.
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
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from sequence number `from` on that are shown by now.
    pub(super) fn read(&self, from: u64, now: MonoTime) -> Vec<EngineEvent> {
        let shown = self.events.iter().take_while(|(shown_at, _)| *shown_at <= now);
        let wanted = shown.filter(|(_, event)| event.sequence >= from);
        wanted.take(MAX_REPLY_EVENTS).map(|(_, event)| event.clone()).collect()
    }
}
