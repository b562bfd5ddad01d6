//! Assembles the entry: starts its tasks and server, and drains them.

mod booking_gate;
mod feeds;
mod launch;

pub use launch::EntryRole;
