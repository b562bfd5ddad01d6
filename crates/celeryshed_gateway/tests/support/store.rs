//! A platform store in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{AvailabilityZone, LogOffset, LogPosition, StoreEra};
use celeryshed_dispatch::{EndpointState, ListedEndpoint, RoutingSnapshot};
use celeryshed_peering::{
    ControlBatch, ControlRecord, ControlStore, ControlStream, DecodeError, OperatorRecord,
    ReadOutcome, RecordDecoder, StoreError,
};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::{ScriptedEndpoint, service};

fn position(era: StoreEra, offset: usize) -> LogPosition {
    LogPosition::new(era, LogOffset(offset as u64)).unwrap()
}

#[derive(Default)]
struct StoredRecords {
    /// How often the records were restored from a copy.
    restores: u64,
    operator: Vec<ControlRecord>,
    endpoints: Vec<ControlRecord>,
    snapshots: BTreeMap<String, RoutingSnapshot>,
    versions: BTreeMap<String, (String, u64)>,
    listed: BTreeMap<String, ListedEndpoint>,
}

impl StoredRecords {
    fn of(&self, stream: ControlStream) -> &[ControlRecord] {
        match stream {
            ControlStream::Operator => &self.operator,
            ControlStream::Endpoints => &self.endpoints,
        }
    }

    fn era(&self) -> StoreEra {
        StoreEra::try_from(self.restores).unwrap()
    }

    /// Position of the next record.
    fn end(&self, stream: ControlStream) -> LogPosition {
        position(self.era(), self.of(stream).len())
    }
}

/// The records of both streams at a moment.
pub(crate) struct StoreCopy {
    operator: Vec<ControlRecord>,
    endpoints: Vec<ControlRecord>,
}

/// Keeps records in memory. A record's value is the key under which [`StoredRecords`] holds its
/// decoded content.
#[derive(Default)]
pub(crate) struct FakeStore {
    records: Mutex<StoredRecords>,
    changed: Notify,
    failing: AtomicBool,
    /// Number of reads of the records of operators that panic.
    panicking_reads: AtomicU32,
    /// Number of records of operators whose decoding panics.
    panicking_records: AtomicU32,
}

/// Counts `left` down; panics unless it was zero.
fn panic_if_left(left: &AtomicU32) {
    let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
    assert!(taken.is_err(), "a panic that the test expects");
}

impl FakeStore {
    /// The next `count` reads of the records of operators panic.
    pub(crate) fn panic_in_reads(&self, count: u32) {
        self.panicking_reads.store(count, Ordering::Relaxed);
    }

    /// The decoding of the next `count` records of operators panics.
    pub(crate) fn panic_in_records(&self, count: u32) {
        self.panicking_records.store(count, Ordering::Relaxed);
    }

    /// Publishes a configuration.
    pub(crate) fn publish(&self, snapshot: RoutingSnapshot) {
        let mut records = self.records.lock().unwrap();
        let name = format!("configuration-{}", snapshot.revision);
        records.snapshots.insert(name.clone(), snapshot);
        let position = records.end(ControlStream::Operator);
        let value = Some(Bytes::from(name));
        records.operator.push(ControlRecord { key: "configuration".to_owned(), position, value });
        self.changed.notify_waiters();
    }

    /// Lists an endpoint as ready.
    pub(crate) fn register(&self, endpoint: &ScriptedEndpoint) {
        self.write(endpoint, EndpointState::Ready);
    }

    /// Lists an endpoint with the given state.
    pub(crate) fn write(&self, endpoint: &ScriptedEndpoint, state: EndpointState) {
        self.write_start(endpoint, state, 1);
    }

    /// Lists a start of an endpoint with the given state.
    pub(crate) fn write_start(
        &self,
        endpoint: &ScriptedEndpoint,
        state: EndpointState,
        started_at_ms: u64,
    ) {
        let listed = ListedEndpoint {
            service: service("shop"),
            address: endpoint.address.to_string(),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 4,
            state,
            models: BTreeMap::new(),
            started_at_ms,
            seq_no: None,
        };
        let mut records = self.records.lock().unwrap();
        let name = format!("{}-{state:?}", endpoint.id);
        records.listed.insert(name.clone(), listed);
        let position = records.end(ControlStream::Endpoints);
        let value = Some(Bytes::from(name));
        records.endpoints.push(ControlRecord { key: endpoint.id.clone(), position, value });
    }

