//! Faults of settings files.

use std::fmt;
use std::path::PathBuf;

use celeryshed_base::common_derives;

common_derives! { value:
    /// One fault of a file.
    pub struct SettingsFault {
        /// Section, `[name]`.
        pub section: String,
        /// Key, empty when the section itself is at fault.
        pub key: String,
        /// The value found; `None` when it is missing.
        pub value: Option<String>,
        /// What is accepted.
        pub accepted: String,
    }
}

impl fmt::Display for SettingsFault {
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

/// A file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: can't be read: {reason}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The reason.
        reason: String,
    },
    /// The file is not INI.
    #[error("{}: line {line}: {reason}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        reason: String,
    },
    /// The file has faults.
    #[error("{}", list_faults(file, faults))]
    Faults {
        /// The file.
        file: PathBuf,
        /// Its faults.
        faults: Vec<SettingsFault>,
    },
}

/// Result of this package.
pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

fn list_faults(file: &std::path::Path, faults: &[SettingsFault]) -> String {
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("{}: {fault}", file.display())).collect();
    lines.join("\n")
}
