//! Publishing of changes while the log has faults.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, LogOffset, ServiceName, TokenRate};
use celeryshed_core::configuration::{
    ChangeKind, ChangeOutcome, EndpointKind, RefusalReason, ServiceDefinition,
};
use celeryshed_operate::publish::{ConfigurationPublisher, PublishError, PublishOptions};
use celeryshed_platform::fakes::FakeLog;
use tokio::time::{Instant, sleep};

const STREAM: &str = "configuration";

fn service_with(endpoints: u32) -> ChangeKind {
    let definition = ServiceDefinition {
        kind: EndpointKind::Engine,
        endpoints,
        slots_per_endpoint: 8,
        tokens_per_endpoint: TokenRate(1_000),
        version: None,
    };
    ChangeKind::PutService(ServiceName::try_from("drafter").unwrap(), definition)
}

fn publisher(log: &FakeLog) -> ConfigurationPublisher {
    ConfigurationPublisher::new(Arc::new(log.clone()), PublishOptions::default())
}

/// Publishes one change under a fault; returns the accepted revision and the records in the log.
async fn published_under(fault: impl FnOnce(&FakeLog)) -> (Option<u64>, usize) {
    let log = FakeLog::new(ClockSource::start());
    let mut publisher = publisher(&log);
    publisher.catch_up().await.unwrap();
    fault(&log);
    let verdict = publisher.publish(service_with(1)).await.unwrap();
    let revision = match verdict.outcome {
        ChangeOutcome::Accepted(revision) => Some(revision.0),
        ChangeOutcome::Refused(_) => None,
    };
    (revision, log.entries(STREAM).len())
}

/// Guards against a change that is appended twice, or given up although the log recovers.
#[tokio::test(start_paused = true)]
async fn change_is_appended_once_despite_log_faults() {
    assert_eq!(published_under(|_| {}).await, (Some(1), 1), "no fault");
    let lost_reply = published_under(|log| log.lose_next_replies(1)).await;
    assert_eq!(lost_reply, (Some(1), 1), "reply lost");
    let lost_request = published_under(|log| log.lose_next_requests(3)).await;
    assert_eq!(lost_request, (Some(1), 1), "requests lost");
    let refused = published_under(|log| log.refuse_next(3, None)).await;
    assert_eq!(refused, (Some(1), 1), "refused");
    let outage = published_under(|log| {
        log.set_outage(true);
        let log = log.clone();
        tokio::spawn(async move {
            sleep(Duration::from_secs(5)).await;
            log.set_outage(false);
        });
    });
    assert_eq!(outage.await, (Some(1), 1), "outage of 5 s");
}

/// Guards against two concurrent changes with the same base revision that are both accepted.
#[tokio::test(start_paused = true)]
async fn racing_operators_get_one_acceptance() {
    let log = FakeLog::new(ClockSource::start());
    log.set_latency(Duration::from_millis(10));
    let (mut first, mut second) = (publisher(&log), publisher(&log));
    let (first, second) =
        tokio::join!(first.publish(service_with(1)), second.publish(service_with(2)));
    let outcomes = [first.unwrap().outcome, second.unwrap().outcome];
    let accepted = |outcome: &&ChangeOutcome| matches!(outcome, ChangeOutcome::Accepted(_));
    let stale = |outcome: &&ChangeOutcome| {
        matches!(outcome, ChangeOutcome::Refused(RefusalReason::StaleBase { .. }))
    };
    assert_eq!(outcomes.iter().filter(accepted).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(stale).count(), 1, "{outcomes:?}");
}

/// Guards against an error that calls a change ineffective although it may take effect.
#[tokio::test(start_paused = true)]
async fn errors_show_whether_the_change_may_take_effect() {
    let log = FakeLog::new(ClockSource::start());
    let mut publisher = publisher(&log);
    publisher.catch_up().await.unwrap();
    log.set_outage(true);
    let started = Instant::now();
    let error = publisher.publish(service_with(1)).await.unwrap_err();
    assert!(matches!(error, PublishError::Unreadable(_)), "{error}");
    assert!(started.elapsed() <= PublishOptions::default().deadline + Duration::from_secs(1));
    assert!(log.entries(STREAM).is_empty());

    log.set_outage(false);
    log.lose_next_replies(1);
    let outage = log.clone();
    log.set_latency(Duration::from_millis(100));
    tokio::spawn(async move {
        // The outage starts after the read and the append, before the search for the record.
        sleep(Duration::from_millis(250)).await;
        outage.set_outage(true);
    });
    let error = publisher.publish(service_with(1)).await.unwrap_err();
    assert!(matches!(error, PublishError::Undecided { .. }), "{error}");
    assert_eq!(log.entries(STREAM).len(), 1);
}

/// Guards against a change based on an incomplete configuration, after the log dropped a record
/// that no snapshot covers.
#[tokio::test(start_paused = true)]
async fn publish_fails_when_records_are_missing() {
    let log = FakeLog::new(ClockSource::start());
    publisher(&log).publish(service_with(1)).await.unwrap();
    log.trim_before(STREAM, LogOffset(1));
    let error = publisher(&log).publish(service_with(2)).await.unwrap_err();
    assert!(matches!(error, PublishError::RecordsMissing), "{error}");
}
