//! Tests the HTTP clients and routes of bookings over loopback.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::*;
use celeryshed_core::booking::{DispatchResult, SealResult};
use celeryshed_entry::bookings::*;
use celeryshed_platform::fakes::FakeLog;
use celeryshed_side::claims::{ClaimOptions, claim_routes, spawn_claims};
use celeryshed_wire::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

use crate::cluster::{problem_of, start_entry};

fn attempt_request() -> AttemptRequest {
    let call = CallWork {
        method: "POST".into(),
        path: "kits".into(),
        content_type: None,
        body: vec![1].into(),
        idempotency_key: None,
        claim: None,
    };
    AttemptRequest {
        attempt_id: AttemptId::random(),
        request_id: RequestId::random(),
        team: TeamName::try_from("clinic").unwrap(),
        service: ServiceName::try_from("orders").unwrap(),
        priority: PriorityClass::Booking,
        deadline_ms: 5_000,
        fingerprint: ContentDigest::of(b"order"),
        suspect: false,
        work: AttemptWork::Call(call),
    }
}

fn booking_forward() -> BookingForward {
    let AttemptWork::Call(call) = attempt_request().work else { unreachable!() };
    BookingForward {
        request_id: RequestId::random(),
        team: TeamName::try_from("clinic").unwrap(),
        service: ServiceName::try_from("orders").unwrap(),
        key: "no key".into(),
        deadline_ms: 5_000,
        call,
    }
}

/// Starts a server that replies to one request with `body` and closes the connection; without a
/// body, it closes the connection without a reply.
async fn reply_once(body: Option<Vec<u8>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let _ = socket.read(&mut [0; 4096]).await;
        if let Some(body) = body {
            let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
            socket.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
        }
    });
    address
}

/// A free port, which no other socket gets before a server listens at it.
fn reserve_port() -> (TcpSocket, u16) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let port = socket.local_addr().unwrap().port();
    (socket, port)
}

async fn serve(rocket: rocket::Rocket<rocket::Build>) -> String {
    let (_reservation, port) = reserve_port();
    let log_level = rocket::config::LogLevel::Off;
    let config = rocket::Config { port, log_level, ..rocket::Config::release_default() };
    tokio::spawn(rocket.configure(config).launch());
    let address = format!("127.0.0.1:{port}");
    while tokio::net::TcpStream::connect(&address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    address
}

/// Guards against "not run" for a booking that a process may have received, and against "unknown"
/// when no byte was sent.
#[tokio::test]
async fn only_a_refused_connection_proves_that_nothing_was_sent() {
    let sides = HttpDispatchClient::new(reqwest::Client::new());
    let entries = HttpForwardClient::new(reqwest::Client::new());
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    let result = sides.dispatch(&closed, attempt_request()).await;
    assert!(matches!(result, DispatchResult::NotRun { claim_only: false, .. }), "{result:?}");
    assert!(!entries.forward(&closed, &booking_forward()).await.unwrap_err().maybe_received);
    let cut_address = reply_once(None).await;
    assert_eq!(sides.dispatch(&cut_address, attempt_request()).await, DispatchResult::Unknown);
    let cut_address = reply_once(None).await;
    assert!(entries.forward(&cut_address, &booking_forward()).await.unwrap_err().maybe_received);
}

/// Guards against a result taken from frames of another attempt or from a truncated stream.
#[tokio::test]
async fn only_complete_frames_of_the_attempt_give_a_result() {
    let sides = HttpDispatchClient::new(reqwest::Client::new());
    let request = attempt_request();
    let answer = ServiceAnswer { status: 200, content_type: None, body: vec![1; 50].into() };
    let frame = |attempt_id, kind| encode_frame(&AttemptEvent { attempt_id, kind }).unwrap();
    let own = frame(request.attempt_id, AttemptEventKind::Answer(answer.clone()));
    let other = frame(AttemptId::random(), AttemptEventKind::Answer(answer.clone()));
    let refused = frame(
        request.attempt_id,
        AttemptEventKind::Failed(AttemptFailure {
            not_run: RunStatus::NotRun,
            cause: FailureCause::ClaimRefused,
            detail: "sealed".into(),
            retry_after_ms: None,
        }),
    );
    let sealed = DispatchResult::NotRun { detail: "sealed".into(), claim_only: true };
    let cases = [
        ([&other[..], &own[..]].concat(), DispatchResult::Answer(answer)),
        (other.to_vec(), DispatchResult::Unknown),
        (own[..own.len() - 1].to_vec(), DispatchResult::Unknown),
        (refused.to_vec(), sealed),
    ];
    for (body, expected) in cases {
        let address = reply_once(Some(body)).await;
        assert_eq!(sides.dispatch(&address, request.clone()).await, expected);
    }
}

/// Guards against clients and routes that differ in path or encoding.
#[tokio::test]
async fn routes_and_clients_agree() {
    let clock = ClockSource::start();
    let log = Arc::new(FakeLog::new(clock));
    let incarnation = ProcessIncarnation::random();
    let claims = spawn_claims(log, clock, incarnation, ClaimOptions::default());
    let address = serve(rocket::build().manage(claims).mount("/", claim_routes())).await;
    let sides = HttpDispatchClient::new(reqwest::Client::new());
    let request = SealRequest { claim_id: ClaimId::random(), side_incarnation: incarnation };
    assert_eq!(sides.seal(&address, request.clone()).await, SealResult::Sealed);
    let other = SealRequest { side_incarnation: ProcessIncarnation::random(), ..request };
    assert_eq!(sides.seal(&address, other).await, SealResult::OtherIncarnation);
    let entry = rocket::build().manage(start_entry().await).mount("/", booking_routes());
    let address = serve(entry).await;
    let entries = HttpForwardClient::new(reqwest::Client::new());
    let problem = problem_of(&entries.forward(&address, &booking_forward()).await.unwrap());
    assert_eq!((problem.status, problem.not_run), (400, RunStatus::NotRun));
}
