//! Encoding of the datagrams between entries.

use std::time::Duration;

use celeryshed_dispatch::{CrashNotice, EndpointHash, GuardReport, PartId, PromptPart, Suspicion};
use celeryshed_peering::{CrashReport, EntryStatus, PeerMessage};
use serde::Deserialize;

/// The messages between entries that earlier builds know.
#[derive(Debug, Deserialize)]
enum EarlierMessage {
    #[expect(dead_code, reason = "only decoded")]
    Load(EntryStatus),
}

fn report() -> GuardReport {
    let part = |id, position| PromptPart { id: PartId(id), position };
    let suspects = vec![
        (part(7, 1), Suspicion::New),
        (part(8, 0), Suspicion::Answered),
        (part(9, 2), Suspicion::Cleared),
    ];
    let age = Duration::from_millis(1500);
    GuardReport { crashes: vec![CrashNotice { endpoint: EndpointHash(5), age, suspects }] }
}

#[test]
fn crash_report_is_decoded_as_sent() {
    let message = PeerMessage::Crashes(CrashReport::from(&report()));
    let bytes = rmp_serde::to_vec(&message).unwrap();
    let PeerMessage::Crashes(decoded) = rmp_serde::from_slice(&bytes).unwrap() else {
        panic!("another message")
    };
    assert_eq!(GuardReport::from(&decoded), report());
}

/// Guards against crash reports inside a message that earlier builds need.
#[test]
fn earlier_build_skips_crash_report() {
    let bytes = rmp_serde::to_vec(&PeerMessage::Crashes(CrashReport::from(&report()))).unwrap();
    assert!(rmp_serde::from_slice::<EarlierMessage>(&bytes).is_err());
    let status = EntryStatus {
        position: Default::default(),
        zone: None,
        lifetime_ms: 1500,
        whole: true,
        loads: Vec::new(),
        crashes: Vec::new(),
        versions: Vec::new(),
    };
    let bytes = rmp_serde::to_vec(&PeerMessage::Load(status)).unwrap();
    assert!(rmp_serde::from_slice::<EarlierMessage>(&bytes).is_ok());
}

/// Guards against a report that is longer than a datagram.
#[test]
fn largest_crash_report_fits_into_a_datagram() {
    use celeryshed_base::MonoTime;
    use celeryshed_dispatch::{EndpointId, PeerAudience, PromptGuard};
    let mut guard = PromptGuard::default();
    let now = |millis| MonoTime::ZERO + Duration::from_millis(millis);
    for crash in 0..200_u64 {
        let id = EndpointId::from(format!("e{crash}").as_str());
        for request in 0..20 {
            let parts: Vec<PromptPart> = (0..16)
                .map(|position| {
                    let id = PartId(u64::MAX - (crash * 320 + request * 16 + u64::from(position)));
                    PromptPart { id, position }
                })
                .collect();
            guard.record_reset(now(crash * 100), &id, &parts);
        }
        guard.record_unreachable(now(crash * 100), &id);
    }
    let report = guard.report(now(20_000), PeerAudience::OwnRegion).unwrap();
    let bytes = rmp_serde::to_vec(&PeerMessage::Crashes(CrashReport::from(&report))).unwrap();
    assert!(bytes.len() < 32 * 1024, "{} bytes", bytes.len());
}
