//! Test fixtures: a dispatcher with settings, endpoints and requests.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, LogOffset, LogPosition, ModelName, MonoTime, RegionName, ServiceName,
    StoreEra,
};
use celeryshed_dispatch::*;

pub(crate) const MODEL: &str = "letters";

/// Longest pause that an endpoint may ask for.
pub(crate) const MAX_PAUSE: Duration = Duration::from_secs(12);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime(ms(millis))
}

pub(crate) fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::try_from(name).unwrap()
}

pub(crate) fn region(name: &str) -> RegionName {
    RegionName::try_from(name).unwrap()
}

pub(crate) fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

pub(crate) fn engine_profile(slots: u32) -> EngineProfile {
    EngineProfile {
        slots,
        step_us: 6730,
        step_per_request_us: 22,
        step_per_context_token_ns: 7,
        read_per_s: 30_600,
        read_per_kilopair_ns: 647,
        read_chunk: 2048,
        pass_steps: 6,
        mean_answer_tokens: 119,
        mean_prompt_tokens: 964,
        models: vec![ModelName::try_from(MODEL).unwrap()],
        piece_count: 96,
        piece_bytes: 24_576,
    }
}

pub(crate) fn dispatcher() -> EntryDispatcher {
    let mut dispatcher = unconfigured_dispatcher();
    configure(&mut dispatcher);
    dispatcher
}

/// A dispatcher that has no configuration yet.
pub(crate) fn unconfigured_dispatcher() -> EntryDispatcher {
    let regions = [("north-a", "north"), ("south-a", "south")];
    let regions = regions
        .iter()
        .map(|(zone_name, region_name)| (zone(zone_name), region(region_name)))
        .collect();
    let budget =
        BudgetLimits { retry_percent: 20, retry_allowance: 100, window: Duration::from_secs(10) };
    let versions = VersionDeadlines {
        after_declaration: Duration::from_secs(8),
        after_start: Duration::from_secs(3),
    };
    EntryDispatcher::new(DispatcherSettings {
        zone: zone("north-a"),
        regions,
        budget,
        versions,
        notices: NoticeLimits { max_pause: MAX_PAUSE },
    })
}

/// Applies a configuration with an engine service and a plain one.
pub(crate) fn configure(dispatcher: &mut EntryDispatcher) {
    let mut snapshot = RoutingSnapshot::default();
    let engine = Some(engine_profile(16));
    snapshot.services.insert(service("model"), ServiceProfile { engine, origin: None });
    snapshot.services.insert(service("plain"), ServiceProfile { engine: None, origin: None });
    dispatcher.set_configuration(&snapshot);
}

pub(crate) fn endpoint(service_name: &str, index: u32, version: Option<u64>) -> ListedEndpoint {
    ListedEndpoint {
        service: service(service_name),
        address: format!("10.0.0.{index}:8000"),
        zone: zone("north-a"),
        slots: if service_name == "model" { 16 } else { 6 },
        state: EndpointState::Ready,
        models: version.map(|version| (MODEL.to_owned(), version)).into_iter().collect(),
        started_at_ms: 1,
        seq_no: None,
    }
}

pub(crate) fn record(id: &str, offset: u64, endpoint: Option<ListedEndpoint>) -> DirectoryRecord {
    let position = LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap();
    DirectoryRecord { id: EndpointId::from(id), position, endpoint }
}

/// Adds an endpoint to the dispatcher's directory with a record at `offset`.
pub(crate) fn add_endpoint(
    dispatcher: &mut EntryDispatcher,
    id: &str,
    offset: u64,
    endpoint: ListedEndpoint,
) {
    dispatcher.directory_mut().apply(at(0), record(id, offset, Some(endpoint)));
    dispatcher.sync_directory(at(0));
}

pub(crate) fn stream(arrived_at: MonoTime) -> RequestProfile {
    RequestProfile {
        service: service("model"),
        kind: RouteKind::Stream { resumable: true },
        model: Some(MODEL.to_owned()),
        prompt_tokens: 1000,
        answer_tokens: None,
        arrived_at,
        deadline: arrived_at + ms(6000),
        target_latency: ms(400),
        rank: 1,
        caller_retry: false,
        version: None,
    }
}

/// Submits a request and returns the decisions that the dispatcher takes at `now`.
pub(crate) fn submit(
    dispatcher: &mut EntryDispatcher,
    now: MonoTime,
    number: u64,
    profile: RequestProfile,
) -> Vec<DispatchDecision> {
    dispatcher.submit(now, RequestNumber(number), profile, Default::default());
    dispatcher.dispatch_waiting(now, number)
}

/// The endpoint of the only decision; `None` if that isn't a placement.
pub(crate) fn placed(decisions: &[DispatchDecision]) -> Option<&str> {
    match decisions {
        [DispatchDecision::Place { target, .. }] => Some(target.id.as_str()),
        _ => None,
    }
}

/// The reason of the only decision; `None` if that isn't a refusal.
pub(crate) fn refused(decisions: &[DispatchDecision]) -> Option<RefusalReason> {
    match decisions {
        [DispatchDecision::Refuse { reason, .. }] => Some(*reason),
        _ => None,
    }
}

/// A load report from endpoint ids, running requests and unread prompt tokens.
pub(crate) fn peer_loads(entries: &[(&str, u32, u32)]) -> BTreeMap<EndpointHash, PeerLoad> {
    entries
        .iter()
        .map(|(id, running, unread_tokens)| {
            let load = PeerLoad { running: *running, unread_tokens: *unread_tokens };
            (EndpointHash::from(&EndpointId::from(*id)), load)
        })
        .collect()
}

/// Applies a whole load report of a peer that counts for 1.5 s.
pub(crate) fn report_load(
    dispatcher: &mut EntryDispatcher,
    now: MonoTime,
    peer: &PeerAddress,
    loads: &BTreeMap<EndpointHash, PeerLoad>,
) {
    let loads = loads.clone();
    let report = LoadReport { scope: LoadScope::Whole, loads, lifetime: ms(1500), zone: None };
    dispatcher.apply_peer_load(now, peer, &report);
}
