//! Where requests go, how long they wait, and when they are refused.

mod support;

use std::collections::BTreeMap;

use celeryshed_dispatch::*;
use support::*;

/// A full engine gets no request while another one has room, and prompts in front count.
#[test]
fn request_goes_where_first_token_is_expected_first() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    add(&mut dispatcher, "b", 2, endpoint("model", 2, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    dispatcher.apply_peer_load(
        at(0),
        &peer,
        LoadScope::Whole,
        &loads(&[("a", 4, 6000), ("b", 8, 0)]),
    );
    assert_eq!(placed(&ask(&mut dispatcher, at(10), 1, stream(at(10)))), Some("b"));
    dispatcher.apply_peer_load(
        at(20),
        &peer,
        LoadScope::Whole,
        &loads(&[("a", 4, 0), ("b", 17, 0)]),
    );
    assert_eq!(placed(&ask(&mut dispatcher, at(20), 2, stream(at(20)))), Some("a"));
}

/// A peer that is no longer heard took its requests with it.
#[test]
fn load_of_silent_peer_expires() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    dispatcher.apply_peer_load(at(0), &peer, LoadScope::Whole, &loads(&[("a", 17, 0)]));
    assert_eq!(placed(&ask(&mut dispatcher, at(10), 1, stream(at(10)))), None);
    dispatcher.cancel(RequestNumber(1));
    assert_eq!(placed(&ask(&mut dispatcher, at(2000), 2, stream(at(2000)))), Some("a"));
}

/// A request waits for room while it may still be in time, then it is refused as not run.
#[test]
fn request_waits_for_room_and_is_refused_in_time() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    dispatcher.apply_peer_load(at(0), &peer, LoadScope::Whole, &loads(&[("a", 17, 0)]));
    assert!(ask(&mut dispatcher, at(0), 1, stream(at(0))).is_empty());
    dispatcher.apply_peer_load(at(200), &peer, LoadScope::Whole, &loads(&[("a", 17, 0)]));
    assert!(dispatcher.dispatch_waiting(at(200), 1).is_empty());
    assert_eq!(refused(&dispatcher.dispatch_waiting(at(400), 1)), Some(RefusalReason::Overload));
    assert!(!dispatcher.has_waiting());
}

/// With a line ahead that takes longer than the request may wait, it is refused at once.
#[test]
fn request_behind_long_line_is_refused_at_once() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    dispatcher.apply_peer_load(at(0), &peer, LoadScope::Whole, &loads(&[("a", 17, 0)]));
    let decisions: Vec<_> =
        (0..20).flat_map(|n| ask(&mut dispatcher, at(0), n, stream(at(0)))).collect();
    assert!(decisions.len() > 10, "refused at once: {}", decisions.len());
    assert!(dispatcher.waiting() > 0);
}

/// Requests wait in the order of arrival; rank shifts it only a little, so none starves.
#[test]
fn line_is_in_order_of_arrival_shifted_by_rank() {
    let mut dispatcher = dispatcher();
    let names = ["a", "b", "c", "d"];
    for (index, id) in names.iter().enumerate() {
        add(&mut dispatcher, id, index as u64 + 1, endpoint("model", index as u32 + 1, Some(1)));
    }
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    let full = names.map(|id| (id, 17, 0));
    dispatcher.apply_peer_load(at(0), &peer, LoadScope::Whole, &loads(&full));
    let mut low = stream(at(0));
    low.rank = 3;
    assert!(ask(&mut dispatcher, at(0), 1, low).is_empty());
    assert!(ask(&mut dispatcher, at(20), 2, stream(at(20))).is_empty());
    assert!(ask(&mut dispatcher, at(100), 3, stream(at(100))).is_empty());
    let mut order = Vec::new();
    for free in 1..=3 {
        let mut load = full;
        load[0].1 = 17 - free;
        dispatcher.apply_peer_load(at(110), &peer, LoadScope::Whole, &loads(&load));
        order.extend(dispatcher.dispatch_waiting(at(110), 1).into_iter().filter_map(|decision| {
            match decision {
                DispatchDecision::Place { number, .. } => Some(number.0),
                DispatchDecision::Refuse { .. } => None,
            }
        }));
    }
    assert_eq!(order, [2, 1, 3]);
}

