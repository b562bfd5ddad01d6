//! Attempts: work that entries dispatch to this sidecar, which runs it at its endpoint.
//!
//! One task owns the endpoint's slots and another one detects crashes. Each attempt has a task that
//! calls the endpoint and encodes events as frames, which the routes stream to the entry.

mod crashes;
mod drain;
mod engine;
mod options;
mod plain;
mod routes;
mod runner;
mod slots;
mod sse;

pub use drain::DrainState;
pub use options::{AttemptOptions, AttemptOptionsError, EndpointTarget};
pub use routes::routes;
pub use runner::{AttemptInputs, AttemptsHandle, spawn};
