//! Detection and refusal of requests that crash endpoints.

mod table;

#[cfg(test)]
mod tests;

pub use table::{CrashObservation, FingerprintVerdict, QuarantineTable};
