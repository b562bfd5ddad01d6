//! What other processes tell an entry, in any amount.

use celeryshed_dispatch::*;

fn peer(number: usize) -> PeerAddress {
    PeerAddress(format!("10.0.{}.{}:17700", number / 200, number % 200))
}

/// Loads of several entries overflowed, which ended the dispatcher or made the endpoint look free.
#[test]
fn huge_loads_overflow() {
    let mut load = EndpointLoad::default();
    load.started(800);
    let huge = PeerLoad { running: u32::MAX, unread_tokens: u32::MAX };
    for number in 0..3 {
        load.apply_peer_load(&peer(number), huge);
    }
    assert_eq!(load.total(), huge);
    for number in 0..3 {
        load.apply_peer_load(&peer(number), PeerLoad::default());
    }
    assert_eq!(load.total(), load.own());
}
