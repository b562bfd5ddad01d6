//! Choice of instances for a key by rendezvous hashing.
//!
//! Every process computes the same order from the same instances; an instance that comes or goes
//! changes only the choices that it is part of.

use celeryshed_base::{ContentDigest, InstanceName, ServiceName};

use super::view::MembershipView;

/// Entries that a sidecar reports to.
const REPORT_TARGETS: usize = 3;

/// With at most this many entries every sidecar reports to every entry.
const FEW_ENTRIES: usize = 8;

/// Readers of a claim partition.
const PARTITION_READERS: usize = 2;

/// Endpoints of each service that one entry sends work to, unless others report to it.
pub const SUBSET_ENDPOINTS: usize = 20;

/// The score of `instance` for `key`; the highest score comes first.
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

/// The instances in descending order of their scores for `key`.
pub fn by_rendezvous<'a>(
    key: &[u8],
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> Vec<&'a InstanceName> {
    let scored = instances.into_iter().map(|instance| (rendezvous_score(key, instance), instance));
    let mut ranked: Vec<_> = scored.collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

/// How many of `instances` come before `instance` for `key`; 0 for the first.
pub fn rendezvous_rank<'a>(
    key: &[u8],
    instance: &InstanceName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> usize {
    let own = (rendezvous_score(key, instance), instance);
    let others = instances.into_iter().map(|other| (rendezvous_score(key, other), other));
    others.filter(|other| *other > own).count()
}

/// The entries that read a claim partition, first choice first.
pub fn partition_readers(partition: u32, view: &MembershipView) -> Vec<&InstanceName> {
    let key = ContentDigest::of_parts(&[b"claims", &partition.to_be_bytes()]);
    let mut readers = by_rendezvous(key.as_bytes(), view.entries.keys());
    readers.truncate(PARTITION_READERS);
    readers
}

/// The entries that the sidecar `instance` reports to.
pub fn report_targets<'a>(
    instance: &InstanceName,
    view: &'a MembershipView,
) -> Vec<&'a InstanceName> {
    let key = ContentDigest::of_parts(&[b"reports", instance.as_str().as_bytes()]);
    let mut targets = by_rendezvous(key.as_bytes(), view.entries.keys());
    if targets.len() > FEW_ENTRIES {
        targets.truncate(REPORT_TARGETS);
    }
    targets
}

/// The endpoints of `service` that the entry `instance` chooses among, first choice first.
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
