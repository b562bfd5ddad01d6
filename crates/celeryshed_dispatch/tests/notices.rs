//! What endpoints state of themselves: leaving, and pauses.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_dispatch::*;
use support::*;

fn start(id: &str, started_at_ms: u64) -> EndpointStart {
    EndpointStart { id: EndpointId::from(id), started_at_ms }
}

fn paused(length: Duration) -> EndpointNotice {
    EndpointNotice::Paused(PauseLength(length))
}

fn plain(arrived_at: u64) -> RequestProfile {
    RequestProfile {
        service: service("plain"),
        kind: RouteKind::Idempotent,
        model: None,
        ..stream(at(arrived_at))
    }
}

/// A dispatcher with plain endpoints that started at 1 ms.
fn with_plain(ids: &[&str]) -> EntryDispatcher {
    let mut dispatcher = dispatcher();
    for (index, id) in ids.iter().enumerate() {
        let listed = endpoint("plain", index as u32 + 1, None);
        add_endpoint(&mut dispatcher, id, index as u64 + 1, listed);
    }
    dispatcher
}

fn list(dispatcher: &mut EntryDispatcher, now: u64, offset: u64, id: &str, listed: ListedEndpoint) {
    dispatcher.directory_mut().apply(at(now), record(id, offset, Some(listed)));
    dispatcher.sync_directory(at(now));
}

/// Places requests until one is not placed; the ids of their endpoints.
fn place_many(dispatcher: &mut EntryDispatcher, now: u64, first: u64, count: u64) -> Vec<String> {
    let ids = (first..first + count).filter_map(|number| {
        let decisions = submit(dispatcher, at(now), number, plain(now));
        placed(&decisions).map(str::to_owned)
    });
    ids.collect()
}

