//! Claims at a sidecar: runs each at most once, seals the others, records outcomes.
//!
//! The code that receives attempts calls [`ClaimHandle::begin`] before it calls the endpoint. A
//! permitted run ends with [`RunPermit::finish`]; a permit that is dropped reports an unknown
//! outcome. The run must go on when the entry's connection breaks.

mod handle;
mod route;
mod task;

pub use handle::{BeginReply, ClaimHandle, RunPermit, RunResult};
pub use route::claim_routes;
pub use task::{ClaimOptions, spawn_claims};
