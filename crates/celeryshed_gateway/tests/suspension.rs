//! Suspensions of the machine, which the runtime's clock doesn't count.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::{ClockSource, UnixMillis};
use support::ScriptStep::{Hang, Send};
use support::{Deployment, FakeStore, ScriptStep, ScriptedEndpoint, request, snapshot};
use tokio::time::{Instant, sleep};

/// Time after a declaration at which a version takes effect.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time within which an entry acts on a suspension.
const REACTION_LIMIT: Duration = Duration::from_secs(1);
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-request: {id}\r\ncontent-length: 2\r\n\r\nok";

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn suspended() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// An entry and an endpoint of version 1, to which a second version was declared.
async fn start(scripts: Vec<Vec<ScriptStep>>) -> (Deployment, ScriptedEndpoint) {
    let engine = ScriptedEndpoint::start("i-1", scripts).await;
    let store = Arc::new(FakeStore::default());
    store.publish(snapshot(1));
    store.register_model(&engine, "letters", 1);
    let clock = ClockSource::start_with(UnixMillis(0), suspended);
    let entry = Deployment::start_with_clock(store, DEADLINE, clock).await;
    entry.wait_ready().await;
    entry.store.declare("letters", 2);
    sleep(Duration::from_millis(100)).await;
    (entry, engine)
}

fn suspend() {
    SUSPENDED_MS.fetch_add(DEADLINE.as_millis() as u64, Ordering::Relaxed);
}

fn call(path: &str, id: &str) -> String {
    request("POST", path, id, "x-model: letters\r\n", "x")
}

/// Guards against requests on an older version after a newer one took effect during a suspension,
/// both new ones and those that wait at an endpoint.
#[tokio::test]
async fn version_takes_effect_during_a_suspension() {
    let (entry, engine) = start(vec![vec![Send(ANSWER)], vec![Hang]]).await;
    let answer = entry.call(&call("/book/a", "r1")).await;
    assert_eq!((answer.status(), engine.count()), (200, 1));
    let _waiting = entry.connect(&call("/strict/a", "r2")).await;
    while engine.count() < 2 {
        sleep(Duration::from_millis(10)).await;
    }
    suspend();
    let resumed_at = Instant::now();
    while engine.request(1).closed_at.is_none() {
        assert!(resumed_at.elapsed() < REACTION_LIMIT, "the waiting request was not withdrawn");
        sleep(Duration::from_millis(10)).await;
    }
    let answer = entry.call(&call("/book/b", "r3")).await;
    assert_eq!((answer.status(), engine.count()), (503, 2));
}
