//! Errors of a fleet.

/// Failure to start or run a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A part of the fleet can't be started, or an operation on it failed.
    #[error("{part} can't be started: {reason}")]
    Start {
        /// Name of the part, printed first in the message.
        part: String,
        /// Message of the underlying error.
        reason: String,
    },
    /// An awaited condition was not met within its time limit.
    #[error("{what} did not happen within {seconds} s")]
    Late {
        /// The awaited condition, printed first in the message.
        what: String,
        /// The time limit in seconds.
        seconds: u64,
    },
    /// A configuration change was refused or could not be published, with the reason.
    #[error("configuration: {0}")]
    Publish(String),
}

/// Result of operations on a fleet.
pub type Result<T> = std::result::Result<T, FleetError>;

/// Converts an error to [`FleetError::Start`] with the name of the failed part.
pub(crate) fn start_error<E: std::fmt::Display>(part: &str) -> impl Fn(E) -> FleetError {
    move |error| FleetError::Start { part: part.to_owned(), reason: error.to_string() }
}
