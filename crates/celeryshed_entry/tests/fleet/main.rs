//! Entries and sidecars as tasks over fakes, on the paused clock.

mod configuration;
mod fleet;
mod membership;
mod traffic;
