//! The membership as an entry sees it.
//!
//! [`spawn_membership`] starts the task that owns the tracker. It merges the platform's instance
//! list, the reports that sidecars send, the outcomes of attempts, and probes. A probe asks a
//! sidecar of the entry's own subset for its report when none has arrived for a while; the rate of
//! probes is limited.

mod handle;
mod probe;
mod routes;
mod task;

pub use handle::MembershipHandle;
pub use probe::{HttpProbeClient, ProbeClient};
pub use routes::membership_routes;
pub use task::{MembershipOptions, spawn_membership};
