//! Partitions of the claim log and the entries that read them.

use std::cmp::Reverse;
use std::num::NonZeroU32;

use celeryshed_base::{ContentDigest, InstanceName};

/// Entries that read each partition.
const READERS: usize = 2;

/// The partition that holds the claims of `booking`.
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

/// The two entries that read `partition`, in order of their rendezvous scores.
///
/// ```
/// use celeryshed_base::InstanceName;
/// use celeryshed_core::booking::readers_of;
/// let entries = ["e1", "e2", "e3"].map(|name| InstanceName::try_from(name).unwrap());
/// assert_eq!(readers_of(3, entries.iter()).len(), 2);
/// ```
pub fn readers_of<'a>(
    partition: u32,
    entries: impl Iterator<Item = &'a InstanceName>,
) -> Vec<InstanceName> {
    let mut scored: Vec<_> =
        entries.map(|entry| (Reverse(score(partition, entry)), entry)).collect();
    scored.sort();
    scored.into_iter().take(READERS).map(|(_, entry)| entry.clone()).collect()
}

fn score(partition: u32, entry: &InstanceName) -> u64 {
    let parts: [&[u8]; 3] = [b"claims", &partition.to_le_bytes(), entry.as_str().as_bytes()];
    ContentDigest::of_parts(&parts).leading_u64()
}
