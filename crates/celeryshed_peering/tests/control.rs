//! Control records: merging batches in any order, and fetching from peers if the store fails.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ConfigRevision, LogOffset, LogPosition, ServiceName, StoreEra,
};
use celeryshed_dispatch::{
    EndpointState, EngineProfile, ListedEndpoint, RoutingSnapshot, ServiceProfile,
};
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlHandle, ControlLog, ControlPosition, ControlQuery,
    ControlRecord, ControlReply, ControlScope, ControlSettings, ControlStore, ControlStream,
    DecodeError, OperatorRecord, ReadOutcome, RecordDecoder, StoreError, parse_control_query,
    start_control,
};
use celeryshed_process::TaskGroup;
use quickcheck::TestResult;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Position of an offset before any restore of the store.
fn at(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap()
}

fn record(key: u8, offset: u64, value: Option<u8>) -> ControlRecord {
    let value = value.map(|value| Bytes::from(vec![value]));
    ControlRecord { key: format!("k{key}"), position: at(offset), value }
}

fn state(log: &ControlLog) -> BTreeMap<String, Option<Bytes>> {
    let records = log.records(ControlStream::Endpoints);
    records.map(|record| (record.key.clone(), record.value.clone())).collect()
}

/// Guards against a result that depends on the order of batches. Those from the store and from
/// peers arrive in any order, repeatedly and overlapping.
#[test]
fn merging_in_any_order_gives_the_same_records() {
    fn property(writes: Vec<(u8, Option<u8>)>, order: Vec<u8>) -> TestResult {
        let records: Vec<ControlRecord> = writes
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| record(key % 4, offset as u64, *value))
            .collect();
        if records.is_empty() {
            return TestResult::discard();
        }
        let end = at(records.len() as u64);
        let mut in_order = ControlLog::default();
        let whole = ControlBatch { records: records.clone(), end, is_snapshot: false };
        in_order.merge(ControlStream::Endpoints, whole.clone());
        let mut shuffled = ControlLog::default();
        for draw in order {
            let from = usize::from(draw) % records.len();
            let part = records[from..].iter().take(3).cloned().collect();
            let batch = ControlBatch { records: part, end: at(0), is_snapshot: false };
            shuffled.merge(ControlStream::Endpoints, batch);
        }
        shuffled.merge(ControlStream::Endpoints, whole);
        TestResult::from_bool(state(&in_order) == state(&shuffled))
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, Option<u8>)>, Vec<u8>) -> TestResult);
}

/// Guards against deleted keys that stay known because the store no longer keeps their deletion: a
/// snapshot deletes the keys that it doesn't list, but not those written after it.
#[test]
fn snapshot_deletes_older_keys_that_it_does_not_list() {
    let mut log = ControlLog::default();
    let records = vec![record(1, 0, Some(1)), record(2, 1, Some(1)), record(3, 9, Some(1))];
    log.merge(ControlStream::Endpoints, ControlBatch { records, end: at(10), is_snapshot: false });
    let newest = vec![record(1, 5, Some(2))];
    let batch = ControlBatch { records: newest, end: at(6), is_snapshot: true };
    let merged = log.merge(ControlStream::Endpoints, batch);
    assert_eq!(merged.len(), 2, "{merged:?}");
    let remaining = state(&log);
    assert_eq!(remaining["k1"], Some(Bytes::from_static(&[2])));
    assert_eq!(remaining["k2"], None);
    assert_eq!(remaining["k3"], Some(Bytes::from_static(&[1])));
    assert_eq!(log.position().endpoints, at(10), "positions never go back");
}

/// A store without records, which a test can make unavailable.
#[derive(Default)]
struct LostStore {
    lost: AtomicBool,
}

impl LostStore {
    fn check(&self) -> Result<(), StoreError> {
        if self.lost.load(Ordering::Relaxed) {
            return Err(StoreError::Refused { address: "fake".to_owned(), status: 503 });
        }
        Ok(())
    }
}

