//! The encoded form of log positions, which builds that only know offsets read as an offset.

use celeryshed_base::{LogOffset, LogPosition, PositionError, StoreEra};

fn position(era: u64, offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::try_from(era).unwrap(), LogOffset(offset)).unwrap()
}

#[test]
fn encoded_positions_are_ordered_as_positions_are() {
    let ordered = [
        position(0, 0),
        position(0, 17),
        LogPosition::before(position(1, 0).era()),
        LogPosition::before(position(1, 0).era()).with_advance(12),
        position(1, 0),
        position(1, 3),
        position(1, 3).with_advance(2),
        position(1, 3).with_advance(5),
        position(1, 4),
        LogPosition::before(position(2, 0).era()),
        position(2, 0),
        position(16_383, (1 << 36) - 1).with_advance(1 << 20),
    ];
    for pair in ordered.windows(2) {
        assert!(pair[0] < pair[1], "{} {}", pair[0], pair[1]);
        assert!(u64::from(pair[0]) < u64::from(pair[1]), "{} {}", pair[0], pair[1]);
    }
    for position in ordered {
        assert_eq!(LogPosition::try_from(u64::from(position)), Ok(position));
    }
}

#[test]
fn positions_of_the_first_era_are_encoded_as_offsets() {
    assert_eq!(u64::from(position(0, 17)), 17);
    assert_eq!(LogPosition::try_from(17), Ok(position(0, 17)));
    assert_eq!(position(0, 17).with_advance(3), position(0, 17));
    assert_eq!(u64::from(position(1, 4).with_advance(2)), 1_125_899_906_908_162);
    assert_eq!(position(1, 4).with_advance(2).to_string(), "1:4+2");
    assert_eq!(position(0, 17).to_string(), "17");
}

#[test]
fn eras_and_offsets_out_of_range_are_refused() {
    assert_eq!(StoreEra::try_from(16_384), Err(PositionError::Era(16_384)));
    let era = StoreEra::default();
    assert_eq!(
        LogPosition::new(era, LogOffset(1 << 36)),
        Err(PositionError::Offset(68_719_476_736))
    );
    assert_eq!(LogPosition::try_from(1 << 49), Err(PositionError::Encoding(562_949_953_421_312)));
}
