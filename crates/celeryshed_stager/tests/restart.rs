//! Which pieces a sidecar fetches when it starts next to an engine that already stores some.

mod support;

use bytes::Bytes;
use support::{FakeWeights, PIECES, piece_bytes, start_sidecar};

/// Guards against fetching a version again that is already stored at the engine, which sends a
/// second copy over every link when all sidecars restart (seen on coca-fleet-grown trouble-3 with
/// 88 sidecars that were killed).
#[tokio::test]
async fn restarted_sidecar_keeps_pieces_stored_at_its_engine() {
    let staged = (0..PIECES).map(|piece| (piece, piece_bytes(2, piece)));
    let weights = FakeWeights::new(1, staged);
    start_sidecar(&weights, 2);
    weights.wait_loaded(2).await;
    assert_eq!(*weights.fetched.lock().unwrap(), Vec::<u32>::new());
}

/// Guards against loading damaged or outdated pieces after a restart: missing pieces, corrupt ones
/// and those of the older version are fetched, the others are kept.
#[tokio::test]
async fn restarted_sidecar_fetches_only_missing_and_invalid_pieces() {
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
