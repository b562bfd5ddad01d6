//! The list of endpoints after the store was restored from an older copy.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ClockSource, LogOffset, LogPosition, ServiceName, StoreEra,
};
use celeryshed_dispatch::{EndpointDirectory, EndpointId, EndpointState, ListedEndpoint};
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlHandle, ControlRecord, ControlReply, ControlScope,
    ControlSettings, ControlStore, ControlStream, DecodeError, OperatorRecord, ReadOutcome,
    RecordDecoder, StoreError, parse_control_query, start_control,
};
use celeryshed_process::TaskGroup;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which endpoints renew their registrations.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);

/// A registration: whether the endpoint is ready, its `seq_no` and its start.
type Registration = (bool, u8, u8);

#[derive(Clone, Default)]
struct StoredList {
    era: u64,
    is_down: bool,
    /// Whether the next read of the list has to start over.
    is_truncated: bool,
    /// Key and registration; offsets count from 0.
    records: Vec<(&'static str, Option<Registration>)>,
}

/// A store that can be restored from a copy.
#[derive(Default)]
struct RestorableList(Mutex<StoredList>);

impl RestorableList {
    fn write(&self, key: &'static str, registration: Registration) {
        self.0.lock().unwrap().records.push((key, Some(registration)));
    }

    fn remove(&self, key: &'static str) {
        self.0.lock().unwrap().records.push((key, None));
    }

    fn truncate(&self) {
        self.0.lock().unwrap().is_truncated = true;
    }

    /// Makes reads fail until the store is up again.
    fn set_down(&self, is_down: bool) {
        self.0.lock().unwrap().is_down = is_down;
    }

    /// A store that holds the same.
    fn copy(&self) -> Self {
        Self(Mutex::new(self.0.lock().unwrap().clone()))
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.0.lock().unwrap().is_down {
            return Err(StoreError::Refused { address: "fake".to_owned(), status: 503 });
        }
        Ok(())
    }

    /// Goes back to the first `kept` records.
    fn restore(&self, kept: usize) {
        let mut list = self.0.lock().unwrap();
        list.era += 1;
        list.records.truncate(kept);
    }

    fn batch(&self, stream: ControlStream, from: usize) -> ControlBatch {
        let list = self.0.lock().unwrap();
        let at = |offset: usize| {
            let era = StoreEra::try_from(list.era).unwrap();
            LogPosition::new(era, LogOffset(offset as u64)).unwrap()
        };
        let stored = match stream {
            ControlStream::Operator => &[],
            ControlStream::Endpoints => &list.records[..],
        };
        let records = stored.iter().enumerate().skip(from);
        let records = records.map(|(offset, (key, registration))| {
            let value = registration
                .map(|(ready, seq_no, start)| Bytes::from(vec![u8::from(ready), seq_no, start]));
            ControlRecord { key: (*key).to_owned(), position: at(offset), value }
        });
        ControlBatch { records: records.collect(), end: at(stored.len()), is_snapshot: false }
    }
}

impl ControlStore for RestorableList {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        self.check()?;
        let batch = self.batch(stream, 0);
        let newest: BTreeMap<String, ControlRecord> =
            batch.records.into_iter().map(|record| (record.key.clone(), record)).collect();
        let records = newest.into_values().filter(|record| record.value.is_some()).collect();
        Ok(ControlBatch { records, is_snapshot: true, ..batch })
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        sleep(wait).await;
        self.check()?;
        if stream == ControlStream::Endpoints
            && std::mem::take(&mut self.0.lock().unwrap().is_truncated)
        {
            return Ok(ReadOutcome::Truncated);
        }
        Ok(ReadOutcome::Records(self.batch(stream, from.offset().0 as usize)))
    }
}

/// Decodes registrations of endpoints, whose address comes from the key.
struct RegistrationDecoder;

impl RecordDecoder for RegistrationDecoder {
    fn operator(&self, _key: &str, _value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Other)
    }

    fn endpoint(&self, key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        let state = if value[0] == 1 { EndpointState::Ready } else { EndpointState::Draining };
        Ok(ListedEndpoint {
            service: ServiceName::try_from("letters").unwrap(),
            address: format!("{key}:80"),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 1,
            state,
            models: BTreeMap::new(),
            started_at_ms: u64::from(value[2]),
            seq_no: Some(u64::from(value[1])),
        })
    }
}

