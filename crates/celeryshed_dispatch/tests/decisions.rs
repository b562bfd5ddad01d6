//! Tests of the directory, retries, retry budget, request quarantine, routes and engine timing.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{MonoTime, TeamLabel};
use celeryshed_dispatch::*;
use support::*;

#[test]
fn directory_keeps_latest_record() {
    let mut directory = EndpointDirectory::default();
    assert!(directory.apply(at(0), record("a", 5, Some(endpoint("model", 1, None)))));
    assert!(!directory.apply(at(0), record("a", 4, None)), "an older record changes nothing");
    assert_eq!(directory.endpoints(at(0)).count(), 1);
    assert!(directory.apply(at(0), record("a", 6, None)));
    assert_eq!(
        directory.endpoints(at(0)).count(),
        0,
        "without an outage a removal takes effect immediately"
    );
}

/// Guards against the removal of running endpoints whose registrations expired during an outage of
/// the store: they get time to register again.
#[test]
fn expired_registration_is_kept_for_grace_period() {
    let mut directory = EndpointDirectory::default();
    for id in ["back", "gone"] {
        directory.apply(at(0), record(id, 1, Some(endpoint("model", 1, None))));
    }
    directory.record_store_failure();
    directory.record_store_success(at(5000));
    directory.apply(at(5000), record("back", 2, None));
    directory.apply(at(5000), record("gone", 3, None));
    assert_eq!(directory.endpoints(at(6000)).count(), 2);
    directory.apply(at(6500), record("back", 4, Some(endpoint("model", 1, None))));
    let remaining: Vec<_> =
        directory.endpoints(at(7300)).map(|(id, _)| id.as_str().to_owned()).collect();
    assert_eq!(remaining, ["back"]);
    assert!(directory.get(at(7300), &"gone".into()).is_none());
}

#[test]
fn retries_follow_kind_and_outcome() {
    use AttemptOutcome::{Failed, NotRun, Unknown};
    let resumable = RouteKind::Stream { resumable: true };
    let not_resumable = RouteKind::Stream { resumable: false };
    let counted = RetryVerdict::SendAgain { counted: true };
    let uncounted = RetryVerdict::SendAgain { counted: false };
    let cases = [
        (RouteKind::NonIdempotent, 1, Unknown(UnknownReason::Reset), RetryVerdict::FailMayHaveRun),
        (RouteKind::NonIdempotent, 1, NotRun(NotRunReason::Full), counted),
        (RouteKind::NonIdempotent, 1, NotRun(NotRunReason::Unreachable), uncounted),
        (RouteKind::NonIdempotent, 3, Failed, RetryVerdict::FailMayHaveRun),
        (not_resumable, 2, Unknown(UnknownReason::Silent), RetryVerdict::FailMayHaveRun),
        (resumable, 2, Unknown(UnknownReason::Silent), counted),
        (resumable, 1, Unknown(UnknownReason::Silent), RetryVerdict::FailMayHaveRun),
        (RouteKind::Idempotent, 2, Failed, counted),
    ];
    for (kind, max_attempts, outcome, expected) in cases {
        let mut history = AttemptHistory::default();
        let verdict = history.record(kind, max_attempts, outcome);
        assert_eq!(verdict, expected, "{kind:?} {max_attempts} {outcome:?}");
    }
}

/// Guards against a request that is sent on without limit when all endpoints are full.
#[test]
fn request_is_retried_three_times_after_full_endpoints() {
    let mut history = AttemptHistory::default();
    let full = AttemptOutcome::NotRun(NotRunReason::Full);
    let verdicts: Vec<_> =
        (0..4).map(|_| history.record(RouteKind::NonIdempotent, 1, full)).collect();
    assert_eq!(verdicts[2], RetryVerdict::SendAgain { counted: true });
    assert_eq!(verdicts[3], RetryVerdict::RefuseNotRun);
}

/// Guards against retries that exceed the limit in sum, although each entry stays within its own
/// share.
#[test]
fn retries_of_all_entries_stay_within_budget() {
    let limits =
        BudgetLimits { retry_percent: 20, retry_allowance: 100, window: Duration::from_secs(10) };
    for entries in [1_u32, 3, 5, 14] {
        let mut total = 0;
        for _ in 0..entries {
            let mut budget = RetryBudget::new(limits);
            let name = service("plain");
            for request in 0..200_u64 {
                budget.count_request(at(request * 40), &name);
            }
            while budget.try_retry(at(8000), &name, entries) {
                total += 1;
            }
        }
        let allowed = f64::from(entries) * 200.0 * 0.2 + 100.0;
        assert!(f64::from(total) <= allowed, "{entries} entries: {total} of {allowed}");
        assert!(f64::from(total) >= allowed * 0.5, "{entries} entries: {total} of {allowed}");
    }
}

