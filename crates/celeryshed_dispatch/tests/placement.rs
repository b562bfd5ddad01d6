//! Placement, queueing and refusal of requests.

mod support;

use std::collections::BTreeMap;

use celeryshed_dispatch::*;
use support::*;

/// Guards against placement by the number of requests alone, which ignores the prompts that an
/// engine still has to prefill, and against placement on a full engine.
#[test]
fn request_goes_to_endpoint_with_earliest_first_token() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    add_endpoint(&mut dispatcher, "b", 2, endpoint("model", 2, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    report_load(&mut dispatcher, at(0), &peer, &peer_loads(&[("a", 4, 6000), ("b", 8, 0)]));
    assert_eq!(placed(&submit(&mut dispatcher, at(10), 1, stream(at(10)))), Some("b"));
    report_load(&mut dispatcher, at(20), &peer, &peer_loads(&[("a", 4, 0), ("b", 17, 0)]));
    assert_eq!(placed(&submit(&mut dispatcher, at(20), 2, stream(at(20)))), Some("a"));
}

/// Guards against an engine that counts as full because of a peer that stopped reporting.
#[test]
fn load_of_silent_peer_expires() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    report_load(&mut dispatcher, at(0), &peer, &peer_loads(&[("a", 17, 0)]));
    assert_eq!(placed(&submit(&mut dispatcher, at(10), 1, stream(at(10)))), None);
    dispatcher.cancel(RequestNumber(1));
    assert_eq!(placed(&submit(&mut dispatcher, at(2000), 2, stream(at(2000)))), Some("a"));
}

/// A request waits for a free slot while it can still be answered in time, and is then refused.
#[test]
fn request_waits_for_free_slot_and_is_refused_in_time() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    report_load(&mut dispatcher, at(0), &peer, &peer_loads(&[("a", 17, 0)]));
    assert!(submit(&mut dispatcher, at(0), 1, stream(at(0))).is_empty());
    report_load(&mut dispatcher, at(200), &peer, &peer_loads(&[("a", 17, 0)]));
    assert!(dispatcher.dispatch_waiting(at(200), 1).is_empty());
    assert_eq!(refused(&dispatcher.dispatch_waiting(at(400), 1)), Some(RefusalReason::Overload));
    assert!(!dispatcher.has_waiting());
}

/// Guards against requests that wait in vain: the queue ahead already takes longer than they may
/// wait.
#[test]
fn request_behind_long_queue_is_refused_immediately() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    report_load(&mut dispatcher, at(0), &peer, &peer_loads(&[("a", 17, 0)]));
    let decisions: Vec<_> =
        (0..20).flat_map(|n| submit(&mut dispatcher, at(0), n, stream(at(0)))).collect();
    assert!(decisions.len() > 10, "refused immediately: {}", decisions.len());
    assert!(dispatcher.waiting_count() > 0);
}

/// Requests wait in order of arrival. A low priority shifts a request back by a bounded time only,
/// so that it is still placed before later ones.
#[test]
fn queue_is_in_order_of_arrival_shifted_by_priority() {
    let mut dispatcher = dispatcher();
    let names = ["a", "b", "c", "d"];
    for (index, id) in names.iter().enumerate() {
        add_endpoint(
            &mut dispatcher,
            id,
            index as u64 + 1,
            endpoint("model", index as u32 + 1, Some(1)),
        );
    }
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    let full = names.map(|id| (id, 17, 0));
    report_load(&mut dispatcher, at(0), &peer, &peer_loads(&full));
    let mut low_priority = stream(at(0));
    low_priority.rank = 3;
    assert!(submit(&mut dispatcher, at(0), 1, low_priority).is_empty());
    assert!(submit(&mut dispatcher, at(20), 2, stream(at(20))).is_empty());
    assert!(submit(&mut dispatcher, at(100), 3, stream(at(100))).is_empty());
    let mut order = Vec::new();
    for free_slots in 1..=3 {
        let mut load = full;
        load[0].1 = 17 - free_slots;
        report_load(&mut dispatcher, at(110), &peer, &peer_loads(&load));
        order.extend(dispatcher.dispatch_waiting(at(110), 1).into_iter().filter_map(|decision| {
            match decision {
                DispatchDecision::Place { number, .. } => Some(number.0),
                DispatchDecision::Refuse { .. } => None,
            }
        }));
    }
    assert_eq!(order, [2, 1, 3]);
}

/// Guards against long answers that delay a planned weight load: an engine that is about to load
/// weights gets only requests that are expected to end before.
#[test]
fn engine_about_to_load_gets_short_answers() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "closing", 1, endpoint("model", 1, Some(1)));
    add_endpoint(&mut dispatcher, "open", 2, endpoint("model", 2, Some(1)));
    let peer = PeerAddress("10.0.9.1:7000".to_owned());
    report_load(&mut dispatcher, at(0), &peer, &peer_loads(&[("open", 12, 0)]));
    let status = EndpointStatus {
        expires_at: at(2600),
        models: [(MODEL.to_owned(), 1)].into(),
        accepting: true,
        closing_at: Some(at(800)),
    };
    dispatcher.apply_status(&"closing".into(), status);
    for (number, tokens, expected) in [(1, 300, "open"), (2, 30, "closing")] {
        let mut profile = stream(at(10));
        profile.answer_tokens = Some(tokens);
        assert_eq!(
            placed(&submit(&mut dispatcher, at(10), number, profile)),
            Some(expected),
            "{tokens}"
        );
    }
}

