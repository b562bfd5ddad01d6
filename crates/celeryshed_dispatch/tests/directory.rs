//! Which of the registrations at an address counts, and registrations of other writers.

mod support;

use celeryshed_base::{LogOffset, LogPosition, StoreEra};
use celeryshed_dispatch::*;
use support::*;

/// A configuration that names these services.
fn naming(names: &[&str]) -> RoutingSnapshot {
    let mut snapshot = RoutingSnapshot::default();
    for name in names {
        snapshot.services.insert(service(name), ServiceProfile { engine: None, origin: None });
    }
    snapshot
}

/// An endpoint at the address of number `index`.
fn started(service_name: &str, index: u32, started_at_ms: u64) -> ListedEndpoint {
    ListedEndpoint { started_at_ms, ..endpoint(service_name, index, Some(1)) }
}

fn listed(directory: &EndpointDirectory, now: u64) -> Vec<String> {
    directory.endpoints(at(now)).map(|(id, _)| id.to_string()).collect()
}

/// A registration: its id, service, address number and start.
type Registration = (&'static str, &'static str, u32, u64);

#[test]
fn latest_start_of_a_named_service_counts_at_an_address() {
    let cases: [(&str, &[Registration], &[&str]); 9] = [
        ("alone", &[("a", "model", 1, 5)], &["a"]),
        ("other address", &[("a", "model", 1, 5), ("b", "model", 2, 9)], &["a", "b"]),
        ("later start", &[("a", "model", 1, 5), ("b", "model", 1, 9)], &["b"]),
        ("same start", &[("a", "model", 1, 5), ("b", "model", 1, 5)], &["a", "b"]),
        ("other named service", &[("a", "model", 1, 5), ("b", "plain", 1, 9)], &["b"]),
        ("unknown service", &[("a", "model", 1, 5), ("b", "other", 1, 9)], &["a"]),
        (
            "earlier start of an unknown service",
            &[("a", "model", 1, 5), ("b", "other", 1, 1)],
            &["a"],
        ),
        ("unknown service alone", &[("b", "other", 1, 9)], &[]),
        (
            "three starts",
            &[("a", "model", 1, 5), ("b", "model", 1, 9), ("c", "model", 1, 7)],
            &["b"],
        ),
    ];
    for (name, registrations, expected) in cases {
        let orders = [registrations.to_vec(), registrations.iter().rev().copied().collect()];
        for (order, is_named_first) in
            orders.iter().zip([true, false]).chain(orders.iter().zip([false, true]))
        {
            let mut directory = EndpointDirectory::default();
            if is_named_first {
                directory.add_services(&naming(&["model", "plain"]));
            }
            for (offset, (id, service, index, start)) in (1..).zip(order) {
                let endpoint = started(service, *index, *start);
                directory.apply(at(0), record(id, offset, Some(endpoint)));
            }
            directory.add_services(&naming(&["model", "plain"]));
            assert_eq!(listed(&directory, 0), expected, "{name}, order {order:?}");
        }
    }
}

/// Guards against sound endpoints that stay away for good: their renewals aren't told again.
#[test]
fn displaced_endpoint_counts_again_when_the_other_goes() {
    let mut directory = EndpointDirectory::default();
    directory.add_services(&naming(&["model", "plain"]));
    directory.apply(at(0), record("i-1", 1, Some(started("model", 1, 5))));
    directory.apply(at(0), record("agent", 2, Some(started("plain", 1, 9))));
    assert_eq!(listed(&directory, 0), ["agent"]);
    directory.apply(at(0), record("agent", 3, None));
    assert_eq!(listed(&directory, 0), ["i-1"]);
    directory.apply(at(0), record("agent", 4, Some(started("plain", 1, 9))));
    directory.apply(at(0), record("agent", 5, Some(started("plain", 2, 9))));
    assert_eq!(listed(&directory, 0), ["agent", "i-1"], "the other moved to another address");
    // A removal after an outage takes effect later.
    directory.apply(at(0), record("agent", 6, Some(started("plain", 1, 9))));
    directory.record_store_failure();
    directory.record_store_success(at(100));
    directory.apply(at(100), record("agent", 7, None));
    assert_eq!(listed(&directory, 200), ["agent"]);
    assert_eq!(listed(&directory, 5000), ["i-1"]);
}

