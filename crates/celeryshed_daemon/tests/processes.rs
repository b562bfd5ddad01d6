//! A stream, a booking and a spread through separate processes, and starts that fail.

mod support;

use support::{BookEnd, Deployment, Plan, StreamEnd, new_key};

/// Guards against parts that work only inside one process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_booking_and_spread_through_processes() {
    let plan = Plan { engines: 2, desks: 1, ..Plan::default() };
    let deployment = Deployment::start(plan).await;
    let second = deployment.publish_version("two").await;
    deployment.wait_live(second).await;
    let mut stream = deployment.caller.stream(deployment.entry(0), "a long text", 30).await;
    assert_eq!(stream.finish().await, StreamEnd::Whole);
    assert!(stream.is_whole(), "{}", stream.describe());
    let key = new_key();
    let first = deployment.booker.book(deployment.entry(0), &key, "one").await;
    let again = deployment.booker.book(deployment.entry(1), &key, "one").await;
    assert!(matches!(first, BookEnd::Answer(_)), "{first:?}");
    assert_eq!(first, again);
    assert_eq!(deployment.executions(&key, "one"), 1);
}