impl ControlStore for LostStore {
    async fn newest(&self, _stream: ControlStream) -> Result<ControlBatch, StoreError> {
        self.check()?;
        Ok(ControlBatch { records: vec![], end: at(0), is_snapshot: true })
    }

    async fn read(
        &self,
        _stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        self.check()?;
        sleep(wait).await;
        self.check()?;
        Ok(ReadOutcome::Records(ControlBatch { records: vec![], end: from, is_snapshot: false }))
    }
}

/// Decodes the first byte of a value as a revision, or as a version under the key `version`.
struct RevisionDecoder;

impl RecordDecoder for RevisionDecoder {
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        if key == "version" {
            let version = u64::from(value[0]);
            return Ok(OperatorRecord::ModelVersion { model: "m".to_owned(), version });
        }
        let revision = ConfigRevision(u64::from(value[0]));
        let snapshot = RoutingSnapshot { revision, ..Default::default() };
        Ok(OperatorRecord::Configuration(Box::new(snapshot)))
    }

    fn endpoint(&self, key: &str, _value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Err(DecodeError { key: key.to_owned(), detail: "none in this test".to_owned() })
    }
}

/// Starts a peer that replies to every query with all records of `log`; returns its address.
async fn serve_peer(log: ControlLog) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await.unwrap();
            let body = ControlReply::changed_since(&log, ControlPosition::default()).encode();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    address
}

fn settings() -> ControlSettings {
    ControlSettings {
        scope: ControlScope::Everything,
        endpoints_interval: Duration::from_millis(100),
        endpoints_max_age: Duration::from_millis(200),
        renewal_interval: None,
    }
}

/// Guards against an entry without a configuration while the store refuses all calls: it fetches
/// one from a peer within a second. A lower revision that arrives later must not replace it.
#[tokio::test]
async fn process_fetches_configuration_from_peer_while_store_refuses() {
    let store = Arc::new(LostStore::default());
    store.lost.store(true, Ordering::Relaxed);
    let (control, mut events) =
        start_control(&TaskGroup::new().0, store, Arc::new(RevisionDecoder), settings());
    for (revision, offset, expected) in [(7, 3, true), (6, 4, false), (9, 5, true)] {
        let mut log = ControlLog::default();
        let records = vec![record(1, offset, Some(revision))];
        let end = at(offset + 1);
        log.merge(ControlStream::Operator, ControlBatch { records, end, is_snapshot: false });
        let position = log.position();
        let peer = serve_peer(log).await;
        control.report_peer_position(&peer, position);
        let next = async {
            loop {
                match events.recv().await {
                    Some(ControlEvent::Configuration(snapshot)) => return snapshot.revision,
                    Some(_) => {}
                    None => panic!("the control task ended"),
                }
            }
        };
        let received = timeout(Duration::from_millis(1000), next).await.ok();
        let wanted = expected.then_some(ConfigRevision(u64::from(revision)));
        assert_eq!(received, wanted, "revision {revision}");
    }
}

/// Decodes configurations with one service, and endpoints whose address comes from the first byte.
struct ServiceDecoder;

impl RecordDecoder for ServiceDecoder {
    fn operator(&self, _key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        let engine = EngineProfile { slots: u32::from(value[1]), ..engine() };
        let service = ServiceProfile { engine: Some(engine), origin: None };
        let name = ServiceName::try_from("letters").unwrap();
        let mut snapshot = RoutingSnapshot {
            revision: ConfigRevision(u64::from(value[0])),
            services: BTreeMap::from([(name, service)]),
            ..Default::default()
        };
        snapshot.hosts.insert("shop.example".to_owned(), vec![]);
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

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 1,
        step_us: 1,
        step_per_request_us: 1,
        step_per_context_token_ns: 1,
        read_per_s: 1,
        read_per_kilopair_ns: 1,
        read_chunk: 1,
        pass_steps: 1,
        mean_answer_tokens: 1,
        mean_prompt_tokens: 1,
        models: vec![],
        piece_count: 1,
        piece_bytes: 1,
    }
}

