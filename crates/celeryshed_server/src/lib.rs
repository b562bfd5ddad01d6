//! What every HTTP server of the system shares: launch, shutdown, health and metrics routes,
//! signals.

mod gauges;
mod headers;
mod health;
mod launch;
mod packed;
mod problems;
mod role_error;
mod signals;
mod traffic;

pub use gauges::follow_gauge;
pub use health::{HealthProbe, ReadyState, health_routes};
pub use launch::{RunningServer, ServerError, ServerOptions, launch_server};
pub use packed::{CompactMsgPack, NamedMsgPack};
pub use role_error::{RoleError, RoleResult, part_error};
pub use signals::TerminationSignal;