#[test]
fn budget_recovers_after_window() {
    let limits =
        BudgetLimits { retry_percent: 20, retry_allowance: 10, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::new(limits);
    let name = service("plain");
    while budget.try_retry(at(0), &name, 1) {}
    assert!(!budget.try_retry(at(9000), &name, 1));
    assert!(budget.try_retry(at(11_000), &name, 1));
}

/// Guards against requests to endpoints that no longer exist. After a power loss each endpoint
/// starts under a new id at its old address, while the old registration stays valid for seconds.
/// Requests to the old ids were answered with 421 (1,500 in 3 s) and used up the retry budget.
#[test]
fn later_endpoint_at_address_replaces_earlier_one() {
    let start = |started_at_ms| ListedEndpoint { started_at_ms, ..endpoint("model", 1, Some(1)) };
    let ids = |directory: &EndpointDirectory| -> Vec<String> {
        directory.endpoints(at(0)).map(|(id, _)| id.to_string()).collect()
    };
    let mut directory = EndpointDirectory::default();
    directory.apply(at(0), record("old", 1, Some(start(1000))));
    directory.apply(at(0), record("new", 2, Some(start(9000))));
    assert_eq!(ids(&directory), ["new"]);
    // A late record of the earlier endpoint has no effect, nor has an endpoint at another address.
    directory.apply(at(0), record("old", 3, Some(start(1000))));
    let other = ListedEndpoint { started_at_ms: 500, ..endpoint("model", 2, Some(1)) };
    directory.apply(at(0), record("other", 4, Some(other)));
    assert_eq!(ids(&directory), ["new", "other"]);
    // After the removal of the later endpoint, a third one is listed at the address.
    directory.apply(at(0), record("new", 5, None));
    directory.apply(at(0), record("third", 6, Some(start(12_000))));
    assert_eq!(ids(&directory), ["other", "third"]);
}

/// A request that crashes endpoints is quarantined after the third crash. Guards against a
/// quarantine of the requests that were in flight beside it.
#[test]
fn only_crashing_request_is_quarantined() {
    let mut quarantine = RequestQuarantine::default();
    let crashing = RequestFingerprint(1);
    for (crash, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        let now = at(crash as u64 * 2000);
        assert!(!quarantine.is_quarantined(now, crashing));
        quarantine.record_reset(now, &endpoint.into(), crashing);
        quarantine.record_reset(now, &endpoint.into(), RequestFingerprint(100 + crash as u64));
        quarantine.record_unreachable(now + ms(100), &endpoint.into());
    }
    assert!(quarantine.is_quarantined(at(5000), crashing));
    for neighbour in 100..103 {
        assert!(!quarantine.is_quarantined(at(5000), RequestFingerprint(neighbour)));
    }
    assert!(!quarantine.is_quarantined(at(70_000), crashing), "the quarantine ends");
}

/// Guards against counting a broken connection as a crash although the endpoint is still reachable.
#[test]
fn reset_without_unreachable_endpoint_is_no_crash() {
    let mut quarantine = RequestQuarantine::default();
    for reset in 0..10 {
        quarantine.record_reset(at(reset * 100), &"a".into(), RequestFingerprint(1));
    }
    assert!(!quarantine.is_quarantined(at(1000), RequestFingerprint(1)));
}

/// Guards against the lasting quarantine of a popular request: several equal requests are in flight
/// when one endpoint crashes. When each of them counted as a crash, an entry refused all bookings.
#[test]
fn equal_requests_in_one_crash_count_once() {
    let mut quarantine = RequestQuarantine::default();
    let popular = RequestFingerprint(1);
    for _ in 0..5 {
        quarantine.record_reset(at(0), &"a".into(), popular);
    }
    quarantine.record_unreachable(at(100), &"a".into());
    assert!(!quarantine.is_quarantined(at(100), popular));
    for (crash, endpoint) in ["b", "c"].into_iter().enumerate() {
        let now = at(200 + crash as u64);
        quarantine.record_reset(now, &endpoint.into(), popular);
        quarantine.record_unreachable(now, &endpoint.into());
    }
    assert!(quarantine.is_quarantined(at(300), popular), "quarantined after three crashes");
    assert!(!quarantine.is_quarantined(at(16_000), popular), "the quarantine ends");
}

#[test]
fn crashes_of_all_entries_add_up() {
    let mut quarantine = RequestQuarantine::default();
    let request = RequestFingerprint(7);
    for peer in ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"] {
        quarantine.apply_peer_crashes(at(0), peer, &BTreeMap::from([(request, 1)]));
    }
    assert!(quarantine.is_quarantined(at(10), request));
    quarantine.apply_peer_crashes(at(20), "10.0.0.2:7000", &BTreeMap::new());
    assert!(!quarantine.is_quarantined(at(20), request), "the entry withdrew its crash count");
}

