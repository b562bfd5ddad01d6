//! Bookings through real entry and sidecar tasks in paused time, over the fake log.

mod cluster;

use std::time::Duration;

use celeryshed_wire::{BookingReply, NotRunVerdict};
use cluster::{TestCluster, answer_of, problem_of};

/// Guards against a resend that runs again or gets another answer.
#[tokio::test(start_paused = true)]
async fn a_resend_gets_the_recorded_answer() {
    let cluster = TestCluster::start(3, 2).await;
    let booking = cluster.booking("order 1");
    let first = cluster.book(0, &booking).await;
    assert_eq!(answer_of(&first), ("order 1 run 1".to_owned(), false));
    for entry in 0..3 {
        let resent = cluster.book(entry, &booking).await;
        assert_eq!(answer_of(&resent), ("order 1 run 1".to_owned(), true), "entry {entry}");
    }
    assert_eq!(cluster.runs("order 1"), 1);
}

/// Guards against two runs when callers send the same key to all entries at once.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_of_a_key_run_once() {
    let cluster = TestCluster::start(3, 2).await;
    cluster.set_run_time(Duration::from_secs(4));
    let booking = cluster.booking("order 2");
    let requests = (0..3).map(|entry| cluster.book(entry, &booking));
    let replies = futures::future::join_all(requests).await;
    for reply in &replies {
        assert_eq!(answer_of(reply).0, "order 2 run 1");
    }
    assert_eq!(cluster.runs("order 2"), 1);
}

/// Guards against a key that silently returns the answer of another call.
#[tokio::test(start_paused = true)]
async fn another_body_is_refused() {
    let cluster = TestCluster::start(1, 1).await;
    let booking = cluster.booking("order 3");
    cluster.book(0, &booking).await;
    let mut other = booking.clone();
    other.call.body = b"order 4".to_vec().into();
    let problem = problem_of(&cluster.book(0, &other).await);
    assert_eq!((problem.kind.as_str(), problem.status), ("/problems/key-reused", 422));
    assert_eq!(problem.not_run, NotRunVerdict::Ran);
}

/// Guards against "not run" without proof while the log is down.
#[tokio::test(start_paused = true)]
async fn an_unreadable_log_gives_unknown() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.log.set_outage(true);
    let problem = problem_of(&cluster.book(0, &cluster.booking("order 5")).await);
    assert_eq!(problem.kind, "/problems/log-unavailable");
    assert_eq!(problem.not_run, NotRunVerdict::Unknown);
    assert_eq!(cluster.runs("order 5"), 0);
}

/// Guards against a second claim after an append whose reply is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_append_reply_doesnt_repeat_the_run() {
    let cluster = TestCluster::start(1, 1).await;
    let booking = cluster.booking("order 6");
    cluster.log.lose_next_replies(1);
    assert!(!answer_of(&cluster.book(0, &booking).await).1);
    assert_eq!(cluster.runs("order 6"), 1);
}

/// Guards against waiting for ever, or running again, when the sidecar of a claim is gone.
#[tokio::test(start_paused = true)]
async fn a_replaced_sidecar_leaves_the_outcome_unknown() {
    let cluster = TestCluster::start(2, 1).await;
    cluster.set_run_time(Duration::from_secs(3600));
    let booking = cluster.booking("order 7");
    let lost = cluster.book(0, &booking);
    let replaced = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster.replace_side(0);
        cluster.set_run_time(Duration::from_millis(20));
        cluster.book(1, &booking).await
    };
    let (lost, replaced) = tokio::join!(lost, replaced);
    for reply in [lost, replaced] {
        let problem = problem_of(&reply);
        assert_eq!(problem.not_run, NotRunVerdict::Unknown);
        assert_eq!(problem.kind, "/problems/outcome-unknown");
    }
    assert_eq!(cluster.runs("order 7"), 1);
}

/// Guards against a refusal that holds the key: after "not run" a resend runs.
#[tokio::test(start_paused = true)]
async fn not_run_without_endpoint_can_be_resent() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.hide_sides(true);
    let booking = cluster.booking("order 8");
    let problem = problem_of(&cluster.book(0, &booking).await);
    assert_eq!(problem.not_run, NotRunVerdict::NotRun);
    cluster.hide_sides(false);
    assert!(matches!(cluster.book(0, &booking).await, BookingReply::Answer { .. }));
}

/// Guards against "not run" from one entry while another that got the same request may run it.
#[tokio::test(start_paused = true)]
async fn not_run_is_withdrawn_while_a_forward_is_in_doubt() {
    let cluster = TestCluster::start(3, 1).await;
    let booking = cluster.booking("order 9");
    let outsider = cluster.outsider(&booking);
    cluster.hide_sides(true);
    let problem = problem_of(&cluster.book(outsider, &booking).await);
    assert_eq!(problem.not_run, NotRunVerdict::NotRun, "no doubt: the first reader replied");
    cluster.cut_entries(true);
    let problem = problem_of(&cluster.book(outsider, &booking).await);
    assert_eq!(problem.not_run, NotRunVerdict::Unknown);
}

/// Guards against an answer above the limit being lost without a trace or run again.
#[tokio::test(start_paused = true)]
async fn a_large_answer_is_not_kept_but_known() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.set_answer_bytes(100_000);
    let booking = cluster.booking("order 10");
    let first = cluster.book(0, &booking).await;
    assert_eq!(answer_of(&first).0.len(), 100_000);
    let problem = problem_of(&cluster.book(0, &booking).await);
    assert_eq!(problem.kind, "/problems/answer-not-kept");
    assert_eq!(problem.not_run, NotRunVerdict::Ran);
    assert_eq!(cluster.runs("order 10"), 1);
}
