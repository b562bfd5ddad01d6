//! The entry role: serves callers and dispatches their requests to sidecars.

pub mod bookings;
pub mod completions;
pub mod configuration;
pub mod membership;
pub mod peers;
pub mod role;
