//! Ages of declared versions that become known late.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, LogOffset, LogPosition, StoreEra, UnixMillis};
use celeryshed_dispatch::ListedEndpoint;
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlHandle, ControlRecord, ControlScope, ControlSettings,
    ControlStore, ControlStream, DecodeError, OperatorRecord, ReadOutcome, ReadProgress, RecordAge,
    RecordDecoder, StoreError, parse_control_query, start_control, start_control_with_clock,
};
use celeryshed_process::TaskGroup;
use serde::de::IgnoredAny;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::time::{advance, sleep, timeout};

/// Interval of reads of the list of endpoints.
const LIST_INTERVAL: Duration = Duration::from_millis(800);

/// Position of an offset before any restore of the store.
fn at(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap()
}

/// A store that answers polls for operators' records as soon as one is written.
#[derive(Default)]
struct PushStore {
    written: Mutex<Vec<ControlRecord>>,
    changed: Notify,
    unreachable: Mutex<bool>,
    /// Whether reads end without an answer.
    cut_off: Mutex<bool>,
    /// Time between the arrival of the answer to a poll and its processing.
    unread_time: Mutex<Duration>,
    /// Time that each answer takes from the store to the process.
    transit_time: Mutex<Duration>,
    /// Number of the next reads that fail.
    failing_reads: Mutex<u32>,
    /// Whether polls for operators' records stay unanswered.
    silent_polls: Mutex<bool>,
}

impl PushStore {
    fn declare(&self, version: u8) {
        let mut written = self.written.lock().unwrap();
        let position = at(written.len() as u64);
        let value = Some(Bytes::from(vec![version]));
        written.push(ControlRecord { key: "version".to_owned(), position, value });
        self.changed.notify_waiters();
    }

    fn batch(&self, stream: ControlStream, from: LogPosition) -> ControlBatch {
        let written = self.written.lock().unwrap();
        let records = match stream {
            ControlStream::Operator => {
                written.iter().skip(from.offset().0 as usize).cloned().collect()
            }
            ControlStream::Endpoints => vec![],
        };
        ControlBatch { records, end: at(written.len() as u64), is_snapshot: false }
    }

    fn check(&self) -> Result<(), StoreError> {
        if *self.cut_off.lock().unwrap() {
            let (address, detail) = ("fake".to_owned(), "timeout".to_owned());
            return Err(StoreError::CallFailed { address, detail });
        }
        let mut failing_reads = self.failing_reads.lock().unwrap();
        if *self.unreachable.lock().unwrap() || *failing_reads > 0 {
            *failing_reads = failing_reads.saturating_sub(1);
            return Err(StoreError::Refused { address: "fake".to_owned(), status: 503 });
        }
        Ok(())
    }
}

impl ControlStore for PushStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        self.check()?;
        let mut batch = self.batch(stream, at(0));
        let newest = batch.records.pop();
        batch.records = newest.into_iter().collect();
        Ok(batch)
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        self.read_observed(stream, from, wait, &ReadProgress::default()).await
    }

    async fn read_observed(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
        progress: &ReadProgress,
    ) -> Result<ReadOutcome, StoreError> {
        self.check()?;
        if stream == ControlStream::Operator && *self.silent_polls.lock().unwrap() {
            sleep(wait + Duration::from_millis(900)).await;
            return Err(StoreError::Refused { address: "fake".to_owned(), status: 503 });
        }
        let changed = self.changed.notified();
        if self.batch(stream, from).records.is_empty() {
            // A poll ends with or without a record.
            let _ = timeout(wait, changed).await;
        }
        self.check()?;
        let batch = self.batch(stream, from);
        let transit_time = *self.transit_time.lock().unwrap();
        if !transit_time.is_zero() {
            sleep(transit_time).await;
        }
        if stream == ControlStream::Operator {
            let unread_time = *self.unread_time.lock().unwrap();
            if !unread_time.is_zero() {
                progress.record_begin();
                sleep(unread_time).await;
            }
        }
        Ok(ReadOutcome::Records(batch))
    }
}