#[test]
fn leaving_mark_is_read_or_rejected() {
    let read = |values: &[&'static [u8]]| LeavingMark::try_from(&HeaderValues(values.to_vec()));
    assert!(read(&[b"1"]).is_ok());
    assert!(read(&[b" 1 ", b"1"]).is_ok());
    assert_eq!(read(&[]), Err(NoticeError::Empty));
    assert_eq!(read(&[b" "]), Err(NoticeError::Empty));
    assert_eq!(read(&[b"1", b"0"]), Err(NoticeError::Contradictory));
    assert_eq!(read(&[b"-1"]), Err(NoticeError::Negative));
    for unknown in [b"0".as_slice(), b"true", b"1.0", b"\xff\xfe", b"1000000000000"] {
        assert_eq!(read(&[unknown]), Err(NoticeError::Unknown), "{unknown:?}");
    }
}

#[test]
fn pause_length_is_read_or_rejected() {
    let read = |values: &[&'static [u8]]| PauseLength::try_from(&HeaderValues(values.to_vec()));
    assert_eq!(read(&[b"2"]), Ok(PauseLength(ms(2000))));
    assert_eq!(read(&[b"0.25"]), Ok(PauseLength(ms(250))));
    assert_eq!(read(&[b"3", b"3"]), Ok(PauseLength(ms(3000))));
    assert_eq!(read(&[b"1000000000000"]).unwrap().0.as_secs(), 1_000_000_000_000);
    assert_eq!(read(&[b""]), Err(NoticeError::Empty));
    assert_eq!(read(&[b"3", b"4"]), Err(NoticeError::Contradictory));
    assert_eq!(read(&[b"-3"]), Err(NoticeError::Negative));
    let large = "9".repeat(400).into_bytes();
    assert_eq!(PauseLength::try_from(&HeaderValues(vec![&large])), Err(NoticeError::Unknown));
    let unknown: [&[u8]; 8] = [
        b"Fri, 04 Dec 2026 20:00:00 GMT",
        b"soon",
        b"nan",
        b"inf",
        b"1e3",
        b"1.2.3",
        b".",
        b"\xff",
    ];
    for value in unknown {
        assert_eq!(read(&[value]), Err(NoticeError::Unknown), "{value:?}");
    }
}

/// A leaving endpoint gets no request, whatever the list and its sidecar say.
#[test]
fn leaving_endpoint_stays_closed_until_it_is_started_again() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "i-1", 1, endpoint("model", 1, Some(4)));
    let change = dispatcher.apply_notice(at(10), &start("i-1", 1), EndpointNotice::Leaving);
    assert_eq!(change, NoticeChange::Leaving);
    let again = dispatcher.apply_notice(at(11), &start("i-1", 1), EndpointNotice::Leaving);
    assert_eq!(again, NoticeChange::Unchanged);
    let mut number = 0;
    let mut is_closed = |dispatcher: &mut EntryDispatcher, now: u64| {
        number += 1;
        let decisions = submit(dispatcher, at(now), number, stream(at(now)));
        assert!(!dispatcher.may_send(at(now), &start("i-1", 1)));
        refused(&decisions) == Some(RefusalReason::NoEndpoint)
    };
    assert!(is_closed(&mut dispatcher, 12));
    let status = EndpointStatus {
        expires_at: at(60_000),
        models: [(MODEL.to_owned(), 4)].into_iter().collect(),
        accepting: true,
        closing_at: None,
    };
    dispatcher.apply_status(&EndpointId::from("i-1"), status);
    assert!(is_closed(&mut dispatcher, 20));
    list(&mut dispatcher, 30, 2, "i-1", endpoint("model", 1, Some(4)));
    assert!(is_closed(&mut dispatcher, 30));
    // Removed and listed again by a record of the same start, or of an unknown one.
    dispatcher.directory_mut().apply(at(40), record("i-1", 3, None));
    dispatcher.sync_directory(at(40));
    list(&mut dispatcher, 50, 4, "i-1", endpoint("model", 1, Some(4)));
    assert!(is_closed(&mut dispatcher, 50));
    let unknown = ListedEndpoint { started_at_ms: 0, ..endpoint("model", 1, Some(4)) };
    list(&mut dispatcher, 60, 5, "i-1", unknown);
    assert!(is_closed(&mut dispatcher, 60_000));
    let restarted = ListedEndpoint { started_at_ms: 2, ..endpoint("model", 1, Some(4)) };
    list(&mut dispatcher, 70_000, 6, "i-1", restarted);
    let decisions = submit(&mut dispatcher, at(70_000), 99, stream(at(70_000)));
    assert_eq!(placed(&decisions), Some("i-1"));
    let reopened = vec![(EndpointId::from("i-1"), ReopeningCause::Restarted)];
    assert_eq!(dispatcher.take_reopened(), reopened);
    // An answer of the start that left arrives late.
    let late = dispatcher.apply_notice(at(70_001), &start("i-1", 1), EndpointNotice::Leaving);
    assert_eq!(late, NoticeChange::Unchanged);
    assert!(dispatcher.may_send(at(70_001), &start("i-1", 2)));
}

/// The address of an endpoint that left serves another service under another id.
#[test]
fn successor_at_address_of_leaving_endpoint_gets_requests() {
    let mut dispatcher = with_plain(&["i-1"]);
    dispatcher.apply_notice(at(10), &start("i-1", 1), EndpointNotice::Leaving);
    let successor = ListedEndpoint { started_at_ms: 2, ..endpoint("model", 1, Some(4)) };
    list(&mut dispatcher, 20, 2, "i-2", successor);
    assert_eq!(placed(&submit(&mut dispatcher, at(30), 1, stream(at(30)))), Some("i-2"));
    let decisions = submit(&mut dispatcher, at(30), 2, plain(30));
    assert_eq!(refused(&decisions), Some(RefusalReason::NoEndpoint));
}

/// A suspended endpoint is chosen if there is no other; a closed one is not.
#[test]
fn closed_endpoint_is_no_last_resort() {
    let mut dispatcher = with_plain(&["i-1", "i-2"]);
    let unreachable = AttemptOutcome::NotRun(NotRunReason::Unreachable);
    dispatcher.record_end(at(5), &EndpointId::from("i-1"), 0, unreachable);
    dispatcher.apply_notice(at(5), &start("i-2", 1), EndpointNotice::Leaving);
    let ids = place_many(&mut dispatcher, 6, 1, 4);
    assert_eq!(ids, ["i-1"; 4]);
}

