//! The drain state of an entry.

/// Whether this process accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Refuses new requests and finishes those in progress.
    Draining,
}
