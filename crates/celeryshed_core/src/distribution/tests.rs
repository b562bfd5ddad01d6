//! Tests of the spread decisions.

mod budget;
mod fleet;
mod properties;
mod trace;
