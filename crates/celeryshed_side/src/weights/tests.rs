//! Tests of the weights tasks, in paused time and with in-process fakes.

mod cases;
mod fakes;
