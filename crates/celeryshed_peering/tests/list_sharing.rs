//! Processes of one region share their reads of the list of endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::LogOffset;
use celeryshed_dispatch::ListedEndpoint;
use celeryshed_peering::{
    ControlBatch, ControlHandle, ControlScope, ControlSettings, ControlStore, ControlStream,
    DecodeError, OperatorRecord, ReadOutcome, RecordDecoder, StoreError, parse_control_query,
    start_control,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// As long as that of the product, so that delays of a busy machine are short against the spread of
/// the reads.
const INTERVAL: Duration = Duration::from_millis(2000);
const PROCESSES: u64 = 6;

/// A store whose list of endpoints grows with each millisecond. It counts the reads of the list.
struct BusyStore {
    started_at: Instant,
    list_reads: AtomicU64,
}

impl BusyStore {
    fn end(&self) -> LogOffset {
        LogOffset(self.started_at.elapsed().as_millis() as u64)
    }
}

impl ControlStore for BusyStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        let end = match stream {
            ControlStream::Operator => LogOffset(1),
            ControlStream::Endpoints => self.end(),
        };
        Ok(ControlBatch { records: vec![], end, is_snapshot: true })
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        sleep(wait).await;
        let end = match stream {
            ControlStream::Operator => from,
            ControlStream::Endpoints => {
                self.list_reads.fetch_add(1, Ordering::Relaxed);
                self.end()
            }
        };
        Ok(ReadOutcome::Records(ControlBatch { records: vec![], end, is_snapshot: false }))
    }
}

impl RecordDecoder for BusyStore {
    fn operator(&self, _key: &str, _value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Configuration(Box::default()))
    }

    fn endpoint(&self, key: &str, _value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Err(DecodeError { key: key.to_owned(), detail: "none in this test".to_owned() })
    }
}

/// Answers the queries of peers from the records of a process; returns the address.
async fn serve_control(control: ControlHandle) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.unwrap();
            let text = String::from_utf8_lossy(&request[..length]).into_owned();
            let target = text.split(' ').nth(1).unwrap_or_default();
            let query = parse_control_query(target).expect("a control query");
            let body = control.answer_query(query).await.expect("the control task runs");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            // The peer may have given up.
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
        }
    });
    address
}

/// Guards against calls to the store that grow with the number of entries: the list is read about
/// once an interval by all processes of a region together, and none of them knows a list that is
/// much older than one of its own would be.
#[tokio::test]
async fn processes_of_region_share_reads_of_list() {
    let started_at = Instant::now();
    let store = Arc::new(BusyStore { started_at, list_reads: AtomicU64::new(0) });
    let settings = ControlSettings {
        scope: ControlScope::Everything,
        endpoints_interval: INTERVAL,
        endpoints_max_age: INTERVAL * 3,
    };
    let mut members = Vec::new();
    for _ in 0..PROCESSES {
        let (control, events) = start_control(store.clone(), store.clone(), settings);
        members.push((serve_control(control.clone()).await, control, events));
    }
    let rounds = 3;
    let mut oldest = Duration::ZERO;
    while started_at.elapsed() < INTERVAL * rounds {
        for (address, sender, _) in &members {
            for (other, receiver, _) in &members {
                if other != address {
                    receiver.report_peer_position(address, sender.position(), true);
                }
            }
        }
        if started_at.elapsed() > INTERVAL {
            for (_, member, _) in &members {
                let read_at = Duration::from_millis(member.position().endpoints.0);
                oldest = oldest.max(started_at.elapsed() - read_at);
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    let reads = store.list_reads.load(Ordering::Relaxed);
    assert!(reads < PROCESSES * u64::from(rounds) / 2, "{reads} reads");
    assert!(oldest < INTERVAL * 3, "{oldest:?}");
}
