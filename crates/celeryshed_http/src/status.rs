//! Statuses of responses.

use hyper::StatusCode;

/// Status of a response that ends its exchange: 200 to 599.
///
/// HTTP gives the statuses beyond no meaning, although parsers accept them up to 999. Interim
/// responses (1xx) come before the final one, and no request of these programs asks to switch
/// protocols (101).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalStatus(StatusCode);

/// A status that no final response may have. Nothing that the response says can be relied on, such
/// as that its request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no final response may have the status {}", .0.as_u16())]
pub struct InvalidStatus(pub StatusCode);

impl TryFrom<StatusCode> for FinalStatus {
    type Error = InvalidStatus;

    /// ```
    /// use celeryshed_http::{FinalStatus, InvalidStatus};
    /// use hyper::StatusCode;
    /// assert!(FinalStatus::try_from(StatusCode::NOT_FOUND).is_ok());
    /// let unknown = StatusCode::from_u16(600).unwrap();
    /// assert_eq!(FinalStatus::try_from(unknown), Err(InvalidStatus(unknown)));
    /// ```
    fn try_from(status: StatusCode) -> Result<Self, InvalidStatus> {
        match status.as_u16() {
            200..=599 => Ok(Self(status)),
            _ => Err(InvalidStatus(status)),
        }
    }
}

impl From<FinalStatus> for StatusCode {
    fn from(FinalStatus(status): FinalStatus) -> Self {
        status
    }
}
