//! The entry role: serves callers and dispatches their requests to sidecars.
//!
//! Each module owns one kind of state in tasks that communicate over channels; `role` assembles
//! them into a process.

pub mod bookings;
pub mod completions;
pub mod configuration;
pub mod membership;
pub mod role;
