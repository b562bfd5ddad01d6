//! Errors of the stand-ins.

use std::fmt::Display;
use std::net::SocketAddr;

/// Reason why a stand-in can't be started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StandinError {
    /// The server didn't start, for example because its port is taken.
    #[error("stand-in server failed to start at {address}: {reason}")]
    Launch {
        /// Address that the server was told to bind.
        address: SocketAddr,
        /// Error of the HTTP server.
        reason: String,
    },
    /// An option has an invalid value.
    #[error("option {key} = {value} is invalid: expected {expected}")]
    Option {
        /// Field of the unchecked options.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// Range or format of valid values.
        expected: &'static str,
    },
}

impl StandinError {
    pub(crate) fn launch(address: SocketAddr, reason: &dyn Display) -> Self {
        Self::Launch { address, reason: reason.to_string() }
    }

    pub(crate) fn option(key: &'static str, value: impl Display, expected: &'static str) -> Self {
        Self::Option { key, value: value.to_string(), expected }
    }
}

/// Result of launching a stand-in or checking its options.
pub type Result<T> = std::result::Result<T, StandinError>;
