//! Addresses of the other entries.

use serde::{Deserialize, Serialize};

/// Address of another entry as `IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PeerAddress(pub String);
