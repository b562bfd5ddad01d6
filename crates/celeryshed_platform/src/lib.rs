//! Clients of the platform: log service, instance list, weight store and origin.
//!
//! Tasks call the platform through the client traits, such as [`LogClient`]. Daemons use the HTTP
//! implementations of the traits, tests use the in-memory [`fakes`].

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