/// Guards against the quarantine of a request that many callers send, and that is therefore in
/// flight at every crash. It is answered again and again, whereas a request that crashes every
/// endpoint is never answered.
#[test]
fn answered_request_is_not_quarantined() {
    let mut quarantine = RequestQuarantine::default();
    let popular = RequestFingerprint(1);
    quarantine.record_answer(at(0), popular);
    for (crash, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        let now = at(200 + crash as u64);
        quarantine.record_reset(now, &endpoint.into(), popular);
        quarantine.record_unreachable(now, &endpoint.into());
    }
    let reported = BTreeMap::from([(popular, 3)]);
    quarantine.apply_peer_crashes(at(300), "10.0.0.1:7000", &reported);
    assert!(!quarantine.is_quarantined(at(300), popular));
    assert!(
        quarantine.own_crashes().next().is_none(),
        "crashes of an answered request are not reported"
    );
    // The answer expires, so that a request that crashes endpoints only with newer weights is
    // quarantined.
    quarantine.apply_peer_crashes(at(40_000), "10.0.0.1:7000", &BTreeMap::from([(popular, 4)]));
    assert!(quarantine.is_quarantined(at(40_000), popular));
}

fn route(prefix: &str, anonymous: bool) -> RouteRule {
    RouteRule {
        name: prefix.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: ms(1000),
        target_latency: ms(100),
        target_gap: Duration::ZERO,
        rank: 1,
        targets: vec![SplitTarget { service: service("plain"), weight: SplitWeight(1) }],
        max_attempts: 2,
        anonymous,
    }
}

#[test]
fn routes_are_chosen_by_host_and_longest_prefix() {
    let mut snapshot = RoutingSnapshot::default();
    let routes = vec![route("/a/", false), route("/a/b/", true)];
    snapshot.hosts.insert("shop.example".to_owned(), routes);
    let team = TeamProfile { name: TeamLabel::try_from("growers").unwrap(), rank: None };
    snapshot.teams.insert("key-1".to_owned(), team);
    snapshot.keys_required = true;
    let cases = [
        ("shop.example", "/a/x", Some("key-1"), Ok("/a/")),
        ("SHOP.example:8080", "/a/b/x", None, Ok("/a/b/")),
        ("shop.example", "/a/x", None, Err(RouteDenial::UnknownKey)),
        ("shop.example", "/a/x", Some("key-2"), Err(RouteDenial::UnknownKey)),
        ("shop.example", "/c/", Some("key-1"), Err(RouteDenial::NoRoute)),
        ("other.example", "/a/x", Some("key-1"), Err(RouteDenial::NoRoute)),
    ];
    for (host, path, key, expected) in cases {
        let granted = snapshot.authorize(host, path, key);
        let granted = granted.map(|grant| grant.route.path_prefix.as_str());
        assert_eq!(granted, expected, "{host} {path} {key:?}");
    }
}

/// Guards against a denial of requests that a part of the configuration that can't be read may allow,
/// and against requests without a key on routes that need one.
#[test]
fn requests_are_not_denied_for_unread_parts() {
    let mut snapshot = RoutingSnapshot { keys_required: true, ..RoutingSnapshot::default() };
    snapshot.hosts.insert("shop.example".to_owned(), vec![route("/a/", false)]);
    let denials = |snapshot: &RoutingSnapshot| {
        [("/a/x", Some("key-9")), ("/a/x", None), ("/b/", None)]
            .map(|(path, key)| snapshot.authorize("shop.example", path, key).unwrap_err())
    };
    let (no_route, key, unreadable) =
        (RouteDenial::NoRoute, RouteDenial::UnknownKey, RouteDenial::Unreadable);
    assert_eq!(denials(&snapshot), [key, key, no_route]);
    snapshot.unreadable.routes.push(UnreadableRoute::default());
    assert_eq!(denials(&snapshot), [key, key, unreadable]);
    snapshot.unreadable = UnreadableParts { routes: Vec::new(), teams: true };
    assert_eq!(denials(&snapshot), [unreadable, key, no_route]);
}