    /// Lists an endpoint as ready, with the version of a model that it serves.
    pub(crate) fn register_model(&self, endpoint: &ScriptedEndpoint, model: &str, version: u64) {
        self.register(endpoint);
        let mut records = self.records.lock().unwrap();
        let name = format!("{}-{:?}", endpoint.id, EndpointState::Ready);
        let listed = records.listed.get_mut(&name).unwrap();
        listed.models.insert(model.to_owned(), version);
    }

    /// Declares a version of a model.
    pub(crate) fn declare(&self, model: &str, version: u64) {
        let mut records = self.records.lock().unwrap();
        let name = format!("version-{model}-{version}");
        records.versions.insert(name.clone(), (model.to_owned(), version));
        let position = records.end(ControlStream::Operator);
        let value = Some(Bytes::from(name));
        records.operator.push(ControlRecord { key: format!("version-{model}"), position, value });
        self.changed.notify_waiters();
    }

    /// Removes an endpoint from the list.
    pub(crate) fn remove(&self, endpoint: &ScriptedEndpoint) {
        let mut records = self.records.lock().unwrap();
        let position = records.end(ControlStream::Endpoints);
        records.endpoints.push(ControlRecord { key: endpoint.id.clone(), position, value: None });
    }

    /// Sets whether all calls are refused from now on.
    pub(crate) fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::Relaxed);
    }

    /// Copies the records, for [`Self::restore`].
    pub(crate) fn copy(&self) -> StoreCopy {
        let records = self.records.lock().unwrap();
        StoreCopy { operator: records.operator.clone(), endpoints: records.endpoints.clone() }
    }

    /// Replaces the records by a copy and begins a new era. Offsets after the copy are given out
    /// again.
    pub(crate) fn restore(&self, copy: StoreCopy) {
        let mut records = self.records.lock().unwrap();
        records.restores += 1;
        let era = records.era();
        let restored = |mut copied: Vec<ControlRecord>| {
            for (offset, record) in copied.iter_mut().enumerate() {
                record.position = position(era, offset);
            }
            copied
        };
        records.operator = restored(copy.operator);
        records.endpoints = restored(copy.endpoints);
        self.changed.notify_waiters();
    }

    fn batch(&self, stream: ControlStream, from: LogPosition) -> ControlBatch {
        let records = self.records.lock().unwrap();
        let end = records.end(stream);
        let records =
            records.of(stream).iter().filter(|record| record.position >= from).cloned().collect();
        ControlBatch { records, end, is_snapshot: false }
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.failing.load(Ordering::Relaxed) {
            return Err(StoreError::Refused { address: "fake".to_owned(), status: 503 });
        }
        Ok(())
    }
}

impl ControlStore for FakeStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        self.check()?;
        let mut batch = self.batch(stream, LogPosition::default());
        batch.is_snapshot = true;
        let mut newest = BTreeMap::new();
        for record in batch.records {
            newest.insert(record.key.clone(), record);
        }
        batch.records = newest.into_values().collect();
        Ok(batch)
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        if stream == ControlStream::Operator {
            panic_if_left(&self.panicking_reads);
        }
        let changed = self.changed.notified();
        self.check()?;
        let batch = self.batch(stream, from);
        if batch.end >= from && batch.records.is_empty() {
            // After the timeout, the records are read again too.
            let _ = timeout(wait, changed).await;
        }
        self.check()?;
        let batch = self.batch(stream, from);
        if batch.end.era() != from.era() {
            return Ok(ReadOutcome::Restored);
        }
        if batch.end < from {
            return Ok(ReadOutcome::Truncated);
        }
        Ok(ReadOutcome::Records(batch))
    }
}

impl RecordDecoder for FakeStore {
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        panic_if_left(&self.panicking_records);
        let name = String::from_utf8_lossy(value).into_owned();
        let records = self.records.lock().unwrap();
        if let Some((model, version)) = records.versions.get(&name).cloned() {
            return Ok(OperatorRecord::ModelVersion { model, version });
        }
        let snapshot = records.snapshots.get(&name).cloned();
        let snapshot = snapshot.ok_or(DecodeError { key: key.to_owned(), detail: name })?;
        Ok(OperatorRecord::Configuration(Box::new(snapshot)))
    }

    fn endpoint(&self, key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        let name = String::from_utf8_lossy(value).into_owned();
        let listed = self.records.lock().unwrap().listed.get(&name).cloned();
        listed.ok_or(DecodeError { key: key.to_owned(), detail: name })
    }
}
