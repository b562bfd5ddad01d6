//! Errors of a fleet.

/// A fleet that can't run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A part can't be started.
    #[error("{part} can't be started: {reason}")]
    Start {
        /// The part.
        part: String,
        /// The reason.
        reason: String,
    },
    /// Something didn't happen in time.
    #[error("{what} did not happen within {seconds} s")]
    Late {
        /// What was waited for.
        what: String,
        /// The limit.
        seconds: u64,
    },
    /// A change of the configuration failed.
    #[error("configuration: {0}")]
    Publish(String),
}

/// Result of this package's fleets.
pub type Result<T> = std::result::Result<T, FleetError>;

/// Names the part that can't be started.
pub(crate) fn start_error<E: std::fmt::Display>(part: &str) -> impl Fn(E) -> FleetError {
    move |error| FleetError::Start { part: part.to_owned(), reason: error.to_string() }
}
