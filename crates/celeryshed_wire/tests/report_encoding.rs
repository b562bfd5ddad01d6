//! Tests of the encoding of endpoint reports.

use celeryshed_base::{
    AvailabilityZone, ContentDigest, InstanceName, ProcessIncarnation, RegionName, ServiceName,
};
use celeryshed_wire::{EndpointReport, EndpointState, LoadReport, decode, encode};

fn report(live_version: Option<ContentDigest>) -> EndpointReport {
    EndpointReport {
        instance: InstanceName::try_from("copywriter-600").unwrap(),
        incarnation: ProcessIncarnation::random(),
        address: "10.128.200.100:8080".to_owned(),
        zone: AvailabilityZone::try_from("kagoshima-a").unwrap(),
        region: RegionName::try_from("kagoshima").unwrap(),
        service: ServiceName::try_from("copywriter").unwrap(),
        state: EndpointState::Leaving,
        live_version,
        load: LoadReport { slots: 16, running: 3, ..LoadReport::default() },
        prefixes: vec![1, u64::MAX],
        revision: None,
    }
}

/// Guards against two fields that share a short name, so that one overwrites the other.
#[test]
fn report_is_unchanged_by_a_round_trip() {
    for live_version in [None, Some(ContentDigest::of(b"version"))] {
        let sent = report(live_version);
        assert_eq!(decode::<EndpointReport>(&encode(&sent).unwrap()).unwrap(), sent);
    }
}

/// Guards against digests sent as text, which would nearly double their size in every report. A
/// 32-byte digest may add 33 bytes: its type and length take 2 bytes, the replaced `nil` 1 byte.
#[test]
fn live_version_is_encoded_as_raw_bytes() {
    let size = |live_version| encode(&report(live_version)).unwrap().len();
    assert!(size(Some(ContentDigest::of(b"version"))) <= size(None) + 32 + 1);
}
