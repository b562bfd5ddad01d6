//! Loops of the peer task beside a control task that has ended, and messages that wait in its socket.

use std::sync::mpsc;
use std::thread;

use celeryshed_base::{ClockSource, LogPosition};
use celeryshed_dispatch::{BudgetLimits, ListedEndpoint, NoticeLimits, VersionDeadlines};
use celeryshed_peering::{
    ControlBatch, ControlPosition, ControlScope, ControlSettings, ControlStore, ControlStream,
    DecodeError, EntryStatus, OperatorRecord, ReadOutcome, RecordDecoder, StoreError, VersionAge,
    start_control,
};
use tokio::runtime::{Builder, Runtime};
use tokio::time::advance;

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
            PeerTask::new(address, settings, 18082, socket, dispatcher, clock, control)
                .start(&tasks);
            sleep(Duration::from_secs(10)).await;
        });
        done.send(()).unwrap();
    });
    assert!(finished.recv_timeout(WAIT_LIMIT).is_ok(), "the loops never pause");
}

/// Starts a dispatcher and a peer task that receives from `socket`.
fn start_receiver(
    tasks: &TaskGroup,
    socket: PeerSocket,
    control: ControlHandle,
) -> DispatcherHandle {
    let address = socket.address().unwrap();
    let own = PeerAddress(address.to_string());
    let (_events, events) = tokio::sync::mpsc::unbounded_channel();
    let settings = dispatcher_settings();
    let clock = ClockSource::start();
    let (dispatcher, _outputs) = start_dispatcher(tasks, settings.clone(), own, clock, events);
    PeerTask::new(address, settings, 18082, socket, dispatcher.clone(), clock, control)
        .start(tasks);
    dispatcher
}

/// A whole report of an entry that knows a version of model `m`.
fn report(version: u64, age: Duration) -> PeerMessage {
    PeerMessage::Load(EntryStatus {
        position: ControlPosition::default(),
        zone: None,
        lifetime_ms: 1000,
        whole: true,
        loads: Vec::new(),
        crashes: Vec::new(),
        versions: vec![VersionAge {
            model: "m".to_owned(),
            version,
            age_ms: age.as_millis() as u64,
        }],
    })
}

/// The ages that the entry tells others.
async fn told_ages(dispatcher: &DispatcherHandle) -> Vec<(u64, Duration)> {
    let query = LoadQuery {
        audience: PeerAudience::OwnRegion,
        scope: LoadScope::Whole,
        position: ControlPosition::default(),
        lifetime: Duration::from_secs(1),
    };
    let status = dispatcher.load_report(query).await.unwrap();
    let ages = status.versions.iter();
    ages.map(|told| (told.version, Duration::from_millis(told.age_ms))).collect()
}

/// Guards against an age that leaves out how long its message waited in the socket of a paused
/// process: the version counted as new there, and the age was passed on.
#[test]
fn age_in_a_message_that_waited_is_no_known_age() {
    let told_age = Duration::from_millis(100);
    let pause = Duration::from_secs(4);
    let control = ended_control();
    paused_runtime().block_on(async {
        let (tasks, _ends) = TaskGroup::new();
        let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let target = [socket.address().unwrap().to_string()];
        let peer = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let dispatcher = start_receiver(&tasks, socket, control);
        sleep(Duration::from_secs(2)).await;
        peer.send(&report(2, told_age), &target);
        advance(pause).await;
        sleep(Duration::from_millis(50)).await;
        assert_eq!(told_ages(&dispatcher).await, []);
        // A report that is read at once tells the age.
        peer.send(&report(3, told_age), &target);
        sleep(Duration::from_millis(500)).await;
        let ages = told_ages(&dispatcher).await;
        assert!(matches!(ages[..], [(3, age)] if age < Duration::from_secs(1)), "{ages:?}");
        // The longest possible age is told if no peer has told a known one.
        sleep(Duration::from_secs(3)).await;
        let ages = told_ages(&dispatcher).await;
        assert!(matches!(ages[..], [(2, age), _] if age >= told_age + pause), "{ages:?}");
    });
}
