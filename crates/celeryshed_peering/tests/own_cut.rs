//! Removals from the list of endpoints that a process reads after calls to the store failed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ClockSource, LogOffset, LogPosition, ServiceName, StoreEra,
};
use celeryshed_dispatch::{EndpointDirectory, EndpointState, ListedEndpoint};
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlRecord, ControlScope, ControlSettings, ControlStore,
    ControlStream, DecodeError, OperatorRecord, ReadOutcome, RecordDecoder, StoreError,
    start_control,
};
use celeryshed_process::TaskGroup;
use tokio::time::sleep;

/// Interval at which endpoints renew their registrations.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);
const ENDPOINTS: u8 = 12;

fn position(offset: usize) -> LogPosition {
    LogPosition::new(StoreEra::default(), LogOffset(offset as u64)).unwrap()
}

/// A store whose answers may be lost on the way to the process.
#[derive(Default)]
struct CutStore {
    endpoints: Mutex<Vec<ControlRecord>>,
    is_cut: Mutex<bool>,
}

impl CutStore {
    fn write(&self, endpoint: u8, value: Option<u8>) {
        let mut records = self.endpoints.lock().unwrap();
        let position = position(records.len());
        let value = value.map(|value| Bytes::from(vec![value]));
        records.push(ControlRecord { key: format!("i-{endpoint}"), position, value });
    }

    fn set_cut(&self, is_cut: bool) {
        *self.is_cut.lock().unwrap() = is_cut;
    }

    fn check(&self) -> Result<(), StoreError> {
        if *self.is_cut.lock().unwrap() {
            return Err(StoreError::Refused { address: "fake".to_owned(), status: 503 });
        }
        Ok(())
    }
}

impl ControlStore for CutStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        match self.read(stream, position(0), Duration::ZERO).await? {
            ReadOutcome::Records(batch) => Ok(batch),
            ReadOutcome::Truncated | ReadOutcome::Restored => {
                unreachable!("this store keeps all records")
            }
        }
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        self.check()?;
        sleep(wait).await;
        self.check()?;
        let records = self.endpoints.lock().unwrap();
        let (records, end) = match stream {
            ControlStream::Operator => (vec![], from),
            ControlStream::Endpoints => {
                (records[from.offset().0 as usize..].to_vec(), position(records.len()))
            }
        };
        Ok(ReadOutcome::Records(ControlBatch { records, end, is_snapshot: false }))
    }
}

/// Decodes the first byte of a value as the number of an endpoint.
struct EndpointDecoder;

impl RecordDecoder for EndpointDecoder {
    fn operator(&self, _key: &str, _value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Other)
    }

    fn endpoint(&self, _key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Ok(ListedEndpoint {
            service: ServiceName::try_from("model").unwrap(),
            address: format!("10.0.0.{}:8000", value[0]),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 16,
            state: EndpointState::Ready,
            models: Default::default(),
            started_at_ms: 1,
            seq_no: None,
        })
    }
}

/// The list of endpoints of a process.
struct FollowedList {
    directory: Arc<Mutex<EndpointDirectory>>,
    clock: ClockSource,
}

impl FollowedList {
    fn len(&self) -> usize {
        self.directory.lock().unwrap().endpoints(self.clock.now()).count()
    }
}

