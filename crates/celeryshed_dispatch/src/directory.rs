//! The list of endpoints, built from records that may arrive late, twice or out of order.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{LogOffset, MonoTime, common_derives};

use crate::endpoint::{EndpointEntry, EndpointId};

/// Time after an outage of the store in which endpoints register again.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2200);

common_derives! { value:
    /// One record of the list; no entry means that the endpoint is gone.
    pub struct DirectoryRecord {
        /// The endpoint.
        pub id: EndpointId,
        /// Position of the record in the log.
        pub offset: LogOffset,
        /// The entry, if there is one that can be used.
        pub entry: Option<EndpointEntry>,
    }
}

#[derive(Clone, Debug)]
struct HeldRecord {
    offset: LogOffset,
    entry: Option<EndpointEntry>,
    /// Set while a removal waits for the endpoint to register again.
    removal_due: Option<MonoTime>,
}

/// The endpoints that are known.
///
/// A removal that becomes known right after an outage of the store may only mean that a
/// registration lapsed meanwhile; the endpoint then stays until it had time to register again.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::EndpointDirectory;
/// assert_eq!(EndpointDirectory::default().entries(MonoTime::ZERO).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    records: BTreeMap<EndpointId, HeldRecord>,
    store_failing: bool,
    recovered_at: Option<MonoTime>,
}

impl EndpointDirectory {
    /// A call to the store failed.
    pub fn store_failed(&mut self) {
        self.store_failing = true;
    }

    /// A call to the store succeeded.
    pub fn store_answered(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.store_failing) {
            self.recovered_at = Some(now);
        }
    }

    /// Takes over one record unless a later one of the same endpoint is held.
    pub fn apply(&mut self, now: MonoTime, record: DirectoryRecord) -> bool {
        let DirectoryRecord { id, offset, entry } = record;
        let entry = entry.filter(|entry| !self.is_superseded(entry));
        let held = self.records.get(&id);
        if held.is_some_and(|held| held.offset >= offset) {
            return false;
        }
        let known = held.and_then(|held| held.entry.clone());
        let grace = self.recovered_at.map(|at| at + REGISTRATION_GRACE).filter(|due| *due > now);
        let record = match (entry, known, grace) {
            (None, Some(known), Some(due)) => {
                HeldRecord { offset, entry: Some(known), removal_due: Some(due) }
            }
            (entry, _, _) => HeldRecord { offset, entry, removal_due: None },
        };
        if let Some(entry) = &record.entry {
            self.drop_predecessors(&entry.address, entry.born_ms);
        }
        self.records.insert(id, record);
        true
    }

    /// Whether an endpoint that started later uses the entry's address.
    fn is_superseded(&self, entry: &EndpointEntry) -> bool {
        let entries = self.records.values().filter_map(|held| held.entry.as_ref());
        entries
            .into_iter()
            .any(|other| other.address == entry.address && other.born_ms > entry.born_ms)
    }

    /// Forgets endpoints that used an address before: their registrations lapse seconds later.
    fn drop_predecessors(&mut self, address: &str, born_ms: u64) {
        for held in self.records.values_mut() {
            let earlier =
                |entry: &mut EndpointEntry| entry.address == address && entry.born_ms < born_ms;
            held.entry.take_if(earlier);
        }
    }

    /// The endpoints that are there, with their entries.
    pub fn entries(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&EndpointId, &EndpointEntry)> + '_ {
        self.records.iter().filter_map(move |(id, held)| {
            let removed = held.removal_due.is_some_and(|due| due <= now);
            held.entry.as_ref().filter(|_| !removed).map(|entry| (id, entry))
        })
    }

    /// The entry of one endpoint.
    pub fn get(&self, now: MonoTime, id: &EndpointId) -> Option<&EndpointEntry> {
        let held = self.records.get(id)?;
        let removed = held.removal_due.is_some_and(|due| due <= now);
        held.entry.as_ref().filter(|_| !removed)
    }
}
