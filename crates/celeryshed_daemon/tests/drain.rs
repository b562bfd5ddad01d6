//! P6: a graceful shutdown cuts off no request in progress.

mod support;

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use support::{
    BookingReply, DaemonSignal, Deployment, DeploymentPlan, LiveStream, MemberKind, Relay,
    RelayMode, StreamResult, WAIT_LIMIT, new_key, print_figures, wait_for_value, wait_until,
};
use tokio::time::{Instant, sleep};

/// Tokens per second of one stream.
const TOKENS_PER_S: u32 = 30;

/// Longest wait for an exit, for which P6 states no limit. Open connections without a request once
/// delayed an exit by more than 30 s.
const EXIT_LIMIT: Duration = Duration::from_secs(60);

/// Tokens of a stream of 11 s; a shutdown limit of the HTTP library would cut off such a stream.
const LONG_STREAM: u32 = 11 * TOKENS_PER_S;

fn plan() -> DeploymentPlan {
    DeploymentPlan { engines: 2, stream_tokens_per_s: TOKENS_PER_S, ..DeploymentPlan::default() }
}

/// Which processes get SIGTERM while the stream runs.
#[derive(Clone, Copy, Debug)]
enum Target {
    Entry,
    Sidecar,
    Both,
}

/// Waits for a running stream; returns the index of the member that runs it.
async fn running_member(deployment: &Deployment) -> usize {
    wait_for_value("an engine runs the stream", async || deployment.busy_member()).await
}

/// Sends new requests to `entry` until one is refused as not run; none may end in another error.
async fn assert_refuses_new_work(deployment: &Deployment, entry: usize) {
    let address = deployment.entry(entry);
    wait_for_value("the entry refuses new work", || async {
        let mut late = deployment.caller.stream(address, "too late", 1).await;
        match late.finish().await {
            StreamResult::Refused { status, not_run, body } => {
                assert_eq!((status, not_run), (503, json!(true)), "{body}");
                Some(())
            }
            StreamResult::Whole => None,
            other => panic!("new work at a draining entry: {other:?}"),
        }
    })
    .await;
    let (status, text) = deployment.caller.get(address, "/readyz").await.expect("readyz");
    assert_eq!((status, text.as_str()), (503, "draining\n"));
}

async fn drain_under_stream(target: Target, signals: u32) {
    let mut deployment = Deployment::start(plan()).await;
    let mut stream = deployment.caller.stream(deployment.entry(0), "long", LONG_STREAM).await;
    stream.read_tokens(5).await;
    let side = running_member(&deployment).await;
    let targets = match target {
        Target::Entry => vec![0],
        Target::Sidecar => vec![side],
        Target::Both => vec![0, side],
    };
    for signal in 0..signals {
        for index in &targets {
            deployment.members[*index].daemon.signal(DaemonSignal::Terminate);
        }
        stream.read_tokens(5 + 10 * (signal + 1)).await;
    }
    if targets.contains(&0) {
        assert_refuses_new_work(&deployment, 0).await;
    }
    let started = Instant::now();
    let reader = tokio::spawn(async move {
        stream.finish().await;
        stream
    });
    for index in &targets {
        let running = deployment.members[*index].daemon.exit_code().is_none();
        assert!(running, "{target:?} ended during the stream");
    }
    let stream = reader.await.expect("the reader ends");
    assert!(started.elapsed() > Duration::from_secs(5), "the stream outlasts the signals");
    for index in &targets {
        assert_eq!(deployment.members[*index].daemon.wait_exit(WAIT_LIMIT).await, 0, "{target:?}");
    }
    let violations = u64::from(!stream.is_whole());
    print_figures(
        &format!("P6 {target:?}"),
        u64::from(signals) * targets.len() as u64,
        2,
        violations,
    );
    assert!(stream.is_whole(), "{}", stream.describe());
}

/// Guards against an entry that exits, or whose HTTP library closes connections, before its streams
/// have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_drains() {
    drain_under_stream(Target::Entry, 1).await;
}

/// Guards against a sidecar that exits before the streams of its endpoint have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecar_drains() {
    drain_under_stream(Target::Sidecar, 1).await;
}

/// Guards against a drain that works only while the other process of the stream keeps serving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_and_sidecar_drain_at_once() {
    drain_under_stream(Target::Both, 1).await;
}

/// Guards against a second signal that shortens the drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_signal_does_not_shorten_the_drain() {
    drain_under_stream(Target::Both, 2).await;
}

