//! Datagrams that are nested as deeply as their length allows.

use std::thread;

use celeryshed_base::AvailabilityZone;
use celeryshed_peering::{ControlPosition, EntryHeartbeat, PeerMessage, PeerSocket};
use tokio::net::UdpSocket;

/// Stack of the thread that receives; the least that some systems give to a thread.
const STACK_BYTES: usize = 128 * 1024;
const DATAGRAM_BYTES: usize = 30_000;

/// Beginnings of messages, and the nested parts that follow.
const HEADS: [&[u8]; 5] =
    [b"", b"\x81\xa4Load", b"\x81\xa4Load\x81\xa1x", b"\x81\xa6Status\x81\xa1x", b"\x81\xa1x"];
const NESTED: [&[u8]; 3] = [b"\x91", b"\x81", b"\x81\xa1x"];

/// Receives the next message after nested datagrams.
async fn receive_after_nested() -> PeerMessage {
    let receiver = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = receiver.address().unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let heartbeat = EntryHeartbeat {
        entry: "10.0.0.1:7700".to_owned(),
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        position: ControlPosition::default(),
        lifetime_ms: 3250,
    };
    let message = PeerMessage::Hello(heartbeat);
    let peer = PeerSocket::from(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let mut received = None;
    for head in HEADS {
        for nested in NESTED {
            let mut bytes = head.to_vec();
            bytes.extend(nested.repeat(DATAGRAM_BYTES / nested.len()));
            sender.send_to(&bytes, address).await.unwrap();
            peer.send(&message, [address.to_string()]);
            received = Some(receiver.receive().await.0);
        }
    }
    received.unwrap()
}

/// Guards against a single datagram that ends the process: each level of its nesting takes up stack.
#[test]
fn nested_datagrams_need_little_stack() {
    let receiving = thread::Builder::new().stack_size(STACK_BYTES).spawn(|| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        builder.enable_all().build().unwrap().block_on(receive_after_nested())
    });
    let received = receiving.unwrap().join().unwrap();
    assert!(matches!(received, PeerMessage::Hello(_)), "{received:?}");
}
