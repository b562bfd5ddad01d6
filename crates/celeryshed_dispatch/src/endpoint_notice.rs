//! What an endpoint states about itself in the headers of its answers.

use std::time::Duration;

use celeryshed_base::common_derives;

/// Result of checking a header.
type Result<T> = std::result::Result<T, NoticeError>;

/// Why a header can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoticeError {
    /// The value is empty.
    #[error("the header has no value")]
    Empty,
    /// Several values contradict each other.
    #[error("the header occurs with different values")]
    Contradictory,
    /// The value is a negative number.
    #[error("the value is negative")]
    Negative,
    /// The value is of another form, such as a date, or too large to represent.
    #[error("the value has an unknown form")]
    Unknown,
}

impl NoticeError {
    /// The error as written to logs and metrics.
    ///
    /// ```
    /// assert_eq!(celeryshed_dispatch::NoticeError::Negative.name(), "negative");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Contradictory => "contradictory",
            Self::Negative => "negative",
            Self::Unknown => "unknown",
        }
    }
}

common_derives! { value:
    /// The values of all header lines of one name, in the order of the answer.
    pub struct HeaderValues<'h>(pub Vec<&'h [u8]>);

    /// The endpoint accepts no new work until it is started again.
    #[derive(Copy)]
    pub struct LeavingMark;

    /// Time for which the endpoint accepts no work of this entry.
    #[derive(Copy)]
    pub struct PauseLength(pub Duration);

    /// What an endpoint states in one answer.
    #[derive(Copy)]
    pub enum EndpointNotice {
        /// It accepts no new work until it is started again.
        Leaving,
        /// It accepts no work of this entry for a time.
        Paused(PauseLength),
    }
}

impl EndpointNotice {
    /// The notice as written to logs and metrics.
    ///
    /// ```
    /// assert_eq!(celeryshed_dispatch::EndpointNotice::Leaving.name(), "leaving");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused(_) => "paused",
        }
    }
}

impl<'h> HeaderValues<'h> {
    /// The only value without surrounding spaces. A value that is repeated unchanged counts once.
    fn single(&self) -> Result<&'h str> {
        let (first, rest) = self.0.split_first().ok_or(NoticeError::Empty)?;
        if rest.iter().any(|value| value.trim_ascii() != first.trim_ascii()) {
            return Err(NoticeError::Contradictory);
        }
        match std::str::from_utf8(first.trim_ascii()) {
            Ok("") => Err(NoticeError::Empty),
            Ok(text) => Ok(text),
            Err(_) => Err(NoticeError::Unknown),
        }
    }
}

impl TryFrom<&HeaderValues<'_>> for LeavingMark {
    type Error = NoticeError;

    /// ```
    /// use celeryshed_dispatch::{HeaderValues, LeavingMark};
    /// assert!(LeavingMark::try_from(&HeaderValues(vec![b"1"])).is_ok());
    /// assert!(LeavingMark::try_from(&HeaderValues(vec![b"0"])).is_err());
    /// ```
    fn try_from(values: &HeaderValues<'_>) -> Result<Self> {
        match values.single()? {
            "1" => Ok(Self),
            text if is_negative(text) => Err(NoticeError::Negative),
            _ => Err(NoticeError::Unknown),
        }
    }
}

impl TryFrom<&HeaderValues<'_>> for PauseLength {
    type Error = NoticeError;

    /// Reads seconds, which may have a fraction.
    ///
    /// ```
    /// use celeryshed_dispatch::{HeaderValues, PauseLength};
    /// use std::time::Duration;
    /// let length = PauseLength::try_from(&HeaderValues(vec![b"1.5"])).unwrap();
    /// assert_eq!(length, PauseLength(Duration::from_millis(1500)));
    /// ```
    fn try_from(values: &HeaderValues<'_>) -> Result<Self> {
        let text = values.single()?;
        if is_negative(text) {
            return Err(NoticeError::Negative);
        }
        // Excludes forms that only the number parser accepts, such as `inf` and `1e3`.
        if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
            return Err(NoticeError::Unknown);
        }
        let seconds: f64 = text.parse().map_err(|_| NoticeError::Unknown)?;
        Duration::try_from_secs_f64(seconds).map(Self).map_err(|_| NoticeError::Unknown)
    }
}

fn is_negative(text: &str) -> bool {
    text.strip_prefix('-').is_some_and(|rest| rest.parse::<f64>().is_ok())
}