/// A store that returns prepared batches, the last one first, and then never replies. It counts the
/// reads of operators' records.
#[derive(Default)]
struct ScriptedStore {
    operator: Mutex<Vec<ControlBatch>>,
    endpoints: Mutex<Vec<ControlBatch>>,
    operator_calls: AtomicUsize,
}

impl ScriptedStore {
    async fn next(&self, stream: ControlStream) -> ControlBatch {
        let batches = match stream {
            ControlStream::Operator => {
                self.operator_calls.fetch_add(1, Ordering::Relaxed);
                &self.operator
            }
            ControlStream::Endpoints => &self.endpoints,
        };
        let next = batches.lock().unwrap().pop();
        match next {
            Some(batch) => batch,
            None => std::future::pending().await,
        }
    }
}

impl ControlStore for ScriptedStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        Ok(self.next(stream).await)
    }

    async fn read(
        &self,
        stream: ControlStream,
        _from: LogPosition,
        _wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        Ok(ReadOutcome::Records(self.next(stream).await))
    }
}

fn batch(records: Vec<(u8, u64, Vec<u8>)>, end: u64) -> ControlBatch {
    let records = records.into_iter().map(|(key, offset, value)| ControlRecord {
        key: format!("k{key}"),
        position: at(offset),
        value: Some(Bytes::from(value)),
    });
    ControlBatch { records: records.collect(), end: at(end), is_snapshot: false }
}

