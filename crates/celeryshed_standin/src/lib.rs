//! Stand-ins of the platform, model engines and plain services.
//!
//! Each stand-in binds its own address, where port 0 selects a free port. A cloneable control
//! handle reads its counters and sets the faults that it injects. Other processes do the same in
//! JSON with `GET /control/counts` and `POST /control/faults`. Posted faults replace all previous
//! ones, and faults that the body omits are disabled.

pub mod engine;
mod error;
mod faults;
mod limits;
pub mod platform;
mod reply;
mod server;
pub mod service;

pub use error::{Result, StandinError};
pub use faults::Outage;
