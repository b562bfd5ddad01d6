//! Loops of the peer task beside a control task that has ended.

use std::sync::mpsc;
use std::thread;

use celeryshed_base::{ClockSource, LogPosition};
use celeryshed_dispatch::{BudgetLimits, ListedEndpoint, NoticeLimits, VersionDeadlines};
use celeryshed_peering::{
    ControlBatch, ControlScope, ControlSettings, ControlStore, ControlStream, DecodeError,
    OperatorRecord, ReadOutcome, RecordDecoder, StoreError, start_control,
};
use tokio::runtime::{Builder, Runtime};

use super::*;
use crate::dispatcher_task::start_dispatcher;

/// Time after which loops that don't pause are given up.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A store that never answers.
struct SilentStore;

impl ControlStore for SilentStore {
    async fn newest(&self, _stream: ControlStream) -> Result<ControlBatch, StoreError> {
        std::future::pending().await
    }

    async fn read(
        &self,
        _stream: ControlStream,
        _from: LogPosition,
        _wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        std::future::pending().await
    }
}

impl RecordDecoder for SilentStore {
    fn operator(&self, _key: &str, _value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Other)
    }

    fn endpoint(&self, key: &str, _value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Err(DecodeError { key: key.to_owned(), detail: "unused".to_owned() })
    }
}

fn paused_runtime() -> Runtime {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap()
}

/// A handle whose control task has ended.
fn ended_control() -> ControlHandle {
    let settings = ControlSettings {
        scope: ControlScope::Everything,
        endpoints_interval: Duration::from_millis(50),
        endpoints_max_age: Duration::from_millis(500),
        renewal_interval: None,
    };
    paused_runtime().block_on(async {
        let (tasks, _ends) = TaskGroup::new();
        start_control(&tasks, Arc::new(SilentStore), Arc::new(SilentStore), settings).0
    })
}

fn dispatcher_settings() -> DispatcherSettings {
    let window = Duration::from_secs(10);
    DispatcherSettings {
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        regions: Default::default(),
        budget: BudgetLimits { retry_percent: 20, retry_allowance: 100, window },
        versions: VersionDeadlines { after_declaration: window, after_start: window },
        notices: NoticeLimits { max_pause: window },
    }
}

/// Guards against loops that take the end of the control task for news without end: they took a whole
/// core, and time that is paused never went on.
#[test]
fn end_of_the_control_task_is_no_news() {
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        let control = ended_control();
        paused_runtime().block_on(async {
            let (tasks, _ends) = TaskGroup::new();
            let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            let address = socket.address().unwrap();
            let own = PeerAddress(address.to_string());
            let (_events, events) = tokio::sync::mpsc::unbounded_channel();
            let settings = dispatcher_settings();
            let clock = ClockSource::start();
            let (dispatcher, _outputs) =
                start_dispatcher(&tasks, settings.clone(), own, clock, events);
            PeerTask::new(address, settings, 18082, socket, dispatcher, control).start(&tasks);
            sleep(Duration::from_secs(10)).await;
        });
        done.send(()).unwrap();
    });
    assert!(finished.recv_timeout(WAIT_LIMIT).is_ok(), "the loops never pause");
}