/// A request that was placed is not sent to an endpoint that has closed since.
#[test]
fn placed_request_is_withdrawn_from_closed_endpoint() {
    for notice in [EndpointNotice::Leaving, paused(ms(2000))] {
        let mut dispatcher = with_plain(&["i-1"]);
        let decisions = submit(&mut dispatcher, at(0), 1, plain(0));
        let [DispatchDecision::Place { target, .. }] = decisions.as_slice() else {
            panic!("{decisions:?}")
        };
        assert!(dispatcher.may_send(at(1), &target.start()));
        dispatcher.apply_notice(at(2), &target.start(), notice);
        assert!(!dispatcher.may_send(at(3), &target.start()), "{notice:?}");
    }
}

/// After a pause, no more than two requests are in progress before one of them is answered.
#[test]
fn paused_endpoint_gets_trials_before_full_load() {
    let mut dispatcher = with_plain(&["i-1"]);
    let id = EndpointId::from("i-1");
    let change = dispatcher.apply_notice(at(0), &start("i-1", 1), paused(ms(1000)));
    assert_eq!(change, NoticeChange::Paused { until: at(1000), shortened: false });
    // A shorter pause that is stated later doesn't end the longer one.
    let change = dispatcher.apply_notice(at(1), &start("i-1", 1), paused(ms(10)));
    assert_eq!(change, NoticeChange::Unchanged);
    let decisions = submit(&mut dispatcher, at(2), 1, plain(2));
    assert_eq!(refused(&decisions), Some(RefusalReason::Paused { ends_in: ms(998) }));
    assert!(place_many(&mut dispatcher, 600, 10, 3).is_empty());
    let decisions = submit(&mut dispatcher, at(1000), 20, plain(1000));
    let [DispatchDecision::Place { target, .. }] = decisions.as_slice() else {
        panic!("{decisions:?}")
    };
    assert!(target.is_trial);
    assert_eq!(place_many(&mut dispatcher, 1000, 21, 5).len(), 1);
    // A trial that ends without an answer makes room for another one.
    dispatcher.end_trial(&start("i-1", 1));
    let outcome = AttemptOutcome::Unknown(UnknownReason::Reset);
    dispatcher.record_end(at(1001), &id, 0, outcome);
    let waiting = dispatcher.dispatch_waiting(at(1001), 7);
    let is_placed =
        |decision: &&DispatchDecision| matches!(decision, DispatchDecision::Place { .. });
    assert_eq!(waiting.iter().filter(is_placed).count(), 1);
    dispatcher.record_trial_answer(at(1002), &start("i-1", 1));
    let waiting = dispatcher.dispatch_waiting(at(1002), 7);
    assert_eq!(waiting.iter().filter(is_placed).count(), 3);
    assert_eq!(dispatcher.take_reopened(), vec![(id, ReopeningCause::Answered)]);
}

/// An answer to an earlier trial doesn't end a pause that was stated later.
#[test]
fn answered_trial_does_not_end_later_pause() {
    let mut dispatcher = with_plain(&["i-1"]);
    dispatcher.apply_notice(at(0), &start("i-1", 1), paused(ms(100)));
    assert_eq!(place_many(&mut dispatcher, 100, 1, 2).len(), 2);
    dispatcher.apply_notice(at(110), &start("i-1", 1), paused(ms(3000)));
    dispatcher.record_trial_answer(at(111), &start("i-1", 1));
    dispatcher.end_trial(&start("i-1", 1));
    assert!(place_many(&mut dispatcher, 1000, 3, 2).is_empty());
}

/// Guards against an endpoint that is closed for ever by a pause of 30,000 years.
#[test]
fn pause_is_bounded() {
    let mut dispatcher = with_plain(&["i-1"]);
    let long = paused(Duration::from_secs(1_000_000_000_000));
    let change = dispatcher.apply_notice(at(0), &start("i-1", 1), long);
    assert_eq!(change, NoticeChange::Paused { until: at(12_000), shortened: true });
    assert!(place_many(&mut dispatcher, 11_000, 1, 1).is_empty());
    assert_eq!(place_many(&mut dispatcher, 12_000, 2, 1), ["i-1"]);
}

