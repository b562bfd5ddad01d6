//! The demo: the whole system on loopback, with its promises checked against the stand-ins' counts.

mod bookings;
mod caller;
mod contracts;
mod report;
mod run;
mod streams;

pub use report::{DemoReport, PromiseCheck};
pub use run::{DemoOptions, run_demo};
