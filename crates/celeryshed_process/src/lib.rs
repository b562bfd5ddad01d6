//! What the thin programs do alike when they start and end.

mod signals;

pub use signals::ProcessSignals;
