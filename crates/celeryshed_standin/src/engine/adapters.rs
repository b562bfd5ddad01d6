//! Adapters loaded in addition to a model.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{AdapterName, MonoTime};

/// Loaded and loading adapters. When all slots are taken, a new adapter replaces the least recently
/// used one.
#[derive(Debug)]
pub(super) struct AdapterCache {
    slots: usize,
    load_time: Duration,
    adapters: BTreeMap<AdapterName, AdapterUse>,
}

#[derive(Clone, Copy, Debug)]
struct AdapterUse {
    ready_at: MonoTime,
    last_use: MonoTime,
}

impl AdapterCache {
    pub(super) fn new(slots: usize, load_time: Duration) -> Self {
        Self { slots, load_time, adapters: BTreeMap::new() }
    }

    /// Starts to load the adapter unless it is present, and returns the time when it is ready.
    pub(super) fn ensure_loading(&mut self, adapter: &AdapterName, now: MonoTime) -> MonoTime {
        if let Some(present) = self.adapters.get_mut(adapter) {
            present.last_use = now;
            return present.ready_at;
        }
        if self.adapters.len() >= self.slots {
            self.remove_least_recent();
        }
        let ready_at = now + self.load_time;
        self.adapters.insert(adapter.clone(), AdapterUse { ready_at, last_use: now });
        ready_at
    }

    /// Adapters that have finished loading.
    pub(super) fn ready(&self, now: MonoTime) -> Vec<AdapterName> {
        let ready = self.adapters.iter().filter(|(_, used)| used.ready_at <= now);
        ready.map(|(adapter, _)| adapter.clone()).collect()
    }

    fn remove_least_recent(&mut self) {
        let least_recent = self.adapters.iter().min_by_key(|(_, used)| used.last_use);
        if let Some(adapter) = least_recent.map(|(adapter, _)| adapter.clone()) {
            self.adapters.remove(&adapter);
        }
    }
}
