//! The configuration in an entry: read from the log, exchanged with peers, served to sidecars.
//!
//! [`spawn_configuration`] starts the task that owns the replica. It reads the log every two
//! seconds. While the log can't be read, it exchanges revisions with random peers; an entry that
//! receives a newer state from a peer starts further exchanges at once, so that the state reaches
//! all entries in a few round trips.

mod client;
mod handle;
mod options;
mod routes;
mod task;

pub use client::{ConfigurationClient, HttpConfigurationClient, PeerError};
pub use handle::ConfigurationHandle;
pub use options::{ConfigurationOptions, CrashExchange, OptionsError, ProcessIdentity};
pub use routes::configuration_routes;
pub use task::{ConfigurationClients, spawn_configuration};
