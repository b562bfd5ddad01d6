//! Errors of the assembly.

/// The sidecar could not be started.
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
    Server(#[from] celeryshed_server::ServerError),
}

/// Result of this module.
pub(super) type Result<T> = std::result::Result<T, RoleError>;

/// Names the part whose options were refused.
pub(super) fn in_part<E: std::fmt::Display>(part: &'static str) -> impl Fn(E) -> RoleError {
    move |error| RoleError::Part { part, reason: error.to_string() }
}
