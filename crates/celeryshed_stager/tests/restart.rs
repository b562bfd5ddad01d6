//! What a sidecar fetches when it starts beside an engine that has been there before.

mod support;

use bytes::Bytes;
use support::{FakeWeights, PIECES, piece_bytes, start_sidecar};

/// Guards against a second copy over every link after a kill of all sidecars (seen on
/// coca-fleet-grown trouble-3: 88 sidecars fetched a version again that lay at their engines).
#[tokio::test]
async fn restarted_sidecar_adopts_pieces_that_lie_at_its_engine() {
    let staged = (0..PIECES).map(|piece| (piece, piece_bytes(2, piece)));
    let weights = FakeWeights::new(1, staged);
    start_sidecar(&weights, 2);
    weights.wait_loaded(2).await;
    assert_eq!(*weights.fetched.lock().unwrap(), Vec::<u32>::new());
}

/// Pieces that are missing, spoilt or of the older version are fetched, the others are not.
#[tokio::test]
async fn restarted_sidecar_fetches_what_does_not_match() {
    let staged = (0..PIECES - 1).map(|piece| {
        let bytes = match piece {
            0 => Bytes::from_static(b"rotten"),
            1 => piece_bytes(1, piece),
            _ => piece_bytes(2, piece),
        };
        (piece, bytes)
    });
    let weights = FakeWeights::new(1, staged);
    start_sidecar(&weights, 2);
    weights.wait_loaded(2).await;
    let mut fetched = weights.fetched.lock().unwrap().clone();
    fetched.sort_unstable();
    assert_eq!(fetched, [0, 1, PIECES - 1]);
}
