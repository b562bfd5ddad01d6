//! Reading on after the store was restored from an older copy.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ConfigRevision, LogOffset, LogPosition, ServiceName, StoreEra,
};
use celeryshed_dispatch::{
    EndpointState, ListedEndpoint, OriginProfile, RoutingSnapshot, ServiceProfile,
};
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlHandle, ControlRecord, ControlReply, ControlScope,
    ControlSettings, ControlStore, ControlStream, DecodeError, OperatorRecord, ReadOutcome,
    RecordAge, RecordDecoder, StoreError, parse_control_query, start_control,
};
use celeryshed_process::TaskGroup;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

const LIST_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
struct StoredLog {
    era: u64,
    /// Key and value; offsets count from 0.
    operator: Vec<(&'static str, u8)>,
    endpoints: Vec<(&'static str, u8)>,
}

/// A store that can be restored from a copy.
#[derive(Default)]
struct RestorableStore {
    log: Mutex<StoredLog>,
    written: Notify,
}

impl RestorableStore {
    fn write(&self, key: &'static str, value: u8) {
        self.log.lock().unwrap().operator.push((key, value));
        self.written.notify_waiters();
    }

    /// Lists an endpoint at an address that ends with `address`.
    fn list(&self, key: &'static str, address: u8) {
        self.log.lock().unwrap().endpoints.push((key, address));
    }

    /// Goes back to the first `kept` records of each stream. Polls that are waiting are never answered.
    fn restore(&self, kept: usize) {
        let mut log = self.log.lock().unwrap();
        log.era += 1;
        log.operator.truncate(kept);
        log.endpoints.truncate(kept);
    }

    /// The records of a stream from an offset on.
    fn batch(&self, stream: ControlStream, from: LogOffset) -> ControlBatch {
        let log = self.log.lock().unwrap();
        let at = |offset: usize| {
            let era = StoreEra::try_from(log.era).unwrap();
            LogPosition::new(era, LogOffset(offset as u64)).unwrap()
        };
        let records = match stream {
            ControlStream::Operator => &log.operator[..],
            ControlStream::Endpoints => &log.endpoints[..],
        };
        let listed = records.iter().enumerate().skip(from.0 as usize);
        let listed = listed.map(|(offset, (key, value))| ControlRecord {
            key: (*key).to_owned(),
            position: at(offset),
            value: Some(Bytes::from(vec![*value])),
        });
        ControlBatch { records: listed.collect(), end: at(records.len()), is_snapshot: false }
    }

    fn era(&self) -> u64 {
        self.log.lock().unwrap().era
    }
}

impl ControlStore for RestorableStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        let batch = self.batch(stream, LogOffset(0));
        let newest: BTreeMap<String, ControlRecord> =
            batch.records.into_iter().map(|record| (record.key.clone(), record)).collect();
        Ok(ControlBatch { records: newest.into_values().collect(), is_snapshot: true, ..batch })
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        let era = self.era();
        let written = self.written.notified();
        if wait > Duration::ZERO && self.batch(stream, from.offset()).records.is_empty() {
            // A poll ends with or without a record.
            let _ = timeout(wait, written).await;
            if self.era() != era {
                std::future::pending::<()>().await;
            }
        }
        let batch = self.batch(stream, from.offset());
        if batch.end.era() != from.era() {
            return Ok(ReadOutcome::Restored);
        }
        Ok(ReadOutcome::Records(batch))
    }
}

/// Decodes values under `configuration` as revisions, and others as versions.
struct NumberDecoder;

impl RecordDecoder for NumberDecoder {
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        let number = u64::from(value[0]);
        if key != "configuration" {
            return Ok(OperatorRecord::ModelVersion { model: key.to_owned(), version: number });
        }
        // Services change with every ten revisions.
        let origin =
            OriginProfile { address: format!("10.0.0.{}:80", number / 10), link_bits_per_s: 1 };
        let service = ServiceProfile { engine: None, origin: Some(origin) };
        let services = BTreeMap::from([(ServiceName::try_from("weights").unwrap(), service)]);
        let revision = ConfigRevision(number);
        let snapshot = RoutingSnapshot { revision, services, ..Default::default() };
        Ok(OperatorRecord::Configuration(Box::new(snapshot)))
    }

    fn endpoint(&self, _key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Ok(ListedEndpoint {
            service: ServiceName::try_from("letters").unwrap(),
            address: format!("10.0.0.{}:80", value[0]),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 1,
            state: EndpointState::Ready,
            models: BTreeMap::new(),
            started_at_ms: 1,
            seq_no: None,
        })
    }
}

