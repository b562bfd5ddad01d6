//! Clients of the platform: log service, instance list, weight store and origin.
//!
//! The traits are the edge of a process: tasks hold `Arc<dyn LogClient>` and so on, the daemons
//! pass the HTTP implementations and tests pass in-memory [`fakes`].

mod blobs;
mod error;
pub mod fakes;
mod http;
mod list;
mod log;

pub use blobs::BlobClient;
pub use error::{BaseUrlError, PlatformError, Result};
pub use http::{HttpBlobClient, HttpListClient, HttpLogClient, HttpTimeouts};
pub use list::ListClient;
pub use log::LogClient;
