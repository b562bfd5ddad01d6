//! Stand-in of a plain service.
//!
//! The service accepts any method and path and replies with a JSON [`ServiceEcho`]. Executions are
//! counted by the `Idempotency-Key` header, or by the digest of the body if the header is missing.
//! The query parameter `answer_bytes=N` pads the answer by N bytes, up to 16 MiB. A body that
//! contains the crash marker crashes the service: the connections of all running calls are closed
//! without a reply, and so are new ones until the service has restarted.

mod calls;
mod options;
mod state;

pub use calls::{RunningService, ServiceControl, ServiceEcho};
pub use options::{RawServiceOptions, ServiceOptions};
pub use state::{ServiceCounts, ServiceFaults};
