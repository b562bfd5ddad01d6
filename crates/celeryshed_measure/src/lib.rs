//! Capacity measurements, simulated experiments and the demo.

pub mod demo;
pub mod fleet;
pub mod overload;
pub mod scarcity;
pub mod slopes;
pub mod spread;
