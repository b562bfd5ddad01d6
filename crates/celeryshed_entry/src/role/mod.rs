//! The assembled entry: its tasks, its server and its drain.

mod booking_gate;
mod feeds;
mod launch;

pub use launch::EntryRole;
