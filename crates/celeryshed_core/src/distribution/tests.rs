//! Tests of the distribution module.

mod budget;
mod fleet;
mod properties;
mod trace;
