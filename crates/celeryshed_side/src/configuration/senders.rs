//! Entries that recently sent work.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

/// Addresses of entries and the time of the last work from each of them.
#[derive(Clone, Debug)]
pub(super) struct WorkSenders {
    retention: Duration,
    sent_at: BTreeMap<String, MonoTime>,
}

impl WorkSenders {
    pub(super) fn new(retention: Duration) -> Self {
        Self { retention, sent_at: BTreeMap::new() }
    }

    pub(super) fn record(&mut self, address: String, now: MonoTime) {
        self.sent_at.insert(address, now);
    }

    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        let retention = self.retention;
        self.sent_at.retain(|_, sent_at| now - *sent_at <= retention);
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = &String> {
        self.sent_at.keys()
    }
}