async fn wait_for_position(control: &ControlHandle, endpoints: u64, operator: u64) {
    while control.position().endpoints < at(endpoints) || control.position().operator < at(operator)
    {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Size in bytes of the reply to a query from this position.
async fn reply_size(
    control: &ControlHandle,
    operator: u64,
    endpoints: u64,
    scope: ControlScope,
) -> usize {
    let position = ControlPosition { operator: at(operator), endpoints: at(endpoints) };
    control
        .answer_query(ControlQuery { position, scope, with_ages: false, with_eras: true })
        .await
        .unwrap()
        .len()
}

/// Guards against replies that fill a narrow link: with 1,680 routes published, 88 sidecars fetched
/// the whole configuration at each change and the whole list every few seconds. Entries then learnt
/// 3.5 s late that endpoints were leaving, and weights did not arrive.
#[tokio::test(start_paused = true)]
async fn reply_contains_only_changes_within_scope() {
    let store = Arc::new(ScriptedStore::default());
    // The store returns the last batch first.
    *store.endpoints.lock().unwrap() = vec![
        batch(vec![(1, 2, vec![1]), (2, 3, vec![9])], 4),
        batch(vec![(1, 0, vec![1]), (2, 1, vec![2])], 2),
    ];
    let big = |revision: u8, slots: u8| {
        let mut value = vec![0; 100_000];
        (value[0], value[1]) = (revision, slots);
        value
    };
    *store.operator.lock().unwrap() = vec![
        batch(vec![(7, 2, big(3, 5))], 3),
        batch(vec![(7, 1, big(2, 4))], 2),
        batch(vec![(7, 0, big(1, 4))], 1),
    ];
    let (control, _events) =
        start_control(&TaskGroup::new().0, store, Arc::new(ServiceDecoder), settings());
    wait_for_position(&control, 4, 3).await;
    // The second batch repeats endpoint 1 and changes the address of endpoint 2.
    let unchanged = reply_size(&control, 3, 4, ControlScope::Weights).await;
    let moved = reply_size(&control, 3, 2, ControlScope::Weights).await;
    let both = reply_size(&control, 3, 0, ControlScope::Weights).await;
    assert!(
        unchanged < moved && moved < both + 1 && both - moved < 40,
        "{unchanged} {moved} {both}"
    );
    // Revision 3 changed the services; sidecars don't get the routes.
    let known = reply_size(&control, 3, 4, ControlScope::Weights).await;
    let changed = reply_size(&control, 2, 4, ControlScope::Weights).await;
    assert!(known < 100 && changed > known && changed < 1000, "{known} {changed}");
    assert!(reply_size(&control, 2, 4, ControlScope::Everything).await > 100_000);
}

/// Guards against sidecars that read a large configuration from the store although a peer has the
/// services in it: after a power failure, none of these reads ended in time.
#[tokio::test]
async fn sidecar_reads_operator_records_only_if_no_peer_sends_them() {
    let weights = ControlSettings { scope: ControlScope::Weights, ..settings() };
    for peer_sends in [true, false] {
        let store = Arc::new(ScriptedStore::default());
        let (control, mut events) =
            start_control(&TaskGroup::new().0, store.clone(), Arc::new(ServiceDecoder), weights);
        if peer_sends {
            let peer_store = Arc::new(ScriptedStore::default());
            *peer_store.operator.lock().unwrap() = vec![batch(vec![(7, 4, vec![6, 2])], 5)];
            let (peer, _events) = start_control(
                &TaskGroup::new().0,
                peer_store,
                Arc::new(ServiceDecoder),
                settings(),
            );
            wait_for_position(&peer, 0, 5).await;
            let address = serve_control(peer).await;
            control.fetch_from(&address).await;
            match events.recv().await {
                Some(ControlEvent::Configuration(snapshot)) => {
                    assert_eq!(snapshot.revision, ConfigRevision(6));
                    assert!(snapshot.hosts.is_empty() && snapshot.services.len() == 1);
                }
                other => panic!("{other:?}"),
            }
            wait_for_position(&control, 0, 5).await;
        }
        // Sockets need real time, so only the wait for the fallback is skipped.
        tokio::time::pause();
        sleep(Duration::from_secs(20)).await;
        tokio::time::resume();
        let calls = store.operator_calls.load(Ordering::Relaxed);
        assert_eq!(calls, usize::from(!peer_sends), "peer sends: {peer_sends}");
    }
}

/// Starts a peer that replies to queries with the records of `control`; returns its address.
async fn serve_control(control: ControlHandle) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.unwrap();
            let text = String::from_utf8_lossy(&request[..length]).into_owned();
            let target = text.split(' ').nth(1).unwrap();
            let body = control.answer_query(parse_control_query(target).unwrap()).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    address
}

/// Guards against old declarations that count as new after a restart: versions among the first
/// records of a process are marked, later ones aren't.
#[tokio::test]
async fn versions_among_the_first_records_are_marked() {
    let store = Arc::new(LostStore::default());
    store.lost.store(true, Ordering::Relaxed);
    let (control, mut events) =
        start_control(&TaskGroup::new().0, store, Arc::new(RevisionDecoder), settings());
    // The empty reply of a peer that has just started must not count as the first records: after
    // all processes were killed, a version declared 17 s earlier got its whole deadline again.
    let empty = serve_peer(ControlLog::default()).await;
    control.fetch_from(&empty).await;
    for (version, offset, expected) in [(2, 0, true), (3, 1, false)] {
        let mut log = ControlLog::default();
        let mut written = record(1, offset, Some(version));
        written.key = "version".to_owned();
        let end = at(offset + 1);
        let batch = ControlBatch { records: vec![written], end, is_snapshot: false };
        log.merge(ControlStream::Operator, batch);
        let position = log.position();
        let peer = serve_peer(log).await;
        control.report_peer_position(&peer, position);
        loop {
            let event = timeout(Duration::from_secs(2), events.recv()).await.unwrap().unwrap();
            if let ControlEvent::ModelVersion { initial, .. } = event {
                assert_eq!(initial, expected, "version {version}");
                break;
            }
        }
    }
}
