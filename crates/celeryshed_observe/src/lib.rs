//! Logs and metrics: one key=value line per event, Prometheus text for metrics.

mod event;
mod logging;
mod registry;

pub use event::{EventLine, quote};
pub use log::Level;
pub use logging::{LogError, install_logging};
pub use registry::MetricsRegistry;
