//! Tests of endpoint choice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    AdapterName, AvailabilityZone, ContentDigest, InstanceName, MonoTime, RegionName, ServiceName,
};

use super::*;
use crate::admission::SlotClass;
use crate::admission::tests::check_property;
use crate::membership::{MemberState, MembershipView, SideMember};

fn instance(text: &str) -> InstanceName {
    InstanceName::try_from(text).unwrap()
}

fn at(milliseconds: u64) -> MonoTime {
    MonoTime(Duration::from_millis(milliseconds))
}

fn service() -> ServiceName {
    ServiceName::try_from("copywriter").unwrap()
}

fn side(zone: &str, region: &str) -> SideMember {
    SideMember {
        address: "127.0.0.1:1".to_owned(),
        incarnation: None,
        zone: AvailabilityZone::try_from(zone).unwrap(),
        region: RegionName::try_from(region).unwrap(),
        service: service(),
        state: MemberState::Live,
    }
}

fn view(count: usize) -> MembershipView {
    let places = [("a", "r"), ("b", "r"), ("c", "s"), ("c", "s")];
    let sides = (0..count).map(|number| {
        let (zone, region) = places[number.min(3)];
        (instance(&format!("e{number}")), side(zone, region))
    });
    MembershipView { entries: BTreeMap::new(), sides: sides.collect() }
}

fn options() -> RoutingOptions {
    let zone = AvailabilityZone::try_from("a").unwrap();
    RoutingOptions::new(instance("entry"), zone, RegionName::try_from("r").unwrap())
}

fn table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::new(options());
    table.sync(&view(count), None, at(0));
    for number in 0..count {
        report(&mut table, &format!("e{number}"), 0, 0, vec![], 0);
    }
    table
}

fn report(
    table: &mut EndpointTable,
    endpoint: &str,
    running: u32,
    queued_prompt_tokens: u64,
    prefixes: Vec<u64>,
    now: u64,
) {
    let load = EndpointLoad { slots: 4, running, waiting: 0, queued_prompt_tokens };
    let instance = instance(endpoint);
    table.apply_report(EndpointObservation { instance, version: None, load, prefixes }, at(now));
}

fn query(prompt_tokens: u64) -> RoutingQuery {
    RoutingQuery {
        service: service(),
        version: None,
        adapter: None,
        prompt_tokens,
        prefixes: Vec::new(),
        seed: 1,
        class: SlotClass::BestEffort,
        may_displace: false,
        reserves_headroom: false,
        excluded: BTreeSet::new(),
    }
}

fn chosen(table: &mut EndpointTable, query: &RoutingQuery, now: u64) -> String {
    match table.choose(query, at(now)) {
        RoutingDecision::Endpoint(choice) => choice.instance.to_string(),
        RoutingDecision::Full => "full".to_owned(),
        RoutingDecision::NoEndpoint => "none".to_owned(),
    }
}

/// Guards against changed routing decisions: each line of the recorded trace is an event, or a
/// request with its expected choice.
#[test]
fn recorded_trace_has_expected_choices() {
    let trace = include_str!("../../fixtures/routing/mixed_load.trace");
    let mut table = table(4);
    for (number, line) in trace.lines().enumerate().filter(|(_, line)| !line.starts_with('#')) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let value = |key: &str| fields.iter().find_map(|field| field.strip_prefix(key));
        let integer = |key: &str| value(key).map_or(0, |text| text.parse::<u64>().unwrap());
        let now = fields[0].parse().unwrap();
        match fields[1] {
            "report" => {
                let prefixes = value("prefix=").map(|text| text.parse().unwrap());
                let (running, queued) = (integer("running=") as u32, integer("queued="));
                let prefixes = prefixes.into_iter().collect();
                report(&mut table, fields[2], running, queued, prefixes, now);
            }
            "fail" => {
                let id = table.begin_dispatch(&instance(fields[2]), &query(0), at(now));
                table.record_failure(&id, at(now));
            }
            kind => {
                let contracted = kind == "contracted";
                let class = if contracted { SlotClass::Contracted } else { SlotClass::BestEffort };
                let mut query = query(integer("tokens="));
                (query.class, query.may_displace) = (class, contracted);
                if let Some(hash) = value("prefix=") {
                    let hash = hash.parse().unwrap();
                    query.prefixes = vec![PromptPrefix { hash, tokens: query.prompt_tokens }];
                }
                let choice = chosen(&mut table, &query, now);
                assert_eq!(Some(&*choice), value("choice="), "line {}: {line}", number + 1);
                if let Some(endpoint) = choice.strip_prefix('e') {
                    table.begin_dispatch(&instance(&format!("e{endpoint}")), &query, at(now));
                }
            }
        }
    }
}

/// Guards against a service without usable endpoints: even if every endpoint fails, at most a third
/// of them is ejected.
#[test]
fn ejects_at_most_a_third_of_a_service() {
    let mut table = table(10);
    for round in 0..20 {
        for number in 0..10 {
            let id = table.begin_dispatch(&instance(&format!("e{number}")), &query(0), at(round));
            table.record_failure(&id, at(round));
        }
    }
    assert_eq!(table.ejected(&service(), at(20)).len(), 3);
    assert_ne!(chosen(&mut table, &query(0), 20), "none");
}

