//! A machine that is paused while its sidecar prepares a load.

mod support;

use support::{FakeWeights, PIECES, start_sidecar};

/// Guards against a load of pieces that were damaged during a pause between their check and the load
/// order: callers got tokens made with damaged weights.
#[tokio::test]
async fn pieces_are_checked_again_after_a_pause_before_the_load_order() {
    let weights = FakeWeights::new(1, []);
    weights.pause_after_reads(PIECES);
    start_sidecar(&weights, 2);
    weights.wait_loaded(2).await;
    assert_eq!(*weights.ordered.lock().unwrap(), [2]);
}

/// The same for a pause during the check, after which the pieces that were read first are damaged.
#[tokio::test]
async fn pieces_are_checked_again_after_a_pause_during_the_check() {
    let weights = FakeWeights::new(1, []);
    weights.pause_after_reads(PIECES / 2);
    start_sidecar(&weights, 2);
    weights.wait_loaded(2).await;
    assert_eq!(*weights.ordered.lock().unwrap(), [2]);
}