/// Guards against an answer whose end is lost because the caller reads slowly: the engine has
/// finished, and the rest of the answer is still buffered between engine and caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_reader_gets_the_whole_answer() {
    const TOKENS: u32 = 30_000;
    let plan = DeploymentPlan { stream_tokens_per_s: 100_000, ..plan() };
    let mut deployment = Deployment::start(plan).await;
    let relay = Relay::start(deployment.entry(0)).await;
    let mut stream = deployment.caller.stream(relay.address, "slow", TOKENS).await;
    stream.read_tokens(1).await;
    relay.set(RelayMode::Stall);
    let side = wait_for_value("a sidecar has the stream in progress", async || {
        for index in deployment.members_of(MemberKind::Engine) {
            if deployment.in_progress(index).await > 0 {
                return Some(index);
            }
        }
        None
    })
    .await;
    for index in [0, side] {
        deployment.members[index].daemon.signal(DaemonSignal::Terminate);
    }
    assert_refuses_new_work(&deployment, 0).await;
    // The pause exceeds the shutdown limits of the HTTP library, which add up to 5 s by default.
    sleep(Duration::from_secs(7)).await;
    assert_eq!(deployment.members[0].daemon.exit_code(), None);
    relay.set(RelayMode::Pass);
    stream.finish().await;
    for index in [0, side] {
        assert_eq!(deployment.members[index].daemon.wait_exit(WAIT_LIMIT).await, 0);
    }
    print_figures("P6 slow reader", 2, 2, u64::from(!stream.is_whole()));
    assert!(stream.is_whole(), "{}", stream.describe());
}

/// Guards against a drain that loses a running booking or its outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_survives_the_drain_of_its_processes() {
    let plan = DeploymentPlan {
        plain_services: 1,
        service_latency: Duration::from_secs(2),
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    let side = deployment.members_of(MemberKind::PlainService)[0];
    let key = new_key();
    let (caller, entry) = (deployment.booking_caller.clone(), deployment.entry(0));
    let booked = {
        let key = key.clone();
        tokio::spawn(async move { caller.book(entry, &key, "order").await })
    };
    wait_until("the call runs", || deployment.running_calls() > 0).await;
    for index in [0, side] {
        deployment.members[index].daemon.signal(DaemonSignal::Terminate);
    }
    let reply = booked.await.expect("the request ends");
    assert!(matches!(reply, BookingReply::Answer(_)), "{reply:?}");
    for index in [0, side] {
        assert_eq!(deployment.members[index].daemon.wait_exit(WAIT_LIMIT).await, 0);
    }
    let again = deployment.booking_caller.book(deployment.entry(1), &key, "order").await;
    assert_eq!(again, reply);
    let executed = deployment.executions(&key, "order");
    print_figures("P6 booking", 2, 2, u64::from(executed != 1));
    assert_eq!(executed, 1);
}

/// Guards against answers that are cut off while an entry and a sidecar are replaced under load:
/// each answer must be complete or refused as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_under_load() {
    const STREAMS_AT_ONCE: usize = 4;
    let plan = DeploymentPlan { stream_tokens_per_s: 60, ..plan() };
    let mut deployment = Deployment::start(plan).await;
    let entries = [deployment.entry(0), deployment.entry(1)];
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let callers = (0..STREAMS_AT_ONCE).map(|caller_number| {
        let (caller, stopped) = (deployment.caller.clone(), stopped.clone());
        tokio::spawn(async move {
            let mut streams: Vec<LiveStream> = Vec::new();
            while !*stopped.borrow() {
                for entry in entries {
                    // Like the platform's load balancer, the caller skips entries that aren't ready.
                    let ready = caller.get(entry, "/readyz").await;
                    if ready.is_none_or(|(status, _)| status != 200) {
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                    let prompt = format!("lane {caller_number} number {}", streams.len());
                    streams.push(caller.complete(entry, &prompt, 30).await);
                }
            }
            streams
        })
    });
    let callers: Vec<_> = callers.collect();
    let indices = [0, 2];
    for index in &indices {
        deployment.members[*index].daemon.signal(DaemonSignal::Terminate);
        assert_eq!(deployment.members[*index].daemon.wait_exit(EXIT_LIMIT).await, 0);
        deployment.restart(*index);
        deployment.wait_serving().await;
    }
    stop.send_replace(true);
    let streams: Vec<LiveStream> = join_all(callers)
        .await
        .into_iter()
        .flat_map(|streams| streams.expect("the caller ends"))
        .collect();
    let bad = |stream: &&LiveStream| !stream.is_whole() && !stream.is_refused_as_not_run();
    let violations: Vec<String> = streams.iter().filter(bad).map(LiveStream::describe).collect();
    print_figures("P6 rolling", 2, streams.len() as u64, violations.len() as u64);
    assert!(violations.is_empty(), "{violations:#?}");
}
