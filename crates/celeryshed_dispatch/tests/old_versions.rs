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