/// Answers that state the same pause arrive one after the other: the latest end counts, and the change
/// is reported once.
#[test]
fn repeated_pause_is_reported_once() {
    let mut dispatcher = with_plain(&["i-1"]);
    dispatcher.apply_notice(at(0), &start("i-1", 1), paused(ms(1000)));
    let again = dispatcher.apply_notice(at(50), &start("i-1", 1), paused(ms(1000)));
    assert_eq!(again, NoticeChange::Unchanged);
    assert!(!dispatcher.may_send(at(1049), &start("i-1", 1)));
    assert!(dispatcher.may_send(at(1050), &start("i-1", 1)));
    let renewed = dispatcher.apply_notice(at(1051), &start("i-1", 1), paused(ms(20)));
    assert_eq!(renewed, NoticeChange::Paused { until: at(1071), shortened: false });
}

/// A restarted endpoint has no pause.
#[test]
fn restart_ends_pause() {
    let mut dispatcher = with_plain(&["i-1"]);
    dispatcher.apply_notice(at(0), &start("i-1", 1), paused(ms(5000)));
    let restarted = ListedEndpoint { started_at_ms: 2, ..endpoint("plain", 1, None) };
    list(&mut dispatcher, 100, 2, "i-1", restarted);
    assert_eq!(place_many(&mut dispatcher, 101, 1, 4).len(), 4);
}

/// A request waits for a pause that ends while it may wait, and is refused at once otherwise.
#[test]
fn request_waits_only_for_short_pause() {
    let mut dispatcher = with_plain(&["i-1", "i-2"]);
    dispatcher.apply_notice(at(0), &start("i-1", 1), paused(ms(100)));
    dispatcher.apply_notice(at(0), &start("i-2", 1), paused(ms(900)));
    assert!(submit(&mut dispatcher, at(10), 1, plain(10)).is_empty());
    assert_eq!(placed(&dispatcher.dispatch_waiting(at(100), 1)), Some("i-1"));
}

/// Guards against waiting requests that wait out their limit when all endpoints close at once.
#[test]
fn waiting_requests_are_refused_when_all_endpoints_pause() {
    let mut dispatcher = with_plain(&["i-1", "i-2"]);
    place_many(&mut dispatcher, 0, 1, 40);
    assert!(dispatcher.has_waiting());
    for id in ["i-1", "i-2"] {
        dispatcher.apply_notice(at(10), &start(id, 1), paused(ms(4000)));
    }
    let decisions = dispatcher.dispatch_waiting(at(10), 5);
    assert!(!dispatcher.has_waiting());
    assert!(!decisions.is_empty());
    for decision in decisions {
        let DispatchDecision::Refuse { reason, .. } = decision else { panic!("{decision:?}") };
        assert_eq!(reason, RefusalReason::Paused { ends_in: ms(4000) });
    }
}

/// Half of a service leaves: the other half takes its requests, and none starves.
#[test]
fn other_half_serves_when_half_leaves() {
    let ids = ["i-1", "i-2", "i-3", "i-4"];
    let mut dispatcher = with_plain(&ids);
    for id in &ids[..2] {
        dispatcher.apply_notice(at(0), &start(id, 1), EndpointNotice::Leaving);
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for round in 0..50 {
        let placed = place_many(&mut dispatcher, 10 * round, 100 * round, 4);
        assert_eq!(placed.len(), 4);
        for id in placed {
            let endpoint = EndpointId::from(id.as_str());
            dispatcher.record_end(at(10 * round + 5), &endpoint, 0, AttemptOutcome::Served);
            *counts.entry(id).or_default() += 1;
        }
    }
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["i-3", "i-4"]);
    assert!(counts.values().all(|count| *count > 50), "{counts:?}");
}

/// Callers return soon after the end of the earliest pause, not together and not before it.
#[test]
fn callers_return_after_end_of_pause() {
    let remaining = ms(6000);
    let reason = RefusalReason::Paused { ends_in: ms(1000) };
    let delays: Vec<Duration> =
        (0..1024).step_by(64).map(|random| retry_after(reason, remaining, random)).collect();
    assert!(delays.iter().all(|delay| (ms(1000)..=ms(1600)).contains(delay)), "{delays:?}");
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]));
    // Callers wait no longer than a third of the time that they have left.
    let reason = RefusalReason::Paused { ends_in: ms(9000) };
    assert!(retry_after(reason, remaining, 1023) <= ms(2000));
}
