//! Executions, answers and counters of the plain service under each fault.

use std::time::Duration;

use celeryshed_standin::Outage;
use celeryshed_standin::service::{RawServiceOptions, RunningService, ServiceEcho, ServiceFaults};
use reqwest::Client;

/// Seed of the random choice of lost replies.
const SEED: u64 = 7;

async fn launch() -> RunningService {
    let raw =
        RawServiceOptions { latency_ms: 5, restart_ms: 200, seed: SEED, ..Default::default() };
    RunningService::launch(raw.try_into().unwrap(), ([127, 0, 0, 1], 0).into()).await.unwrap()
}

fn client() -> Client {
    Client::builder().no_proxy().timeout(Duration::from_millis(500)).build().unwrap()
}

async fn call(service: &RunningService, key: &str, body: &'static str) -> Option<ServiceEcho> {
    let url = format!("http://{}/press/bookings?answer_bytes=3", service.address());
    let request = client().post(url).header("Idempotency-Key", key).body(body);
    let reply = request.send().await.ok()?.error_for_status().ok()?;
    Some(serde_json::from_slice(&reply.bytes().await.ok()?).unwrap())
}

/// Guards against a wrong count of executions under a fault. Tests of bookings detect a booking
/// that was executed twice by this count.
#[tokio::test]
async fn executions_are_counted_under_faults() {
    let none = ServiceFaults::default;
    // Faults, whether the caller gets a reply, number of executions.
    let cases = [
        (none(), true, 1),
        (ServiceFaults { lose_replies: 1, ..none() }, false, 1),
        (ServiceFaults { lose_reply_permille: 1000, ..none() }, false, 1),
        (ServiceFaults { lose_requests: 1, ..none() }, false, 0),
        (ServiceFaults { outage: Outage::Unavailable, ..none() }, false, 0),
        (ServiceFaults { outage: Outage::Cut, ..none() }, false, 0),
        (ServiceFaults { crash: true, ..none() }, false, 0),
        // The call takes longer than the timeout of its caller, but is still executed.
        (ServiceFaults { extra_latency_ms: 700, ..none() }, false, 1),
    ];
    for (faults, replied, executions) in cases {
        let service = launch().await;
        service.control().set_faults(faults.clone());
        let echo = call(&service, "key-1", "order").await;
        assert_eq!(echo.is_some(), replied, "{faults:?}, seed {SEED}");
        tokio::time::sleep(Duration::from_millis(400)).await;
        let counts = service.control().counts();
        let counted = counts.by_key.get("key-1").copied().unwrap_or(0);
        assert_eq!(
            (counts.executions, counted),
            (executions, executions),
            "{faults:?}, seed {SEED}"
        );
    }
}

/// Guards against answers that don't identify their call. Tests detect an answer that was sent to
/// another caller by the repeated method, path, key and digest.
#[tokio::test]
async fn answers_repeat_the_call() {
    let service = launch().await;
    let first = call(&service, "key-1", "order").await.unwrap();
    let second = call(&service, "key-1", "order").await.unwrap();
    assert_eq!((first.execution, second.execution), (1, 2));
    assert_eq!((first.method.as_str(), first.path.as_str()), ("POST", "/press/bookings"));
    assert_eq!((first.body_bytes, first.padding.as_str()), (5, "xxx"));
    let url = format!("http://{}/", service.address());
    let reply = client().get(url).send().await.unwrap().bytes().await.unwrap();
    let echo: ServiceEcho = serde_json::from_slice(&reply).unwrap();
    assert_eq!(echo.key, echo.body_digest.to_string());
}

/// Guards against a crash that leaves concurrent calls running, and against a service that accepts
/// calls during its restart or doesn't come back.
#[tokio::test]
async fn a_crash_aborts_all_running_calls() {
    let service = launch().await;
    let slow = ServiceFaults { extra_latency_ms: 300, ..ServiceFaults::default() };
    service.control().set_faults(slow);
    let concurrent = call(&service, "beside", "order");
    let crashing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        call(&service, "crashing", "please crash-service now").await
    };
    assert_eq!(tokio::join!(concurrent, crashing), (None, None));
    service.control().set_faults(ServiceFaults::default());
    assert_eq!(call(&service, "down", "order").await, None);
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(call(&service, "back", "order").await.is_some());
    let counts = service.control().counts();
    assert_eq!((counts.crashes, counts.cut_by_crash, counts.executions), (1, 2, 1));
}

/// Guards against control routes that don't work over HTTP, and against unknown faults that are
/// accepted without an error.
#[tokio::test]
async fn faults_and_counts_work_over_http() {
    let service = launch().await;
    let url = format!("http://{}/control/faults", service.address());
    let reply = client().post(&url).body(r#"{"outage":"unavailable"}"#).send().await.unwrap();
    assert!(reply.status().is_success());
    assert_eq!(call(&service, "key-1", "order").await, None);
    let unknown = client().post(&url).body(r#"{"outrage":1}"#).send().await.unwrap();
    assert!(unknown.status().is_client_error());
    let url = format!("http://{}/control/counts", service.address());
    let counts = client().get(url).send().await.unwrap().text().await.unwrap();
    assert!(counts.contains(r#""executions":0"#), "{counts}");
}
