//! The entries that sent work lately.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

/// Addresses of entries and when each sent work last.
#[derive(Clone, Debug)]
pub(super) struct WorkSenders {
    memory: Duration,
    sent_at: BTreeMap<String, MonoTime>,
}

impl WorkSenders {
    pub(super) fn new(memory: Duration) -> Self {
        Self { memory, sent_at: BTreeMap::new() }
    }

    pub(super) fn note(&mut self, address: String, now: MonoTime) {
        self.sent_at.insert(address, now);
    }

    pub(super) fn forget_old(&mut self, now: MonoTime) {
        let memory = self.memory;
        self.sent_at.retain(|_, at| now - *at <= memory);
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = &String> {
        self.sent_at.keys()
    }
}
