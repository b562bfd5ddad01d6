//! Control records: merging in any order, and the way around a store that can't be reached.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{AvailabilityZone, ConfigRevision, LogOffset, ServiceName};
use celeryshed_dispatch::{
    EndpointState, EngineProfile, ListedEndpoint, RoutingSnapshot, ServiceProfile,
};
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlHandle, ControlLog, ControlPosition, ControlRecord,
    ControlScope, ControlSettings, ControlStore, ControlStream, DecodeError, OperatorRecord,
    ReadOutcome, RecordDecoder, RelayAnswer, RelayQuery, StoreError, parse_relay_query,
    start_control,
};
use quickcheck::TestResult;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

fn record(key: u8, offset: u64, value: Option<u8>) -> ControlRecord {
    let value = value.map(|value| Bytes::from(vec![value]));
    ControlRecord { key: format!("k{key}"), offset: LogOffset(offset), value }
}

fn state(log: &ControlLog) -> BTreeMap<String, Option<Bytes>> {
    let records = log.records(ControlStream::Endpoints);
    records.map(|record| (record.key.clone(), record.value.clone())).collect()
}

/// Batches from the store and from peers may come in any order, twice, and overlapping.
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
        let end = LogOffset(records.len() as u64);
        let mut straight = ControlLog::default();
        let whole = ControlBatch { records: records.clone(), end, is_snapshot: false };
        straight.merge(ControlStream::Endpoints, whole.clone());
        let mut shuffled = ControlLog::default();
        for pick in order {
            let from = usize::from(pick) % records.len();
            let part = records[from..].iter().take(3).cloned().collect();
            let batch = ControlBatch { records: part, end: LogOffset(0), is_snapshot: false };
            shuffled.merge(ControlStream::Endpoints, batch);
        }
        shuffled.merge(ControlStream::Endpoints, whole);
        TestResult::from_bool(state(&straight) == state(&shuffled))
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, Option<u8>)>, Vec<u8>) -> TestResult);
}

/// After lost history the newest records say what is gone; what was written later stays.
#[test]
fn whole_batch_drops_what_it_does_not_name() {
    let mut log = ControlLog::default();
    let records = vec![record(1, 0, Some(1)), record(2, 1, Some(1)), record(3, 9, Some(1))];
    log.merge(
        ControlStream::Endpoints,
        ControlBatch { records, end: LogOffset(10), is_snapshot: false },
    );
    let newest = vec![record(1, 5, Some(2))];
    let batch = ControlBatch { records: newest, end: LogOffset(6), is_snapshot: true };
    let adopted = log.merge(ControlStream::Endpoints, batch);
    assert_eq!(adopted.len(), 2, "{adopted:?}");
    let left = state(&log);
    assert_eq!(left["k1"], Some(Bytes::from_static(&[2])));
    assert_eq!(left["k2"], None);
    assert_eq!(left["k3"], Some(Bytes::from_static(&[1])));
    assert_eq!(log.position().endpoints, LogOffset(10), "positions never go back");
}

/// A store that a test can take away.
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
        Ok(ControlBatch { records: vec![], end: LogOffset(0), is_snapshot: true })
    }

    async fn read(
        &self,
        _stream: ControlStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        self.check()?;
        sleep(wait).await;
        self.check()?;
        Ok(ReadOutcome::Records(ControlBatch { records: vec![], end: from, is_snapshot: false }))
    }
}

/// Values are revisions.
struct PlainDecoder;

impl RecordDecoder for PlainDecoder {
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

/// A peer that answers every relay request with these records.
async fn serve_peer(log: ControlLog) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await.unwrap();
            let body = RelayAnswer::since(&log, ControlPosition::default()).encode();
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
    }
}

/// A process whose calls the store refuses learns a configuration from a peer within a second, and
/// keeps it when an older one arrives.
#[tokio::test]
async fn refused_process_learns_from_peer() {
    let store = Arc::new(LostStore::default());
    store.lost.store(true, Ordering::Relaxed);
    let (control, mut events) = start_control(store, Arc::new(PlainDecoder), settings());
    for (revision, offset, expected) in [(7, 3, true), (6, 4, false), (9, 5, true)] {
        let mut log = ControlLog::default();
        let records = vec![record(1, offset, Some(revision))];
        let end = LogOffset(offset + 1);
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
        let learnt = timeout(Duration::from_millis(1000), next).await.ok();
        let wanted = expected.then_some(ConfigRevision(u64::from(revision)));
        assert_eq!(learnt, wanted, "revision {revision}");
    }
}

/// Endpoints whose entries only repeat: values are addresses.
struct ListDecoder;

impl RecordDecoder for ListDecoder {
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

/// A store whose reads give prepared batches, and whose calls are counted.
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
        _from: LogOffset,
        _wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        Ok(ReadOutcome::Records(self.next(stream).await))
    }
}