/// A draining endpoint gets no request, even if it is idle.
#[test]
fn draining_endpoint_gets_no_request() {
    let mut dispatcher = dispatcher();
    let mut draining = endpoint("plain", 1, None);
    draining.state = EndpointState::Draining;
    add_endpoint(&mut dispatcher, "draining", 1, draining);
    add_endpoint(&mut dispatcher, "ready", 2, endpoint("plain", 2, None));
    let mut profile = stream(at(0));
    profile.service = service("plain");
    profile.model = None;
    for number in 0..8 {
        assert_eq!(placed(&submit(&mut dispatcher, at(0), number, profile.clone())), Some("ready"));
    }
}

/// Guards against a service without usable endpoints: a suspended endpoint still gets requests if
/// no other one is left.
#[test]
fn only_endpoint_gets_requests_while_suspended() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("plain", 1, None));
    let mut profile = stream(at(0));
    profile.service = service("plain");
    profile.model = None;
    assert_eq!(placed(&submit(&mut dispatcher, at(0), 1, profile.clone())), Some("a"));
    dispatcher.record_end(at(0), &"a".into(), 0, AttemptOutcome::NotRun(NotRunReason::Unreachable));
    assert_eq!(placed(&submit(&mut dispatcher, at(1), 2, profile.clone())), Some("a"));
    add_endpoint(&mut dispatcher, "b", 2, endpoint("plain", 2, None));
    assert_eq!(placed(&submit(&mut dispatcher, at(2), 3, profile)), Some("b"));
}

/// Guards against placing requests on an endpoint that passes its health probes but fails its
/// requests, while another endpoint answers them.
#[test]
fn failing_endpoint_gets_no_requests() {
    let mut dispatcher = dispatcher();
    for (index, id) in ["bad", "good"].iter().enumerate() {
        add_endpoint(
            &mut dispatcher,
            id,
            index as u64 + 1,
            endpoint("plain", index as u32 + 1, None),
        );
    }
    for _ in 0..6 {
        dispatcher.record_end(at(0), &"bad".into(), 0, AttemptOutcome::Failed);
    }
    let mut profile = stream(at(0));
    profile.service = service("plain");
    profile.model = None;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..6 {
        let decisions = submit(&mut dispatcher, at(10), number, profile.clone());
        let id = placed(&decisions).expect("an endpoint has a free slot").to_owned();
        dispatcher.record_end(at(10), &id.as_str().into(), 0, AttemptOutcome::Served);
        *counts.entry(id).or_default() += 1;
    }
    assert_eq!(counts.get("good"), Some(&6), "{counts:?}");
}

/// A first attempt is refused immediately if no endpoint serves its model. A caller's retry waits
/// for an endpoint, since it may wait longer.
#[test]
fn first_attempt_without_endpoint_is_refused_immediately() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "empty", 1, endpoint("model", 1, None));
    let decisions = submit(&mut dispatcher, at(0), 1, stream(at(0)));
    assert_eq!(refused(&decisions), Some(RefusalReason::NoEndpoint));
    let mut retry = stream(at(0));
    retry.caller_retry = true;
    assert!(submit(&mut dispatcher, at(0), 2, retry).is_empty());
    add_endpoint(&mut dispatcher, "loaded", 2, endpoint("model", 2, Some(1)));
    assert_eq!(placed(&dispatcher.dispatch_waiting(at(500), 1)), Some("loaded"));
}

/// Guards against a resent request that waits although every endpoint has already been tried.
#[test]
fn resent_request_without_other_endpoint_is_refused_immediately() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let tried = [EndpointId::from("a")].into();
    dispatcher.submit(at(0), RequestNumber(1), stream(at(0)), tried);
    assert_eq!(refused(&dispatcher.dispatch_waiting(at(0), 1)), Some(RefusalReason::NoEndpoint));
}

/// Guards against duplicates of requests in progress that take slots for which requests wait: they
/// neither wait nor go before a request that arrived later.
#[test]
fn duplicate_takes_a_slot_that_is_left_or_is_refused() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(4)));
    add_endpoint(&mut dispatcher, "b", 2, endpoint("model", 2, Some(4)));
    let excluded = || [EndpointId::from("a")].into();
    dispatcher.submit_duplicate(at(0), RequestNumber(1), stream(at(0)), excluded());
    assert_eq!(placed(&dispatcher.dispatch_waiting(at(0), 1)), Some("b"));
    let mut number = 2;
    while !submit(&mut dispatcher, at(10), number, stream(at(10))).is_empty() {
        number += 1;
    }
    dispatcher.submit_duplicate(at(10), RequestNumber(100), stream(at(0)), excluded());
    let decisions = dispatcher.dispatch_waiting(at(10), 1);
    assert_eq!(refused(&decisions), Some(RefusalReason::Overload));
    dispatcher.record_end(at(20), &EndpointId::from("b"), 1000, AttemptOutcome::Served);
    dispatcher.submit_duplicate(at(20), RequestNumber(101), stream(at(0)), excluded());
    let decisions = dispatcher.dispatch_waiting(at(20), 1);
    let first = decisions.first();
    let is_waiting_one = |decision: &DispatchDecision| matches!(decision, DispatchDecision::Place { number: placed, .. } if placed.0 == number);
    assert!(first.is_some_and(is_waiting_one), "{decisions:?}");
    assert_eq!(refused(&decisions[1..]), Some(RefusalReason::Overload));
}
