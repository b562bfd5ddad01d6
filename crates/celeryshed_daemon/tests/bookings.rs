//! P3 (a booking refused as "not run" has not run) and P4 (a booking runs at most once) under
//! failures.

mod support;

use std::time::Duration;

use celeryshed_standin::Outage;
use celeryshed_standin::platform::LogFaults;
use celeryshed_standin::service::ServiceFaults;
use futures::future::join_all;
use serde_json::json;
use support::{
    BookingHistory, BookingReply, DaemonSignal, Deployment, DeploymentPlan, MemberKind, RelayMode,
    WAIT_LIMIT, new_key, wait_for_value, wait_until,
};
use tokio::time::{Instant, sleep};

/// Duration of a call; long enough that a fault takes effect while the call runs.
const LONG_CALL: Duration = Duration::from_millis(700);

/// Pause of a caller between two attempts.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Delay of each message on a slow link to the log. A read and an append with this delay still fit
/// into the 2 s for which an entry waits for the log.
const SLOW_LOG: Duration = Duration::from_millis(250);

fn plan(entries: usize, plain_services: usize) -> DeploymentPlan {
    DeploymentPlan { entries, plain_services, relays: true, ..DeploymentPlan::default() }
}

/// Resends until the booking is answered; records every reply.
async fn resend_until_answered(
    history: &BookingHistory,
    deployment: &Deployment,
    entry: usize,
    key: &str,
) {
    let address = deployment.entry(entry);
    let started = Instant::now();
    loop {
        let reply = history.book(deployment, address, key, "order").await;
        if matches!(reply, BookingReply::Answer(_)) {
            return;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "no answer for {key}, last: {reply:?}");
        sleep(RESEND_PAUSE).await;
    }
}

/// Resends four times, to the entries in turn; every reply must say that the outcome is unknown.
async fn resend_stays_unknown(history: &BookingHistory, deployment: &Deployment, key: &str) {
    for entry in deployment.members_of(MemberKind::Entry).into_iter().cycle().take(4) {
        let address = deployment.entry(entry);
        let reply = history.book(deployment, address, key, "order").await;
        assert_eq!(reply.not_run(), Some(&json!("unknown")), "{reply:?}");
    }
}

/// Guards against a key that runs twice when several entries dispatch it at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_key_at_every_entry_at_once() {
    const KEYS: usize = 30;
    let deployment = Deployment::start(plan(3, 2)).await;
    let history = BookingHistory::default();
    let keys: Vec<String> = (0..KEYS).map(|_| new_key()).collect();
    let entries = [0, 1, 2].map(|number| deployment.entry(number));
    let (history, deployment) = (&history, &deployment);
    let requests = keys.iter().flat_map(|key| entries.map(|entry| (key, entry)));
    let replies = requests.map(|(key, entry)| history.book(deployment, entry, key, "order"));
    for reply in join_all(replies).await {
        assert!(matches!(reply, BookingReply::Answer(_)), "{reply:?}");
    }
    for (number, key) in keys.iter().enumerate() {
        history.book(deployment, entries[number % 3], key, "order").await;
        assert_eq!(deployment.executions(key, "order"), 1);
    }
    history.check("P4 same key at once", deployment).await;
}

/// Step of a booking at which its entry is killed.
#[derive(Clone, Copy, Debug)]
enum KillStep {
    BeforeClaim,
    ClaimAppended,
    DispatchOnTheWay,
    CallRuns,
    CallExecuted,
    Answered,
}

impl KillStep {
    const ALL: [Self; 6] = [
        Self::BeforeClaim,
        Self::ClaimAppended,
        Self::DispatchOnTheWay,
        Self::CallRuns,
        Self::CallExecuted,
        Self::Answered,
    ];

    /// Stalls or delays the link of the step, so that the test can kill the entry during the step.
    fn prepare(self, deployment: &Deployment) {
        let sides = deployment.members_of(MemberKind::PlainService);
        let sides = || sides.iter().map(|index| &deployment.members[*index]);
        let entry = deployment.members[0].log_link.as_ref().expect("relays");
        match self {
            Self::BeforeClaim => entry.set(RelayMode::Stall),
            Self::ClaimAppended => entry.set(RelayMode::Delay(SLOW_LOG)),
            Self::DispatchOnTheWay => sides().for_each(|side| {
                side.link.as_ref().expect("relays").set(RelayMode::Stall);
            }),
            Self::CallExecuted => sides().for_each(|side| {
                side.log_link.as_ref().expect("relays").set(RelayMode::Delay(LONG_CALL));
            }),
            Self::CallRuns | Self::Answered => {}
        }
    }

