//! Versions that don't fit into the memory for pieces.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{FakeStore, FakeWeights, PIECES, piece_bytes, start_limited_sidecar};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Pieces for which there is memory.
const MEMORY_PIECES: usize = 3;

/// Starts a sidecar with memory for [`MEMORY_PIECES`], whose store declares version 2.
fn start_small_sidecar(weights: &Arc<FakeWeights>) -> Arc<FakeStore> {
    let memory = MEMORY_PIECES * piece_bytes(1, 0).len();
    start_limited_sidecar(weights, &[2], |_own| Vec::new(), memory).1
}

async fn wait_fetched(weights: &FakeWeights, count: usize) {
    while weights.fetched.lock().unwrap().len() < count {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a sidecar that is killed for its memory, since it holds a whole version that is
/// larger.
#[tokio::test]
async fn large_versions_are_not_held_in_memory() {
    let weights = FakeWeights::new(1, []);
    let store = start_small_sidecar(&weights);
    weights.wait_loaded(2).await;
    store.declare(3);
    weights.wait_loaded(3).await;
    assert!(weights.most_held_pieces() <= MEMORY_PIECES, "{}", weights.most_held_pieces());
    assert_eq!(weights.fetched.lock().unwrap().len(), 2 * PIECES as usize);
}

/// Guards against a large version that is never complete, since its pieces were lost with the endpoint
/// that stored them, or couldn't be stored while it was away.
#[tokio::test]
async fn large_version_is_loaded_by_an_endpoint_that_was_away() {
    let weights = FakeWeights::new(1, []);
    start_small_sidecar(&weights);
    wait_fetched(&weights, 4).await;
    weights.stop();
    sleep(Duration::from_secs(1)).await;
    weights.restart();
    weights.finish_start();
    weights.wait_loaded(2).await;
    assert!(weights.most_held_pieces() <= MEMORY_PIECES, "{}", weights.most_held_pieces());
}

/// Guards against pieces that are lost to other sidecars once they have left the memory.
#[tokio::test]
async fn pieces_that_left_the_memory_are_sent_to_other_sidecars() {
    let weights = FakeWeights::new(1, []);
    let memory = MEMORY_PIECES * piece_bytes(1, 0).len();
    let (address, _store) = start_limited_sidecar(&weights, &[2], |_own| Vec::new(), memory);
    weights.hold_loads.store(true, std::sync::atomic::Ordering::Relaxed);
    wait_fetched(&weights, PIECES as usize).await;
    sleep(Duration::from_millis(300)).await;
    let client = celeryshed_http::HttpClient::new(&address.to_string(), "application/msgpack");
    for piece in 0..PIECES {
        let target = format!("/piece?model={}&version=2&piece={piece}", support::MODEL);
        let limits = celeryshed_http::CallLimits::from(Duration::from_secs(1));
        let body = bytes::Bytes::new();
        let reply = client.call(hyper::Method::GET, &target, body, limits).await.unwrap();
        assert_eq!(reply.body, piece_bytes(2, piece), "piece {piece}");
    }
}

/// Guards against a large version that is fetched anew as a whole for one damaged piece.
#[tokio::test]
async fn damaged_piece_costs_a_large_version() {
    let weights = FakeWeights::new(1, []);
    let memory = MEMORY_PIECES * piece_bytes(1, 0).len();
    let (_address, store) = start_limited_sidecar(&weights, &[1], |_own| Vec::new(), memory);
    // Pieces that are found at the endpoint are kept only at the start of the sidecar.
    sleep(Duration::from_secs(1)).await;
    store.declare(2);
    while weights.written.lock().unwrap().len() < MEMORY_PIECES {
        yield_now().await;
    }
    assert!(weights.fetched.lock().unwrap().len() < PIECES as usize, "all pieces are fetched");
    let damaged = weights.written.lock().unwrap()[0];
    weights.damage_piece(damaged);
    weights.wait_loaded(2).await;
    let fetched = weights.fetched.lock().unwrap().clone();
    assert_eq!(fetched.len(), PIECES as usize + 1, "{fetched:?}");
    assert_eq!(fetched.last(), Some(&damaged));
    assert!(weights.most_held_pieces() <= MEMORY_PIECES, "{}", weights.most_held_pieces());
}
