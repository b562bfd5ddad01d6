//! Tests of the conversions between configuration records and the types of the core.

use std::time::Duration;

use celeryshed_base::{
    ByteCount, ConfigRevision, ContentDigest, LogOffset, ModelName, RecordId, ServiceName,
    TeamName, TokenCount, TokenRate, UnixMillis, VersionName,
};
use celeryshed_core::configuration::{
    ConfigurationState, EndpointKind, LogRecord, ModelVersion, PositionedRecord, ScarcityPolicy,
    ServiceDefinition, TeamContract,
};
use celeryshed_wire::{
    ConfigurationChange, ConfigurationEntry, ConfigurationRecord, ConfigurationSnapshot,
    ContractSpec, LogEntry, encode,
};

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).unwrap()
}

fn contract(scarcity: ScarcityPolicy, displaces_uncontracted: bool) -> TeamContract {
    TeamContract {
        api_key_hash: ContentDigest::of(b"key"),
        service: service("drafter"),
        token_rate: TokenRate(1),
        requests_in_progress: 2,
        burst: TokenCount(3),
        displaces: [team("b"), team("c")].into(),
        displaces_uncontracted,
        scarcity,
        retry_budget_percent: 4,
        first_token: Duration::from_millis(5),
        objective_basis_points: 6,
    }
}

fn state() -> ConfigurationState {
    let wait = ScarcityPolicy::Wait(Duration::from_millis(1_500));
    let smaller = ScarcityPolicy::SmallerModel(service("small"));
    let version = VersionName::try_from("v1").unwrap();
    let definition = |kind, version| ServiceDefinition {
        kind,
        endpoints: 1,
        slots_per_endpoint: 2,
        tokens_per_endpoint: TokenRate(3),
        version,
    };
    let model = ModelVersion {
        model: ModelName::try_from("m").unwrap(),
        manifest: ContentDigest::of(b"manifest"),
        size: ByteCount(7),
    };
    ConfigurationState {
        revision: ConfigRevision(8),
        folded_to: LogOffset(9),
        services: [
            (service("drafter"), definition(EndpointKind::Engine, Some(version.clone()))),
            (service("orders"), definition(EndpointKind::Plain, None)),
        ]
        .into(),
        contracts: [
            (team("a"), contract(wait, true)),
            (team("b"), contract(smaller, false)),
            (team("c"), contract(ScarcityPolicy::Refuse, true)),
        ]
        .into(),
        versions: [(version, model)].into(),
    }
}

fn decode_record(payload: Vec<u8>) -> LogRecord {
    let (offset, appended_at) = (LogOffset(10), UnixMillis(11));
    PositionedRecord::from(&LogEntry { offset, appended_at, payload: payload.into() }).record
}

/// Guards against a conversion that drops or changes a field of the configuration state.
#[test]
fn state_is_unchanged_by_a_round_trip() {
    let snapshot = ConfigurationSnapshot::from(&state());
    for (entry, expected) in [
        (ConfigurationEntry::Snapshot(snapshot.clone()), LogRecord::Snapshot(state())),
        (ConfigurationEntry::Restart(snapshot), LogRecord::Restart(state())),
    ] {
        assert_eq!(decode_record(encode(&entry).unwrap().into()), expected);
    }
}

/// Guards against readers that disagree about an invalid record, some skipping it and others
/// stopping. Undecodable payloads and invalid names must become malformed records, which carry the
/// record's id if it can be decoded.
#[test]
fn invalid_records_become_malformed() {
    let garbage = decode_record(b"\xc1 no MessagePack".to_vec());
    assert!(matches!(garbage, LogRecord::Malformed { record_id: None, .. }), "{garbage:?}");

    let mut terms = ContractSpec::from(contract(ScarcityPolicy::Refuse, false));
    terms.displaces.push("no name".to_owned());
    let record_id = RecordId::from_u128(1);
    let change = ConfigurationChange::PutContract { team: team("a"), terms };
    let record = ConfigurationRecord { record_id, base_revision: ConfigRevision(0), change };
    let record = decode_record(encode(&ConfigurationEntry::Change(record)).unwrap().into());
    let LogRecord::Malformed { record_id: Some(found), reason } = record else {
        panic!("{record:?}");
    };
    assert_eq!(found, record_id);
    assert!(reason.contains("no name"), "{reason}");
}
