//! What other processes tell an entry, in any amount.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_dispatch::*;
use support::*;

fn peer(number: usize) -> PeerAddress {
    PeerAddress(format!("10.0.{}.{}:17700", number / 200, number % 200))
}

/// Each model that any process named was kept, and told to others in turn.
#[test]
fn unknown_models_are_kept() {
    let mut dispatcher = dispatcher();
    for model in 0..5000 {
        let name = format!("m{model}");
        dispatcher.apply_version_age(at(0), &peer(0), &name, 1, Duration::ZERO);
    }
    dispatcher.apply_version_age(at(0), &peer(1), MODEL, 2, Duration::ZERO);
    assert_eq!(dispatcher.version_ages(at(0)).count(), 1);
    assert!(dispatcher.version_ages(at(0)).all(|(model, ..)| model == MODEL));
}

/// Before the first configuration, names without end pushed out the versions that sound peers told.
#[test]
fn endless_models_displace_versions_before_the_configuration() {
    let mut dispatcher = unconfigured_dispatcher();
    dispatcher.apply_version_age(at(0), &peer(1), MODEL, 2, Duration::ZERO);
    for model in 0..5000 {
        let name = format!("m{model}");
        dispatcher.apply_version_age(at(0), &peer(0), &name, 1, Duration::ZERO);
    }
    assert!(dispatcher.version_ages(at(0)).any(|(model, ..)| model == MODEL));
    assert!(dispatcher.version_ages(at(0)).count() <= 256);
    configure(&mut dispatcher);
    assert_eq!(dispatcher.version_ages(at(0)).count(), 1);
    assert!(dispatcher.version_ages(at(0)).all(|(model, ..)| model == MODEL));
}

/// Versions that peers told pushed out those that operators had declared.
#[test]
fn told_versions_displace_declared_ones() {
    let mut dispatcher = dispatcher();
    dispatcher.add_declared_version(at(0), MODEL, 2, Some(Duration::ZERO));
    for version in 100..200 {
        dispatcher.apply_version_age(at(0), &peer(0), MODEL, version, Duration::ZERO);
    }
    assert!(dispatcher.version_ages(at(0)).any(|(_, version, _)| version == 2));
    assert!(dispatcher.version_ages(at(0)).count() <= 16);
}

/// Loads of several entries overflowed, which ended the dispatcher or made the endpoint look free.
#[test]
fn huge_loads_overflow() {
    let mut load = EndpointLoad::default();
    load.started(800);
    let huge = PeerLoad { running: u32::MAX, unread_tokens: u32::MAX };
    for number in 0..3 {
        load.apply_peer_load(&peer(number), huge);
    }
    assert_eq!(load.total(), huge);
    for number in 0..3 {
        load.apply_peer_load(&peer(number), PeerLoad::default());
    }
    assert_eq!(load.total(), load.own());
}

/// The load of an entry that ended while this one placed no request was counted for ever.
#[test]
fn load_of_ended_entry_is_kept() {
    let mut dispatcher = dispatcher();
    add_endpoint(&mut dispatcher, "only", 1, endpoint("model", 1, Some(1)));
    report_load(&mut dispatcher, at(0), &peer(0), &peer_loads(&[("only", 17, 0)]));
    assert_eq!(placed(&submit(&mut dispatcher, at(100), 1, stream(at(100)))), None);
    dispatcher.cancel(RequestNumber(1));
    for beat in 1..10 {
        report_load(&mut dispatcher, at(beat * 700), &peer(1), &BTreeMap::new());
    }
    assert_eq!(placed(&submit(&mut dispatcher, at(7000), 2, stream(at(7000)))), Some("only"));
}

/// Load reports of any number of entries were kept, for as long as they said.
#[test]
fn any_number_of_entries_counts() {
    let mut dispatcher = dispatcher();
    for number in 0..5000 {
        report_load(&mut dispatcher, at(0), &peer(number), &BTreeMap::new());
    }
    assert_eq!(dispatcher.entry_count(at(0)), MAX_PEERS as u32 + 1);
    assert_eq!(dispatcher.entry_count(at(3000)), 3);
}

/// Crash counts without end pushed out those of sound entries, or were kept without a limit.
#[test]
fn endless_crash_counts_displace_others() {
    let mut quarantine = RequestQuarantine::default();
    let request = RequestFingerprint(7);
    for number in 1..4 {
        quarantine.apply_peer_crashes(at(0), &peer(number).0, &BTreeMap::from([(request, 1)]));
    }
    for sender in 100..740 {
        let first = sender * 2000;
        let crashes = (first..first + 2000).map(|other| (RequestFingerprint(other as u64), 3));
        quarantine.apply_peer_crashes(at(10), &peer(sender).0, &crashes.collect());
    }
    assert!(quarantine.is_quarantined(at(20), request));
    let others = (100 * 2000..740 * 2000).map(RequestFingerprint);
    assert!(others.filter(|other| quarantine.is_quarantined(at(20), *other)).count() <= 8192);
}

/// Crashes that this entry had observed were pushed out, or made its load reports larger than a
/// datagram.
#[test]
fn observed_crashes_are_displaced_or_reported_without_end() {
    let mut quarantine = RequestQuarantine::default();
    for request in 0..3000 {
        quarantine.record_reset(at(0), &"a".into(), RequestFingerprint(request));
    }
    for endpoint in ["a", "b", "c"] {
        quarantine.record_reset(at(0), &endpoint.into(), RequestFingerprint(2999));
        quarantine.record_unreachable(at(10), &endpoint.into());
    }
    for sender in 0..100 {
        let crashes = (0..2000).map(|other| (RequestFingerprint((sender + 9) << 32 | other), 1));
        quarantine.apply_peer_crashes(at(20), &peer(sender as usize).0, &crashes.collect());
    }
    let own: BTreeMap<_, _> = quarantine.own_crashes().collect();
    assert_eq!(own.len(), 1024);
    assert_eq!(own.get(&RequestFingerprint(2999)), Some(&3));
    assert!(quarantine.is_quarantined(at(30), RequestFingerprint(2999)));
    quarantine.apply_peer_crashes(at(15_100), &peer(0).0, &BTreeMap::new());
    assert_eq!(quarantine.own_crashes().count(), 0, "the crashes are given back");
}

/// Statuses of endpoints that no list names pushed out that of an endpoint that was listed before.
#[test]
fn unknown_statuses_displace_that_of_a_listed_endpoint() {
    let mut dispatcher = dispatcher();
    let listed = endpoint("model", 1, Some(1));
    let status = |accepting| EndpointStatus {
        expires_at: at(9000),
        models: [(MODEL.to_owned(), 1)].into(),
        accepting,
        closing_at: None,
    };
    add_endpoint(&mut dispatcher, "i-1", 1, listed.clone());
    dispatcher.apply_status(&"i-1".into(), status(false));
    dispatcher.directory_mut().apply(at(0), record("i-1", 2, None));
    dispatcher.sync_directory(at(0));
    for number in 0..5000 {
        let address = format!("10.1.{}.{}:8000", number / 200, number % 200);
        dispatcher.apply_unlisted_status(at(10), &peer(number), address, status(true));
    }
    add_endpoint(&mut dispatcher, "i-1", 3, listed);
    assert_eq!(placed(&submit(&mut dispatcher, at(100), 1, stream(at(100)))), None);
}
