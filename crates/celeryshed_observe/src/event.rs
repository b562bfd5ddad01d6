//! Log lines in `key=value` form.

use std::fmt::{Display, Write};

/// A log line for one event, in the form `event=NAME key=value ...`.
///
/// ```
/// use celeryshed_observe::EventLine;
/// let line = EventLine::new("request_refused").field("status", 503).field("detail", "no slot");
/// assert_eq!(line.text(), "event=request_refused status=503 detail=\"no slot\"");
/// ```
#[derive(Debug)]
#[must_use]
pub struct EventLine {
    text: String,
}

impl EventLine {
    /// Creates a line for the event `name`.
    pub fn new(name: &str) -> Self {
        Self { text: format!("event={}", quote(name)) }
    }

    /// Appends a field; the value is quoted when necessary, see [`quote`].
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        // Writing to a String can't fail.
        let _ = write!(self.text, " {key}={}", quote(&value));
        self
    }

    /// Returns the text of the line, without time and level.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Logs the line at level info.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Logs the line at level warn.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }

    /// Logs the line at level error.
    pub fn error(self) {
        log::error!("{}", self.text);
    }

    /// Logs the line at level debug.
    pub fn debug(self) {
        log::debug!("{}", self.text);
    }
}

/// Quotes a value that is empty or contains white space, control characters, quotes or equals
/// signs.
///
/// ```
/// assert_eq!(celeryshed_observe::quote("plain"), "plain");
/// assert_eq!(celeryshed_observe::quote("two words"), "\"two words\"");
/// ```
pub fn quote(value: &str) -> String {
    let needs_quotes = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=');
    if value.is_empty() || value.contains(needs_quotes) {
        format!("{value:?}")
    } else {
        value.to_owned()
    }
}
