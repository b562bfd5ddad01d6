//! Assignment of bookings to claim log partitions.

use std::num::NonZeroU32;

use celeryshed_base::ContentDigest;

/// Returns the partition, from 0 to `partitions - 1`, that holds the records of `booking`.
///
/// ```
/// use celeryshed_base::ContentDigest;
/// use celeryshed_core::booking::partition_of;
/// use std::num::NonZeroU32;
/// let partitions = NonZeroU32::new(16).unwrap();
/// assert!(partition_of(&ContentDigest::of(b"booking"), partitions) < 16);
/// ```
pub fn partition_of(booking: &ContentDigest, partitions: NonZeroU32) -> u32 {
    (booking.leading_u64() % u64::from(partitions.get())) as u32
}