fn batch(records: Vec<(u8, u64, Vec<u8>)>, end: u64) -> ControlBatch {
    let records = records.into_iter().map(|(key, offset, value)| ControlRecord {
        key: format!("k{key}"),
        offset: LogOffset(offset),
        value: Some(Bytes::from(value)),
    });
    ControlBatch { records: records.collect(), end: LogOffset(end), is_snapshot: false }
}

async fn settled(control: &ControlHandle, endpoints: u64, operator: u64) {
    while control.position().endpoints < LogOffset(endpoints)
        || control.position().operator < LogOffset(operator)
    {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn relayed(
    control: &ControlHandle,
    operator: u64,
    endpoints: u64,
    scope: ControlScope,
) -> usize {
    let position =
        ControlPosition { operator: LogOffset(operator), endpoints: LogOffset(endpoints) };
    control.answer_query(RelayQuery { position, scope }).await.unwrap().len()
}

/// Guards against a link full of control traffic: with 1,680 routes published, 88 sidecars fetched
/// the whole configuration at each change and the whole list every few seconds; entries then learnt
/// 3.5 s late that endpoints were leaving, and weights did not arrive.
#[tokio::test(start_paused = true)]
async fn relays_carry_only_what_changed_for_the_caller() {
    let store = Arc::new(ScriptedStore::default());
    // The last batch is read first.
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
    let (control, _events) = start_control(store, Arc::new(ListDecoder), settings());
    settled(&control, 4, 3).await;
    // Endpoint 1 only repeated itself, endpoint 2 moved.
    let nothing = relayed(&control, 3, 4, ControlScope::Weights).await;
    let moved = relayed(&control, 3, 2, ControlScope::Weights).await;
    let both = relayed(&control, 3, 0, ControlScope::Weights).await;
    assert!(nothing < moved && moved < both + 1 && both - moved < 40, "{nothing} {moved} {both}");
    // The services changed with revision 3; routes alone are not told to sidecars.
    let known = relayed(&control, 3, 4, ControlScope::Weights).await;
    let changed = relayed(&control, 2, 4, ControlScope::Weights).await;
    assert!(known < 100 && changed > known && changed < 1000, "{known} {changed}");
    assert!(relayed(&control, 2, 4, ControlScope::Everything).await > 100_000);
}

/// Guards against sidecars that read a large configuration from the store although a neighbour knows
/// what they need: after a loss of power none of these reads ended in time.
#[tokio::test]
async fn sidecar_reads_operators_records_only_when_nobody_tells_them() {
    let weights = ControlSettings { scope: ControlScope::Weights, ..settings() };
    for told in [true, false] {
        let store = Arc::new(ScriptedStore::default());
        let (control, mut events) = start_control(store.clone(), Arc::new(ListDecoder), weights);
        if told {
            let neighbour = Arc::new(ScriptedStore::default());
            *neighbour.operator.lock().unwrap() = vec![batch(vec![(7, 4, vec![6, 2])], 5)];
            let (known, _events) = start_control(neighbour, Arc::new(ListDecoder), settings());
            settled(&known, 0, 5).await;
            let address = serve_relay(known).await;
            control.fetch_from(&address).await;
            match events.recv().await {
                Some(ControlEvent::Configuration(snapshot)) => {
                    assert_eq!(snapshot.revision, ConfigRevision(6));
                    assert!(snapshot.hosts.is_empty() && snapshot.services.len() == 1);
                }
                other => panic!("{other:?}"),
            }
            settled(&control, 0, 5).await;
        }
        // Sockets need real time; the wait for the fallback doesn't.
        tokio::time::pause();
        sleep(Duration::from_secs(20)).await;
        tokio::time::resume();
        let calls = store.operator_calls.load(Ordering::Relaxed);
        assert_eq!(calls, usize::from(!told), "told {told}");
    }
}

/// A process that answers relay requests.
async fn serve_relay(control: ControlHandle) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.unwrap();
            let text = String::from_utf8_lossy(&request[..length]).into_owned();
            let target = text.split(' ').nth(1).unwrap();
            let body = control.answer_query(parse_relay_query(target).unwrap()).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    address
}

/// The first records of a process may be old, those that follow are news.
#[tokio::test]
async fn versions_of_the_first_read_are_marked() {
    let store = Arc::new(LostStore::default());
    store.lost.store(true, Ordering::Relaxed);
    let (control, mut events) = start_control(store, Arc::new(PlainDecoder), settings());
    // A peer that has just started knows nothing: its answer makes no record news (seen after all
    // processes were killed: a version named 17 s before was given its whole deadline again).
    let empty = serve_peer(ControlLog::default()).await;
    control.fetch_from(&empty).await;
    for (version, offset, expected) in [(2, 0, true), (3, 1, false)] {
        let mut log = ControlLog::default();
        let mut written = record(1, offset, Some(version));
        written.key = "version".to_owned();
        let end = LogOffset(offset + 1);
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
