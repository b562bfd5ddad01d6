//! Stand-ins of the platform, model engines and plain services.
//!
//! Each stand-in is launched on an address of its own (port 0 picks one) and gives a cloneable
//! control handle. `GET /control/counts` and `POST /control/faults` do the same as JSON for other
//! processes. A posted set of faults replaces the one before; a field that is left out means no
//! such fault.

pub mod engine;
mod error;
mod limits;
pub mod platform;
mod reply;
mod server;
pub mod service;
mod steering;

pub use error::{Result, StandinError};
pub use steering::Outage;
