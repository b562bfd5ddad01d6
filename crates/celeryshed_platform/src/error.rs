//! Errors of the platform's clients.

use std::time::Duration;

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The service refused the call, which had no effect.
    #[error("{target} refused the call: {reason}")]
    Refused {
        /// Base URL of the called service, or the name of a fake.
        target: String,
        /// Reply status with its text, or another cause.
        reason: String,
        /// Pause that the service suggests before another attempt, if any.
        retry_after: Option<Duration>,
    },
    /// No connection was established, so the call had no effect.
    #[error("{target} can't be reached: {reason}")]
    Unreachable {
        /// Base URL of the called service, or the name of a fake.
        target: String,
        /// Reply status with its text, or another cause.
        reason: String,
    },
    /// No complete reply arrived; the call may have taken effect.
    #[error("reply of {target} was lost: {reason}")]
    ReplyLost {
        /// Base URL of the called service, or the name of a fake.
        target: String,
        /// Reply status with its text, or another cause.
        reason: String,
    },
    /// The service doesn't have the requested blob.
    #[error("{target} has no {item}")]
    NotFound {
        /// Base URL of the called service, or the name of a fake.
        target: String,
        /// The requested item, such as `blob DIGEST`.
        item: String,
    },
}

/// Result with a [`PlatformError`].
pub type Result<T> = std::result::Result<T, PlatformError>;

/// A rejected base URL of a platform service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "base URL {value:?} is invalid ({reason}); expected http://ADDRESS:PORT with a numeric IP address"
)]
pub struct BaseUrlError {
    /// The rejected value.
    pub value: String,
    /// Which part of the URL is rejected, or why it can't be parsed.
    pub reason: String,
}

impl BaseUrlError {
    pub(crate) fn new(value: &str, reason: String) -> Self {
        Self { value: value.to_owned(), reason }
    }
}