struct VersionDecoder;

impl RecordDecoder for VersionDecoder {
    fn operator(&self, _key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::ModelVersion { model: "m".to_owned(), version: u64::from(value[0]) })
    }

    fn endpoint(&self, key: &str, _value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Err(DecodeError { key: key.to_owned(), detail: "none in this test".to_owned() })
    }
}

fn settings(scope: ControlScope) -> ControlSettings {
    ControlSettings {
        scope,
        endpoints_interval: LIST_INTERVAL,
        endpoints_max_age: Duration::from_secs(2),
        renewal_interval: None,
    }
}

/// A process that has read the declaration of version 1.
async fn start_entry(
    store: &Arc<PushStore>,
) -> (ControlHandle, mpsc::UnboundedReceiver<ControlEvent>) {
    store.declare(1);
    let scope = ControlScope::Everything;
    let (control, mut events) = start_control(
        &TaskGroup::new().0,
        store.clone(),
        Arc::new(VersionDecoder),
        settings(scope),
    );
    assert_eq!(next_version(&mut events).await, (1, RecordAge::Unknown));
    sleep(Duration::from_secs(3)).await;
    (control, events)
}

/// The next declared version and its age.
async fn next_version(events: &mut mpsc::UnboundedReceiver<ControlEvent>) -> (u64, RecordAge) {
    loop {
        let event = timeout(Duration::from_secs(20), events.recv()).await.unwrap().unwrap();
        if let ControlEvent::ModelVersion { version, age, .. } = event {
            return (version, age.age());
        }
    }
}

/// Guards against a deadline that is counted from the end of a pause: with all entries paused during
/// a declaration, requests started on the older version seconds after the newer one was due.
#[tokio::test(start_paused = true)]
async fn version_declared_during_a_pause_is_as_old_as_the_pause() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    store.declare(2);
    let pause = Duration::from_millis(4600);
    advance(pause).await;
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let RecordAge::AtMost(age) = age else { panic!("{age:?}") };
    assert!(age >= pause && age < pause + LIST_INTERVAL, "{age:?}");
}

/// Guards against taking every version for an old one: endpoints need the whole time to load it.
#[tokio::test(start_paused = true)]
async fn version_that_is_read_at_once_is_new() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    for version in 2..6 {
        store.declare(version);
        let (read, age) = next_version(&mut events).await;
        let RecordAge::Known(age) = age else { panic!("{age:?}") };
        assert_eq!(read, u64::from(version));
        assert!(age <= Duration::from_millis(200), "{age:?}");
        sleep(Duration::from_millis(1370)).await;
    }
}

/// A pause in the past has no effect on versions that are declared after it.
#[tokio::test(start_paused = true)]
async fn version_declared_after_a_pause_is_new() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    advance(Duration::from_secs(5)).await;
    sleep(LIST_INTERVAL * 2).await;
    store.declare(2);
    let (_, age) = next_version(&mut events).await;
    let RecordAge::Known(age) = age else { panic!("{age:?}") };
    assert!(age <= Duration::from_millis(200), "{age:?}");
}

/// Guards against connections that go silent: records are late until the next read of the list of
/// endpoints fails. The outage itself doesn't age a version, which would be due at its return.
#[tokio::test(start_paused = true)]
async fn time_until_an_outage_is_noticed_counts() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    *store.unreachable.lock().unwrap() = true;
    sleep(Duration::from_secs(5)).await;
    store.declare(2);
    *store.unreachable.lock().unwrap() = false;
    let (_, age) = next_version(&mut events).await;
    let RecordAge::AtMost(age) = age else { panic!("{age:?}") };
    assert!(age >= LIST_INTERVAL && age < LIST_INTERVAL * 3, "{age:?}");
}

