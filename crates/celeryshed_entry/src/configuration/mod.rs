//! The configuration in an entry: read from the log, exchanged with peers, served to sidecars.
//!
//! [`spawn_configuration`] starts the task that owns the replica. It reads the log every two
//! seconds. While the log can't be read, it exchanges revisions with random peers; an entry that learns of a
//! newer revision that way passes it on at once, so that it spreads in a few round trips.

mod handle;
mod options;
mod peer;
mod routes;
mod task;

pub use handle::ConfigurationHandle;
pub use options::{ConfigurationOptions, CrashExchange, OptionsError, ProcessIdentity};
pub use peer::{ConfigurationClient, HttpConfigurationClient, PeerError};
pub use routes::configuration_routes;
pub use task::{ConfigurationClients, spawn_configuration};
