//! A version that is declared while an earlier one waits for its load.

mod support;

use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::{ReloadSchedule, VersionTarget};
use support::{FakeWeights, PIECES, start_listed_sidecar};
use tokio::time::sleep;

/// Endpoints that are listed beside the own one.
const OTHERS: usize = 19;

/// Addresses of other endpoints among which the own one has the last turn to load version 2.
fn others_before(own: &str) -> Vec<String> {
    let due_at = MonoTime(Duration::from_secs(8));
    let learned_at = MonoTime::ZERO;
    let target = VersionTarget { version: 2, learned_at, due_at, declared_while_running: true };
    let turn = |name: &str, names: &[&str]| {
        ReloadSchedule::plan(name, names, target, due_at, None, Duration::ZERO).reload_at
    };
    let candidates = (0..).map(|index| format!("127.250.{}.{}:80", index / 250, 1 + index % 250));
    let earlier = candidates.filter(|other| {
        let names = [own, other];
        turn(other, &names) < turn(own, &names)
    });
    earlier.take(OTHERS).collect()
}

/// Guards against a later version whose pieces are fetched only after the earlier one is loaded: all
/// endpoints loaded twice, the second time too late. An endpoint whose turn hasn't come when the
/// later version is complete loads that one alone, and each piece is fetched once.
#[tokio::test]
async fn later_version_is_fetched_while_earlier_waits_and_loaded_alone() {
    let weights = FakeWeights::new(1, []);
    let (_address, store) = start_listed_sidecar(&weights, &[1], others_before);
    sleep(Duration::from_millis(500)).await;
    store.declare(2);
    let fetched = || weights.fetched.lock().unwrap().len();
    while fetched() < PIECES as usize {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(500)).await;
    store.declare(3);
    while fetched() < 2 * PIECES as usize {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(*weights.ordered.lock().unwrap(), Vec::<u64>::new());
    weights.wait_loaded(3).await;
    assert_eq!(*weights.ordered.lock().unwrap(), [3]);
    assert_eq!(fetched(), 2 * PIECES as usize);
}

/// Guards against an endpoint without weights that waits for a version which was just declared,
/// although the pieces of the one before it are complete: it could serve that one meanwhile.
#[tokio::test]
async fn first_version_is_loaded_although_another_is_declared() {
    let weights = FakeWeights::starting();
    let (_address, store) = start_listed_sidecar(&weights, &[], |_own| Vec::new());
    while weights.fetched.lock().unwrap().len() < PIECES as usize {
        sleep(Duration::from_millis(5)).await;
    }
    weights.hold_origin();
    store.declare(2);
    sleep(Duration::from_millis(300)).await;
    weights.finish_start();
    weights.wait_loaded(1).await;
}