    /// Whether the step is reached; `records` is the number of claim records before the request.
    async fn is_reached(self, deployment: &Deployment, records: u64, key: &str) -> bool {
        match self {
            Self::BeforeClaim => deployment.in_progress(0).await > 0,
            Self::ClaimAppended => deployment.claim_records() > records,
            Self::DispatchOnTheWay => {
                let sides = deployment
                    .members
                    .iter()
                    .filter(|member| member.kind == MemberKind::PlainService);
                sides.filter_map(|side| side.link.as_ref()).any(|link| link.held_reads() > 0)
            }
            Self::CallRuns => deployment.running_calls() > 0,
            Self::CallExecuted | Self::Answered => deployment.executions(key, "order") > 0,
        }
    }
}

fn restore_links(deployment: &Deployment) {
    for member in &deployment.members {
        let links = [&member.link, &member.log_link, &member.endpoint_link];
        links.into_iter().flatten().for_each(|link| link.set(RelayMode::Pass));
    }
}

/// Guards against a second execution, a lost outcome or a false "not run" after the entry with the
/// claim was killed at any step between claim and answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_killed_between_claim_and_answer() {
    let runs = KillStep::ALL.map(|step| async move {
        let history = &BookingHistory::default();
        let plan = DeploymentPlan { service_latency: LONG_CALL, ..plan(2, 2) };
        let mut deployment = Deployment::start(plan).await;
        let key = new_key();
        let records = deployment.claim_records();
        step.prepare(&deployment);
        let first = BookingHistory::spawn_booking(
            &deployment.booking_caller,
            deployment.entry(0),
            &key,
            "order",
        );
        wait_for_value(&format!("{step:?}"), || async {
            step.is_reached(&deployment, records, &key).await.then_some(())
        })
        .await;
        if matches!(step, KillStep::Answered) {
            wait_until("the first caller has its answer", || first.is_finished()).await;
        }
        deployment.members[0].daemon.kill();
        history.count_fault();
        let reply = first.await.expect("the request ends");
        history.record_reply(&deployment, &key, "order", reply);
        history.book_within(&deployment, deployment.entry(1), &key, "order", LONG_CALL * 2).await;
        restore_links(&deployment);
        resend_until_answered(history, &deployment, 1, &key).await;
        deployment.restart(0);
        deployment.wait_bookings(deployment.entry(0)).await;
        resend_until_answered(history, &deployment, 0, &key).await;
        assert_eq!(deployment.executions(&key, "order"), 1, "{step:?}");
        history.check(&format!("P3/P4 entry killed {step:?}"), &deployment).await;
    });
    join_all(runs).await;
}

/// Guards against an entry that was paused after its claim and still dispatches the claim when it
/// continues, although another entry has taken the booking over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_does_not_dispatch_after_take_over() {
    let plan = DeploymentPlan { service_latency: Duration::from_millis(50), ..plan(2, 2) };
    let deployment = Deployment::start(plan).await;
    let history = BookingHistory::default();
    let paused = &deployment.members[0];
    for _ in 0..3 {
        let key = new_key();
        let records = deployment.claim_records();
        let link = paused.log_link.as_ref().expect("relays");
        link.set(RelayMode::Delay(SLOW_LOG));
        let first = BookingHistory::spawn_booking(
            &deployment.booking_caller,
            deployment.entry(0),
            &key,
            "order",
        );
        wait_until("the claim is appended", || deployment.claim_records() > records).await;
        paused.daemon.signal(DaemonSignal::Pause);
        history.count_fault();
        resend_until_answered(&history, &deployment, 1, &key).await;
        assert_eq!(deployment.executions(&key, "order"), 1);
        link.set(RelayMode::Pass);
        paused.daemon.signal(DaemonSignal::Continue);
        // The pause may have exceeded the entry's wait for the log; then it must answer "unknown".
        let reply = first.await.expect("the request ends");
        let unknown = reply.not_run() == Some(&json!("unknown"));
        assert!(unknown || matches!(reply, BookingReply::Answer(_)), "{reply:?}");
        history.record_reply(&deployment, &key, "order", reply);
        resend_until_answered(&history, &deployment, 0, &key).await;
        assert_eq!(deployment.executions(&key, "order"), 1);
    }
    history.check("P4 paused entry", &deployment).await;
}

