//! Requests whose bytes are held up between the entry and the endpoint.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::ScriptStep::Hang;
use support::{Deployment, FakeStore, ScriptedEndpoint, request, snapshot};
use tokio::io::copy;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Time after a declaration at which a version takes effect.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after the declaration at which the link is restored.
const RESTORED_AFTER: Duration = Duration::from_millis(1200);

/// Guards against a request that arrives at an endpoint of the old version when a link is restored
/// shortly before the new version takes effect, although it has been overdue for long.
#[tokio::test]
async fn overdue_request_does_not_arrive_before_a_new_version_takes_effect() {
    let engine = ScriptedEndpoint::start("i-1", vec![vec![Hang]]).await;
    let link = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let linked = ScriptedEndpoint {
        id: engine.id.clone(),
        address: link.local_addr().unwrap(),
        requests: engine.requests.clone(),
    };
    let store = Arc::new(FakeStore::default());
    store.publish(snapshot(1));
    store.register_model(&linked, "letters", 1);
    let entry = Deployment::start_with_deadline(store, DEADLINE).await;
    entry.wait_ready().await;
    entry.store.declare("letters", 2);
    let declared_at = Instant::now();
    sleep(Duration::from_millis(100)).await;
    let _caller =
        entry.connect(&request("POST", "/strict/a", "r1", "x-model: letters\r\n", "x")).await;
    let (mut held_up, _) = link.accept().await.unwrap();
    sleep_until(declared_at + RESTORED_AFTER).await;
    // A reset discards what the link holds up.
    if held_up.take_error().unwrap().is_none() {
        let mut onward = TcpStream::connect(engine.address).await.unwrap();
        tokio::spawn(async move { copy(&mut held_up, &mut onward).await });
    }
    sleep_until(declared_at + DEADLINE).await;
    assert_eq!(engine.count(), 0, "the endpoint got the request");
}
