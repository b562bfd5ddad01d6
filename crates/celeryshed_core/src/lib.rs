//! The decisions of celeryshed, without I/O.
//!
//! Each module takes events and a current time and returns typed actions. Nothing here reads a
//! clock, opens a socket or spawns a task, so that tests, recorded traces and property tests drive
//! the same code as the daemons.

pub mod admission;
pub mod booking;
pub mod burn;
pub mod configuration;
pub mod distribution;
pub mod membership;
pub mod quarantine;
pub mod routing;
