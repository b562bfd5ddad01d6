//! The demo: runs the whole system on loopback and checks its guarantees against the stand-ins'
//! counts.

mod bookings;
mod caller;
mod contracts;
mod report;
mod run;
mod streams;

pub use report::{DemoCheck, DemoReport};
pub use run::{DemoOptions, run_demo};
