//! Choice of instances for a key by rendezvous hashing.
//!
//! Every process computes the same order from the same instances. Adding or removing an instance
//! changes only the choices that include this instance.

use celeryshed_base::{ContentDigest, InstanceName, ServiceName};

use super::view::MembershipView;

/// Number of entries that a sidecar reports to if there are more than `REPORT_TO_ALL_LIMIT`.
const REPORT_TARGETS: usize = 3;

/// Up to this number of entries, every sidecar reports to every entry.
const REPORT_TO_ALL_LIMIT: usize = 8;

/// Number of entries that read each claim partition, which is a partition of the claim log.
const PARTITION_READERS: usize = 2;

/// Maximum size of [`endpoint_subset`]. An entry can send work to further endpoints if they report
/// to it.
pub const SUBSET_ENDPOINTS: usize = 20;

/// Returns the score of `instance` for `key`; a higher score comes first in the order.
///
/// ```
/// use celeryshed_base::InstanceName;
/// use celeryshed_core::membership::rendezvous_score;
/// let instance = InstanceName::try_from("entry-1").unwrap();
/// assert_eq!(rendezvous_score(b"claims-3", &instance), rendezvous_score(b"claims-3", &instance));
/// assert_ne!(rendezvous_score(b"claims-3", &instance), rendezvous_score(b"claims-4", &instance));
/// ```
pub fn rendezvous_score(key: &[u8], instance: &InstanceName) -> u64 {
    ContentDigest::of_parts(&[key, instance.as_str().as_bytes()]).leading_u64()
}

/// Sorts the instances by their scores for `key`, highest first; equal scores by name.
pub fn by_rendezvous<'a>(
    key: &[u8],
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> Vec<&'a InstanceName> {
    let scored = instances.into_iter().map(|instance| (rendezvous_score(key, instance), instance));
    let mut ranked: Vec<_> = scored.collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns the rank of `instance` among `instances` for `key`, from 0.
pub fn rendezvous_rank<'a>(
    key: &[u8],
    instance: &InstanceName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> usize {
    let own = (rendezvous_score(key, instance), instance);
    let others = instances.into_iter().map(|other| (rendezvous_score(key, other), other));
    others.filter(|other| *other > own).count()
}

/// Returns the entries that read a claim partition, highest score first; fewer than two only if the
/// view has fewer.
pub fn partition_readers(partition: u32, view: &MembershipView) -> Vec<&InstanceName> {
    let key = ContentDigest::of_parts(&[b"claims", &partition.to_be_bytes()]);
    let mut readers = by_rendezvous(key.as_bytes(), view.entries.keys());
    readers.truncate(PARTITION_READERS);
    readers
}

/// Returns the entries that the sidecar `instance` reports to: all entries if there are at
/// most `REPORT_TO_ALL_LIMIT`, otherwise `REPORT_TARGETS` of them.
pub fn report_targets<'a>(
    instance: &InstanceName,
    view: &'a MembershipView,
) -> Vec<&'a InstanceName> {
    let key = ContentDigest::of_parts(&[b"reports", instance.as_str().as_bytes()]);
    let mut targets = by_rendezvous(key.as_bytes(), view.entries.keys());
    if targets.len() > REPORT_TO_ALL_LIMIT {
        targets.truncate(REPORT_TARGETS);
    }
    targets
}

/// Returns the endpoints of `service` whose sidecars the entry `instance` probes if it has had no
/// recent contact with them, highest score first; up to [`SUBSET_ENDPOINTS`].
pub fn endpoint_subset<'a>(
    instance: &InstanceName,
    service: &ServiceName,
    view: &'a MembershipView,
) -> Vec<&'a InstanceName> {
    let parts = [b"subset", instance.as_str().as_bytes(), service.as_str().as_bytes()];
    let key = ContentDigest::of_parts(&parts);
    let endpoints = view.sides.iter().filter(|(_, side)| side.service == *service);
    let mut subset = by_rendezvous(key.as_bytes(), endpoints.map(|(endpoint, _)| endpoint));
    subset.truncate(SUBSET_ENDPOINTS);
    subset
}