/// Starts a process that follows the list of endpoints.
fn start_process(store: &Arc<CutStore>) -> FollowedList {
    let settings = ControlSettings {
        scope: ControlScope::Everything,
        endpoints_interval: Duration::from_millis(400),
        endpoints_max_age: Duration::from_secs(1),
        renewal_interval: Some(RENEWAL_INTERVAL),
    };
    let (control, mut events) =
        start_control(&TaskGroup::new().0, store.clone(), Arc::new(EndpointDecoder), settings);
    let clock = ClockSource::start();
    let directory = Arc::new(Mutex::new(EndpointDirectory::default()));
    let applied = directory.clone();
    tokio::spawn(async move {
        let _control = control;
        while let Some(event) = events.recv().await {
            let mut directory = applied.lock().unwrap();
            match event {
                ControlEvent::Endpoint(record) => {
                    directory.apply(clock.now(), record);
                }
                ControlEvent::StoreFailed => directory.record_store_failure(),
                ControlEvent::StoreAnswered => directory.record_store_success(clock.now()),
                ControlEvent::StoreRestored => directory.record_restore(clock.now()),
                ControlEvent::RegistrationsRenewed => directory.record_renewals(),
                ControlEvent::Configuration(_) | ControlEvent::ModelVersion { .. } => {}
            }
        }
    });
    FollowedList { directory, clock }
}

/// A process that has read the registrations of all endpoints.
async fn start_with_endpoints(store: &Arc<CutStore>) -> FollowedList {
    (0..ENDPOINTS).for_each(|endpoint| store.write(endpoint, Some(endpoint)));
    let list = start_process(store);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(list.len(), usize::from(ENDPOINTS));
    list
}

/// Guards against requests to an endpoint that has left: after its own cut, an entry kept an endpoint
/// that was removed meanwhile for 2.2 s, as after an outage of the store.
#[tokio::test(start_paused = true)]
async fn endpoint_that_left_during_own_cut_is_not_kept() {
    let store = Arc::new(CutStore::default());
    let list = start_with_endpoints(&store).await;
    store.set_cut(true);
    sleep(Duration::from_secs(6)).await;
    store.write(0, None);
    store.set_cut(false);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(list.len(), usize::from(ENDPOINTS) - 1);
}

/// A removal that is read in the moments after the cut takes effect at once, too.
#[tokio::test(start_paused = true)]
async fn endpoint_that_left_after_own_cut_is_not_kept() {
    let store = Arc::new(CutStore::default());
    let list = start_with_endpoints(&store).await;
    store.set_cut(true);
    sleep(Duration::from_secs(6)).await;
    store.set_cut(false);
    sleep(Duration::from_millis(900)).await;
    store.write(0, None);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(list.len(), usize::from(ENDPOINTS) - 1);
}

/// Guards against the removal of running endpoints whose registrations expired in an outage: the
/// first ones are back when the process reads the list, the others have yet to register again.
#[tokio::test(start_paused = true)]
async fn registrations_that_expired_in_an_outage_are_kept() {
    let store = Arc::new(CutStore::default());
    let list = start_with_endpoints(&store).await;
    store.set_cut(true);
    sleep(Duration::from_secs(6)).await;
    (0..ENDPOINTS).for_each(|endpoint| store.write(endpoint, None));
    (0..ENDPOINTS - 2).for_each(|endpoint| store.write(endpoint, Some(endpoint)));
    store.set_cut(false);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(list.len(), usize::from(ENDPOINTS));
}

/// Guards against the same after an outage that is too short to tell: only the registrations that were
/// due to be renewed when it began expire.
#[tokio::test(start_paused = true)]
async fn registration_that_expired_in_a_short_outage_is_kept() {
    let store = Arc::new(CutStore::default());
    let list = start_with_endpoints(&store).await;
    store.set_cut(true);
    sleep(RENEWAL_INTERVAL * 5 / 2).await;
    store.write(0, None);
    store.set_cut(false);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(list.len(), usize::from(ENDPOINTS));
}

/// Guards against taking a store that answers now and then for one that was available all the while.
#[tokio::test(start_paused = true)]
async fn registration_that_expired_among_lost_answers_is_kept() {
    let store = Arc::new(CutStore::default());
    let list = start_with_endpoints(&store).await;
    for _ in 0..3 {
        store.set_cut(true);
        sleep(RENEWAL_INTERVAL * 3 / 2).await;
        store.set_cut(false);
        sleep(Duration::from_millis(500)).await;
    }
    store.write(0, None);
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(list.len(), usize::from(ENDPOINTS));
}
