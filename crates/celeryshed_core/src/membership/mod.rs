//! Membership: the entries and sidecars that a process knows and their states.
//!
//! [`MembershipTracker`] merges the platform's list, status reports and the results of requests
//! into a [`MembershipView`]. [`rendezvous_rank`] and the related functions choose instances for a
//! key without coordination between processes.

mod rendezvous;
mod tracker;
mod view;

#[cfg(test)]
mod tests;

pub use rendezvous::{
    SUBSET_ENDPOINTS, by_rendezvous, endpoint_subset, partition_readers, rendezvous_rank,
    rendezvous_score, report_targets,
};
pub use tracker::{
    LIST_LAG, ListedMember, ListedRole, MembershipTracker, ReportedState, SILENCE_LIMIT,
    SideReport, TrackerOptions,
};
pub use view::{EntryMember, MemberState, MembershipView, SideMember};
