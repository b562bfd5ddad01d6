//! Numbers of operators at the ends of their range, in records that a peer has sent.

use bytes::Bytes;
use celeryshed_base::{LogOffset, LogPosition, StoreEra};
use celeryshed_peering::{
    Admission, ControlBatch, ControlLog, ControlRecord, ControlStream, NewestValues,
};

/// Guards against a control task that ends, or a record that peers don't fetch, as the highest version
/// that can be declared is followed by the lowest, told by a peer beyond the restored store.
#[test]
fn lowest_number_after_the_highest_keeps_the_newer_value() {
    let era = StoreEra::try_from(1).unwrap();
    let position = LogPosition::new(era, LogOffset(3)).unwrap().with_advance(2);
    let record = |value: &'static str| ControlRecord {
        key: "a".to_owned(),
        position,
        value: Some(Bytes::from_static(value.as_bytes())),
    };
    let mut log = ControlLog::default();
    let mut values = NewestValues::default();
    let batch = |record| ControlBatch { records: vec![record], end: position, is_snapshot: false };
    log.merge(ControlStream::Operator, batch(record("highest")));
    assert_eq!(values.admit(&mut log, &record("highest"), u64::MAX), Admission::Newer);
    assert_eq!(values.admit(&mut log, &record("lowest"), 0), Admission::Older);
    let kept = log.records(ControlStream::Operator).next().unwrap();
    assert_eq!(kept.value, record("highest").value);
    assert_eq!(kept.position.advance(), 16_383);
}
