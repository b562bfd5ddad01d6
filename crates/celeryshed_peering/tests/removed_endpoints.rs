//! What a process keeps of endpoints that have left.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{AvailabilityZone, LogOffset, LogPosition, ServiceName, StoreEra};
use celeryshed_dispatch::{EndpointId, EndpointState, ListedEndpoint};
use celeryshed_peering::{
    ControlBatch, ControlEvent, ControlHandle, ControlPosition, ControlQuery, ControlRecord,
    ControlScope, ControlSettings, ControlStore, ControlStream, DecodeError, OperatorRecord,
    ReadOutcome, RecordDecoder, StoreError, start_control,
};
use celeryshed_process::TaskGroup;
use tokio::sync::mpsc;

/// Endpoints that start and leave between two looks at the process, seven times the largest fleet.
const STARTS: u64 = 4_200;

fn at(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap()
}

/// A store whose list of endpoints gets the given batches, one at a read.
#[derive(Default)]
struct BatchStore(Mutex<VecDeque<ControlBatch>>);

impl BatchStore {
    async fn next(&self, stream: ControlStream) -> ControlBatch {
        let next = match stream {
            ControlStream::Operator => None,
            ControlStream::Endpoints => self.0.lock().unwrap().pop_front(),
        };
        match next {
            Some(batch) => batch,
            None => std::future::pending().await,
        }
    }
}

impl ControlStore for BatchStore {
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

struct EndpointDecoder;

impl RecordDecoder for EndpointDecoder {
    fn operator(&self, _key: &str, _value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Other)
    }

    fn endpoint(&self, key: &str, _value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Ok(ListedEndpoint {
            service: ServiceName::try_from("letters").unwrap(),
            address: key.to_owned(),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 1,
            state: EndpointState::Ready,
            models: BTreeMap::new(),
            started_at_ms: 1,
            seq_no: Some(1),
        })
    }
}

fn record(key: &str, offset: u64, is_listed: bool) -> ControlRecord {
    let value = is_listed.then(|| Bytes::from_static(b"ready"));
    ControlRecord { key: key.to_owned(), position: at(offset), value }
}

/// Endpoints with the given numbers that start and leave, each at two offsets of its own.
fn starts(numbers: std::ops::Range<u64>) -> ControlBatch {
    let end = at(numbers.end * 2 + 1);
    let records = numbers.flat_map(|number| {
        let key = format!("e{number:06}");
        [record(&key, number * 2 + 1, true), record(&key, number * 2 + 2, false)]
    });
    ControlBatch { records: records.collect(), end, is_snapshot: false }
}

async fn reply(control: &ControlHandle, from: u64) -> Bytes {
    let position = ControlPosition { endpoints: at(from), ..Default::default() };
    let scope = ControlScope::Everything;
    let query = ControlQuery { position, scope, with_ages: false, with_eras: true };
    control.answer_query(query).await.unwrap()
}

fn start(
    batches: Vec<ControlBatch>,
) -> (ControlHandle, mpsc::UnboundedReceiver<ControlEvent>, TaskGroup) {
    let settings = ControlSettings {
        scope: ControlScope::Everything,
        endpoints_interval: Duration::from_millis(100),
        endpoints_max_age: Duration::from_millis(200),
        renewal_interval: None,
    };
    let tasks = TaskGroup::new().0;
    let store = Arc::new(BatchStore(Mutex::new(batches.into())));
    let (control, events) = start_control(&tasks, store, Arc::new(EndpointDecoder), settings);
    (control, events, tasks)
}

async fn wait_for_position(control: &ControlHandle, end: LogPosition) {
    let mut position = control.watch_position();
    position.wait_for(|position| position.endpoints >= end).await.unwrap();
}

/// Guards against memory and replies to peers that grow with each start of an endpoint: each has a
/// new key, and a process that runs for weeks kept all of them.
#[tokio::test(start_paused = true)]
async fn removed_endpoints_are_kept_for_ever() {
    let first =
        ControlBatch { records: vec![record("stays", 0, true)], end: at(1), is_snapshot: false };
    let batches = (0..4).map(|round| starts(round * STARTS..(round + 1) * STARTS));
    let ends: Vec<LogPosition> = batches.clone().map(|batch| batch.end).collect();
    let (control, _events, _tasks) = start(std::iter::once(first).chain(batches).collect());
    wait_for_position(&control, ends[0]).await;
    let after_one = reply(&control, 0).await;
    wait_for_position(&control, ends[3]).await;
    let after_four = reply(&control, 0).await;
    assert!(
        after_four.len() <= after_one.len() * 11 / 10,
        "{} bytes, then {}",
        after_one.len(),
        after_four.len()
    );
    let contains = |reply: &Bytes, key: &str| reply.windows(key.len()).any(|w| w == key.as_bytes());
    assert!(contains(&after_four, "stays"));
    // A peer that is 600 removals behind learns of each.
    let newest = reply(&control, (4 * STARTS - 600) * 2 + 1).await;
    for number in 4 * STARTS - 600..4 * STARTS {
        assert!(contains(&newest, &format!("e{number:06}")), "{number}");
    }
}

/// Guards against an endpoint that isn't listed, or that stays in the list, if its key returns after
/// its removal is no longer kept.
#[tokio::test(start_paused = true)]
async fn key_that_returns_after_its_removal_is_forgotten_is_lost() {
    let end = STARTS * 2 * 2 + 1;
    let rejoined = ControlBatch {
        records: vec![record("e000000", end, true)],
        end: at(end + 1),
        is_snapshot: false,
    };
    let left = ControlBatch {
        records: vec![record("e000000", end + 1, false)],
        end: at(end + 2),
        is_snapshot: false,
    };
    let batches = vec![starts(0..STARTS), starts(STARTS..2 * STARTS), rejoined, left];
    let (control, mut events, _tasks) = start(batches);
    wait_for_position(&control, at(end + 2)).await;
    let mut listed = Vec::new();
    while let Ok(event) = events.try_recv() {
        if let ControlEvent::Endpoint(record) = event
            && record.id == EndpointId::from("e000000")
        {
            listed.push(record.endpoint.is_some());
        }
    }
    assert_eq!(listed, [true, false, true, false]);
}
