//! The newest record of each key, merged from the store and from peers.

use std::collections::BTreeMap;

use bytes::Bytes;
use celeryshed_base::LogPosition;
use celeryshed_base::common_derives;
use serde::{Deserialize, Serialize};

use crate::record::{ControlBatch, ControlRecord, ControlStream};

/// Position up to which a process has read each of the two streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlPosition {
    /// Position after the last record read from the stream of operators.
    pub operator: LogPosition,
    /// Position after the last record read from the list of endpoints.
    pub endpoints: LogPosition,
}

common_derives! { value:
    /// The newest record of each key, for both streams.
    ///
    /// ```
    /// use celeryshed_base::{LogOffset, LogPosition, StoreEra};
    /// use celeryshed_peering::{ControlBatch, ControlLog, ControlRecord, ControlStream};
    /// let at = |offset| LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap();
    /// let mut log = ControlLog::default();
    /// let record = ControlRecord { key: "a".into(), position: at(3), value: None };
    /// let batch = ControlBatch { records: vec![record], end: at(4), is_snapshot: false };
    /// assert_eq!(log.merge(ControlStream::Operator, batch).len(), 1);
    /// assert_eq!(log.position().operator, at(4));
    /// ```
    #[derive(Default)]
    pub struct ControlLog {
        operator: BTreeMap<String, ControlRecord>,
        endpoints: BTreeMap<String, ControlRecord>,
        /// Position at which the content of a key last changed, if known. Most records of endpoints
        /// repeat the previous content.
        changed_at: BTreeMap<(ControlStream, String), LogPosition>,
        position: ControlPosition,
    }
}

impl ControlLog {
    /// Position up to which the records are known. A position has the sum of the advances of
    /// its records.
    pub fn position(&self) -> ControlPosition {
        self.position
    }

    /// Merges a batch and returns its new records, ordered by position.
    ///
    /// For each key, the record with the highest position wins, so batches may arrive twice, late or
    /// from several sources. A snapshot also deletes the keys that it doesn't list, unless their
    /// records are newer than the snapshot. The first snapshot after a restore of the store is newer
    /// than all records of earlier eras.
    pub fn merge(&mut self, stream: ControlStream, batch: ControlBatch) -> Vec<ControlRecord> {
        let mut records = batch.records;
        if batch.is_snapshot {
            records.extend(self.deletions(stream, &records, batch.end));
        }
        records.sort_by_key(|record| record.position);
        let known = self.stream_mut(stream);
        let mut new_records = Vec::new();
        for record in records {
            if known.get(&record.key).is_none_or(|old| old.position < record.position) {
                known.insert(record.key.clone(), record.clone());
                new_records.push(record);
            }
        }
        let position = match stream {
            ControlStream::Operator => &mut self.position.operator,
            ControlStream::Endpoints => &mut self.position.endpoints,
        };
        *position = batch.end.max(*position);
        self.raise_advance();
        new_records
    }

    /// Replaces the value of an operators' record with a newer one that a restore of the store took
    /// back. The record keeps its position, with the given advance, so that peers who know only the
    /// restored record fetch it, and the operators' next record replaces it.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use celeryshed_base::{LogOffset, LogPosition, StoreEra};
    /// use celeryshed_peering::{ControlBatch, ControlLog, ControlRecord, ControlStream};
    /// let era = StoreEra::try_from(1).unwrap();
    /// let at = |offset| LogPosition::new(era, LogOffset(offset)).unwrap();
    /// let mut log = ControlLog::default();
    /// let record = ControlRecord { key: "a".into(), position: at(3), value: None };
    /// let batch = ControlBatch { records: vec![record], end: at(6), is_snapshot: true };
    /// log.merge(ControlStream::Operator, batch);
    /// log.retain_value("a", Bytes::from_static(b"newer"), 2);
    /// assert_eq!(log.changed_since(ControlStream::Operator, at(6)).records.len(), 1);
    /// assert_eq!(log.position().operator, at(6).with_advance(2));
    /// ```
    pub fn retain_value(&mut self, key: &str, value: Bytes, advance: u64) {
        self.replace_value(ControlStream::Operator, key, Some(value), advance);
    }

    /// Replaces the value of an endpoint's record, as [`Self::retain_value`] does for operators;
    /// `None` if the endpoint has left.
    pub(crate) fn retain_endpoint(&mut self, key: &str, value: Option<Bytes>, advance: u64) {
        self.replace_value(ControlStream::Endpoints, key, value, advance);
        if let Some(record) = self.endpoints.get(key) {
            self.set_changed_at(ControlStream::Endpoints, key, record.position);
        }
    }

    /// Forgets the endpoints that were removed first, so that `limit` removals remain, and returns their
    /// keys. Removals that only peers tell stay, as the store may still list the endpoints.
    pub(crate) fn forget_removed(&mut self, limit: usize) -> Vec<String> {
        let records = self.endpoints.values();
        let removed = records.filter(|r| r.value.is_none() && r.position.advance() == 0);
        let excess = removed.clone().count().saturating_sub(limit);
        if excess == 0 {
            return Vec::new();
        }
        let mut removed: Vec<&ControlRecord> = removed.collect();
        removed.sort_by_key(|record| record.position);
        let forgotten: Vec<String> =
            removed.into_iter().take(excess).map(|record| record.key.clone()).collect();
        for key in &forgotten {
            self.endpoints.remove(key);
            self.changed_at.remove(&(ControlStream::Endpoints, key.clone()));
        }
        forgotten
    }

