//! Pauses of the whole process between a decision and its effect.

mod support;

use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use support::{Deployment, ScriptedEndpoint, request};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

/// Longer than the entry may take to send a request after the choice of its endpoint.
const PAUSE: Duration = Duration::from_millis(700);

/// Accepts the next connection while other tasks of the process run.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true).unwrap();
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => yield_now().await,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Reads until the connection ends or `limit` has passed.
async fn read_all(stream: &mut TcpStream, limit: Duration) -> String {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    let started = Instant::now();
    while started.elapsed() < limit {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => yield_now().await,
            Err(_reset) => break,
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// Guards against a request that is sent on a decision from before a pause: the endpoint may have
/// begun to drain meanwhile, and the time limit that it is told has passed in part. The entry
/// decides again.
#[tokio::test]
async fn request_is_not_sent_on_decision_from_before_pause() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let endpoint = ScriptedEndpoint {
        id: "i-1".to_owned(),
        address: listener.local_addr().unwrap(),
        requests: Default::default(),
    };
    let entry = Deployment::start(&[&endpoint]).await;
    let text = request("POST", "/book/a", "r1", "x-limit-ms: 3000\r\n", "x");
    let _caller = entry.connect(&text).await;
    let mut first = timeout(Duration::from_secs(2), accept(&listener)).await.expect("a connection");
    // Stops all tasks of the process, like SIGSTOP, before the entry learns that it is connected.
    std::thread::sleep(PAUSE);
    assert_eq!(read_all(&mut first, Duration::from_millis(300)).await, "");
    let mut second =
        timeout(Duration::from_secs(2), accept(&listener)).await.expect("a new decision");
    let sent = read_all(&mut second, Duration::from_millis(300)).await;
    assert!(sent.starts_with("POST /book/a"), "{sent}");
    let limit = sent.lines().find_map(|line| line.strip_prefix("x-limit-ms: ")).unwrap();
    let longest = Duration::from_secs(3) - PAUSE;
    assert!(limit.parse::<u128>().unwrap() <= longest.as_millis(), "{limit}");
}