/// Guards against a short pause, within which the answer to the next read of the list is not overdue.
#[tokio::test(start_paused = true)]
async fn version_declared_during_a_short_pause_is_as_old_as_the_pause() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    store.declare(2);
    let pause = Duration::from_millis(900);
    advance(pause).await;
    let (_, age) = next_version(&mut events).await;
    let age = age.limit().expect("the store was read before");
    assert!(age >= pause && age < pause + LIST_INTERVAL, "{age:?}");
}

/// Guards against an answer to a read of the list that counts as proof for operators' records: the
/// answer to their poll arrived during the pause and was processed after that of the list.
#[tokio::test(start_paused = true)]
async fn list_read_after_a_pause_makes_version_of_the_pause_new() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    *store.unread_time.lock().unwrap() = Duration::from_millis(50);
    store.declare(2);
    let pause = Duration::from_millis(1470);
    advance(pause).await;
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let RecordAge::AtMost(age) = age else { panic!("{age:?}") };
    assert!(age >= pause && age < pause + LIST_INTERVAL * 2, "{age:?}");
}

/// Guards against an age that is counted from the handling of the event and not from its reading.
#[tokio::test(start_paused = true)]
async fn time_until_the_event_is_handled_is_missing_in_the_age() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    store.declare(2);
    let delay = Duration::from_millis(1500);
    sleep(delay).await;
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the store was read before");
    assert!(age >= delay && age < delay + LIST_INTERVAL, "{age:?}");
}

/// Guards against a poll that counts as unanswered while its large answer is still arriving.
#[tokio::test(start_paused = true)]
async fn arrival_of_a_large_answer_is_missing_in_the_age() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    let arrival = Duration::from_millis(1200);
    *store.unread_time.lock().unwrap() = arrival;
    store.declare(2);
    sleep(Duration::from_millis(200)).await;
    store.declare(3);
    for version in 2..4 {
        let (read, age) = next_version(&mut events).await;
        assert_eq!(read, version);
        let age = age.limit().expect("the store was read before");
        assert!(age >= arrival && age < arrival * 3, "{age:?}");
    }
}

/// Guards against an age that leaves out how long answers are under way from a slow store.
#[tokio::test(start_paused = true)]
async fn transit_of_the_answer_is_missing_in_the_age() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    let transit = Duration::from_millis(320);
    *store.transit_time.lock().unwrap() = transit;
    sleep(LIST_INTERVAL * 3).await;
    store.declare(2);
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the store was read before");
    assert!(age >= transit && age < transit * 2 + LIST_INTERVAL, "{age:?}");
}