    /// Whether a peer has told that the endpoint of a record has left, which the restored store
    /// doesn't show.
    pub(crate) fn is_taken_back(&self, record: &ControlRecord) -> bool {
        self.endpoints.get(&record.key).is_some_and(|known| {
            known.value.is_none()
                && known.position > record.position
                && known.position.with_advance(0) == record.position
        })
    }

    fn replace_value(
        &mut self,
        stream: ControlStream,
        key: &str,
        value: Option<Bytes>,
        advance: u64,
    ) {
        if let Some(record) = self.stream_mut(stream).get_mut(key) {
            record.position = record.position.with_advance(advance);
            record.value = value;
        }
        self.raise_advance();
    }

    /// Raises the advances of the positions to those of their records. Sidecars know a higher one of
    /// the operators, as they don't hold the records.
    fn raise_advance(&mut self) {
        let ControlPosition { operator, endpoints } = &mut self.position;
        for (position, records) in [(operator, &self.operator), (endpoints, &self.endpoints)] {
            let advance = records.values().map(|record| record.position.advance()).sum();
            *position = position.with_advance(advance).max(*position);
        }
    }

    /// Sets the position at which the content of `key` last changed. It is lower than the position of
    /// the key's newest record if that record repeats earlier content.
    ///
    /// ```
    /// use celeryshed_base::{LogOffset, LogPosition, StoreEra};
    /// use celeryshed_peering::{ControlBatch, ControlLog, ControlRecord, ControlStream};
    /// let at = |offset| LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap();
    /// let mut log = ControlLog::default();
    /// let record = ControlRecord { key: "a".into(), position: at(7), value: None };
    /// let batch = ControlBatch { records: vec![record], end: at(8), is_snapshot: false };
    /// log.merge(ControlStream::Endpoints, batch);
    /// log.set_changed_at(ControlStream::Endpoints, "a", at(2));
    /// assert!(log.changed_since(ControlStream::Endpoints, at(3)).records.is_empty());
    /// ```
    pub fn set_changed_at(&mut self, stream: ControlStream, key: &str, position: LogPosition) {
        self.changed_at.insert((stream, key.to_owned()), position);
    }

    /// The newest record of each key whose content changed at the position `from` or later, or that
    /// a process at this position may hold as the restored store does.
    pub fn changed_since(&self, stream: ControlStream, from: LogPosition) -> ControlBatch {
        let known = self.stream(stream);
        let end = match stream {
            ControlStream::Operator => self.position.operator,
            ControlStream::Endpoints => self.position.endpoints,
        };
        let changed = |record: &&ControlRecord| {
            let changed_at = self.changed_at.get(&(stream, record.key.clone()));
            is_unread(*changed_at.unwrap_or(&record.position), from, end)
        };
        let records = known.values().filter(changed).cloned().collect();
        ControlBatch { records, end, is_snapshot: false }
    }

    /// The newest record of each key of a stream; deleted keys have a record without a value.
    pub fn records(&self, stream: ControlStream) -> impl Iterator<Item = &ControlRecord> + '_ {
        self.stream(stream).values()
    }

    /// Records that delete the keys which a snapshot with the given end doesn't list.
    fn deletions(
        &self,
        stream: ControlStream,
        listed: &[ControlRecord],
        end: LogPosition,
    ) -> Vec<ControlRecord> {
        let known = self.stream(stream).values();
        known
            .filter(|record| record.value.is_some() && record.position < end)
            .filter(|record| !listed.iter().any(|other| other.key == record.key))
            .map(|record| ControlRecord {
                key: record.key.clone(),
                // Later than the record to delete, and earlier than the records after the snapshot.
                position: if record.position.era() < end.era() {
                    LogPosition::before(end.era())
                } else {
                    record.position.next()
                },
                value: None,
            })
            .collect()
    }

    fn stream(&self, stream: ControlStream) -> &BTreeMap<String, ControlRecord> {
        match stream {
            ControlStream::Operator => &self.operator,
            ControlStream::Endpoints => &self.endpoints,
        }
    }

    fn stream_mut(&mut self, stream: ControlStream) -> &mut BTreeMap<String, ControlRecord> {
        match stream {
            ControlStream::Operator => &mut self.operator,
            ControlStream::Endpoints => &mut self.endpoints,
        }
    }
}

/// Whether a process that has read up to `from` may lack a change at `changed_at`, which the owner of
/// a log that ends at `end` knows.
pub(crate) fn is_unread(changed_at: LogPosition, from: LogPosition, end: LogPosition) -> bool {
    // The next record has this offset too, and no advance.
    changed_at >= from.with_advance(0)
        || (changed_at.advance() > 0 && from.advance() < end.advance())
}
