//! Stand-in of a plain service.
//!
//! It accepts any method and path and replies with a JSON [`ServiceEcho`]. Executions are counted
//! by header `Idempotency-Key`, or by the digest of the body when the header is missing. Query
//! parameter `answer_bytes=N` pads the answer by N bytes. A body that contains the crash marker
//! crashes the service: all its calls are cut and it comes back after a delay.

mod calls;
mod options;
mod state;

pub use calls::{RunningService, ServiceControl, ServiceEcho};
pub use options::{RawServiceOptions, ServiceOptions};
pub use state::{ServiceCounts, ServiceFaults};
