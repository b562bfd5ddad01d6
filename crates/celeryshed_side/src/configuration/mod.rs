//! The configuration and the membership in a sidecar.
//!
//! [`spawn_configuration`] starts the task that reports to the sidecar's entries every two seconds,
//! fetches a newer configuration from an entry whose reply shows one, reads the platform's list and
//! sends notices when the sidecar leaves.

mod client;
mod handle;
mod options;
mod routes;
mod senders;
mod task;

pub use client::{EntryClient, EntryError, HttpEntryClient};
pub use handle::ConfigurationHandle;
pub use options::{EndpointStatus, OptionsError, ReportOptions, SideIdentity};
pub(crate) use routes::NotedSender;
pub use routes::configuration_routes;
pub use task::{ConfigurationClients, spawn_configuration};
