//! Claims at a sidecar: runs each claim at most once, seals claims that haven't run, and records
//! outcomes in the log.
//!
//! The code that receives attempts calls [`ClaimHandle::begin`] before it calls the endpoint. A
//! permitted run ends with [`RunPermit::finish`]; a dropped permit reports an unknown outcome. The
//! run must continue after the entry's connection breaks.

mod handle;
mod route;
mod task;

pub use handle::{BeginReply, ClaimHandle, RunPermit, RunResult};
pub use route::claim_routes;
pub use task::{ClaimOptions, spawn_claims};
