//! The newest record of each key, merged from the store and from peers.

use std::collections::BTreeMap;

use celeryshed_base::LogOffset;
use celeryshed_base::common_derives;
use serde::{Deserialize, Serialize};

use crate::record::{ControlBatch, ControlRecord, ControlStream};

/// Up to where a process has read both streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlPosition {
    /// Position after the last known record of operators.
    pub operator: LogOffset,
    /// Position after the last known record of the list of endpoints.
    pub endpoints: LogOffset,
}

common_derives! { value:
    /// The newest records of both streams.
    ///
    /// ```
    /// use celeryshed_base::LogOffset;
    /// use celeryshed_peering::{ControlBatch, ControlLog, ControlRecord, ControlStream};
    /// let mut log = ControlLog::default();
    /// let record = ControlRecord { key: "a".into(), offset: LogOffset(3), value: None };
    /// let batch = ControlBatch { records: vec![record], end: LogOffset(4), is_snapshot: false };
    /// assert_eq!(log.merge(ControlStream::Operator, batch).len(), 1);
    /// assert_eq!(log.position().operator, LogOffset(4));
    /// ```
    #[derive(Default)]
    pub struct ControlLog {
        operator: BTreeMap<String, ControlRecord>,
        endpoints: BTreeMap<String, ControlRecord>,
        /// Where the meaning of a record last changed; most records only repeat the one before.
        changes: BTreeMap<(ControlStream, String), LogOffset>,
        position: ControlPosition,
    }
}

impl ControlLog {
    /// Up to where records are known.
    pub fn position(&self) -> ControlPosition {
        self.position
    }

    /// Takes over a batch and returns the records that are new, in the order of the log.
    ///
    /// Each key keeps its latest record, so batches may arrive twice, late or from several places.
    /// A whole batch also drops the keys that it doesn't name and that are not newer than it.
    pub fn merge(&mut self, stream: ControlStream, batch: ControlBatch) -> Vec<ControlRecord> {
        let mut records = batch.records;
        if batch.is_snapshot {
            records.extend(self.missing(stream, &records, batch.end));
        }
        records.sort_by_key(|record| record.offset);
        let held = self.stream_mut(stream);
        let mut adopted = Vec::new();
        for record in records {
            if held.get(&record.key).is_none_or(|known| known.offset < record.offset) {
                held.insert(record.key.clone(), record.clone());
                adopted.push(record);
            }
        }
        let position = match stream {
            ControlStream::Operator => &mut self.position.operator,
            ControlStream::Endpoints => &mut self.position.endpoints,
        };
        *position = batch.end.max(*position);
        adopted
    }

    /// The record of a key means something else since `offset`.
    ///
    /// ```
    /// use celeryshed_base::LogOffset;
    /// use celeryshed_peering::{ControlBatch, ControlLog, ControlRecord, ControlStream};
    /// let mut log = ControlLog::default();
    /// let record = ControlRecord { key: "a".into(), offset: LogOffset(7), value: None };
    /// let batch = ControlBatch { records: vec![record], end: LogOffset(8), is_snapshot: false };
    /// log.merge(ControlStream::Endpoints, batch);
    /// log.note_change(ControlStream::Endpoints, "a", LogOffset(2));
    /// assert!(log.since(ControlStream::Endpoints, LogOffset(3)).records.is_empty());
    /// ```
    pub fn note_change(&mut self, stream: ControlStream, key: &str, offset: LogOffset) {
        self.changes.insert((stream, key.to_owned()), offset);
    }

    /// The records of a stream that mean something else to a process that knows all before a
    /// position.
    pub fn since(&self, stream: ControlStream, from: LogOffset) -> ControlBatch {
        let held = self.stream(stream);
        let changed = |record: &&ControlRecord| {
            let noted = self.changes.get(&(stream, record.key.clone()));
            *noted.unwrap_or(&record.offset) >= from
        };
        let records = held.values().filter(changed).cloned().collect();
        let end = match stream {
            ControlStream::Operator => self.position.operator,
            ControlStream::Endpoints => self.position.endpoints,
        };
        ControlBatch { records, end, is_snapshot: false }
    }

    /// The newest records of a stream.
    pub fn records(&self, stream: ControlStream) -> impl Iterator<Item = &ControlRecord> + '_ {
        self.stream(stream).values()
    }

    fn missing(
        &self,
        stream: ControlStream,
        named: &[ControlRecord],
        end: LogOffset,
    ) -> Vec<ControlRecord> {
        let held = self.stream(stream).values();
        held.filter(|record| record.value.is_some() && record.offset < end)
            .filter(|record| !named.iter().any(|other| other.key == record.key))
            .map(|record| ControlRecord {
                key: record.key.clone(),
                // Later than the record that it drops, earlier than all that follow the batch.
                offset: record.offset.next(),
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
