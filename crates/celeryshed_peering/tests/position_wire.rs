//! Positions in messages, as builds that know only offsets write and read them.

use bytes::Bytes;
use celeryshed_base::{AvailabilityZone, LogOffset, LogPosition, StoreEra};
use celeryshed_peering::{
    ControlBatch, ControlLog, ControlPosition, ControlRecord, ControlReply, ControlStream,
    EntryHeartbeat, PeerMessage, parse_control_query,
};

fn at(era: u64, offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::try_from(era).unwrap(), LogOffset(offset)).unwrap()
}

/// A heartbeat of address `a` in zone `z`; both builds write it as an array of fixed length.
fn heartbeat_bytes(position: &[u8]) -> Vec<u8> {
    let mut bytes = b"\x81\xa5Hello\x94\xa1a\xa1z\x92".to_vec();
    bytes.extend_from_slice(position);
    bytes.extend_from_slice(b"\xcd\x05\xdc");
    bytes
}

fn heartbeat(position: ControlPosition) -> PeerMessage {
    let zone = AvailabilityZone::try_from("z").unwrap();
    PeerMessage::Hello(EntryHeartbeat { entry: "a".to_owned(), zone, position, lifetime_ms: 1500 })
}

/// Guards against datagrams that builds with plain offsets reject, or whose order they invert.
#[test]
fn positions_travel_as_integers_in_datagrams() {
    let cases: [(ControlPosition, &[u8]); 2] = [
        (ControlPosition { operator: at(0, 7), endpoints: at(0, 300) }, b"\x07\xcd\x01\x2c"),
        (
            ControlPosition { operator: at(1, 4).with_advance(2), endpoints: at(3, 1) },
            b"\xcf\x00\x04\x00\x00\x00\x01\x00\x02\xcf\x00\x0c\x00\x00\x00\x00\x40\x00",
        ),
    ];
    for (position, encoded) in cases {
        let message = heartbeat(position);
        assert_eq!(rmp_serde::to_vec(&message).unwrap(), heartbeat_bytes(encoded));
        let decoded: PeerMessage = rmp_serde::from_slice(&heartbeat_bytes(encoded)).unwrap();
        assert_eq!(decoded, message);
    }
    let invalid = heartbeat_bytes(b"\xcf\x00\x02\x00\x00\x00\x00\x00\x00\x00");
    assert!(rmp_serde::from_slice::<PeerMessage>(&invalid).is_err());
}

/// Guards against records of a restored store that a build with plain offsets takes for old ones.
#[test]
fn positions_travel_as_integers_in_replies() {
    for (position, encoded) in
        [(at(0, 3), &b"\x03"[..]), (at(1, 3), b"\xcf\x00\x04\x00\x00\x00\x00\xc0\x00")]
    {
        let end = position.next();
        let value = Some(Bytes::from_static(&[9]));
        let record = ControlRecord { key: "k".to_owned(), position, value };
        let mut log = ControlLog::default();
        let batch = ControlBatch { records: vec![record.clone()], end, is_snapshot: false };
        log.merge(ControlStream::Operator, batch);
        let reply = ControlReply::changed_since(&log, ControlPosition::default()).encode();
        let end_bytes = rmp_serde::to_vec(&u64::from(end)).unwrap();
        let expected = [
            &b"\x95\x91\x93\xa1k"[..],
            encoded,
            b"\xc4\x01\x09\x90\xc0\x92",
            &end_bytes,
            b"\x00\xc0",
        ];
        assert_eq!(reply, expected.concat());
        let decoded: ControlReply = rmp_serde::from_slice(&reply).unwrap();
        let [(_, operator), _] = decoded.into_batches();
        assert_eq!((operator.records, operator.end), (vec![record], end));
    }
}

#[test]
fn positions_travel_as_integers_in_queries() {
    let query = parse_control_query("/control?operator=1125899906859008&endpoints=9").unwrap();
    assert_eq!(query.position, ControlPosition { operator: at(1, 1), endpoints: at(0, 9) });
    assert!(parse_control_query("/control?operator=562949953421312&endpoints=9").is_none());
    assert!(parse_control_query("/control?operator=1:1&endpoints=9").is_none());
}