/// Guards against a booking that runs again, or is reported as not run, after the sidecar that ran
/// it was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecar_killed_while_the_call_runs() {
    let runs = [1, 2].map(|plain_services| async move {
        let history = &BookingHistory::default();
        let plan = DeploymentPlan { service_latency: LONG_CALL, ..plan(2, plain_services) };
        let mut deployment = Deployment::start(plan).await;
        let key = new_key();
        let first = BookingHistory::spawn_booking(
            &deployment.booking_caller,
            deployment.entry(0),
            &key,
            "order",
        );
        let busy = wait_for_value("the call runs", async || deployment.busy_member()).await;
        deployment.members[busy].daemon.kill();
        history.count_fault();
        let at_once =
            history.book_within(&deployment, deployment.entry(1), &key, "order", LONG_CALL).await;
        assert_eq!(at_once.not_run(), Some(&json!("unknown")), "{at_once:?}");
        deployment.restart(busy);
        let reply = first.await.expect("the request ends");
        assert_eq!(reply.not_run(), Some(&json!("unknown")), "{reply:?}");
        history.record_reply(&deployment, &key, "order", reply);
        deployment.wait_bookings(deployment.entry(0)).await;
        resend_stays_unknown(history, &deployment, &key).await;
        wait_until("no call runs", || deployment.running_calls() == 0).await;
        assert_eq!(deployment.executions(&key, "order"), 1);
        history.check("P4 sidecar killed", &deployment).await;
    });
    join_all(runs).await;
}

/// Guards against an entry that takes a booking over and assumes that an unresponsive sidecar has
/// not run the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecar_paused_while_the_call_runs() {
    let plan = DeploymentPlan { service_latency: LONG_CALL, ..plan(2, 2) };
    let deployment = Deployment::start(plan).await;
    let history = BookingHistory::default();
    let key = new_key();
    let first = BookingHistory::spawn_booking(
        &deployment.booking_caller,
        deployment.entry(0),
        &key,
        "order",
    );
    let busy = wait_for_value("the call runs", async || deployment.busy_member()).await;
    let daemon = &deployment.members[busy].daemon;
    daemon.signal(DaemonSignal::Pause);
    history.count_fault();
    let deadline = LONG_CALL * 3;
    let reply =
        history.book_within(&deployment, deployment.entry(1), &key, "order", deadline).await;
    assert_eq!(reply.not_run(), Some(&json!("unknown")), "{reply:?}");
    daemon.signal(DaemonSignal::Continue);
    let reply = first.await.expect("the request ends");
    assert!(matches!(reply, BookingReply::Answer(_)), "{reply:?}");
    history.record_reply(&deployment, &key, "order", reply);
    resend_until_answered(&history, &deployment, 1, &key).await;
    history.check("P4 sidecar paused in the call", &deployment).await;
}

/// Guards against a false reply when a sidecar is paused before it reads the dispatch: the entry
/// gives the claim up, and the sidecar reads the dispatch from its socket when it continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecar_paused_before_the_dispatch() {
    let deployment = Deployment::start(plan(2, 1)).await;
    let history = BookingHistory::default();
    let side = deployment.members_of(MemberKind::PlainService)[0];
    let daemon = &deployment.members[side].daemon;
    let key = new_key();
    daemon.signal(DaemonSignal::Pause);
    history.count_fault();
    let deadline = Duration::from_secs(1);
    for entry in [0, 1] {
        let entry = deployment.entry(entry);
        let reply = history.book_within(&deployment, entry, &key, "order", deadline).await;
        assert_eq!(reply.not_run(), Some(&json!("unknown")), "{reply:?}");
    }
    daemon.signal(DaemonSignal::Continue);
    resend_until_answered(&history, &deployment, 1, &key).await;
    history.check("P4 sidecar paused before the dispatch", &deployment).await;
}

