//! The decision logic of celeryshed, without I/O.
//!
//! Each module takes events and the current time and returns typed actions. No module reads a
//! clock, opens a socket or spawns a task, so tests, recorded traces and property tests run the
//! same code as the daemons.

pub mod admission;
pub mod booking;
pub mod burn;
pub mod configuration;
pub mod distribution;
pub mod membership;
pub mod quarantine;
pub mod routing;
