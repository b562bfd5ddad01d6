//! Errors of settings and contract files.

use std::fmt;
use std::path::PathBuf;

use celeryshed_base::common_derives;

common_derives! { value:
    /// One invalid, missing or unknown section or key of a file.
    pub struct InvalidSetting {
        /// Section name without brackets; empty for keys before the first section.
        pub section: String,
        /// Key; empty when the error is about the section itself.
        pub key: String,
        /// Rejected value; `None` when the section or key is missing.
        pub value: Option<String>,
        /// Description of the accepted values.
        pub accepted: String,
    }
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "section [{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, ", key {}", self.key)?;
        }
        match &self.value {
            Some(value) => write!(f, ": {value:?} is not accepted; accepted: {}", self.accepted),
            None => write!(f, ": missing; accepted: {}", self.accepted),
        }
    }
}

/// Error of a settings or contract file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be opened or is not UTF-8.
    #[error("{}: can't be read: {reason}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Message of the I/O error.
        reason: String,
    },
    /// The file is not valid INI.
    #[error("{}: line {line}: {reason}", file.display())]
    Syntax {
        /// Path of the file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Message of the INI parser.
        reason: String,
    },
    /// The file has invalid content.
    #[error("{}", list_errors(file, errors))]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// All invalid settings of the file, in the order in which they were found.
        errors: Vec<InvalidSetting>,
    },
}

pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

fn list_errors(file: &std::path::Path, errors: &[InvalidSetting]) -> String {
    let lines: Vec<String> =
        errors.iter().map(|setting| format!("{}: {setting}", file.display())).collect();
    lines.join("\n")
}
