//! Numbers from outside at the end of their range: of callers, of other processes and of operators.

mod support;

use std::time::Duration;

use celeryshed_dispatch::*;
use support::{
    add_endpoint, at, dispatcher, endpoint, engine_profile, ms, peer_loads, placed, refused,
    report_load, service, stream, submit,
};

/// Guards against token counts of callers that end the dispatcher's task, or make a loaded endpoint
/// look idle: two prompts of 4,294,967,295 tokens.
#[test]
fn longest_prompts_of_two_callers_add_up() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    let profile = RequestProfile { prompt_tokens: u32::MAX, ..stream(at(0)) };
    dispatcher.submit(at(0), RequestNumber(1), profile.clone(), Default::default());
    dispatcher.submit(at(0), RequestNumber(2), profile.clone(), Default::default());
    let decisions = dispatcher.dispatch_waiting(at(0), 1);
    assert!(decisions.iter().all(|decision| matches!(decision, DispatchDecision::Place { .. })));
    let own = dispatcher.take_own_loads(PeerAudience::OwnRegion, LoadScope::Whole);
    let expected = PeerLoad { running: 2, unread_tokens: u32::MAX };
    assert_eq!(own.values().copied().collect::<Vec<_>>(), [expected]);
    // The prompt of the other request still counts after the first one was read.
    dispatcher.record_end(at(1), &EndpointId::from("a"), u32::MAX, AttemptOutcome::Served);
    let own = dispatcher.take_own_loads(PeerAudience::OwnRegion, LoadScope::Whole);
    let expected = PeerLoad { running: 1, unread_tokens: u32::MAX };
    assert_eq!(own.values().copied().collect::<Vec<_>>(), [expected]);
}

/// Guards against load reports of peers that end the dispatcher's task, or whose sum looks like no load:
/// two peers report 4,294,967,295 requests each.
#[test]
fn largest_loads_of_two_peers_add_up() {
    let mut load = EndpointLoad::default();
    let largest = PeerLoad { running: u32::MAX, unread_tokens: u32::MAX };
    let [one, other] = ["10.1.0.1:7700", "10.1.0.2:7700"].map(|text| PeerAddress(text.to_owned()));
    load.started(5);
    load.apply_peer_load(&one, largest);
    load.apply_peer_load(&other, largest);
    assert_eq!(load.total(), largest);
    load.apply_peer_load(&one, PeerLoad::default());
    load.apply_peer_load(&other, PeerLoad { running: 2, unread_tokens: 7 });
    assert_eq!(load.total(), PeerLoad { running: 3, unread_tokens: 12 });
}

/// Guards against an estimate that ends the dispatcher's task, or is the shortest, at an endpoint with
/// the largest load.
#[test]
fn endpoint_with_the_largest_load_is_the_slowest() {
    let timing = EngineTiming::from(&engine_profile(16));
    let largest = PeerLoad { running: u32::MAX, unread_tokens: u32::MAX };
    let idle = PeerLoad::default();
    assert!(timing.first_token_time(largest, 1000) > timing.first_token_time(idle, 1000));
    assert!(timing.answer_time(u32::MAX, None) >= timing.answer_time(15, None));
}

/// Guards against a service that gets no request at all, or a dispatcher's task that ends, because the
/// configuration names as many slots as it can.
#[test]
fn engine_with_the_most_slots_gets_requests() {
    let mut dispatcher = dispatcher();
    let mut snapshot = RoutingSnapshot::default();
    let engine = Some(engine_profile(u32::MAX));
    snapshot.services.insert(service("model"), ServiceProfile { engine, origin: None });
    dispatcher.set_configuration(&snapshot);
    add_endpoint(&mut dispatcher, "a", 1, endpoint("model", 1, Some(1)));
    assert_eq!(placed(&submit(&mut dispatcher, at(0), 1, stream(at(0)))), Some("a"));
}

/// Guards against an expected wait that ends the dispatcher's task: the slowest engine of a configuration
/// times the requests ahead times the entries that were heard.
#[test]
fn longest_wait_refuses_the_request() {
    let mut dispatcher = dispatcher();
    let mut snapshot = RoutingSnapshot::default();
    let engine = EngineProfile { step_us: u64::MAX, ..engine_profile(1) };
    let profile = ServiceProfile { engine: Some(engine), origin: None };
    snapshot.services.insert(service("model"), profile);
    dispatcher.set_configuration(&snapshot);
    let full =
        ListedEndpoint { models: [("full".to_owned(), 1)].into(), ..endpoint("model", 1, Some(1)) };
    let paused = ListedEndpoint {
        models: [("paused".to_owned(), 1)].into(),
        ..endpoint("model", 2, Some(1))
    };
    add_endpoint(&mut dispatcher, "full", 1, full);
    add_endpoint(&mut dispatcher, "paused", 2, paused);
    for port in 0..2000 {
        let peer = PeerAddress(format!("10.1.0.1:{port}"));
        report_load(&mut dispatcher, at(0), &peer, &peer_loads(&[("full", 9, 0)]));
    }
    let start = EndpointStart { id: EndpointId::from("paused"), started_at_ms: 1 };
    dispatcher.apply_notice(at(0), &start, EndpointNotice::Paused(PauseLength(ms(100))));
    let waiting = |model: &str| RequestProfile { model: Some(model.to_owned()), ..stream(at(0)) };
    for number in 0..1000 {
        dispatcher.submit(at(0), RequestNumber(number), waiting("paused"), Default::default());
    }
    let decisions = submit(&mut dispatcher, at(0), 1000, waiting("full"));
    assert_eq!(refused(&decisions), Some(RefusalReason::Overload));
}

/// Guards against crash counts of peers that end the dispatcher's task, or release the request: two
/// peers count 4,294,967,295 crashes each.
#[test]
fn largest_crash_counts_of_two_peers_quarantine_the_request() {
    let mut quarantine = RequestQuarantine::default();
    let request = RequestFingerprint(7);
    let crashes = [(request, u32::MAX)].into();
    quarantine.apply_peer_crashes(at(0), "10.1.0.1:7700", &crashes);
    quarantine.apply_peer_crashes(at(0), "10.1.0.2:7700", &crashes);
    assert!(quarantine.is_quarantined(at(1), request));
}

/// Guards against a sidecar whose tasks end, or that counts on a far too short transfer, because of
/// weights of several terabytes.
#[test]
fn transfer_of_the_largest_weights_takes_longest() {
    let origin =
        OriginProfile { address: "10.0.0.1:80".to_owned(), link_bits_per_s: 100_000_000_000 };
    let terabytes = |count: u32| origin.transfer_time(count * 1000, 1_000_000_000);
    assert_eq!(terabytes(5), Duration::from_secs(400));
    assert!(origin.transfer_time(u32::MAX, u32::MAX) > terabytes(5));
    let slow = OriginProfile { link_bits_per_s: 1, ..origin };
    assert!(slow.transfer_time(u32::MAX, u32::MAX) > Duration::from_secs(1 << 40));
}
