//! Conversions of configuration records between wire and core.

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

fn read_back(payload: Vec<u8>) -> LogRecord {
    let (offset, appended_at) = (LogOffset(10), UnixMillis(11));
    PositionedRecord::from(&LogEntry { offset, appended_at, payload: payload.into() }).record
}

/// Guards against a field that gets lost on its way through the log or to a peer.
#[test]
fn state_survives_the_round_trip() {
    let snapshot = ConfigurationSnapshot::from(&state());
    for (entry, expected) in [
        (ConfigurationEntry::Snapshot(snapshot.clone()), LogRecord::Snapshot(state())),
        (ConfigurationEntry::Restart(snapshot), LogRecord::Restart(state())),
    ] {
        assert_eq!(read_back(encode(&entry).unwrap().into()), expected);
    }
}

/// Guards against a record that some readers skip and others stop at: bytes and names that have no
/// checked form become malformed records, with the record's id where it can be read.
#[test]
fn unreadable_records_become_malformed_ones() {
    let garbage = read_back(b"\xc1 no MessagePack".to_vec());
    assert!(matches!(garbage, LogRecord::Malformed { record_id: None, .. }), "{garbage:?}");

    let mut terms = ContractSpec::from(contract(ScarcityPolicy::Refuse, false));
    terms.displaces.push("no name".to_owned());
    let record_id = RecordId::from_u128(1);
    let change = ConfigurationChange::PutContract { team: team("a"), terms };
    let record = ConfigurationRecord { record_id, base_revision: ConfigRevision(0), change };
    let record = read_back(encode(&ConfigurationEntry::Change(record)).unwrap().into());
    let LogRecord::Malformed { record_id: Some(found), reason } = record else {
        panic!("{record:?}");
    };
    assert_eq!(found, record_id);
    assert!(reason.contains("no name"), "{reason}");
}
