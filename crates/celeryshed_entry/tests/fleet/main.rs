//! Simulates fleets of entries and sidecars as tasks over a fake platform. All but the traffic test
//! use Tokio's paused clock.

mod configuration;
mod fleet;
mod membership;
mod traffic;
