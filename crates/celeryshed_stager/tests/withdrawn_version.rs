//! Versions that the origin no longer offers.

mod support;

use std::time::Duration;

use support::{FakeWeights, start_listed_sidecar};
use tokio::time::sleep;

/// Time between two declarations.
const DECLARATION_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which corrupt pieces make a manifest doubtful.
const FETCH_TIME: Duration = Duration::from_millis(1500);

/// Guards against a sidecar that asks for ever for the manifest of a version that the origin has
/// withdrawn meanwhile: it never loaded a later version, and callers were refused from then on.
#[tokio::test]
async fn later_version_is_loaded_after_the_origin_withdrew_the_one_that_was_asked_for() {
    let weights = FakeWeights::new(1, []);
    let (_address, store) = start_listed_sidecar(&weights, &[1], |_own| Vec::new());
    sleep(DECLARATION_INTERVAL).await;
    weights.hold_origin();
    for version in 2..=4 {
        store.declare(version);
        sleep(DECLARATION_INTERVAL).await;
    }
    weights.release_origin(3);
    weights.wait_loaded(4).await;
    assert_eq!(*weights.ordered.lock().unwrap(), [4]);
}

/// The same for a manifest that is fetched again because pieces don't match it.
#[tokio::test]
async fn later_version_is_loaded_after_a_doubtful_manifest_was_withdrawn() {
    let weights = FakeWeights::new(1, []);
    let (_address, store) = start_listed_sidecar(&weights, &[1], |_own| Vec::new());
    sleep(DECLARATION_INTERVAL).await;
    weights.set_origin_corrupt(true);
    store.declare(2);
    sleep(FETCH_TIME).await;
    assert!(!weights.fetched.lock().unwrap().is_empty());
    weights.release_origin(3);
    weights.set_origin_corrupt(false);
    store.declare(3);
    weights.wait_loaded(3).await;
    assert_eq!(*weights.ordered.lock().unwrap(), [3]);
}
