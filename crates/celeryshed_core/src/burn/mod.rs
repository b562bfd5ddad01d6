//! Error budget burn rates of service-level objectives, from request counts in sliding windows.

mod table;

#[cfg(test)]
mod tests;

pub use table::{BURN_WINDOWS, BurnTable, WindowCount};
