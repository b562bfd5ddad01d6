//! P5: a leaving or lost endpoint receives no new requests after 5 s.

mod support;

use std::time::Duration;

use futures::future::join_all;
use support::{
    DaemonSignal, Deployment, DeploymentPlan, LiveStream, MemberKind, RelayMode, print_figures,
};
use tokio::time::{Instant, sleep, timeout};

/// Limit that P5 states.
const LAST_REQUEST_LIMIT: Duration = Duration::from_secs(5);

/// Time beyond the limit for the request itself and for a busy machine.
const MARGIN: Duration = Duration::from_secs(2);

/// Time for which callers start streams after the fault.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// Timeout of a caller whose stream hangs at an unresponsive endpoint.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of concurrent callers.
const CALLERS: usize = 4;

/// How an endpoint leaves or fails.
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

/// Starts streams through both entries while one of two engines leaves or fails. The last request
/// that the engine's stand-in accepts, and the last one that hangs at the lost sidecar, must lie
/// within the limit.
///
/// The instance list keeps showing the endpoint as live, as a list with a lag of a minute would,
/// except in [`Departure::ListedAsLeaving`].
async fn check_departure(departure: Departure) {
    let plan = DeploymentPlan {
        engines: 2,
        pause: Duration::from_secs(2),
        relays: true,
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    let departing = deployment.members_of(MemberKind::Engine)[0];
    let report_relays = match departure {
        Departure::LinkStalled => deployment.relay_reports(departing).await,
        _ => Vec::new(),
    };
    let engine = deployment.members[departing].engine.clone().expect("an engine");
    let link = deployment.members[departing].link.as_ref().expect("relays");
    match departure {
        Departure::Terminated => {
            deployment.members[departing].daemon.signal(DaemonSignal::Terminate)
        }
        Departure::ListedAsLeaving => deployment.list_leaving(departing),
        Departure::Killed => deployment.members[departing].daemon.kill(),
        Departure::Paused => deployment.members[departing].daemon.signal(DaemonSignal::Pause),
        Departure::LinkStalled => {
            link.set(RelayMode::Stall);
            report_relays.iter().for_each(|relay| relay.set(RelayMode::Stall));
        }
        Departure::RequestsStalled => link.set(RelayMode::Stall),
        Departure::LinkCut => link.set(RelayMode::Cut),
    }
    let started = Instant::now();
    let entries = [deployment.entry(0), deployment.entry(1)];
    let (caller, engine_control) = (&deployment.caller, &engine);
    let callers = (0..CALLERS).map(|caller_number| async move {
        let mut sent = Vec::new();
        while started.elapsed() < OBSERVATION_TIME {
            let entry = entries[(caller_number + sent.len()) % 2];
            let prompt = format!("lane {caller_number} number {}", sent.len());
            let sent_at = started.elapsed();
            let stream = timeout(CALLER_TIMEOUT, caller.complete(entry, &prompt, 5)).await;
            sent.push(SentStream { sent_at, stream: stream.ok() });
            sleep(Duration::from_millis(20)).await;
        }
        sent
    });
    let observer = async {
        let mut last = (engine_control.counts().started, Duration::ZERO);
        while started.elapsed() < OBSERVATION_TIME {
            let count = engine_control.counts().started;
            if count != last.0 {
                last = (count, started.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        last.1
    };
    let (sent, last_started) = tokio::join!(join_all(callers), observer);
    let sent: Vec<SentStream> = sent.into_iter().flatten().collect();
    let may_hang = matches!(
        departure,
        Departure::Paused | Departure::LinkStalled | Departure::RequestsStalled
    );
    let broken: Vec<String> =
        sent.iter().filter_map(|sent| sent.violation(may_hang, departure)).collect();
    let last_hung = sent.iter().filter(|sent| sent.stream.is_none()).map(|sent| sent.sent_at).max();
    let last_request = last_started.max(last_hung.unwrap_or_default());
    let sent_after_limit =
        sent.iter().filter(|sent| sent.sent_at > LAST_REQUEST_LIMIT + MARGIN).count();
    let violations = u64::from(last_request > LAST_REQUEST_LIMIT + MARGIN) + broken.len() as u64;
    let promise = format!("P5 {departure:?}, last work after {last_request:?}");
    print_figures(&promise, 1, sent.len() as u64, violations);
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(
        last_request <= LAST_REQUEST_LIMIT + MARGIN,
        "{departure:?}: last work after {last_request:?}"
    );
    assert!(sent_after_limit > 0, "{departure:?}: no stream was sent after the limit");
}

/// A stream and the time since the fault at which it was started; `None` if the caller timed out.
struct SentStream {
    sent_at: Duration,
    stream: Option<LiveStream>,
}

impl SentStream {
    fn violation(&self, may_hang: bool, departure: Departure) -> Option<String> {
        let bad = match &self.stream {
            Some(stream) => !stream.is_whole() && !stream.ended_explicitly(),
            None => !may_hang,
        };
        let describe = || self.stream.as_ref().map(LiveStream::describe);
        bad.then(|| format!("{departure:?}, sent after {:?}: {:?}", self.sent_at, describe()))
    }
}

/// Guards against requests that are sent to an endpoint after its leaving notice, after the list
/// shows it as leaving, or after it stops responding while the list still shows it as live.
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
    join_all(departures.map(check_departure)).await;
}

/// Guards against new requests to a sidecar whose reports arrive but whose requests hang.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_requests_end_new_work() {
    check_departure(Departure::RequestsStalled).await;
}
