//! The entry on thin instances: takes callers' requests, places them on endpoints and passes
//! answers on as they come.
//!
//! [`EntryProcess`] assembles the tasks. Each connection is served by a task of its own; the
//! dispatcher task owns all decisions, the control task the records of operators and endpoints, the
//! peer task the socket to other entries and sidecars.

mod context;
mod dispatcher_task;
mod names;
mod peer_task;
mod process;
mod request;
mod settings;

pub use names::HeaderNames;
pub use process::{EntryProcess, ProcessError};
pub use settings::GatewaySettings;
