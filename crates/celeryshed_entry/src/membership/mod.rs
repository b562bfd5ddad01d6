//! The membership as an entry sees it.
//!
//! [`spawn_membership`] starts the task that owns the tracker. It merges the platform's list,
//! reports that sidecars send, what attempts reveal, and probes: an endpoint of the entry's own
//! subset that was not heard of lately is asked for its report, within a fixed rate.

mod handle;
mod probe;
mod routes;
mod task;

pub use handle::MembershipHandle;
pub use probe::{HttpProbeClient, ProbeClient};
pub use routes::membership_routes;
pub use task::{MembershipOptions, spawn_membership};
