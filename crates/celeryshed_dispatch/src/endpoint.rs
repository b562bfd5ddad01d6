//! State of an endpoint as reported by the list of endpoints and by the endpoint's sidecar.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, MonoTime, ServiceName, common_derives};
use serde::{Deserialize, Serialize};

use crate::rendezvous::rendezvous;

/// Identifies one run of an endpoint, from its start to its end.
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
    /// 32-bit hash that stands for an [`EndpointId`] in messages between entries.
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
    /// Whether an endpoint accepts new work.
    #[derive(Copy)]
    pub enum EndpointState {
        /// Accepts new work.
        Ready,
        /// Finishes the work that it has and accepts no more.
        Draining,
    }

    /// An entry in the list of endpoints.
    pub struct ListedEndpoint {
        /// Service that the endpoint serves.
        pub service: ServiceName,
        /// Address as `IP:PORT`.
        pub address: String,
        /// Its availability zone.
        pub zone: AvailabilityZone,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts new work.
        pub state: EndpointState,
        /// Loaded version of each model; a model that is only partly loaded is not listed.
        pub models: BTreeMap<String, u64>,
        /// Start of the endpoint in Unix milliseconds; distinguishes restarts under the same id.
        pub started_at_ms: u64,
        /// Number of the record among those of this start, later ones having higher numbers; `None` if
        /// it isn't known.
        pub seq_no: Option<u64>,
    }

    /// Last status that the sidecar reported of its endpoint.
    pub struct EndpointStatus {
        /// When the status no longer counts, unless a newer one has arrived by then.
        pub expires_at: MonoTime,
        /// Loaded version of each model; a model that is only partly loaded is not listed.
        pub models: BTreeMap<String, u64>,
        /// Whether the endpoint accepts work; `false` while it loads weights or waits to load them.
        pub accepting: bool,
        /// Time at which it will stop accepting work to load weights; `None` if no load is planned.
        pub closing_at: Option<MonoTime>,
    }
}

impl EndpointStatus {
    /// Until when the status counts. That the endpoint is closed counts for `max_silence` longer.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::EndpointStatus;
    /// use std::time::Duration;
    /// let expires_at = MonoTime::ZERO + Duration::from_secs(2);
    /// let (models, closing_at) = (Default::default(), None);
    /// let status = EndpointStatus { expires_at, models, accepting: false, closing_at };
    /// let until = status.counts_until(Duration::from_secs(12));
    /// assert_eq!(until, MonoTime::ZERO + Duration::from_secs(14));
    /// ```
    pub fn counts_until(&self, max_silence: Duration) -> MonoTime {
        match self.accepting {
            true => self.expires_at,
            false => self.expires_at + max_silence,
        }
    }
}

impl ListedEndpoint {
    /// The version of `model` that the endpoint serves; `None` if it doesn't serve the model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.get(model).copied()
    }
}
