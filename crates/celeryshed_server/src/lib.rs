//! Common parts of all HTTP servers: launch, shutdown, health and metrics routes, MessagePack
//! bodies and signals.

mod gauges;
mod headers;
mod health;
mod launch;
mod msgpack;
mod problems;
mod request_metrics;
mod role_error;
mod signals;

pub use gauges::follow_gauge;
pub use health::{HealthProbe, ReadyState, health_routes};
pub use launch::{RunningServer, ServerError, ServerOptions, launch_server};
pub use msgpack::{CompactMsgPack, NamedMsgPack};
pub use role_error::{RoleError, RoleResult, part_error};
pub use signals::TerminationSignal;