/// Guards against bookings that start while the log can't be read, and against outcomes that are
/// lost because the log is unavailable when they are appended.
async fn log_outage(outage: Outage) {
    let plan = DeploymentPlan { service_latency: LONG_CALL, ..plan(2, 2) };
    let deployment = Deployment::start(plan).await;
    let history = BookingHistory::default();
    let log = deployment.log.control();
    let set = |outage| log.set_faults(LogFaults { outage, ..LogFaults::default() });
    let (refused_key, running_key, done_key) = (new_key(), new_key(), new_key());
    let done = history.book(&deployment, deployment.entry(0), &done_key, "order").await;
    assert!(matches!(done, BookingReply::Answer(_)), "{done:?}");
    let running = BookingHistory::spawn_booking(
        &deployment.booking_caller,
        deployment.entry(0),
        &running_key,
        "order",
    );
    wait_until("the call runs", || deployment.running_calls() > 0).await;
    set(outage);
    history.count_fault();
    let refused = history.book(&deployment, deployment.entry(0), &refused_key, "order").await;
    assert_eq!(refused.not_run(), Some(&json!("unknown")), "{refused:?}");
    assert_eq!(deployment.executions(&refused_key, "order"), 0);
    let reply = running.await.expect("the request ends");
    assert!(matches!(reply, BookingReply::Answer(_)), "{reply:?}");
    history.record_reply(&deployment, &running_key, "order", reply);
    let resent = history.book(&deployment, deployment.entry(1), &done_key, "order").await;
    assert!(
        matches!(resent, BookingReply::Answer(_)) || resent.not_run() == Some(&json!("unknown")),
        "{resent:?}"
    );
    set(Outage::None);
    for key in [&refused_key, &running_key, &done_key] {
        resend_until_answered(&history, &deployment, 1, key).await;
        resend_until_answered(&history, &deployment, 0, key).await;
        assert_eq!(deployment.executions(key, "order"), 1);
    }
    history.check(&format!("P3/P4 log outage {outage:?}"), &deployment).await;
}

/// [`log_outage`] with calls that the log refuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_refuses_calls() {
    log_outage(Outage::Unavailable).await;
}

/// [`log_outage`] with connections that are cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_cuts_connections() {
    log_outage(Outage::Cut).await;
}

/// [`log_outage`] with calls that hang and take effect late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_stalls() {
    log_outage(Outage::Stalled).await;
}

/// Guards against a second execution, or a booking without an answer, when the request or reply of
/// an append to the log is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn append_loses_its_reply() {
    let deployment = Deployment::start(plan(2, 2)).await;
    let history = BookingHistory::default();
    for (lose_replies, lose_requests) in [(1, 0), (2, 0), (3, 0), (0, 1), (0, 2), (1, 1)] {
        let faults = LogFaults { lose_replies, lose_requests, ..LogFaults::default() };
        deployment.log.control().set_faults(faults);
        history.count_fault();
        let key = new_key();
        let first = history.book(&deployment, deployment.entry(0), &key, "order").await;
        assert!(matches!(first, BookingReply::Answer(_)), "{first:?}");
        resend_until_answered(&history, &deployment, 1, &key).await;
        assert_eq!(deployment.executions(&key, "order"), 1);
    }
    history.check("P4 lost appends", &deployment).await;
}

