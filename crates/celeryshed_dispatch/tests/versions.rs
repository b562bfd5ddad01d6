//! Deadlines of declared versions, including versions declared before the process started.

mod support;

use celeryshed_dispatch::{EndpointStatus, PeerAddress, RequestProfile, RouteKind};
use std::time::Duration;
use support::*;

fn peer() -> PeerAddress {
    PeerAddress("10.0.0.1:17700".into())
}

/// Guards against a newer declaration that replaces the deadline of the one before it. With two
/// declarations 4 s apart, requests started on version 1 after version 2 was due.
#[test]
fn newer_declaration_keeps_earlier_deadline() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(4000), MODEL, 3, Some(Duration::ZERO));
    assert_eq!(placed(&submit(&mut dispatcher, at(5000), 1, stream(at(5000)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(7400), 2, stream(at(7400)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(2));
    add_endpoint(&mut dispatcher, "middle", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&submit(&mut dispatcher, at(11_000), 3, stream(at(11_000)))), Some("middle"));
    assert_eq!(placed(&submit(&mut dispatcher, at(11_400), 4, stream(at(11_400)))), None);
}

/// Guards against two faults of an entry that restarts after all processes were killed: it gives an
/// old declaration a full new deadline, or it refuses all requests until the endpoints have loaded
/// the version.
#[test]
fn version_of_unknown_age_is_due_soon_after_start() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(100), MODEL, 2, None);
    assert_eq!(placed(&submit(&mut dispatcher, at(110), 1, stream(at(110)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(2000), 2, stream(at(2000)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(2400), 3, stream(at(2400)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(3));
    // A version that becomes known later is due immediately.
    dispatcher.add_declared_version(at(5000), MODEL, 3, None);
    add_endpoint(&mut dispatcher, "second", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&submit(&mut dispatcher, at(5010), 4, stream(at(5010)))), None);
}

/// A version age reported by another process replaces the deadline for versions of unknown age.
#[test]
fn reported_age_replaces_deadline_of_unknown_age() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 2, None);
    dispatcher.apply_version_age(at(100), &peer(), MODEL, 2, Duration::from_secs(3));
    assert_eq!(placed(&submit(&mut dispatcher, at(4000), 1, stream(at(4000)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(4500), 2, stream(at(4500)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(2));
    dispatcher.add_declared_version(at(4600), MODEL, 3, None);
    dispatcher.apply_version_age(at(4600), &peer(), MODEL, 3, Duration::from_secs(8));
    add_endpoint(&mut dispatcher, "second", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&submit(&mut dispatcher, at(4610), 3, stream(at(4610)))), None);
}

/// Guards against an entry that restarts between two declarations and reads only the newer one from
/// the log: it placed requests on version 1 after version 2 was due, which its peers knew.
#[test]
fn reported_version_that_log_no_longer_holds_becomes_known() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 3, None);
    dispatcher.apply_version_age(at(100), &peer(), MODEL, 3, Duration::from_secs(3));
    dispatcher.apply_version_age(at(100), &peer(), MODEL, 2, Duration::from_secs(5));
    assert_eq!(placed(&submit(&mut dispatcher, at(2000), 1, stream(at(2000)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(2500), 2, stream(at(2500)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(2));
    add_endpoint(&mut dispatcher, "middle", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&submit(&mut dispatcher, at(3300), 3, stream(at(3300)))), Some("middle"));
}

/// Guards against an entry that could not read the store for a while and makes a new version due at
/// once everywhere, because it can't rule out that the version is old.
#[test]
fn limit_of_an_age_counts_only_until_a_peer_knows_it() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(5000), MODEL, 2, None);
    dispatcher.limit_version_age(at(5000), MODEL, 2, Duration::from_secs(4));
    assert_eq!(placed(&submit(&mut dispatcher, at(8000), 1, stream(at(8000)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(8500), 2, stream(at(8500)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(2));
    assert_eq!(dispatcher.version_ages(at(7900)).count(), 0, "a limit is not an age");
    dispatcher.apply_version_age(at(8600), &peer(), MODEL, 2, Duration::from_millis(3700));
    assert_eq!(placed(&submit(&mut dispatcher, at(8700), 3, stream(at(8700)))), Some("old"));
    dispatcher.limit_version_age(at(8700), MODEL, 2, Duration::from_secs(8));
    assert_eq!(placed(&submit(&mut dispatcher, at(8800), 4, stream(at(8800)))), Some("old"));
}

/// Guards against an entry that restarts and learns of the newest version only: the others, which
/// were paused during the declaration of the one before, know but a limit of its age.
#[test]
fn limited_version_is_reported_if_no_peer_knows_its_age() {
    let mut paused = dispatcher();
    paused.add_declared_version(at(5000), MODEL, 2, None);
    paused.limit_version_age(at(5000), MODEL, 2, Duration::from_secs(2));
    paused.add_declared_version(at(7000), MODEL, 3, Some(Duration::ZERO));
    let mut restarted = dispatcher();
    add_endpoint(&mut restarted, "old", 1, endpoint("model", 1, Some(1)));
    restarted.add_declared_version(at(8000), MODEL, 3, Some(Duration::from_secs(1)));
    for (model, version, age) in paused.version_ages(at(8100)) {
        restarted.apply_version_age(at(8100), &peer(), model, version, age);
    }
    assert_eq!(placed(&submit(&mut restarted, at(10_000), 1, stream(at(10_000)))), Some("old"));
    assert_eq!(placed(&submit(&mut restarted, at(10_500), 2, stream(at(10_500)))), None);
}

/// Guards against an age of which a peer's late message tells but a limit, and which replaces what is
/// known better here.
#[test]
fn limit_from_a_peer_counts_only_for_a_version_of_unknown_age() {
    let max_age = Duration::from_secs(5);
    let mut dispatcher = dispatcher();
    dispatcher.add_declared_version(at(5000), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(5000), MODEL, 3, None);
    dispatcher.limit_version_age(at(5000), MODEL, 3, Duration::from_secs(2));
    dispatcher.add_declared_version(at(5000), MODEL, 4, None);
    for version in 2..=5 {
        dispatcher.apply_version_age_limit(at(5000), &peer(), MODEL, version, max_age);
    }
    for (version, due_at) in [(2, at(13_000)), (3, at(11_000)), (4, at(8000)), (5, at(8000))] {
        assert_eq!(dispatcher.version_due_at(MODEL, version), Some(due_at), "version {version}");
    }
    assert_eq!(dispatcher.version_ages(at(5000)).map(|(_, version, _)| version).max(), Some(2));
}

#[test]
fn version_ages_give_longest_reported_age() {
    let mut dispatcher = dispatcher();
    dispatcher.add_declared_version(at(1000), MODEL, 2, Some(Duration::ZERO));
    dispatcher.apply_version_age(at(1000), &peer(), MODEL, 2, Duration::from_secs(2));
    dispatcher.apply_version_age(at(1000), &peer(), MODEL, 2, Duration::from_secs(1));
    let ages: Vec<_> = dispatcher.version_ages(at(2000)).collect();
    assert_eq!(ages, [(MODEL, 2, Duration::from_secs(3))]);
}

/// Guards against an entry that ignores what it reads itself: a peer that counted from its own late
/// reading told a younger age first.
#[test]
fn own_reading_after_a_report_counts_if_it_is_older() {
    let mut dispatcher = dispatcher();
    dispatcher.apply_version_age(at(1000), &peer(), MODEL, 2, Duration::ZERO);
    dispatcher.add_declared_version(at(1000), MODEL, 2, Some(Duration::from_secs(2)));
    assert_eq!(dispatcher.version_due_at(MODEL, 2), Some(at(7000)));
    // A younger one doesn't.
    dispatcher.add_declared_version(at(1000), MODEL, 2, Some(Duration::from_secs(1)));
    assert_eq!(dispatcher.version_due_at(MODEL, 2), Some(at(7000)));
}

/// From shortly before a version's deadline, requests require it, so that an endpoint of another
/// version refuses them.
#[test]
fn due_version_is_required_from_endpoint() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "new", 1, endpoint("model", 1, Some(2)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    for (now, expected) in [(at(1000), None), (at(7500), Some(2))] {
        let decisions = submit(&mut dispatcher, now, now.0.as_millis() as u64, stream(now));
        let [celeryshed_dispatch::DispatchDecision::Place { target, .. }] = &decisions[..] else {
            panic!("not placed at {now:?}");
        };
        assert_eq!(target.version, expected);
    }
}

/// Guards against requiring the due version from an endpoint that already serves a newer one. With
/// two declarations 4 s apart, every endpoint refused its requests and was suspended for seconds.
#[test]
fn newer_version_is_required_from_endpoint_that_serves_it() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "newer", 1, endpoint("model", 1, Some(3)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(4000), MODEL, 3, Some(Duration::ZERO));
    let decisions = submit(&mut dispatcher, at(8000), 1, stream(at(8000)));
    let [celeryshed_dispatch::DispatchDecision::Place { target, .. }] = &decisions[..] else {
        panic!("not placed: {decisions:?}");
    };
    assert_eq!(target.version, Some(3));
    let refused = celeryshed_dispatch::AttemptOutcome::NotRun(
        celeryshed_dispatch::NotRunReason::OtherVersion,
    );
    let id = target.id.clone();
    dispatcher.record_end(at(8010), &id, 1000, refused);
    assert_eq!(placed(&submit(&mut dispatcher, at(8020), 2, stream(at(8020)))), Some("newer"));
}

/// A recent status report of the sidecar overrides the list of endpoints, which is updated later.
/// Without a recent report the list is used.
#[test]
fn sidecar_status_overrides_list() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let empty = EndpointStatus {
        expires_at: at(2600),
        models: Default::default(),
        accepting: true,
        closing_at: None,
    };
    dispatcher.apply_status(&"a".into(), empty.clone());
    assert_eq!(placed(&submit(&mut dispatcher, at(10), 1, stream(at(10)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(1));
    assert_eq!(placed(&submit(&mut dispatcher, at(3000), 2, stream(at(3000)))), Some("a"));
    let closed = EndpointStatus { accepting: false, expires_at: at(5600), ..empty };
    dispatcher.apply_status(&"a".into(), closed);
    assert_eq!(placed(&submit(&mut dispatcher, at(3010), 3, stream(at(3010)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(3));
    let silent_for_long = at(5600) + MAX_PAUSE;
    let profile = stream(silent_for_long);
    assert_eq!(placed(&submit(&mut dispatcher, silent_for_long, 4, profile)), Some("a"));
}

/// Guards against placing requests on an endpoint that has not loaded the model completely.
#[test]
fn endpoint_without_model_gets_no_request() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "empty", 1, endpoint("model", 1, None));
    assert_eq!(placed(&submit(&mut dispatcher, at(10), 1, stream(at(10)))), None);
}

/// Guards against a stream that is continued on another version than it started on.
#[test]
fn continued_stream_keeps_version() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "v1", 1, endpoint("model", 1, Some(1)));
    add_endpoint(&mut dispatcher, "v2", 2, endpoint("model", 2, Some(2)));
    for (number, version, expected) in [(1, 1, "v1"), (2, 2, "v2")] {
        let mut profile = stream(at(10));
        profile.version = Some(version);
        assert_eq!(placed(&submit(&mut dispatcher, at(10), number, profile)), Some(expected));
    }
}

/// Guards against a start deadline that follows the newest of several declared versions instead of
/// the one that is due first.
#[test]
fn start_deadline_follows_first_newer_version() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    let start_deadline =
        |dispatcher: &mut _, now, number| match &submit(dispatcher, now, number, stream(now))[..] {
            [celeryshed_dispatch::DispatchDecision::Place { target, .. }] => target.start_deadline,
            decisions => panic!("not placed: {decisions:?}"),
        };
    assert_eq!(start_deadline(&mut dispatcher, at(10), 1), None);
    dispatcher.add_declared_version(at(1000), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(4000), MODEL, 3, Some(Duration::ZERO));
    let deadline = start_deadline(&mut dispatcher, at(4010), 2).expect("a start deadline");
    assert!(deadline > at(8000) && deadline < at(9000), "{deadline:?}");
}

/// Guards against a request that is placed in time, but sent so late, since the endpoint was slow to
/// accept the connection, that it starts after the newer version is in force.
#[test]
fn request_is_sent_well_before_newer_version_is_due() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    let decisions = submit(&mut dispatcher, at(7200), 1, stream(at(7200)));
    let [celeryshed_dispatch::DispatchDecision::Place { target, .. }] = &decisions[..] else {
        panic!("not placed: {decisions:?}");
    };
    let send_deadline = target.send_deadline.expect("a newer version is declared");
    assert!(send_deadline > at(7200) && send_deadline <= at(7500), "{send_deadline:?}");
}

/// Guards against a request whose bytes are held up on the way: it is withdrawn when nothing may be
/// sent any more, and not only once the newer version is nearly due, when it may have arrived at an
/// endpoint that doesn't notice the withdrawal.
#[test]
fn overdue_request_is_withdrawn_at_the_send_deadline() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    let mut deadlines = |now, number, kind| {
        let profile = RequestProfile { kind, ..stream(now) };
        match &submit(&mut dispatcher, now, number, profile)[..] {
            [celeryshed_dispatch::DispatchDecision::Place { target, expected, .. }] => {
                (target.start_deadline.unwrap(), target.send_deadline.unwrap(), *expected)
            }
            decisions => panic!("not placed: {decisions:?}"),
        }
    };
    let events = RouteKind::Stream { resumable: true };
    let (start_deadline, send_deadline, _) = deadlines(at(5000), 1, events);
    assert_eq!(start_deadline, send_deadline);
    // One that is sent shortly before has the time in which it is certain to start.
    let (start_deadline, send_deadline, expected) = deadlines(at(7290), 2, events);
    assert!(start_deadline > send_deadline, "{start_deadline:?}");
    assert!(start_deadline < at(8000) && start_deadline - at(7290) >= expected * 2);
    // Other answers arrive only once they are complete.
    let (whole_answer, ..) = deadlines(at(7290), 3, RouteKind::Idempotent);
    assert!(whole_answer > start_deadline, "{whole_answer:?}");
}
