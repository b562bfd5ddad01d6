//! What is known of one endpoint from the list of endpoints and from its sidecar.

use std::collections::BTreeMap;
use std::fmt;

use celeryshed_base::{AvailabilityZone, MonoTime, ServiceName, common_derives};
use serde::{Deserialize, Serialize};

use crate::rendezvous::rendezvous;

/// Identifies one start of an endpoint.
///
/// ```
/// use celeryshed_dispatch::EndpointId;
/// assert_eq!(EndpointId::from("i-1").as_str(), "i-1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointId(String);

impl EndpointId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for EndpointId {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

common_derives! { index:
    /// Short form of an [`EndpointId`] in messages between entries; equal ids have equal hashes.
    ///
    /// ```
    /// use celeryshed_dispatch::{EndpointId, EndpointHash};
    /// let id = EndpointId::from("i-1");
    /// assert_eq!(EndpointHash::from(&id), EndpointHash::from(&id.clone()));
    /// ```
    pub struct EndpointHash(pub u32);
}

impl From<&EndpointId> for EndpointHash {
    fn from(id: &EndpointId) -> Self {
        Self(rendezvous(id.as_str(), 0) as u32)
    }
}

common_derives! { value:
    /// Whether an endpoint takes new work.
    #[derive(Copy)]
    pub enum EndpointState {
        /// Takes work.
        Ready,
        /// Is leaving; finishes what it has.
        Draining,
    }

    /// An endpoint as the list of endpoints gives it.
    pub struct ListedEndpoint {
        /// The service that it belongs to.
        pub service: ServiceName,
        /// Address as `IP:PORT`.
        pub address: String,
        /// Its availability zone.
        pub zone: AvailabilityZone,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: EndpointState,
        /// Versions of whole models that it has loaded.
        pub models: BTreeMap<String, u64>,
        /// Start of the endpoint in Unix milliseconds; tells restarts under one id apart.
        pub started_at_ms: u64,
    }

    /// What the sidecar last said of its endpoint.
    pub struct EndpointStatus {
        /// When the status arrived.
        pub received_at: MonoTime,
        /// Versions of whole models that are loaded.
        pub models: BTreeMap<String, u64>,
        /// Whether the endpoint accepts work, and is not about to load weights.
        pub accepting: bool,
        /// When it will stop accepting work in order to load weights.
        pub closing_at: Option<MonoTime>,
    }
}

impl ListedEndpoint {
    /// The version of `model` that the endpoint serves, if it serves it.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.get(model).copied()
    }
}