/// A process that follows the list of endpoints.
struct FollowedList {
    control: ControlHandle,
    store: Arc<RestorableList>,
    directory: Arc<Mutex<EndpointDirectory>>,
    clock: ClockSource,
}

impl FollowedList {
    fn start() -> Self {
        Self::start_on(Arc::default())
    }

    fn start_on(store: Arc<RestorableList>) -> Self {
        Self::start_with(store, ControlScope::Everything)
    }

    fn start_with(store: Arc<RestorableList>, scope: ControlScope) -> Self {
        let settings = ControlSettings {
            scope,
            endpoints_interval: LIST_INTERVAL,
            endpoints_max_age: Duration::from_secs(1),
            renewal_interval: Some(RENEWAL_INTERVAL),
        };
        let decoder = Arc::new(RegistrationDecoder);
        let (control, mut events) =
            start_control(&TaskGroup::new().0, store.clone(), decoder, settings);
        let clock = ClockSource::start();
        let directory = Arc::new(Mutex::new(EndpointDirectory::default()));
        let applied = directory.clone();
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                let mut directory = applied.lock().unwrap();
                match event {
                    ControlEvent::Endpoint(record) => {
                        directory.apply(clock.now(), record);
                    }
                    ControlEvent::StoreFailed => directory.record_store_failure(),
                    ControlEvent::StoreAnswered => directory.record_store_success(clock.now()),
                    ControlEvent::RegistrationsRenewed => directory.record_renewals(),
                    ControlEvent::StoreRestored => directory.record_restore(clock.now()),
                    ControlEvent::Configuration(_) | ControlEvent::ModelVersion { .. } => {}
                }
            }
        });
        Self { control, store, directory, clock }
    }

    /// Fetches from a peer if its position is ahead, as after one of its messages.
    async fn hear(&self, peer: &Self) {
        let address = serve_control(peer.control.clone()).await;
        self.control.report_peer_position(&address, peer.control.position());
        sleep(LIST_INTERVAL).await;
    }

    /// Fetches the list of a peer, and returns the state of an endpoint as [`Self::state`] does.
    async fn state_from(&self, peer: &Self, key: &str) -> Option<EndpointState> {
        sleep(LIST_INTERVAL * 3).await;
        self.control.fetch_from(&serve_control(peer.control.clone()).await).await;
        self.state(key).await
    }

    /// The state of an endpoint after some reads; `None` if it isn't listed.
    async fn state(&self, key: &str) -> Option<EndpointState> {
        sleep(LIST_INTERVAL * 3).await;
        let directory = self.directory.lock().unwrap();
        directory.get(self.clock.now(), &EndpointId::from(key)).map(|endpoint| endpoint.state)
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

/// Guards against new requests to an endpoint that is draining: the copy lists it as ready.
#[tokio::test(start_paused = true)]
async fn draining_endpoint_is_not_ready_again_after_a_restore() {
    let list = FollowedList::start();
    list.store.write("leaving", (true, 4, 1));
    assert_eq!(list.state("leaving").await, Some(EndpointState::Ready));
    list.store.write("leaving", (false, 9, 1));
    assert_eq!(list.state("leaving").await, Some(EndpointState::Draining));
    for _ in 0..2 {
        list.store.restore(1);
        assert_eq!(list.state("leaving").await, Some(EndpointState::Draining));
    }
    list.store.write("leaving", (false, 12, 1));
    assert_eq!(list.state("leaving").await, Some(EndpointState::Draining));
    list.store.write("leaving", (true, 1, 2));
    assert_eq!(list.state("leaving").await, Some(EndpointState::Ready), "it was started again");
}

/// Guards against requests to an endpoint that is gone: only the copy lists it, until its registration
/// expires.
#[tokio::test(start_paused = true)]
async fn removed_endpoint_is_not_listed_again_by_a_restore() {
    let list = FollowedList::start();
    for key in ["gone", "back", "restarted"] {
        list.store.write(key, (true, 4, 2));
        assert_eq!(list.state(key).await, Some(EndpointState::Ready));
    }
    for key in ["gone", "back", "restarted"] {
        list.store.remove(key);
        assert_eq!(list.state(key).await, None);
    }
    list.store.restore(3);
    for key in ["gone", "back", "restarted"] {
        assert_eq!(list.state(key).await, None, "{key}");
    }
    list.store.write("back", (true, 4, 2));
    list.store.write("restarted", (true, 1, 3));
    assert_eq!(list.state("back").await, Some(EndpointState::Ready), "it wrote again");
    assert_eq!(list.state("restarted").await, Some(EndpointState::Ready), "it wrote again");
    assert_eq!(list.state("gone").await, None);
}

/// Guards against the loss of running endpoints: the copy lacks those that registered since, and the
/// outage was too short to be noticed.
#[tokio::test(start_paused = true)]
async fn endpoint_that_the_copy_lacks_has_time_to_register_again() {
    let list = FollowedList::start();
    for key in ["old", "new", "gone"] {
        list.store.write(key, (true, 1, 1));
        assert_eq!(list.state(key).await, Some(EndpointState::Ready));
    }
    list.store.restore(1);
    sleep(Duration::from_secs(1)).await;
    for key in ["old", "new", "gone"] {
        assert_eq!(list.state(key).await, Some(EndpointState::Ready), "{key}");
    }
    list.store.write("new", (true, 2, 1));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(list.state("old").await, Some(EndpointState::Ready));
    assert_eq!(list.state("new").await, Some(EndpointState::Ready));
    assert_eq!(list.state("gone").await, None);
}

/// Guards against the loss of a running endpoint that was taken for gone: it writes nothing but its
/// `seq_no` after the restore, which adds no record. Its registration outlives one that isn't renewed.
#[tokio::test(start_paused = true)]
async fn removed_endpoint_that_stays_listed_after_a_restore_is_used_again() {
    let list = FollowedList::start();
    let keys = ["running", "gone", "drained"];
    for key in keys {
        list.store.write(key, (true, 4, 1));
        assert_eq!(list.state(key).await, Some(EndpointState::Ready));
    }
    list.store.write("drained", (false, 6, 1));
    assert_eq!(list.state("drained").await, Some(EndpointState::Draining));
    for key in keys {
        list.store.remove(key);
        assert_eq!(list.state(key).await, None);
    }
    list.store.restore(3);
    sleep(RENEWAL_INTERVAL * 2).await;
    for key in keys {
        assert_eq!(list.state(key).await, None, "{key}");
    }
    list.store.remove("gone");
    sleep(RENEWAL_INTERVAL).await;
    assert_eq!(list.state("running").await, Some(EndpointState::Ready));
    assert_eq!(list.state("gone").await, None);
    assert_eq!(list.state("drained").await, None);
    list.store.remove("running");
    assert_eq!(list.state("running").await, None);
}

/// Guards against requests to an endpoint that is gone: its registration may expire only after an
/// outage that follows the restore.
#[tokio::test(start_paused = true)]
async fn removed_endpoint_is_not_used_again_by_an_outage_after_a_restore() {
    let list = FollowedList::start();
    list.store.write("gone", (true, 4, 1));
    assert_eq!(list.state("gone").await, Some(EndpointState::Ready));
    list.store.remove("gone");
    assert_eq!(list.state("gone").await, None);
    list.store.restore(1);
    assert_eq!(list.state("gone").await, None);
    list.store.set_down(true);
    sleep(RENEWAL_INTERVAL * 4).await;
    list.store.set_down(false);
    sleep(RENEWAL_INTERVAL).await;
    assert_eq!(list.state("gone").await, None);
    list.store.remove("gone");
    sleep(RENEWAL_INTERVAL * 3).await;
    assert_eq!(list.state("gone").await, None);
}

/// Guards against requests to an endpoint that is gone: a snapshot leaves it out, and the record of its
/// removal isn't read.
#[tokio::test(start_paused = true)]
async fn removed_endpoint_that_a_snapshot_leaves_out_is_not_used_again() {
    let list = FollowedList::start();
    list.store.write("gone", (true, 4, 1));
    assert_eq!(list.state("gone").await, Some(EndpointState::Ready));
    list.store.remove("gone");
    assert_eq!(list.state("gone").await, None);
    list.store.restore(1);
    assert_eq!(list.state("gone").await, None);
    list.store.remove("gone");
    list.store.truncate();
    sleep(RENEWAL_INTERVAL * 4).await;
    assert_eq!(list.state("gone").await, None);
}

/// An endpoint that registers after the restore is used at once, also one with the id of another start.
#[tokio::test(start_paused = true)]
async fn endpoint_registered_after_a_restore_is_listed_at_once() {
    let list = FollowedList::start();
    list.store.write("a", (true, 3, 1));
    assert_eq!(list.state("a").await, Some(EndpointState::Ready));
    list.store.restore(0);
    list.store.write("b", (true, 1, 1));
    list.store.write("a", (true, 1, 2));
    assert_eq!(list.state("b").await, Some(EndpointState::Ready));
    assert_eq!(list.state("a").await, Some(EndpointState::Ready));
}

/// Guards against requests to endpoints that are draining or gone, from a process that was started
/// after the restore: it has read only the copy, which lists them as ready.
#[tokio::test]
async fn process_started_on_a_restored_store_learns_of_departures_from_peers() {
    let entry = FollowedList::start();
    let keys = ["draining", "gone", "running"];
    for key in keys {
        entry.store.write(key, (true, 4, 1));
    }
    assert_eq!(entry.state("running").await, Some(EndpointState::Ready));
    entry.store.write("draining", (false, 9, 1));
    entry.store.remove("gone");
    entry.store.remove("running");
    assert_eq!(entry.state("running").await, None);
    entry.store.restore(3);
    assert_eq!(entry.state("draining").await, Some(EndpointState::Draining));

    let reader = FollowedList::start_on(entry.store.clone());
    for key in keys {
        assert_eq!(reader.state(key).await, Some(EndpointState::Ready), "{key}");
    }
    // Hears from the peer before it can read the store.
    let copy = Arc::new(entry.store.copy());
    copy.set_down(true);
    let listener = FollowedList::start_on(copy);
    for process in [&reader, &listener] {
        process.hear(&entry).await;
        assert_eq!(process.state("draining").await, Some(EndpointState::Draining));
        assert_eq!(process.state("gone").await, None);
        process.store.set_down(false);
        assert_eq!(process.state("draining").await, Some(EndpointState::Draining));
        assert_eq!(process.state("gone").await, None);
    }
    for process in [&reader, &listener] {
        process.store.remove("gone");
    }
    sleep(RENEWAL_INTERVAL * 3).await;
    for process in [&entry, &reader, &listener] {
        assert_eq!(process.state("running").await, Some(EndpointState::Ready));
        assert_eq!(process.state("draining").await, Some(EndpointState::Draining));
        assert_eq!(process.state("gone").await, None);
    }

    let late = FollowedList::start_on(entry.store.clone());
    assert_eq!(late.state("draining").await, Some(EndpointState::Ready));
    late.hear(&reader).await;
    assert_eq!(late.state("running").await, Some(EndpointState::Ready));
    assert_eq!(late.state("draining").await, Some(EndpointState::Draining));
}

/// Guards against sidecars that ignore a running endpoint: the copy lacks it, and it registers again
/// with the same `seq_no`. A later copy may list it as it was before.
#[tokio::test]
async fn sidecar_lists_an_endpoint_that_the_copy_lacked() {
    let list = FollowedList::start();
    let sidecar = FollowedList::start_with(Arc::default(), ControlScope::Weights);
    list.store.write("old", (true, 1, 1));
    list.store.write("new", (true, 4, 1));
    assert_eq!(sidecar.state_from(&list, "new").await, Some(EndpointState::Ready));
    list.store.restore(1);
    assert_eq!(sidecar.state_from(&list, "old").await, Some(EndpointState::Ready));
    sleep(Duration::from_millis(1900)).await;
    assert_eq!(sidecar.state("new").await, None);
    list.store.write("new", (true, 4, 1));
    assert_eq!(sidecar.state_from(&list, "new").await, Some(EndpointState::Ready));
    list.store.write("new", (false, 6, 1));
    assert_eq!(sidecar.state_from(&list, "new").await, Some(EndpointState::Draining));
    list.store.restore(2);
    assert_eq!(sidecar.state_from(&list, "new").await, Some(EndpointState::Draining));
}

/// Guards against peers that never read what a restored copy lists: they may hold a change that was
/// taken back, while the registration is the one that their source knows.
#[tokio::test(start_paused = true)]
async fn unchanged_registration_of_the_copy_is_relayed() {
    let list = FollowedList::start();
    list.store.write("e", (true, 1, 1));
    assert_eq!(list.state("e").await, Some(EndpointState::Ready));
    list.store.restore(1);
    assert_eq!(list.state("e").await, Some(EndpointState::Ready));
    // The peer has read two records before the restore.
    let target = "/control?operator=0&endpoints=2&scope=weights&ages=1&eras=1";
    let query = parse_control_query(target).unwrap();
    let body = list.control.answer_query(query).await.unwrap();
    let reply: ControlReply = rmp_serde::from_slice(&body).unwrap();
    let [_, (_, batch)] = reply.into_batches();
    let keys: Vec<_> = batch.records.iter().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["e"]);
}