/// A process that reads or relays the store's records.
struct TestProcess {
    control: ControlHandle,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    /// The configurations and versions that the process has taken up.
    revisions: Vec<u64>,
    versions: Vec<(String, u64, RecordAge)>,
    /// Addresses of listed endpoints.
    addresses: Vec<String>,
}

impl TestProcess {
    fn start(store: &Arc<RestorableStore>, scope: ControlScope) -> Self {
        let settings = ControlSettings {
            scope,
            endpoints_interval: LIST_INTERVAL,
            endpoints_max_age: LIST_INTERVAL,
            renewal_interval: None,
        };
        let (control, events) =
            start_control(&TaskGroup::new().0, store.clone(), Arc::new(NumberDecoder), settings);
        Self { control, events, revisions: vec![], versions: vec![], addresses: vec![] }
    }

    /// Receives events for some time.
    async fn run_for(&mut self, time: Duration) {
        sleep(time).await;
        while let Ok(event) = self.events.try_recv() {
            match event {
                ControlEvent::Configuration(snapshot) => self.revisions.push(snapshot.revision.0),
                ControlEvent::ModelVersion { model, version, age, .. } => {
                    self.versions.push((model, version, age.age()));
                }
                ControlEvent::Endpoint(record) => {
                    self.addresses.extend(record.endpoint.map(|endpoint| endpoint.address));
                }
                ControlEvent::StoreAnswered
                | ControlEvent::StoreFailed
                | ControlEvent::RegistrationsRenewed
                | ControlEvent::StoreRestored => {}
            }
        }
    }

    /// Fetches from a peer if its position is ahead, as after one of its messages.
    async fn hear(&mut self, peer: &Self) {
        let address = serve_control(peer.control.clone()).await;
        self.control.report_peer_position(&address, peer.control.position());
        self.run_for(Duration::from_millis(400)).await;
    }
}

/// Starts a server that answers queries with the records of `control`; returns its address.
async fn serve_control(control: ControlHandle) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.unwrap();
            let text = String::from_utf8_lossy(&request[..length]).into_owned();
            let query = parse_control_query(text.split(' ').nth(1).unwrap()).unwrap();
            let body = control.answer_query(query).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    address
}

fn write_all(store: &RestorableStore, revisions: &[u8]) {
    for revision in revisions {
        store.write("configuration", *revision);
    }
}

/// Guards against a configuration that is read only by luck: after a restore that took back two,
/// entries read none of those written again until the end of the day.
#[tokio::test(start_paused = true)]
async fn configuration_written_after_a_restore_is_read() {
    for kept in 0..5 {
        let store = Arc::new(RestorableStore::default());
        write_all(&store, &[11, 12, 13, 14, 15]);
        let mut entry = TestProcess::start(&store, ControlScope::Everything);
        entry.run_for(Duration::from_secs(1)).await;
        store.restore(kept);
        // The restored log may have passed the position of the reader at its next read.
        write_all(&store, if kept == 4 { &[16, 17] } else { &[16] });
        entry.run_for(Duration::from_millis(300)).await;
        let newest = if kept == 4 { 17 } else { 16 };
        assert_eq!(entry.revisions, [15, newest], "{kept} records kept");
    }
}

/// Guards against a poll that outlives the store: it is answered after its ten seconds at the
/// earliest, while reads of the list already show the restore.
#[tokio::test(start_paused = true)]
async fn poll_from_before_a_restore_is_given_up() {
    let store = Arc::new(RestorableStore::default());
    write_all(&store, &[11, 12, 13]);
    let mut entry = TestProcess::start(&store, ControlScope::Everything);
    entry.run_for(Duration::from_secs(1)).await;
    store.restore(1);
    entry.run_for(Duration::from_millis(300)).await;
    write_all(&store, &[14]);
    entry.run_for(Duration::from_millis(300)).await;
    assert_eq!(entry.revisions, [13, 14]);
}

