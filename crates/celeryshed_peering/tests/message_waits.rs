//! Limits of the time for which messages waited in the socket.

use std::time::Duration;

use celeryshed_base::{AvailabilityZone, ClockSource, MonoTime};
use celeryshed_peering::{ControlPosition, EntryHeartbeat, PeerMessage, PeerSocket};
use tokio::sync::mpsc;
use tokio::time::{advance, sleep};

/// A socket of another process, and the longest possible waits of the messages that it sends.
async fn start_reader() -> (impl Fn(), mpsc::UnboundedReceiver<Duration>) {
    let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let target = [socket.address().unwrap().to_string()];
    let peer = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let message = PeerMessage::Hello(EntryHeartbeat {
        entry: peer.address().unwrap().to_string(),
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        position: ControlPosition::default(),
        lifetime_ms: 1000,
    });
    let (waits, received) = mpsc::unbounded_channel();
    let clock = ClockSource::start();
    tokio::spawn(async move {
        let mut reader = socket.reader(clock);
        loop {
            let arrived_after: MonoTime = reader.receive().await.arrived_after;
            let _ = waits.send(clock.now() - arrived_after);
        }
    });
    // The reader finds the socket empty a few times.
    sleep(Duration::from_secs(1)).await;
    (move || peer.send(&message, &target), received)
}

/// Guards against a check for waiting messages that is made in quiet times only: with many peers, all
/// messages counted as late.
#[tokio::test(start_paused = true)]
async fn messages_in_quick_succession_count_as_read_at_once() {
    let (send, mut waits) = start_reader().await;
    for _ in 0..100 {
        send();
        sleep(Duration::from_millis(20)).await;
        let wait = waits.try_recv().expect("the message was read");
        assert!(wait <= Duration::from_millis(200), "{wait:?}");
    }
}

/// Guards against a message that counts as read at once since the runtime, and not the system, made
/// the reader wait: it interrupts tasks that read for long.
#[tokio::test(start_paused = true)]
async fn all_messages_of_a_pause_count_as_late() {
    let (send, mut waits) = start_reader().await;
    for _ in 0..200 {
        send();
    }
    let pause = Duration::from_secs(2);
    advance(pause).await;
    sleep(Duration::from_millis(10)).await;
    for _ in 0..200 {
        let wait = waits.try_recv().expect("the message was read");
        assert!(wait >= pause, "{wait:?}");
    }
}
