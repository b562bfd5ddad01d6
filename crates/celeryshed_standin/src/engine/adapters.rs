//! Adapters loaded on top of a model.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{AdapterName, MonoTime};

/// Loaded adapters, the least recently used of which is removed for another one.
#[derive(Debug)]
pub(super) struct AdapterShelf {
    slots: usize,
    load: Duration,
    adapters: BTreeMap<AdapterName, AdapterUse>,
}

#[derive(Clone, Copy, Debug)]
struct AdapterUse {
    ready_at: MonoTime,
    last_use: MonoTime,
}

impl AdapterShelf {
    pub(super) fn new(slots: usize, load: Duration) -> Self {
        Self { slots, load, adapters: BTreeMap::new() }
    }

    /// Loads the adapter unless it is there, and returns when it is ready.
    pub(super) fn want(&mut self, adapter: &AdapterName, now: MonoTime) -> MonoTime {
        if let Some(known) = self.adapters.get_mut(adapter) {
            known.last_use = now;
            return known.ready_at;
        }
        if self.adapters.len() >= self.slots {
            self.remove_oldest();
        }
        let ready_at = now + self.load;
        self.adapters.insert(adapter.clone(), AdapterUse { ready_at, last_use: now });
        ready_at
    }

    /// Adapters that are ready.
    pub(super) fn ready(&self, now: MonoTime) -> Vec<AdapterName> {
        let ready = self.adapters.iter().filter(|(_, used)| used.ready_at <= now);
        ready.map(|(adapter, _)| adapter.clone()).collect()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.adapters.iter().min_by_key(|(_, used)| used.last_use);
        if let Some(adapter) = oldest.map(|(adapter, _)| adapter.clone()) {
            self.adapters.remove(&adapter);
        }
    }
}
