//! Drain state of the sidecar.

/// Whether this process accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// Accepts new work; the default.
    #[default]
    Serving,
    /// Refuses new work and finishes running attempts.
    Draining,
}
