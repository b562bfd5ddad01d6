//! Endpoints that their sidecars have closed, while sidecar or endpoint stand still.

mod support;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::*;
use support::*;

fn status(accepting: bool, version: u64, expires_at: MonoTime) -> EndpointStatus {
    let models = [(MODEL.to_owned(), version)].into();
    EndpointStatus { expires_at, models, accepting, closing_at: None }
}

fn is_used(dispatcher: &mut EntryDispatcher, now: u64, number: u64) -> bool {
    dispatcher.submit(at(now), RequestNumber(number), stream(at(now)), Default::default());
    let decisions = dispatcher.dispatch_waiting(at(now), 0);
    let is_placed = placed(&decisions).is_some();
    if !is_placed {
        dispatcher.cancel(RequestNumber(number));
    }
    is_placed
}

/// Removes an endpoint from the list, as the store does when its registration expires.
fn unlist(dispatcher: &mut EntryDispatcher, now: u64, offset: u64) {
    dispatcher.directory_mut().apply(at(now), record("i-1", offset, None));
    dispatcher.sync_directory(at(now));
}

/// Guards against requests to an endpoint that loads damaged weights: its sidecar, which had closed it,
/// stood still for longer than its status counts.
#[test]
fn closed_endpoint_stays_closed_while_its_sidecar_is_silent() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "i-1", 1, endpoint("model", 1, Some(1)));
    dispatcher.apply_status(&"i-1".into(), status(false, 1, at(2600)));
    let reopens_at = 2600 + MAX_PAUSE.as_millis() as u64;
    assert!(!is_used(&mut dispatcher, 2700, 1));
    assert!(!is_used(&mut dispatcher, reopens_at - 1, 2));
    assert!(is_used(&mut dispatcher, reopens_at, 3), "closed without end");
}

/// Guards against requests to an endpoint that came back to the list after it had stood still: the
/// entry had dropped the status with it, and ignored those that arrived meanwhile.
#[test]
fn closed_endpoint_stays_closed_when_it_is_listed_again() {
    for is_told_meanwhile in [true, false] {
        let mut dispatcher = dispatcher();
        let listed = endpoint("model", 1, Some(1));
        add_endpoint(&mut dispatcher, "i-1", 1, listed.clone());
        dispatcher.apply_status(&"i-1".into(), status(is_told_meanwhile, 1, at(2600)));
        unlist(&mut dispatcher, 1000, 2);
        if is_told_meanwhile {
            let closed = status(false, 1, at(4000));
            let sender = PeerAddress("10.0.0.1:17700".into());
            dispatcher.apply_unlisted_status(at(1400), &sender, listed.address.clone(), closed);
        }
        add_endpoint(&mut dispatcher, "i-1", 3, listed);
        assert!(!is_used(&mut dispatcher, 3000, 1));
        dispatcher.apply_status(&"i-1".into(), status(true, 1, at(6000)));
        assert!(is_used(&mut dispatcher, 3100, 2));
    }
}

#[test]
fn restarted_endpoint_is_not_closed_by_a_status_from_before() {
    let mut dispatcher = dispatcher();
    let listed = endpoint("model", 1, Some(1));
    add_endpoint(&mut dispatcher, "i-1", 1, listed.clone());
    dispatcher.apply_status(&"i-1".into(), status(false, 1, at(2600)));
    unlist(&mut dispatcher, 1000, 2);
    let restarted = ListedEndpoint { started_at_ms: listed.started_at_ms + 1, ..listed };
    add_endpoint(&mut dispatcher, "i-1", 3, restarted);
    assert!(is_used(&mut dispatcher, 1500, 1));
}
