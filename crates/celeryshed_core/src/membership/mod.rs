//! Who is there: entries and sidecars, from the platform's list, reports and notices.
//!
//! [`MembershipTracker`] merges what a process hears into a [`MembershipView`]; [`rendezvous_rank`]
//! and its relatives choose instances for a key without any agreement between processes.

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