/// Guards against a sidecar that counts the age of a version from the time at which an entry sends
/// the record, and so loads it after the entries have stopped using the older one.
#[tokio::test]
async fn age_is_passed_on_with_the_record() {
    let store = Arc::new(PushStore::default());
    store.declare(1);
    let scope = ControlScope::Everything;
    let (control, mut events) = start_control(
        &TaskGroup::new().0,
        store.clone(),
        Arc::new(VersionDecoder),
        settings(scope),
    );
    assert_eq!(next_version(&mut events).await.0, 1);
    let peer = serve_control(control.clone()).await;
    let scope = ControlScope::Weights;
    let unread = Arc::new(PushStore::default());
    let (sidecar, mut sidecar_events) =
        start_control(&TaskGroup::new().0, unread, Arc::new(VersionDecoder), settings(scope));
    sidecar.fetch_from(&peer).await;
    assert_eq!(next_version(&mut sidecar_events).await, (1, RecordAge::Unknown));
    store.declare(2);
    assert_eq!(next_version(&mut events).await.0, 2);
    let delay = Duration::from_millis(700);
    sleep(delay).await;
    sidecar.fetch_from(&peer).await;
    let (version, age) = next_version(&mut sidecar_events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the entry tells the age");
    assert!(age >= delay, "{age:?}");
}

/// Guards against a sidecar that takes a version for new when it fetches it from an entry which has
/// just started and doesn't know its age: with all entries down during a declaration, the sidecars'
/// age became that of the entries, and requests started on the older version after it was due.
#[tokio::test]
async fn version_from_a_restarted_entry_is_of_unknown_age() {
    let store = Arc::new(PushStore::default());
    store.declare(1);
    let entry = |store: &Arc<PushStore>| {
        start_control(
            &TaskGroup::new().0,
            store.clone(),
            Arc::new(VersionDecoder),
            settings(ControlScope::Everything),
        )
    };
    let (before, mut events) = entry(&store);
    assert_eq!(next_version(&mut events).await.0, 1);
    let unread = Arc::new(PushStore::default());
    let (sidecar, mut sidecar_events) = start_control(
        &TaskGroup::new().0,
        unread,
        Arc::new(VersionDecoder),
        settings(ControlScope::Weights),
    );
    sidecar.fetch_from(&serve_control(before).await).await;
    assert_eq!(next_version(&mut sidecar_events).await.0, 1);
    store.declare(2);
    let (restarted, mut events) = entry(&store);
    assert_eq!(next_version(&mut events).await, (2, RecordAge::Unknown));
    sidecar.fetch_from(&serve_control(restarted).await).await;
    assert_eq!(next_version(&mut sidecar_events).await, (2, RecordAge::Unknown));
}

static SLOW_DECODING_MS: AtomicU64 = AtomicU64::new(0);

/// A decoder that takes 5 s for version 2.
struct SlowDecoder;

impl RecordDecoder for SlowDecoder {
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        if value[0] == 2 {
            SLOW_DECODING_MS.store(5000, Ordering::Relaxed);
        }
        VersionDecoder.operator(key, value)
    }

    fn endpoint(&self, key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        VersionDecoder.endpoint(key, value)
    }
}

/// Guards against an age that leaves out the time in which the records of its batch are decoded.
#[tokio::test(start_paused = true)]
async fn time_of_decoding_counts_in_the_age() {
    let store = Arc::new(PushStore::default());
    store.declare(1);
    let slow = || Duration::from_millis(SLOW_DECODING_MS.load(Ordering::Relaxed));
    let (_control, mut events) = start_control_with_clock(
        &TaskGroup::new().0,
        ClockSource::start_with(UnixMillis(0), slow),
        store.clone(),
        Arc::new(SlowDecoder),
        settings(ControlScope::Everything),
    );
    assert_eq!(next_version(&mut events).await.0, 1);
    sleep(Duration::from_secs(3)).await;
    store.declare(2);
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the store was read before");
    assert!(age >= Duration::from_secs(5), "{age:?}");
}

/// Guards against a narrow link that is taken for an outage of the store, which ages no version.
#[tokio::test(start_paused = true)]
async fn version_declared_while_reads_time_out_is_as_old_as_the_latest_answer() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    *store.cut_off.lock().unwrap() = true;
    store.declare(2);
    let outage = Duration::from_secs(4);
    sleep(outage).await;
    *store.cut_off.lock().unwrap() = false;
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the store was read before");
    assert!(age >= outage && age < outage + LIST_INTERVAL * 3, "{age:?}");
}

/// Guards against a read that is cancelled at the end of each pause, so that a process which is often
/// paused for a moment never reads a declaration.
#[tokio::test(start_paused = true)]
async fn declaration_is_read_by_a_process_with_many_short_pauses() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    *store.transit_time.lock().unwrap() = Duration::from_millis(900);
    store.declare(2);
    let mut read = vec![];
    for _ in 0..50 {
        advance(Duration::from_millis(400)).await;
        sleep(Duration::from_millis(20)).await;
        while let Ok(event) = events.try_recv() {
            if let ControlEvent::ModelVersion { version, .. } = event {
                read.push(version);
            }
        }
    }
    assert_eq!(read, [2]);
}

