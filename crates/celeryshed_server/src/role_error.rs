//! Errors at the start of a role.

/// Error when a role, entry or sidecar, can't be started.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// A component of the role refused its options.
    #[error("{part} can't be started: {reason}")]
    Part {
        /// Name of the component.
        part: &'static str,
        /// Error of the component.
        reason: String,
    },
    /// The HTTP server can't be launched.
    #[error(transparent)]
    Server(#[from] crate::launch::ServerError),
}

/// Result of starting a role.
pub type RoleResult<T> = Result<T, RoleError>;

/// Converts errors of the component `part` to [`RoleError::Part`], for use with `map_err`.
///
/// ```
/// use celeryshed_server::part_error;
/// let error = part_error("weights")("link is 0");
/// assert_eq!(error.to_string(), "weights can't be started: link is 0");
/// ```
pub fn part_error<E: std::fmt::Display>(part: &'static str) -> impl Fn(E) -> RoleError {
    move |error| RoleError::Part { part, reason: error.to_string() }
}
