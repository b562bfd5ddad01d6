//! Errors of the platform's clients.

use std::time::Duration;

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call certainly had no effect.
    #[error("{target} refused the call: {reason}")]
    Refused {
        /// What was called.
        target: String,
        /// The reason.
        reason: String,
        /// Suggested pause before another try.
        retry_after: Option<Duration>,
    },
    /// The call certainly had no effect because no connection was made.
    #[error("{target} can't be reached: {reason}")]
    Unreachable {
        /// What was called.
        target: String,
        /// The reason.
        reason: String,
    },
    /// The call may have had its effect; its reply is lost.
    #[error("reply of {target} is lost: {reason}")]
    ReplyLost {
        /// What was called.
        target: String,
        /// The reason.
        reason: String,
    },
    /// The asked blob doesn't exist there.
    #[error("{target} has no {item}")]
    NotFound {
        /// What was called.
        target: String,
        /// What was asked for.
        item: String,
    },
}

/// Result of this package.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// A text that is not the base URL of a platform service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "base URL {value:?} is rejected ({reason}): accepted is http://ADDRESS:PORT with a numeric IP address"
)]
pub struct BaseUrlError {
    /// The rejected text.
    pub value: String,
    /// The reason.
    pub reason: String,
}

impl BaseUrlError {
    pub(crate) fn new(value: &str, reason: String) -> Self {
        Self { value: value.to_owned(), reason }
    }
}
