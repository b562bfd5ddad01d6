//! Sidecars one of whose tasks ends.

mod support;

use std::time::Duration;

use support::{FakeWeights, MODEL, observe_statuses, start_sidecar, start_supervised_sidecar};
use tokio::time::sleep;

/// Time in which an entry receives status messages.
const OBSERVED_TIME: Duration = Duration::from_secs(3);
/// Far more status messages than a sound sidecar sends in that time.
const MAX_STATUSES: usize = 100;

/// Guards against a sidecar that never loads a version again because the task has ended that asks its
/// engine, and against one that floods the entries with status messages from then on: 2.4 million
/// came in 3 s.
#[tokio::test]
async fn version_is_loaded_although_the_stage_task_has_ended() {
    let weights = FakeWeights::new(1, []);
    let (sidecar, store) = start_supervised_sidecar(&weights, &[1]);
    sleep(Duration::from_millis(500)).await;
    weights.panic_in_reports(1);
    store.declare(2);
    let mut statuses = Vec::new();
    observe_statuses(sidecar, OBSERVED_TIME, |status| statuses.push(status)).await;
    weights.wait_loaded(2).await;
    assert!(statuses.len() < MAX_STATUSES, "{} status messages", statuses.len());
    let mut latest = None;
    observe_statuses(sidecar, OBSERVED_TIME, |status| latest = Some(status)).await;
    let latest = latest.expect("a status");
    assert!(latest.accepting && latest.models.get(MODEL) == Some(&2), "{latest:?}");
}

/// Guards against a version that is never loaded because the fetch of one piece has panicked: it kept
/// its slot, and the piece was never fetched again.
#[tokio::test]
async fn version_is_loaded_although_fetches_have_panicked() {
    let weights = FakeWeights::new(1, []);
    let (_sidecar, store) = start_supervised_sidecar(&weights, &[1]);
    sleep(Duration::from_millis(500)).await;
    weights.panic_in_fetches(3);
    store.declare(2);
    weights.wait_loaded(2).await;
}

/// Guards against tasks that take the end of another one for news without end, and flood the entries
/// with it: 2.4 million status messages came in 3 s.
#[tokio::test]
async fn other_tasks_stay_quiet_after_the_end_of_the_stage_task() {
    let weights = FakeWeights::new(1, []);
    let sidecar = start_sidecar(&weights, 1);
    sleep(Duration::from_millis(500)).await;
    weights.panic_in_reports(1);
    // Nobody starts this sidecar again, and its other tasks go on.
    let mut count = 0;
    observe_statuses(sidecar, OBSERVED_TIME, |_status| count += 1).await;
    assert!(count < MAX_STATUSES, "{count} status messages");
}