/// Guards against an entry that starts between the restore and the operator's next write: it served
/// the configuration of the copy, with routes and keys missing, although others had the newer one.
#[tokio::test]
async fn process_started_on_a_restored_store_learns_newer_records_from_peers() {
    for scope in [ControlScope::Everything, ControlScope::Weights] {
        let store = Arc::new(RestorableStore::default());
        write_all(&store, &[11, 12, 23]);
        store.write("m", 5);
        let mut entry = TestProcess::start(&store, ControlScope::Everything);
        entry.run_for(Duration::from_millis(200)).await;
        store.restore(1);
        entry.run_for(Duration::from_millis(400)).await;
        assert_eq!(entry.revisions, [23], "what is in force doesn't go back");
        let mut late_entry = TestProcess::start(&store, ControlScope::Everything);
        late_entry.run_for(Duration::from_millis(200)).await;
        assert_eq!(late_entry.revisions, [11]);
        let mut late = TestProcess::start(&store, scope);
        late.hear(&late_entry).await;
        assert_eq!(late.revisions, [11]);
        late.hear(&entry).await;
        assert_eq!(late.revisions, [11, 23], "{scope:?}");
        let version = ("m".to_owned(), 5, RecordAge::Unknown);
        assert_eq!(late.versions, [version], "an unknown age stays unknown");
        // Services are those of revision 23, so that sidecars need them only if they missed it.
        write_all(&store, &[24]);
        entry.run_for(Duration::from_millis(300)).await;
        assert_eq!(entry.revisions, [23, 24]);
        late.hear(&entry).await;
        assert_eq!(late.revisions.last(), Some(&24), "{scope:?}");
        let mut sidecar = TestProcess::start(&store, ControlScope::Weights);
        sidecar.hear(&late_entry).await;
        sidecar.hear(&entry).await;
        assert_eq!(sidecar.revisions.last(), Some(&24), "{scope:?}");
    }
}

/// Guards against sidecars that keep the services of the copy: the next configuration has the same
/// services as the one that the restore took back, so it seems to change none.
#[tokio::test]
async fn sidecar_with_services_of_the_copy_learns_those_of_the_next_configuration() {
    let store = Arc::new(RestorableStore::default());
    write_all(&store, &[11, 23]);
    let mut entry = TestProcess::start(&store, ControlScope::Everything);
    entry.run_for(Duration::from_millis(200)).await;
    store.restore(1);
    let mut late_entry = TestProcess::start(&store, ControlScope::Everything);
    late_entry.run_for(Duration::from_millis(400)).await;
    let mut sidecar = TestProcess::start(&store, ControlScope::Weights);
    sidecar.hear(&late_entry).await;
    assert_eq!(sidecar.revisions, [11]);
    for revision in [23, 24] {
        write_all(&store, &[revision]);
        entry.run_for(Duration::from_millis(300)).await;
    }
    sidecar.hear(&entry).await;
    assert_eq!(sidecar.revisions, [11, 24]);
}

/// Guards against sidecars without services: the copy has no configuration, and the sidecar has heard
/// a process that started since.
#[tokio::test]
async fn sidecar_learns_services_that_the_copy_lacks() {
    let store = Arc::new(RestorableStore::default());
    write_all(&store, &[11, 23]);
    store.write("m", 3);
    let mut entry = TestProcess::start(&store, ControlScope::Everything);
    entry.run_for(Duration::from_millis(200)).await;
    store.restore(0);
    entry.run_for(Duration::from_millis(400)).await;
    let mut late_entry = TestProcess::start(&store, ControlScope::Everything);
    late_entry.run_for(Duration::from_millis(200)).await;
    let unread = Arc::new(RestorableStore::default());
    let mut sidecar = TestProcess::start(&unread, ControlScope::Weights);
    sidecar.hear(&late_entry).await;
    sidecar.hear(&entry).await;
    assert_eq!(sidecar.revisions, [23]);
}

/// Guards against a version that gets its whole deadline twice: it was declared, taken back by a
/// restore and declared again.
#[tokio::test]
async fn version_declared_again_keeps_its_age() {
    let store = Arc::new(RestorableStore::default());
    write_all(&store, &[11]);
    store.write("m", 1);
    let mut entry = TestProcess::start(&store, ControlScope::Everything);
    entry.run_for(Duration::from_millis(300)).await;
    store.write("m", 2);
    entry.run_for(Duration::from_millis(1000)).await;
    assert!(matches!(entry.versions[1], (_, 2, RecordAge::Known(_))), "{:?}", entry.versions);
    store.restore(2);
    entry.run_for(Duration::from_millis(400)).await;
    store.write("m", 2);
    entry.run_for(Duration::from_millis(400)).await;
    assert_eq!(entry.versions.len(), 2, "{:?}", entry.versions);
    let unread = Arc::new(RestorableStore::default());
    let mut sidecar = TestProcess::start(&unread, ControlScope::Weights);
    sidecar.hear(&entry).await;
    let age = sidecar.versions[0].2.limit().expect("the entry tells the age");
    assert!(age >= Duration::from_millis(1800), "{age:?}");
}

