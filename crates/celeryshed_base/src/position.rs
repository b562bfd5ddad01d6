//! Positions in a log of a store that may be restored from an older copy.
//!
//! A restored store gives out offsets again, so offsets alone are no order of its records. Each
//! restore starts an era, and positions are ordered by era first.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::LogOffset;

/// Bits of an encoded position below the era.
const ERA_SHIFT: u32 = 50;
/// Bits of an encoded position below the offset, in eras after the first.
const OFFSET_SHIFT: u32 = 14;
const MAX_ERA: u64 = (1 << (u64::BITS - ERA_SHIFT)) - 1;
const MAX_OFFSET: u64 = (1 << (ERA_SHIFT - OFFSET_SHIFT)) - 1;
const MAX_ADVANCE: u64 = (1 << OFFSET_SHIFT) - 1;

/// An era or offset that is too large for an encoded position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PositionError {
    /// The number of the era is too large.
    #[error("store era {0} is above {MAX_ERA}")]
    Era(u64),
    /// The offset is too large.
    #[error("log offset {0} is above {MAX_OFFSET}")]
    Offset(u64),
    /// The integer encodes no position.
    #[error("{0} encodes no log position")]
    Encoding(u64),
}

/// How often a store has been restored from a copy; at most 16,383.
///
/// ```
/// use celeryshed_base::StoreEra;
/// assert_eq!(StoreEra::try_from(3).unwrap().to_string(), "3");
/// assert!(StoreEra::try_from(1 << 20).is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl TryFrom<u64> for StoreEra {
    type Error = PositionError;

    fn try_from(era: u64) -> Result<Self, PositionError> {
        if era <= MAX_ERA { Ok(Self(era)) } else { Err(PositionError::Era(era)) }
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Position of a record in one stream of the log, ordered by era, then offset, then advance.
///
/// Its encoded form is an integer with the same order. In the first era, it is the offset; later it
/// has 14 bits for the era, 36 for the offset and 14 for the advance.
///
/// ```
/// use celeryshed_base::{LogOffset, LogPosition, StoreEra};
/// let before = LogPosition::new(StoreEra::default(), LogOffset(9)).unwrap();
/// let restored = LogPosition::new(StoreEra::try_from(1).unwrap(), LogOffset(4)).unwrap();
/// assert!(before < restored);
/// assert_eq!(u64::from(before), 9);
/// assert_eq!(LogPosition::try_from(u64::from(restored)), Ok(restored));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "u64", try_from = "u64")]
pub struct LogPosition {
    era: StoreEra,
    offset: LogOffset,
    advance: u64,
}

impl LogPosition {
    /// The position of a record that was read from the store.
    pub fn new(era: StoreEra, offset: LogOffset) -> Result<Self, PositionError> {
        if offset.0 > MAX_OFFSET {
            return Err(PositionError::Offset(offset.0));
        }
        Ok(Self { era, offset, advance: 0 })
    }

    /// The last position before an era, which no record of the store has.
    #[must_use]
    pub fn before(era: StoreEra) -> Self {
        let era = StoreEra(era.0.saturating_sub(1));
        Self { era, offset: LogOffset(MAX_OFFSET), advance: 0 }
    }

    /// The same offset with an advance, which is limited to 16,383. Positions of the store's records
    /// in the first era have no advance.
    #[must_use]
    pub fn with_advance(self, advance: u64) -> Self {
        if self.era == StoreEra::default() && self.offset.0 < MAX_OFFSET {
            return self;
        }
        Self { advance: advance.min(MAX_ADVANCE), ..self }
    }

    /// Number of the store's restores before the record was written.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Offset within the era.
    pub fn offset(self) -> LogOffset {
        self.offset
    }

    /// By how much what a process knows at this position is newer than what the restored store
    /// holds there; 0 for all that is read from the store.
    pub fn advance(self) -> u64 {
        self.advance
    }

    /// Whether no record precedes this position in its era.
    pub fn is_start(self) -> bool {
        self.offset == LogOffset::default() && self.advance == 0
    }

    /// Whether this is the last position before an era, whatever its advance. Records there stand
    /// for what a restore took back.
    ///
    /// ```
    /// use celeryshed_base::{LogPosition, StoreEra};
    /// let era = StoreEra::try_from(1).unwrap();
    /// assert!(LogPosition::before(era).with_advance(2).is_before_era());
    /// assert!(!LogPosition::default().is_before_era());
    /// ```
    pub fn is_before_era(self) -> bool {
        self.offset.0 == MAX_OFFSET
    }

    /// The position of the next offset.
    #[must_use]
    pub fn next(self) -> Self {
        let offset = LogOffset((self.offset.0 + 1).min(MAX_OFFSET));
        Self { offset, advance: 0, ..self }
    }
}

impl From<LogPosition> for u64 {
    fn from(position: LogPosition) -> Self {
        let LogPosition { era, offset, advance } = position;
        match era.0 {
            // An advance follows the largest offset only.
            0 => offset.0 + advance,
            era => (era << ERA_SHIFT) | (offset.0 << OFFSET_SHIFT) | advance,
        }
    }
}

impl TryFrom<u64> for LogPosition {
    type Error = PositionError;

    fn try_from(encoded: u64) -> Result<Self, PositionError> {
        let era = StoreEra(encoded >> ERA_SHIFT);
        if era > StoreEra::default() {
            let offset = LogOffset((encoded >> OFFSET_SHIFT) & MAX_OFFSET);
            return Ok(Self { era, offset, advance: encoded & MAX_ADVANCE });
        }
        let advance = encoded.saturating_sub(MAX_OFFSET);
        if advance > MAX_ADVANCE {
            return Err(PositionError::Encoding(encoded));
        }
        Ok(Self { era, offset: LogOffset(encoded - advance), advance })
    }
}

impl fmt::Display for LogPosition {
    /// Writes the offset, with the era in front and the advance behind it if there are any.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > StoreEra::default() {
            write!(f, "{}:", self.era)?;
        }
        write!(f, "{}", self.offset)?;
        if self.advance > 0 {
            write!(f, "+{}", self.advance)?;
        }
        Ok(())
    }
}