/// Guards against a pause that is lost with the time of an outage, if a read fails on both sides.
#[tokio::test(start_paused = true)]
async fn pause_during_an_outage_counts_in_the_age() {
    let store = Arc::new(PushStore::default());
    let (_control, mut events) = start_entry(&store).await;
    *store.unreachable.lock().unwrap() = true;
    sleep(Duration::from_secs(2)).await;
    *store.unreachable.lock().unwrap() = false;
    *store.failing_reads.lock().unwrap() = 2;
    store.declare(2);
    let pause = Duration::from_secs(4);
    advance(pause).await;
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the store was read before");
    assert!(age >= pause && age < pause + LIST_INTERVAL * 4, "{age:?}");
}

/// Guards against a connection that is silent for the poll alone, while the list can be read.
#[tokio::test(start_paused = true)]
async fn version_behind_a_silent_poll_is_as_old_as_the_poll() {
    let store = Arc::new(PushStore::default());
    *store.silent_polls.lock().unwrap() = true;
    let (_control, mut events) = start_entry(&store).await;
    store.declare(2);
    sleep(Duration::from_secs(5)).await;
    *store.silent_polls.lock().unwrap() = false;
    let (version, age) = next_version(&mut events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the store was read before");
    assert!(age >= Duration::from_secs(8), "{age:?}");
}

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Guards against a suspension during a fetch that is missing in the age of the fetched record.
#[tokio::test]
async fn suspension_during_a_fetch_is_missing_in_the_age() {
    let suspended = || Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed));
    let store = Arc::new(PushStore::default());
    let (control, mut events) = start_control(
        &TaskGroup::new().0,
        store.clone(),
        Arc::new(VersionDecoder),
        settings(ControlScope::Everything),
    );
    sleep(Duration::from_millis(50)).await;
    store.declare(1);
    assert_eq!(next_version(&mut events).await.0, 1);
    store.declare(2);
    assert_eq!(next_version(&mut events).await.0, 2);
    let (sidecar, mut sidecar_events) = start_control_with_clock(
        &TaskGroup::new().0,
        ClockSource::start_with(UnixMillis(0), suspended),
        Arc::new(PushStore::default()),
        Arc::new(VersionDecoder),
        settings(ControlScope::Weights),
    );
    let suspension = Duration::from_secs(5);
    let suspend = move || {
        SUSPENDED_MS.fetch_add(suspension.as_millis() as u64, Ordering::Relaxed);
    };
    let peer = serve_control_after(control, suspend).await;
    sidecar.fetch_from(&peer).await;
    let (version, age) = next_version(&mut sidecar_events).await;
    assert_eq!(version, 2);
    let age = age.limit().expect("the entry tells the age");
    assert!(age >= suspension, "{age:?}");
}

/// Guards against a list of endpoints that is told to be as old as the answer to its read: the answer
/// may have been under way, or unread during a pause.
#[tokio::test(start_paused = true)]
async fn age_of_the_list_is_counted_from_the_answer() {
    let store = Arc::new(PushStore::default());
    let transit = Duration::from_millis(900);
    *store.transit_time.lock().unwrap() = transit;
    let (control, _events) = start_entry(&store).await;
    for _ in 0..40 {
        sleep(Duration::from_millis(70)).await;
        let query = parse_control_query("/control?operator=0&endpoints=0").unwrap();
        let reply = control.answer_query(query).await.unwrap();
        let told: (IgnoredAny, IgnoredAny, IgnoredAny, IgnoredAny, u64) =
            rmp_serde::from_slice(&reply).unwrap();
        let age = Duration::from_millis(told.4);
        assert!(age >= transit, "{age:?}");
    }
}

/// Starts a server that answers queries with the records of `control`; returns its address.
async fn serve_control(control: ControlHandle) -> String {
    serve_control_after(control, || ()).await
}

/// Like [`serve_control`], and calls `before_reply` when a query has arrived.
async fn serve_control_after(
    control: ControlHandle,
    before_reply: impl Fn() + Send + 'static,
) -> String {
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
            before_reply();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    address
}