/// An engine of another configured service at the address of a dead one has to keep it.
#[test]
fn restart_and_reuse_keep_the_later_start() {
    let mut directory = EndpointDirectory::default();
    directory.add_services(&naming(&["model", "plain"]));
    directory.apply(at(0), record("i-1", 1, Some(started("model", 1, 5))));
    directory.apply(at(0), record("i-1", 2, Some(started("model", 1, 9))));
    assert_eq!(directory.get(at(0), &"i-1".into()).unwrap().started_at_ms, 9);
    directory.apply(at(0), record("i-2", 3, Some(started("plain", 1, 20))));
    directory.apply(at(0), record("i-1", 4, Some(started("model", 1, 9))));
    assert_eq!(listed(&directory, 0), ["i-2"]);
    assert!(directory.get(at(0), &"i-1".into()).is_none());
}

#[test]
fn service_takes_part_once_a_configuration_names_it() {
    let mut directory = EndpointDirectory::default();
    directory.apply(at(0), record("agent", 1, Some(started("other", 1, 9))));
    directory.apply(at(0), record("i-1", 2, Some(started("model", 1, 5))));
    directory.add_services(&naming(&["model"]));
    assert_eq!(listed(&directory, 0), ["i-1"]);
    assert!(directory.get(at(0), &"agent".into()).is_none());
    directory.add_services(&naming(&["model", "other"]));
    assert_eq!(listed(&directory, 0), ["agent"]);
    // Requests in progress end by their own rules when a service is taken out.
    directory.add_services(&naming(&["model"]));
    assert_eq!(listed(&directory, 0), ["agent"]);
}

/// Guards against an outage by another writer: entries with an unknown service at the addresses of
/// all engines made the entry refuse every request.
#[test]
fn entries_of_unknown_services_take_no_engine_away() {
    let mut dispatcher = dispatcher();
    for index in 1..=3 {
        let id = format!("i-{index}");
        add_endpoint(&mut dispatcher, &id, index.into(), endpoint("model", index, Some(1)));
    }
    for index in 1..=3 {
        let id = format!("agent-{index}");
        let foreign = started("other", index, 1000);
        add_endpoint(&mut dispatcher, &id, u64::from(index) + 10, foreign);
    }
    let request = RequestNumber(1);
    dispatcher.submit(at(10), request, stream(at(10)), Default::default());
    let decisions = dispatcher.dispatch_waiting(at(10), 0);
    assert!(matches!(decisions[..], [DispatchDecision::Place { .. }]), "{decisions:?}");
}

/// Guards against memory that grows with each endpoint that has left. The one that stays, and a key
/// that returns, must remain listed.
#[test]
fn directory_keeps_removed_endpoints_for_ever() {
    let mut directory = EndpointDirectory::default();
    let mut offset = 0;
    let mut apply = |directory: &mut EndpointDirectory, id: &str, is_listed: bool| {
        offset += 1;
        let position = LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap();
        let endpoint = is_listed.then(|| started("letters", u32::from(id != "stays"), offset));
        directory
            .apply(at(offset), DirectoryRecord { id: EndpointId::from(id), position, endpoint });
    };
    apply(&mut directory, "stays", true);
    let mut sizes = Vec::new();
    for round in 0..2 {
        for number in 0..4_200 {
            let id = format!("e{:06}", round * 4_200 + number);
            apply(&mut directory, &id, true);
            apply(&mut directory, &id, false);
        }
        sizes.push(format!("{directory:?}").len());
    }
    assert!(sizes[1] <= sizes[0] * 11 / 10, "{sizes:?}");
    apply(&mut directory, "e000000", true);
    let listed = |id: &str| directory.get(at(30_000), &EndpointId::from(id)).is_some();
    assert!(listed("stays") && listed("e000000") && !listed("e000001"));
}