/// An engine that is about to load weights gets the requests that end before, so that it waits for
/// none of them.
#[test]
fn closing_engine_gets_short_answers() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "closing", 1, endpoint("model", 1, Some(1)));
    add(&mut dispatcher, "open", 2, endpoint("model", 2, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    dispatcher.apply_peer_load(at(0), &peer, LoadScope::Whole, &loads(&[("open", 12, 0)]));
    let status = EndpointStatus {
        received_at: at(0),
        models: [(MODEL.to_owned(), 1)].into(),
        accepting: true,
        closing_at: Some(at(800)),
    };
    dispatcher.apply_status(&"closing".into(), status);
    for (number, tokens, expected) in [(1, 300, "open"), (2, 30, "closing")] {
        let mut profile = stream(at(10));
        profile.answer_tokens = Some(tokens);
        assert_eq!(
            placed(&ask(&mut dispatcher, at(10), number, profile)),
            Some(expected),
            "{tokens}"
        );
    }
}

/// A draining endpoint gets nothing, whatever its load.
#[test]
fn draining_endpoint_gets_nothing() {
    let mut dispatcher = dispatcher();
    let mut leaving = endpoint("plain", 1, None);
    leaving.state = EndpointState::Draining;
    add(&mut dispatcher, "leaving", 1, leaving);
    add(&mut dispatcher, "ready", 2, endpoint("plain", 2, None));
    let mut profile = stream(at(0));
    profile.service = service("plain");
    profile.model = None;
    for number in 0..8 {
        assert_eq!(placed(&ask(&mut dispatcher, at(0), number, profile.clone())), Some("ready"));
    }
}

/// Suspended endpoints are used when no other is left.
#[test]
fn last_endpoint_is_never_shut_out() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("plain", 1, None));
    let mut profile = stream(at(0));
    profile.service = service("plain");
    profile.model = None;
    assert_eq!(placed(&ask(&mut dispatcher, at(0), 1, profile.clone())), Some("a"));
    dispatcher.finish(at(0), &"a".into(), 0, AttemptOutcome::NotRun(NotRunReason::Unreachable));
    assert_eq!(placed(&ask(&mut dispatcher, at(1), 2, profile.clone())), Some("a"));
    add(&mut dispatcher, "b", 2, endpoint("plain", 2, None));
    assert_eq!(placed(&ask(&mut dispatcher, at(2), 3, profile)), Some("b"));
}

/// An endpoint that fails requests with good health loses them to the others.
#[test]
fn failing_endpoint_loses_requests() {
    let mut dispatcher = dispatcher();
    for (index, id) in ["bad", "good"].iter().enumerate() {
        add(&mut dispatcher, id, index as u64 + 1, endpoint("plain", index as u32 + 1, None));
    }
    for _ in 0..6 {
        dispatcher.finish(at(0), &"bad".into(), 0, AttemptOutcome::Failed);
    }
    let mut profile = stream(at(0));
    profile.service = service("plain");
    profile.model = None;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..6 {
        let decisions = ask(&mut dispatcher, at(10), number, profile.clone());
        let id = placed(&decisions).expect("there is room").to_owned();
        dispatcher.finish(at(10), &id.as_str().into(), 0, AttemptOutcome::Served);
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts.get("good"), Some(&6), "{counts:?}");
}

/// A request that nobody serves is refused at once; a caller that came back waits for an endpoint.
#[test]
fn request_that_nobody_serves_is_refused_at_once() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "empty", 1, endpoint("model", 1, None));
    let decisions = ask(&mut dispatcher, at(0), 1, stream(at(0)));
    assert_eq!(refused(&decisions), Some(RefusalReason::NoEndpoint));
    let mut back = stream(at(0));
    back.caller_retry = true;
    assert!(ask(&mut dispatcher, at(0), 2, back).is_empty());
    add(&mut dispatcher, "loaded", 2, endpoint("model", 2, Some(1)));
    assert_eq!(placed(&dispatcher.dispatch_waiting(at(500), 1)), Some("loaded"));
}

/// A retry that has no endpoint left is decided at once.
#[test]
fn retry_without_other_endpoint_ends_at_once() {
    let mut dispatcher = dispatcher();
    add(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let tried = [EndpointId::from("a")].into();
    dispatcher.submit(at(0), RequestNumber(1), stream(at(0)), tried);
    assert_eq!(refused(&dispatcher.dispatch_waiting(at(0), 1)), Some(RefusalReason::NoEndpoint));
}
