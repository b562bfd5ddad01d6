//! Handles one request of a caller: parses it, sends it to endpoints and forwards the answer.

mod attempt;
mod attempt_trace;
mod body;
mod buffer;
mod events;
mod failover;
mod handle;
mod notice;
mod parse;
mod placed;
mod received_body;
mod relay;
mod replies;
mod running;

pub(crate) use body::GatewayBody;
pub(crate) use buffer::{BufferBudget, LeaseRule};
pub(crate) use handle::handle_request;