/// An empty copy of the store has no records that a process could wait for.
#[tokio::test(start_paused = true)]
async fn empty_restored_store_counts_as_no_records() {
    let store = Arc::new(RestorableStore::default());
    store.restore(0);
    let mut entry = TestProcess::start(&store, ControlScope::Everything);
    entry.run_for(Duration::from_millis(300)).await;
    assert!(!entry.control.has_operator_records());
    write_all(&store, &[11]);
    entry.run_for(Duration::from_millis(300)).await;
    assert!(entry.control.has_operator_records());
}

/// Guards against an endpoint that stays as a peer saw it before the restore: the peer's source has
/// missed that change, so the restored record changes nothing there.
#[tokio::test]
async fn peer_learns_restored_endpoint_that_its_source_already_knew() {
    let [store, ahead] = [(); 2].map(|()| Arc::new(RestorableStore::default()));
    for store in [&store, &ahead] {
        store.list("e", 1);
    }
    ahead.list("e", 2);
    let mut source = TestProcess::start(&store, ControlScope::Everything);
    let mut informed = TestProcess::start(&ahead, ControlScope::Everything);
    informed.run_for(Duration::from_millis(300)).await;
    let unread = Arc::new(RestorableStore::default());
    let mut sidecar = TestProcess::start(&unread, ControlScope::Weights);
    sidecar.run_for(Duration::from_millis(300)).await;
    sidecar.hear(&informed).await;
    assert_eq!(sidecar.addresses, ["10.0.0.2:80"]);
    store.restore(1);
    source.run_for(Duration::from_millis(500)).await;
    sidecar.hear(&source).await;
    assert_eq!(sidecar.addresses, ["10.0.0.2:80", "10.0.0.1:80"]);
}

/// Guards against builds that know only offsets: with the positions of a later era, all that they
/// read from the store themselves seemed older than what peers had sent.
#[tokio::test(start_paused = true)]
async fn peer_that_knows_only_offsets_gets_offsets() {
    let store = Arc::new(RestorableStore::default());
    write_all(&store, &[11, 12]);
    store.restore(1);
    write_all(&store, &[13]);
    let mut entry = TestProcess::start(&store, ControlScope::Everything);
    entry.run_for(Duration::from_millis(300)).await;
    for (target, expected) in [
        ("/control?operator=0&endpoints=0&scope=everything&ages=1", vec![1]),
        ("/control?operator=2&endpoints=0&scope=everything&ages=1", vec![]),
    ] {
        let query = parse_control_query(target).unwrap();
        let body = entry.control.answer_query(query).await.unwrap();
        let reply: ControlReply = rmp_serde::from_slice(&body).unwrap();
        let [(_, batch), _] = reply.into_batches();
        let positions = batch.records.iter().map(|record| u64::from(record.position));
        assert_eq!((positions.collect::<Vec<_>>(), u64::from(batch.end)), (expected, 2));
    }
}

/// A store whose reads and snapshots tell different eras, as behind a proxy with an old backend.
#[derive(Default)]
struct DividedStore {
    snapshots: AtomicU64,
}

impl ControlStore for DividedStore {
    async fn newest(&self, _stream: ControlStream) -> Result<ControlBatch, StoreError> {
        self.snapshots.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(1)).await;
        let end = LogPosition::new(StoreEra::try_from(1).unwrap(), LogOffset(0)).unwrap();
        Ok(ControlBatch { records: vec![], end, is_snapshot: true })
    }

    async fn read(
        &self,
        _stream: ControlStream,
        _from: LogPosition,
        _wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        sleep(Duration::from_millis(1)).await;
        Ok(ReadOutcome::Restored)
    }
}

/// Guards against a reader that starts over as fast as the store answers.
#[tokio::test(start_paused = true)]
async fn reader_pauses_if_reads_and_snapshots_tell_different_eras() {
    let store = Arc::new(DividedStore::default());
    let settings = ControlSettings {
        scope: ControlScope::Everything,
        endpoints_interval: Duration::from_secs(1),
        endpoints_max_age: Duration::from_secs(1),
        renewal_interval: None,
    };
    let _control =
        start_control(&TaskGroup::new().0, store.clone(), Arc::new(NumberDecoder), settings);
    sleep(Duration::from_secs(4)).await;
    let snapshots = store.snapshots.load(Ordering::Relaxed);
    assert!(snapshots < 20, "{snapshots} snapshots in 4 s");
}
