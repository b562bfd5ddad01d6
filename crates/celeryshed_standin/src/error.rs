//! Errors of the stand-ins.

use std::fmt::Display;
use std::net::SocketAddr;

/// A stand-in that can't be started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StandinError {
    /// The server didn't start.
    #[error("stand-in can't serve at {address}: {reason}")]
    Launch {
        /// Address that it was to bind.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// An option has a value that isn't accepted.
    #[error("option {key} = {value} is rejected: accepted is {accepted}")]
    Option {
        /// The option.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is accepted.
        accepted: &'static str,
    },
}

impl StandinError {
    pub(crate) fn launch(address: SocketAddr, reason: &dyn Display) -> Self {
        Self::Launch { address, reason: reason.to_string() }
    }

    pub(crate) fn option(key: &'static str, value: impl Display, accepted: &'static str) -> Self {
        Self::Option { key, value: value.to_string(), accepted }
    }
}

/// Result of this package.
pub type Result<T> = std::result::Result<T, StandinError>;