/// A request of a route that can't be read ran at the service of a shorter prefix.
#[test]
fn unreadable_route_loses_its_requests_to_a_shorter_prefix() {
    let mut snapshot = RoutingSnapshot::default();
    for host in ["shop.example", "desk.example"] {
        snapshot.hosts.insert(host.to_owned(), vec![route("/", true), route("/pay/card/", true)]);
    }
    let route = |host: Option<&str>, prefix: Option<&str>| UnreadableRoute {
        host: host.map(str::to_owned),
        path_prefix: prefix.map(str::to_owned),
    };
    // Whether requests are refused: at the host of the route, and at another one.
    let cases = [
        (route(None, None), [false, false, false], [false, false, false]),
        (route(None, Some("/pay/")), [false, true, false], [false, true, false]),
        (route(Some("shop.example"), None), [false, false, false], [false, false, false]),
        (route(Some("shop.example"), Some("/pay/")), [false, true, false], [false, false, false]),
    ];
    for (route, own, other) in cases {
        snapshot.unreadable.routes = vec![route.clone()];
        for (host, expected) in [("shop.example", own), ("desk.example", other)] {
            let refused = ["/a", "/pay/x", "/pay/card/x"].map(|path| {
                snapshot.authorize(host, path, None).err() == Some(RouteDenial::Unreadable)
            });
            assert_eq!(refused, expected, "{route:?} at {host}");
        }
    }
}

#[test]
fn split_routes_follow_weights() {
    let mut rule = route("/", true);
    rule.targets = vec![
        SplitTarget { service: service("plain"), weight: SplitWeight(90) },
        SplitTarget { service: service("model"), weight: SplitWeight(10) },
    ];
    let model_requests =
        (0..1000).filter(|draw| rule.pick_service(*draw) == Some(&service("model"))).count();
    assert_eq!(model_requests, 100);
    rule.targets.clear();
    assert_eq!(rule.pick_service(1), None);
}

/// Guards against a timing estimate that attracts requests to a busier engine.
#[test]
fn first_token_time_grows_with_load() {
    fn property(running: u8, unread: u16, prompt: u16) -> bool {
        let timing = EngineTiming::from(&engine_profile(16));
        let load = PeerLoad { running: u32::from(running % 64), unread_tokens: u32::from(unread) };
        let higher_load =
            PeerLoad { running: load.running + 1, unread_tokens: load.unread_tokens + 500 };
        let prompt = u32::from(prompt);
        timing.first_token_time(load, prompt) <= timing.first_token_time(higher_load, prompt)
    }
    quickcheck::quickcheck(property as fn(u8, u16, u16) -> bool);
}

#[test]
fn retry_delays_are_spread_over_time() {
    let delay = |random| retry_after(RefusalReason::Overload, Duration::from_secs(6), random);
    let delays: Vec<Duration> = (0..1024).map(delay).collect();
    let shortest = delays.iter().min().copied().unwrap();
    let longest = delays.iter().max().copied().unwrap();
    assert!(longest - shortest >= Duration::from_secs(1), "{shortest:?} to {longest:?}");
    assert!(MonoTime(shortest) > MonoTime::ZERO);
}

/// Guards against first attempts that count as caller retries. Callers state limits between 85% and
/// 100% of the route's time limit. When such requests counted as retries, 70% of the streams were
/// queued behind the others and answered late.
#[test]
fn first_attempts_with_short_limits_are_no_caller_retries() {
    let timeout = ms(6000);
    let cases = [
        (None, false),
        (Some(ms(6000)), false),
        (Some(ms(5500)), false),
        (Some(ms(5100)), false),
        (Some(ms(4900)), true),
        (Some(ms(3000)), true),
    ];
    for (limit, expected) in cases {
        assert_eq!(is_caller_retry(limit, timeout), expected, "{limit:?}");
    }
}
