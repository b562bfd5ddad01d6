//! Whether new work is taken.

/// Whether this process takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// Takes new work.
    #[default]
    Serving,
    /// Refuses new work and finishes what runs.
    Draining,
}
