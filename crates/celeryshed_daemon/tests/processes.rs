//! A stream, a booking and the distribution of a version through separate processes.

mod support;

use support::{BookingReply, Deployment, DeploymentPlan, StreamResult, new_key};

/// Guards against features that work only when all roles run in one process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_booking_and_distribution_through_processes() {
    let plan = DeploymentPlan { engines: 2, plain_services: 1, ..DeploymentPlan::default() };
    let deployment = Deployment::start(plan).await;
    let second = deployment.publish_version("two").await;
    deployment.wait_live(second).await;
    let mut stream = deployment.caller.stream(deployment.entry(0), "a long text", 30).await;
    assert_eq!(stream.finish().await, StreamResult::Whole);
    assert!(stream.is_whole(), "{}", stream.describe());
    let key = new_key();
    let first = deployment.booking_caller.book(deployment.entry(0), &key, "one").await;
    let again = deployment.booking_caller.book(deployment.entry(1), &key, "one").await;
    assert!(matches!(first, BookingReply::Answer(_)), "{first:?}");
    assert_eq!(first, again);
    assert_eq!(deployment.executions(&key, "one"), 1);
}
