//! Configuration and membership of a sidecar.
//!
//! [`spawn_configuration`] starts the task that sends a report to the sidecar's entries every two
//! seconds, fetches the configuration of an entry whose reply names a newer revision, reads the
//! platform's instance list and notifies entries when the sidecar leaves.

mod client;
mod handle;
mod options;
mod routes;
mod senders;
mod task;

pub use client::{EntryClient, EntryError, HttpEntryClient};
pub use handle::ConfigurationHandle;
pub use options::{EndpointStatus, OptionsError, ReportOptions, SideIdentity};
pub(crate) use routes::RecordedSender;
pub use routes::configuration_routes;
pub use task::{ConfigurationClients, spawn_configuration};
