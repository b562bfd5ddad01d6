//! P5: a leaving or lost endpoint receives no new work after 5 s.

mod support;

use std::time::Duration;

use futures::future::join_all;
use support::{DaemonSignal, Deployment, Kind, LiveStream, Plan, RelayMode, figures};
use tokio::time::{Instant, sleep, timeout};

/// The stated bound.
const LAST_WORK: Duration = Duration::from_secs(5);

/// Room for a busy machine and for the request's own time.
const MARGIN: Duration = Duration::from_secs(2);

/// How long streams go on after the fault.
const OBSERVED: Duration = Duration::from_secs(10);

/// Time after which a caller gives up a stream that hangs at a silent endpoint.
const PATIENCE_OF_CALLER: Duration = Duration::from_secs(3);

/// Streams at the same time.
const LANES: usize = 4;

/// How an endpoint leaves or is lost.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Terminated,
    ListedAsLeaving,
    Killed,
    Paused,
    LinkStalled,
    RequestsStalled,
    LinkCut,
}

/// The list keeps showing the endpoint as live, as a list that lags by a minute does, unless it is
/// the list that says that the endpoint leaves.
///
/// Streams through both entries while one of two engines departs; the last request that its
/// stand-in accepted, and the last one that waited for the lost sidecar, must lie within the bound.
async fn depart(departure: Departure) {
    let plan = Plan { engines: 2, pause: Duration::from_secs(2), relays: true, ..Plan::default() };
    let mut deployment = Deployment::start(plan).await;
    let victim = deployment.of(Kind::Engine)[0];
    let way_back = match departure {
        Departure::LinkStalled => deployment.relay_reports(victim).await,
        _ => Vec::new(),
    };
    let engine = deployment.members[victim].engine.clone().expect("an engine");
    let link = deployment.members[victim].link.as_ref().expect("relays");
    match departure {
        Departure::Terminated => deployment.members[victim].daemon.signal(DaemonSignal::Terminate),
        Departure::ListedAsLeaving => deployment.list_leaving(victim),
        Departure::Killed => deployment.members[victim].daemon.kill(),
        Departure::Paused => deployment.members[victim].daemon.signal(DaemonSignal::Pause),
        Departure::LinkStalled => {
            link.set(RelayMode::Stall);
            way_back.iter().for_each(|relay| relay.set(RelayMode::Stall));
        }
        Departure::RequestsStalled => link.set(RelayMode::Stall),
        Departure::LinkCut => link.set(RelayMode::Cut),
    }
    let started = Instant::now();
    let entries = [deployment.entry(0), deployment.entry(1)];
    let (caller, engine_seen) = (&deployment.caller, &engine);
    let lanes = (0..LANES).map(|lane| async move {
        let mut sent = Vec::new();
        while started.elapsed() < OBSERVED {
            let entry = entries[(lane + sent.len()) % 2];
            let prompt = format!("lane {lane} number {}", sent.len());
            let at = started.elapsed();
            let stream = timeout(PATIENCE_OF_CALLER, caller.complete(entry, &prompt, 5)).await;
            sent.push(SentStream { at, stream: stream.ok() });
            sleep(Duration::from_millis(20)).await;
        }
        sent
    });
    let observer = async {
        let mut last = (engine_seen.counts().started, Duration::ZERO);
        while started.elapsed() < OBSERVED {
            let count = engine_seen.counts().started;
            if count != last.0 {
                last = (count, started.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        last.1
    };
    let (sent, last_started) = tokio::join!(join_all(lanes), observer);
    let sent: Vec<SentStream> = sent.into_iter().flatten().collect();
    let silent = matches!(
        departure,
        Departure::Paused | Departure::LinkStalled | Departure::RequestsStalled
    );
    let broken: Vec<String> =
        sent.iter().filter_map(|sent| sent.violation(silent, departure)).collect();
    let hung = sent.iter().filter(|sent| sent.stream.is_none()).map(|sent| sent.at).max();
    let last_work = last_started.max(hung.unwrap_or_default());
    let late = sent.iter().filter(|sent| sent.at > LAST_WORK + MARGIN).count();
    let violations = u64::from(last_work > LAST_WORK + MARGIN) + broken.len() as u64;
    let promise = format!("P5 {departure:?}, last work after {last_work:?}");
    figures(&promise, 1, sent.len() as u64, violations);
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(last_work <= LAST_WORK + MARGIN, "{departure:?}: last work after {last_work:?}");
    assert!(late > 0, "{departure:?}: no stream was sent after the bound");
}

/// A stream and when it was sent; without a stream, the caller gave up.
struct SentStream {
    at: Duration,
    stream: Option<LiveStream>,
}

impl SentStream {
    fn violation(&self, silent: bool, departure: Departure) -> Option<String> {
        let bad = match &self.stream {
            Some(stream) => !stream.is_whole() && !stream.ended_explicitly(),
            None => !silent,
        };
        let describe = || self.stream.as_ref().map(LiveStream::describe);
        bad.then(|| format!("{departure:?}, sent after {:?}: {:?}", self.at, describe()))
    }
}

/// Guards against work that is sent to an endpoint after it said, or the list said, that it
/// leaves, or after it fell silent, with a list that lags by a minute.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn last_new_work_lies_within_the_bound() {
    let departures = [
        Departure::Terminated,
        Departure::ListedAsLeaving,
        Departure::Killed,
        Departure::Paused,
        Departure::LinkStalled,
        Departure::LinkCut,
    ];
    join_all(departures.map(depart)).await;
}

/// Guards against a link that passes reports but no requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_requests_end_new_work() {
    depart(Departure::RequestsStalled).await;
}
