//! Errors of the assembly of a role.

/// A role could not be started.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// A part refused its options.
    #[error("{part} can't be started: {reason}")]
    Part {
        /// The part.
        part: &'static str,
        /// The reason.
        reason: String,
    },
    /// The server can't listen.
    #[error(transparent)]
    Server(#[from] crate::launch::ServerError),
}

/// Result of the assembly.
pub type RoleResult<T> = Result<T, RoleError>;

/// Names the part whose options were refused.
///
/// ```
/// use celeryshed_server::part_error;
/// let error = part_error("weights")("link is 0");
/// assert_eq!(error.to_string(), "weights can't be started: link is 0");
/// ```
pub fn part_error<E: std::fmt::Display>(part: &'static str) -> impl Fn(E) -> RoleError {
    move |error| RoleError::Part { part, reason: error.to_string() }
}