/// Guards against an endpoint that stays unused after its ejection has ended.
#[test]
fn ejected_endpoint_returns() {
    let mut table = table(3);
    for _ in 0..3 {
        let id = table.begin_dispatch(&instance("e0"), &query(0), at(1000));
        table.record_failure(&id, at(1000));
    }
    assert_ne!(chosen(&mut table, &query(0), 1500), "e0");
    assert_eq!(chosen(&mut table, &query(0), 9000), "e0");
}

/// Guards against a request at an endpoint with another version, and against needless loads of an
/// adapter that another endpoint has loaded.
#[test]
fn versions_and_loaded_adapters_are_respected() {
    let mut table = table(3);
    let (old, new) = (ContentDigest::of(b"old"), ContentDigest::of(b"new"));
    for (endpoint, version) in [("e0", new), ("e1", new), ("e2", old)] {
        let id = table.begin_dispatch(&instance(endpoint), &query(0), at(1));
        table.record_first_token(&id, version);
        table.record_success(&id, None);
    }
    let pinned = RoutingQuery { version: Some(old), ..query(100) };
    assert_eq!(chosen(&mut table, &pinned, 2), "e2");
    let excluded = BTreeSet::from([instance("e2")]);
    assert_eq!(chosen(&mut table, &RoutingQuery { excluded, ..pinned }, 2), "none");
    let adapter = Some(AdapterName::try_from("spring").unwrap());
    let id = table.begin_dispatch(&instance("e1"), &query(0), at(3));
    table.record_success(&id, adapter.as_ref());
    assert_eq!(chosen(&mut table, &RoutingQuery { adapter, ..query(100) }, 4), "e1");
}

/// Guards against a new endpoint that gets all of its slots filled at once.
#[test]
fn new_endpoint_starts_slowly() {
    let mut table = table(2);
    table.sync(&view(3), None, at(1000));
    report(&mut table, "e2", 0, 0, vec![], 1000);
    let concurrent_requests = |table: &mut EndpointTable, now: u64| {
        let excluded = BTreeSet::from([instance("e0"), instance("e1")]);
        let only_new = RoutingQuery { excluded, ..query(10) };
        let mut ids = Vec::new();
        while chosen(table, &only_new, now) == "e2" {
            ids.push(table.begin_dispatch(&instance("e2"), &only_new, at(now)));
        }
        ids.iter().for_each(|id| table.end_dispatch(id));
        ids.len()
    };
    assert_eq!(concurrent_requests(&mut table, 1000), 1);
    assert_eq!(concurrent_requests(&mut table, 6000), 2);
    assert_eq!(concurrent_requests(&mut table, 11_000), 4);
}

/// Guards against an entry that sends requests to all of many endpoints, and against one that finds
/// no free slot because its preferred 20 are full.
#[test]
fn prefers_its_subset_until_full() {
    let mut table = table(60);
    let mut used = BTreeSet::new();
    for number in 0..100 {
        let query = RoutingQuery { seed: number, ..query(0) };
        let choice = chosen(&mut table, &query, 1);
        used.insert(choice.clone());
        table.begin_dispatch(&instance(&choice), &query, at(1));
        if number == 79 {
            assert_eq!(used.len(), 20);
        }
    }
    assert!(used.len() > 20);
}

/// Guards against choices that differ for equal tables and against excluded or full endpoints, for
/// random loads.
#[test]
fn choices_are_deterministic_and_allowed() {
    fn property(loads: Vec<(u8, u16)>, seed: u64, excluded: u8) -> bool {
        let count = loads.len().min(30);
        let mut table = table(count);
        for (number, (running, queued)) in loads.iter().take(count).enumerate() {
            let endpoint = format!("e{number}");
            report(&mut table, &endpoint, u32::from(running % 6), u64::from(*queued), vec![], 0);
        }
        let excluded = BTreeSet::from([instance(&format!("e{excluded}"))]);
        let query = RoutingQuery { seed, excluded: excluded.clone(), ..query(500) };
        let choice = chosen(&mut table.clone(), &query, 1);
        let free = |(number, (running, _)): (usize, &(u8, u16))| {
            running % 6 < 4 && !excluded.contains(&instance(&format!("e{number}")))
        };
        let any_free = loads.iter().take(count).enumerate().any(free);
        choice == chosen(&mut table, &query, 1)
            && !excluded.iter().any(|instance| instance.as_str() == choice)
            && any_free == choice.starts_with('e')
    }
    check_property(property as fn(Vec<(u8, u16)>, u64, u8) -> bool);
}

/// Guards against requests that still count as load after their end when no report arrives.
#[test]
fn ended_requests_leave_no_load() {
    let mut table = table(1);
    for _ in 0..1000 {
        let id = table.begin_dispatch(&instance("e0"), &query(100), at(1));
        table.end_dispatch(&id);
    }
    let RoutingDecision::Endpoint(choice) = table.choose(&query(0), at(2)) else { panic!("full") };
    assert_eq!(choice.expected_us, 0);
}
