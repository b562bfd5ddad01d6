//! What every HTTP server of the system shares: launch, shutdown, health and metrics routes,
//! signals.

mod health;
mod launch;
mod problems;
mod signals;

pub use health::{HealthProbe, ReadyState, health_routes};
pub use launch::{RunningServer, ServerError, ServerOptions, launch_server};
pub use signals::TerminationSignal;
