//! Tests bookings through real entry and sidecar tasks in paused time, with an in-memory log.

#![expect(clippy::print_stdout, reason = "prints the seed of a failed schedule")]

mod cluster;
mod http;
mod random;

use std::time::Duration;

use celeryshed_wire::{BookingReply, RunStatus};
use cluster::{ForwardFault, TestCluster, answer_of, problem_of};

/// Guards against a resend, at any entry, that runs again or gets another answer.
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
async fn concurrent_requests_with_one_key_run_once() {
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

/// Guards against a reused key that returns the answer of another call.
#[tokio::test(start_paused = true)]
async fn another_body_is_refused() {
    let cluster = TestCluster::start(1, 1).await;
    let booking = cluster.booking("order 3");
    cluster.book(0, &booking).await;
    let mut other = booking.clone();
    other.call.body = b"order 4".to_vec().into();
    let problem = problem_of(&cluster.book(0, &other).await);
    assert_eq!((problem.kind.as_str(), problem.status), ("/problems/key-reused", 422));
    assert_eq!(problem.not_run, RunStatus::Ran);
}

/// Guards against reporting "not run" while the log is down and can't prove it.
#[tokio::test(start_paused = true)]
async fn an_unreadable_log_leaves_the_outcome_unknown() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.log.set_outage(true);
    let problem = problem_of(&cluster.book(0, &cluster.booking("order 5")).await);
    assert_eq!(problem.kind, "/problems/log-unavailable");
    assert_eq!(problem.not_run, RunStatus::Unknown);
    assert_eq!(cluster.runs("order 5"), 0);
}

/// Guards against a second run after a claim whose append took effect but whose reply was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_append_reply_doesnt_repeat_the_run() {
    let cluster = TestCluster::start(1, 1).await;
    let booking = cluster.booking("order 6");
    cluster.log.lose_next_replies(1);
    assert!(!answer_of(&cluster.book(0, &booking).await).1);
    assert_eq!(cluster.runs("order 6"), 1);
}

/// Guards against waiting forever, or running again, when the sidecar of a claim was replaced
/// during the run.
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
        assert_eq!(problem.not_run, RunStatus::Unknown);
        assert_eq!(problem.kind, "/problems/outcome-unknown");
    }
    assert_eq!(cluster.runs("order 7"), 1);
}

/// Guards against a refusal that blocks its key: a resend after "not run" must run.
#[tokio::test(start_paused = true)]
async fn not_run_without_endpoint_can_be_resent() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.hide_sides(true);
    let booking = cluster.booking("order 8");
    let problem = problem_of(&cluster.book(0, &booking).await);
    assert_eq!(problem.not_run, RunStatus::NotRun);
    cluster.hide_sides(false);
    assert!(matches!(cluster.book(0, &booking).await, BookingReply::Answer { .. }));
}

/// Guards against "not run" from one entry while another one that received the same request may
/// still run it.
#[tokio::test(start_paused = true)]
async fn not_run_is_withdrawn_while_another_entry_may_run_the_booking() {
    let cluster = TestCluster::start(3, 1).await;
    let booking = cluster.booking("order 9");
    let non_reader = cluster.non_reader(&booking);
    cluster.hide_sides(true);
    let cases = [
        (ForwardFault::None, RunStatus::NotRun),
        (ForwardFault::Unreachable, RunStatus::NotRun),
        (ForwardFault::LoseRequest, RunStatus::Unknown),
        (ForwardFault::LoseReply, RunStatus::Unknown),
        (ForwardFault::Hang, RunStatus::Unknown),
    ];
    for (fault, verdict) in cases {
        cluster.fail_next_forward(fault);
        let problem = problem_of(&cluster.book(non_reader, &booking).await);
        assert_eq!(problem.not_run, verdict, "{fault:?}");
        // Longer than the pause of 2 s between reads of an idle partition; callers that get a
        // problem are asked to wait as long.
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
}

/// Guards against a booking that fails, or runs twice, because the first reader is unreachable,
/// breaks the connection before or after serving it, or is paused.
#[tokio::test(start_paused = true)]
async fn a_failed_forward_is_served_elsewhere_once() {
    let faults = [
        (ForwardFault::Unreachable, false),
        (ForwardFault::LoseRequest, false),
        (ForwardFault::LoseReply, true),
        (ForwardFault::Hang, false),
    ];
    for (fault, replayed) in faults {
        let cluster = TestCluster::start(3, 2).await;
        let booking = cluster.booking("order 11");
        cluster.fail_next_forward(fault);
        let reply = cluster.book(cluster.non_reader(&booking), &booking).await;
        assert_eq!(answer_of(&reply), ("order 11 run 1".to_owned(), replayed), "{fault:?}");
        assert_eq!(cluster.runs("order 11"), 1, "{fault:?}");
    }
}

/// Guards against a second run of a booking whose answer was too large to record, and against a
/// resend that isn't told so.
#[tokio::test(start_paused = true)]
async fn a_resend_after_a_large_answer_reports_that_it_ran() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.set_answer_bytes(100_000);
    let booking = cluster.booking("order 10");
    let first = cluster.book(0, &booking).await;
    assert_eq!(answer_of(&first).0.len(), 100_000);
    let problem = problem_of(&cluster.book(0, &booking).await);
    assert_eq!(problem.kind, "/problems/answer-not-kept");
    assert_eq!(problem.not_run, RunStatus::Ran);
    assert_eq!(cluster.runs("order 10"), 1);
}

/// Guards against one append for each claim, which would exceed the append rate of the log.
#[tokio::test(start_paused = true)]
async fn claims_are_appended_in_groups() {
    let cluster = TestCluster::start(1, 8).await;
    let bookings: Vec<_> = (0..200).map(|_| cluster.booking("order 12")).collect();
    let replies = bookings.iter().map(|booking| cluster.book(0, booking));
    let replies = futures::future::join_all(replies).await;
    assert!(replies.iter().all(|reply| matches!(reply, BookingReply::Answer { .. })));
    assert_eq!(cluster.runs("order 12"), 200);
    // 400 records, 200 claims and 200 outcomes, in 16 partitions.
    let counts = cluster.log.counts();
    assert!(counts.appends <= 100, "{counts:?}");
}

/// Guards against a partition that is never read to its end because reads of a full page time out.
#[tokio::test(start_paused = true)]
async fn slow_reads_shrink_the_page() {
    let cluster = TestCluster::start(1, 2).await;
    cluster.limit_reads(3);
    for partition in 0..16 {
        let filler = vec![bytes::Bytes::from_static(b"no claim record"); 100];
        cluster.log.insert(&format!("claims-{partition}"), filler);
    }
    tokio::time::sleep(Duration::from_secs(300)).await;
    let booking = cluster.booking("order 13");
    assert_eq!(answer_of(&cluster.book(0, &booking).await), ("order 13 run 1".to_owned(), false));
}
