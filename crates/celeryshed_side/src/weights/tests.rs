//! Tests of the weights tasks with paused time and in-process fakes.

mod cases;
mod fakes;
