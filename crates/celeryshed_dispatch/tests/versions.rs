//! Each declared version of a model has a deadline of its own, also in a process that starts late.

mod support;

use celeryshed_dispatch::EndpointStatus;
use std::time::Duration;
use support::*;

/// Guards against a newer declaration that replaces the deadline of the one before it: requests
/// then began on version 1 after version 2 was due (seen on a day with two declarations 4 s apart).
#[test]
fn newer_declaration_keeps_earlier_deadline() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(4000), MODEL, 3, Some(Duration::ZERO));
    assert_eq!(placed(&ask(&mut dispatcher, at(5000), 1, stream(at(5000)))), Some("old"));
    assert_eq!(placed(&ask(&mut dispatcher, at(7400), 2, stream(at(7400)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(2));
    add(&mut dispatcher, "middle", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&ask(&mut dispatcher, at(11_000), 3, stream(at(11_000)))), Some("middle"));
    assert_eq!(placed(&ask(&mut dispatcher, at(11_400), 4, stream(at(11_400)))), None);
}

/// Guards against a restarted entry that gives an old declaration a fresh deadline, and against one
/// that serves nobody until all endpoints have loaded the version (seen after all processes were
/// killed on coca-fleet-grown trouble-3).
#[test]
fn version_found_at_start_is_due_soon_after_it() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(100), MODEL, 2, None);
    assert_eq!(placed(&ask(&mut dispatcher, at(110), 1, stream(at(110)))), Some("old"));
    assert_eq!(placed(&ask(&mut dispatcher, at(2000), 2, stream(at(2000)))), Some("old"));
    assert_eq!(placed(&ask(&mut dispatcher, at(2400), 3, stream(at(2400)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(3));
    // One that becomes known later is due at once.
    dispatcher.add_declared_version(at(5000), MODEL, 3, None);
    add(&mut dispatcher, "second", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&ask(&mut dispatcher, at(5010), 4, stream(at(5010)))), None);
}

/// The age that another process tells goes before the allowance after a start.
#[test]
fn told_age_replaces_allowance_after_start() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    dispatcher.add_declared_version(at(0), MODEL, 2, None);
    dispatcher.report_version_age(at(100), MODEL, 2, Duration::from_secs(3));
    assert_eq!(placed(&ask(&mut dispatcher, at(4000), 1, stream(at(4000)))), Some("old"));
    assert_eq!(placed(&ask(&mut dispatcher, at(4500), 2, stream(at(4500)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(2));
    dispatcher.add_declared_version(at(4600), MODEL, 3, None);
    dispatcher.report_version_age(at(4600), MODEL, 3, Duration::from_secs(8));
    add(&mut dispatcher, "second", 2, endpoint("model", 2, Some(2)));
    assert_eq!(placed(&ask(&mut dispatcher, at(4610), 3, stream(at(4610)))), None);
}

#[test]
fn longest_known_age_counts_and_is_passed_on() {
    let mut dispatcher = dispatcher();
    dispatcher.add_declared_version(at(1000), MODEL, 2, Some(Duration::ZERO));
    dispatcher.report_version_age(at(1000), MODEL, 2, Duration::from_secs(2));
    dispatcher.report_version_age(at(1000), MODEL, 2, Duration::from_secs(1));
    let ages: Vec<_> = dispatcher.version_ages(at(2000)).collect();
    assert_eq!(ages, [(MODEL, 2, Duration::from_secs(3))]);
}

/// Once a version is due, the endpoint is told to refuse if it serves another one.
#[test]
fn due_version_is_demanded_from_endpoint() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "new", 1, endpoint("model", 1, Some(2)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    for (now, wanted) in [(at(1000), None), (at(7500), Some(2))] {
        let decisions = ask(&mut dispatcher, now, now.0.as_millis() as u64, stream(now));
        let [celeryshed_dispatch::DispatchDecision::Place { target, .. }] = &decisions[..] else {
            panic!("not placed at {now:?}");
        };
        assert_eq!(target.version, wanted);
    }
}

/// Guards against demanding the due version from an endpoint that serves a newer one already: with
/// two declarations 4 s apart every endpoint refused, and was left out for seconds.
#[test]
fn newer_version_is_demanded_from_endpoint_that_serves_it() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "newer", 1, endpoint("model", 1, Some(3)));
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(4000), MODEL, 3, Some(Duration::ZERO));
    let decisions = ask(&mut dispatcher, at(8000), 1, stream(at(8000)));
    let [celeryshed_dispatch::DispatchDecision::Place { target, .. }] = &decisions[..] else {
        panic!("not placed: {decisions:?}");
    };
    assert_eq!(target.version, Some(3));
    let refused = celeryshed_dispatch::AttemptOutcome::NotRun(
        celeryshed_dispatch::NotRunReason::OtherVersion,
    );
    let id = target.id.clone();
    dispatcher.finish(at(8010), &id, 1000, refused);
    assert_eq!(placed(&ask(&mut dispatcher, at(8020), 2, stream(at(8020)))), Some("newer"));
}

/// A sidecar's word goes before the list, which lags; without a recent word the list counts.
#[test]
fn sidecar_status_goes_before_list() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let closed = EndpointStatus {
        received_at: at(0),
        models: Default::default(),
        accepting: false,
        closing_at: None,
    };
    dispatcher.apply_status(&"a".into(), closed);
    assert_eq!(placed(&ask(&mut dispatcher, at(10), 1, stream(at(10)))), None);
    dispatcher.cancel(celeryshed_dispatch::RequestNumber(1));
    assert_eq!(placed(&ask(&mut dispatcher, at(3000), 2, stream(at(3000)))), Some("a"));
}

/// An endpoint without any whole model gets no request.
#[test]
fn endpoint_without_model_gets_nothing() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "empty", 1, endpoint("model", 1, None));
    assert_eq!(placed(&ask(&mut dispatcher, at(10), 1, stream(at(10)))), None);
}

/// The rest of a stream goes to an endpoint of the same version only.
#[test]
fn rest_of_stream_keeps_version() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "v1", 1, endpoint("model", 1, Some(1)));
    add(&mut dispatcher, "v2", 2, endpoint("model", 2, Some(2)));
    for (number, version, expected) in [(1, 1, "v1"), (2, 2, "v2")] {
        let mut profile = stream(at(10));
        profile.version = Some(version);
        assert_eq!(placed(&ask(&mut dispatcher, at(10), number, profile)), Some(expected));
    }
}

/// A request may begin on the old version until the first newer one is due.
#[test]
fn old_version_is_left_when_first_newer_one_is_due() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "old", 1, endpoint("model", 1, Some(1)));
    let start_deadline =
        |dispatcher: &mut _, now, number| match &ask(dispatcher, now, number, stream(now))[..] {
            [celeryshed_dispatch::DispatchDecision::Place { target, .. }] => target.start_deadline,
            decisions => panic!("not placed: {decisions:?}"),
        };
    assert_eq!(start_deadline(&mut dispatcher, at(10), 1), None);
    dispatcher.add_declared_version(at(1000), MODEL, 2, Some(Duration::ZERO));
    dispatcher.add_declared_version(at(4000), MODEL, 3, Some(Duration::ZERO));
    let limit = start_deadline(&mut dispatcher, at(4010), 2).expect("a limit");
    assert!(limit > at(8000) && limit < at(9000), "{limit:?}");
}
