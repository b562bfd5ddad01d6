//! The entry program for small instances, which runs without rocket: accepts callers' requests,
//! dispatches them to endpoints and forwards the answers as they arrive.
//!
//! [`EntryProcess`] starts all tasks. One task serves each connection. The dispatcher task owns the
//! dispatch state, the control task owns the records of operators and endpoints, and the peer task
//! owns the socket to other entries and sidecars.

mod context;
mod dispatcher_task;
mod endpoint_activity;
mod names;
mod notice_command;
mod peer_task;
mod process;
mod request;
mod settings;

pub use names::HeaderNames;
pub use process::EntryProcess;
pub use settings::GatewaySettings;
