//! Forms of reports on the wire.

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

/// Guards against a field that the short names confuse with another one.
#[test]
fn report_is_read_as_it_was_sent() {
    for live_version in [None, Some(ContentDigest::of(b"version"))] {
        let sent = report(live_version);
        assert_eq!(decode::<EndpointReport>(&encode(&sent).unwrap()).unwrap(), sent);
    }
}

/// Guards against a digest as text in every report: it may add its raw size, its length and what
/// "none" takes less.
#[test]
fn live_version_takes_its_raw_size() {
    let size = |live_version| encode(&report(live_version)).unwrap().len();
    assert!(size(Some(ContentDigest::of(b"version"))) <= size(None) + 32 + 1);
}
