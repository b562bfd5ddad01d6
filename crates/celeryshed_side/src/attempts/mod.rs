//! Attempts: the work that entries hand to this sidecar, run at the endpoint beside it.
//!
//! A slot task owns the endpoint's slots; a runner per attempt talks to the endpoint and sends
//! events; the routes turn events into frames.

mod drain;
mod engine;
mod options;
mod plain;
mod routes;
mod runner;
mod slots;
mod sse;

pub use drain::{DrainState, serve_until_drained, shutdown_settings};
pub use options::{AttemptOptions, AttemptOptionsError, EndpointTarget};
pub use routes::routes;
pub use runner::{AttemptInputs, AttemptsHandle, spawn};
