//! Status messages of a sidecar to the entries.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::AvailabilityZone;
use celeryshed_peering::{ControlPosition, EntryHeartbeat, PeerMessage, PeerSocket, SidecarStatus};
use support::{FakeWeights, start_sidecar};
use tokio::time::{Instant, timeout_at};

const ENTRIES: usize = 30;

fn heartbeat(entry: &PeerSocket) -> PeerMessage {
    PeerMessage::Hello(EntryHeartbeat {
        entry: entry.address().unwrap().to_string(),
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        position: ControlPosition::default(),
        lifetime_ms: 3250,
    })
}

/// Sends the heartbeats of all entries, one every `gap`, until `end`; returns the status messages
/// that the first entry received, with the time of receipt.
async fn exchange(
    entries: &[PeerSocket],
    sidecar: SocketAddr,
    gap: Duration,
    end: Instant,
) -> Vec<(Instant, SidecarStatus)> {
    let sending = async {
        for entry in entries.iter().cycle() {
            entry.send(&heartbeat(entry), [sidecar.to_string()]);
            tokio::time::sleep(gap).await;
        }
    };
    let mut received = Vec::new();
    let receiving = async {
        while let Ok((message, _)) = timeout_at(end, entries[0].receive()).await {
            if let PeerMessage::Status(status) = message {
                received.push((Instant::now(), status));
            }
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
    }
    received
}

/// Guards against heartbeats that delay the next status message: with several entries, one
/// heartbeat came before each message was due, so that no status was repeated, every status expired
/// and a lost one was never made up for.
#[tokio::test]
async fn status_is_repeated_before_it_expires() {
    let weights = FakeWeights::new(1, []);
    let sidecar = start_sidecar(&weights, 1);
    let mut entries = Vec::new();
    for _ in 0..ENTRIES {
        entries.push(PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap());
    }
    let end = Instant::now() + Duration::from_secs(6);
    let received = exchange(&entries, sidecar, Duration::from_millis(20), end).await;
    for pair in received.windows(2) {
        let [(at, status), (next_at, _)] = pair else { unreachable!("windows of two") };
        assert!(*next_at - *at < Duration::from_millis(status.lifetime_ms.into()));
    }
    let (last_at, last) = received.last().expect("a status arrived");
    assert!(end - *last_at < Duration::from_millis(last.lifetime_ms.into()), "{received:?}");
    let named: std::collections::BTreeSet<&String> =
        received.iter().flat_map(|(_, status)| &status.entries).collect();
    assert!(named.len() > ENTRIES / 2, "entries are named in turn: {}", named.len());
    assert!(received.iter().all(|(_, status)| status.entries.len() <= ENTRIES / 2));
}
