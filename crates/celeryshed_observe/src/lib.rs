//! Logging of events as `key=value` lines, and metrics in Prometheus text format.

mod bounded;
mod event;
mod log_writer;
mod logging;
mod panics;
mod registry;

pub use bounded::install_bounded_logging;
pub use event::{EventLine, quote};
pub use log::Level;
pub use logging::{LogError, install_logging};
pub use panics::install_panic_events;
pub use registry::MetricsRegistry;