/// Guards against keys that are accepted although the log may have dropped their claims, and
/// against a key that is reused for another request body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unusable_keys_are_refused() {
    let deployment = Deployment::start(plan(2, 1)).await;
    let history = BookingHistory::default();
    let seconds = |offset: i64| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now = now.expect("a clock after 1970").as_secs().saturating_add_signed(offset);
        let timestamp = uuid::Timestamp::from_unix(uuid::NoContext, now, 0);
        uuid::Uuid::new_v7(timestamp).to_string()
    };
    // The booking of an expired key may have run before the log dropped its records.
    let cases = [
        ("no UUID", "order-17".to_owned(), 400, json!(true)),
        ("empty", String::new(), 400, json!(true)),
        ("another version", uuid::Uuid::new_v4().to_string(), 400, json!(true)),
        ("older than the window", seconds(-1_900), 422, json!("unknown")),
        ("from the future", seconds(120), 422, json!(true)),
    ];
    for (case, key, status, verdict) in &cases {
        history.count_fault();
        for entry in [0, 1] {
            let entry = deployment.entry(entry);
            let reply = history.book(&deployment, entry, key, "order").await;
            let BookingReply::Problem { status: found, not_run, body } = &reply else {
                panic!("{case}: {reply:?}");
            };
            assert_eq!((found, not_run), (status, verdict), "{case}: {body}");
            assert!(body["detail"].as_str().is_some_and(|detail| !detail.is_empty()), "{body}");
        }
        assert_eq!(deployment.executions(key, "order"), 0, "{case}");
    }
    let key = new_key();
    history.book(&deployment, deployment.entry(0), &key, "order").await;
    for entry in [0, 1] {
        history.count_fault();
        let reply = history.book(&deployment, deployment.entry(entry), &key, "other order").await;
        let BookingReply::Problem { status, body, .. } = &reply else {
            panic!("{reply:?}");
        };
        assert_eq!(*status, 422, "{body}");
        assert_eq!(body["type"], "/problems/key-reused", "{body}");
    }
    assert_eq!(deployment.executions(&key, "other order"), 0);
    history.check("P3/P4 unusable keys", &deployment).await;
}

/// Guards against a retry of a call whose request or reply the service lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_loses_reply_or_request() {
    let deployment = Deployment::start(plan(2, 2)).await;
    let history = BookingHistory::default();
    for (lose_replies, lose_requests) in [(1, 0), (0, 1)] {
        let key = new_key();
        let plain_services =
            || deployment.members.iter().filter_map(|member| member.plain_service.as_ref());
        plain_services().for_each(|plain_service| {
            let faults = ServiceFaults { lose_replies, lose_requests, ..ServiceFaults::default() };
            plain_service.set_faults(faults);
        });
        history.count_fault();
        let reply = history.book(&deployment, deployment.entry(0), &key, "order").await;
        assert_eq!(reply.not_run(), Some(&json!("unknown")), "{reply:?}");
        plain_services()
            .for_each(|plain_service| plain_service.set_faults(ServiceFaults::default()));
        resend_stays_unknown(&history, &deployment, &key).await;
        assert_eq!(deployment.executions(&key, "order"), u64::from(lose_replies));
    }
    history.check("P4 service loses messages", &deployment).await;
}

/// Guards against an answer that is dropped because the first caller's deadline has passed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_after_the_callers_deadline_is_recorded() {
    let plan = DeploymentPlan { service_latency: LONG_CALL, ..plan(2, 1) };
    let deployment = Deployment::start(plan).await;
    let history = BookingHistory::default();
    let key = new_key();
    let entry = deployment.entry(0);
    let reply = history.book_within(&deployment, entry, &key, "order", LONG_CALL / 2).await;
    assert_eq!(reply.not_run(), Some(&json!("unknown")), "{reply:?}");
    resend_until_answered(&history, &deployment, 1, &key).await;
    assert_eq!(deployment.executions(&key, "order"), 1);
    history.check("P2/P4 late answer", &deployment).await;
}

/// Guards against a second dispatch after a link is cut while the call runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_cut_while_the_call_runs() {
    let plan = DeploymentPlan { service_latency: LONG_CALL, ..plan(2, 2) };
    let deployment = Deployment::start(plan).await;
    let history = BookingHistory::default();
    for between_sidecar_and_endpoint in [false, true] {
        let key = new_key();
        let first = BookingHistory::spawn_booking(
            &deployment.booking_caller,
            deployment.entry(0),
            &key,
            "order",
        );
        let busy = wait_for_value("the call runs", async || deployment.busy_member()).await;
        let member = &deployment.members[busy];
        let link = if between_sidecar_and_endpoint { &member.endpoint_link } else { &member.link };
        let link = link.as_ref().expect("relays");
        link.set(RelayMode::Cut);
        history.count_fault();
        let reply = first.await.expect("the request ends");
        link.set(RelayMode::Pass);
        history.record_reply(&deployment, &key, "order", reply);
        if between_sidecar_and_endpoint {
            resend_stays_unknown(&history, &deployment, &key).await;
        } else {
            resend_until_answered(&history, &deployment, 1, &key).await;
        }
        wait_until("no call runs", || deployment.running_calls() == 0).await;
        assert_eq!(deployment.executions(&key, "order"), 1);
    }
    history.check("P4 cut links", &deployment).await;
}
