//! Callers' requests: completions and calls of plain services.
//!
//! The routes parse a request into a job. The dispatcher runs the job at one endpoint after
//! another until the answer is complete. The decision task owns the state of the endpoints, queues
//! and limits, and chooses the endpoint of each attempt.

mod calls;
mod crashes;
mod decision_task;
pub mod decisions;
mod dispatch;
mod drain;
mod gate;
mod handle;
mod openai;
mod options;
mod problems;
mod progress;
mod refusals;
mod routes;
mod services;
mod streams;
mod teams;
mod transport;

#[cfg(test)]
mod tests;

pub use drain::DrainState;
pub use gate::BookingGate;
pub use handle::{CompletionInputs, CompletionsHandle, spawn};
pub use options::{CompletionOptions, CompletionOptionsError};
pub use problems::ProblemReply;
pub use routes::routes;
pub use transport::{EventStream, HttpSideClient, SideClient, TransportError};
