//! Burn rates of service-level objectives, from counts over sliding windows.

mod table;

#[cfg(test)]
mod tests;

pub use table::{BURN_WINDOWS, BurnTable, WindowCount};
