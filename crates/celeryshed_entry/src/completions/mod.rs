//! Callers' requests: completions and calls of plain services.
//!
//! The routes turn a request into a job; the dispatcher runs the job at one endpoint after
//! another until its answer is complete; the board task owns what is known about the endpoints.

mod board;
mod calls;
mod customers;
mod dispatch;
mod drain;
mod gate;
mod handle;
mod openai;
mod options;
mod problems;
mod progress;
mod routes;
mod services;
mod streams;
mod transport;

pub use drain::{DrainState, serve_until_drained, shutdown_settings};
pub use gate::BookingGate;
pub use handle::{CompletionInputs, CompletionsHandle, spawn};
pub use options::{CompletionOptions, CompletionOptionsError};
pub use problems::ProblemReply;
pub use routes::routes;
pub use transport::{EventStream, HttpSideClient, SideClient, TransportError};
