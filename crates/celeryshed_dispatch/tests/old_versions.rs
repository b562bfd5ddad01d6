//! Requests for endpoints of an older version, shortly before the newer one is due.

mod support;

use celeryshed_dispatch::{DispatchDecision, EndpointTarget, EntryDispatcher, PeerAddress};
use std::time::Duration;
use support::*;

/// Time at which the newer version was declared; it is due 8 s later.
const DECLARED_AT_MS: u64 = 1000;

fn peer() -> PeerAddress {
    PeerAddress("10.0.0.1:17700".into())
}

/// Lists an endpoint of the older version from `listed_at` on.
fn list_old_endpoint(dispatcher: &mut EntryDispatcher, listed_at: u64) {
    let listed = record("old", 1, Some(endpoint("model", 1, Some(1))));
    dispatcher.directory_mut().apply(at(listed_at), listed);
    dispatcher.sync_directory(at(listed_at));
}

fn declare_newer_version(dispatcher: &mut EntryDispatcher, now: u64) {
    let age = Duration::from_millis(now - DECLARED_AT_MS);
    dispatcher.add_declared_version(at(now), MODEL, 2, Some(age));
}

fn target(decisions: &[DispatchDecision]) -> &EndpointTarget {
    match decisions {
        [DispatchDecision::Place { target, .. }] => target,
        decisions => panic!("not placed: {decisions:?}"),
    }
}

/// Guards against an entry that has just started and counts the endpoints as idle: other entries had
/// filled their queues, and its requests began after the newer version was due.
#[test]
fn endpoint_of_unknown_load_gets_no_request_shortly_before_newer_version_is_due() {
    let mut dispatcher = dispatcher();
    list_old_endpoint(&mut dispatcher, 8100);
    declare_newer_version(&mut dispatcher, 8100);
    assert_eq!(placed(&submit(&mut dispatcher, at(8110), 1, stream(at(8110)))), None);
}

/// Guards against callers who are refused longer than needed: an endpoint of unknown load gets
/// requests that start in time also behind a full queue, and one whose load is known all others.
#[test]
fn endpoint_of_unknown_load_gets_requests_long_before_newer_version_is_due() {
    let mut dispatcher = dispatcher();
    list_old_endpoint(&mut dispatcher, 5900);
    declare_newer_version(&mut dispatcher, 5900);
    assert_eq!(placed(&submit(&mut dispatcher, at(5910), 1, stream(at(5910)))), Some("old"));
    assert_eq!(placed(&submit(&mut dispatcher, at(8110), 2, stream(at(8110)))), Some("old"));
}

/// An endpoint of the newer version gets requests at once, whatever its load.
#[test]
fn endpoint_of_newer_version_gets_requests_although_its_load_is_unknown() {
    let mut dispatcher = dispatcher();
    list_old_endpoint(&mut dispatcher, 8100);
    add_endpoint(&mut dispatcher, "new", 2, endpoint("model", 2, Some(2)));
    declare_newer_version(&mut dispatcher, 8100);
    assert_eq!(placed(&submit(&mut dispatcher, at(8110), 1, stream(at(8110)))), Some("new"));
}

/// Guards against an entry that heard nothing of the others for a while, drops what they reported,
/// and counts the endpoints as idle.
#[test]
fn load_is_unknown_once_all_peers_have_been_silent() {
    let mut dispatcher = dispatcher();
    list_old_endpoint(&mut dispatcher, 0);
    declare_newer_version(&mut dispatcher, 1000);
    report_load(&mut dispatcher, at(6500), &peer(), &peer_loads(&[("old", 15, 0)]));
    assert_eq!(placed(&submit(&mut dispatcher, at(8100), 1, stream(at(8100)))), None);
}

/// Guards against a request that is chosen in time behind other requests, and sent later, when it can
/// no longer start before the newer version is due.
#[test]
fn request_behind_others_is_sent_while_it_is_certain_to_start_in_time() {
    let mut dispatcher = dispatcher();
    list_old_endpoint(&mut dispatcher, 0);
    declare_newer_version(&mut dispatcher, 1000);
    let loads = peer_loads(&[("old", 12, 12_000)]);
    report_load(&mut dispatcher, at(6500), &peer(), &loads);
    let decisions = submit(&mut dispatcher, at(6510), 1, stream(at(6510)));
    let [DispatchDecision::Place { expected, .. }] = &decisions[..] else {
        panic!("not placed: {decisions:?}");
    };
    assert!(*expected > ms(500), "{expected:?}");
    let send_deadline = target(&decisions).send_deadline.expect("a newer version is declared");
    assert!(send_deadline + expected.mul_f64(2.0) < at(9000), "{send_deadline:?} {expected:?}");
}

/// Guards against requests that are sent over a busy link: the connection took long to open, their
/// bytes took longer still, and they arrived after they had been withdrawn.
#[test]
fn request_over_busy_link_is_sent_while_it_is_certain_to_arrive_in_time() {
    let mut dispatcher = dispatcher();
    list_old_endpoint(&mut dispatcher, 0);
    declare_newer_version(&mut dispatcher, 1000);
    let decisions = submit(&mut dispatcher, at(8000), 1, stream(at(8000)));
    let target = target(&decisions);
    assert!(target.is_in_time(at(8010), ms(2)), "{target:?}");
    // Bytes that follow may take 0.8 s and more.
    assert!(!target.is_in_time(at(8010), ms(300)), "{target:?}");
}
