//! Requests as the decisions see them.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{
    AdapterName, ContentDigest, InstanceName, MonoTime, RequestId, ServiceName, TeamName,
};
use celeryshed_core::admission::{AdmissionGrant, SlotClass};
use celeryshed_core::routing::{DispatchId, PromptPrefix, RoutingChoice, RoutingQuery};

use super::outcome::EntryRefusal;

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct RequestProfile {
    /// Its id.
    pub request_id: RequestId,
    /// The team.
    pub team: TeamName,
    /// The service asked for.
    pub service: ServiceName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Its prefixes.
    pub prefixes: Vec<PromptPrefix>,
    /// Most tokens to generate; 0 for a plain call.
    pub max_tokens: u32,
    /// Identifies its content.
    pub fingerprint: ContentDigest,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedAttempt {
    /// The endpoint.
    pub choice: RoutingChoice,
    /// The service, which differs from the one asked for after a change to a smaller model.
    pub service: ServiceName,
    /// The class.
    pub class: SlotClass,
    /// Whether the request is suspected of a crash.
    pub suspect: bool,
}

/// Result of looking for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Goes there now.
    Dispatch(PlacedAttempt),
    /// Waits for a slot; `EntryDecisions::place_waiting` places it.
    Wait,
    /// Is refused.
    Refuse(EntryRefusal),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) profile: RequestProfile,
    pub(super) service: ServiceName,
    pub(super) grant: AdmissionGrant,
    pub(super) arrived: MonoTime,
    pub(super) first_token: Option<MonoTime>,
    /// Set from the first delivered token on.
    pub(super) version: Option<ContentDigest>,
    /// Endpoint of the running attempt.
    pub(super) running_at: Option<DispatchId>,
    /// Endpoints that failed or don't have the version.
    pub(super) excluded: BTreeSet<InstanceName>,
    /// Endpoints where another suspect ran.
    pub(super) suspects_at: BTreeSet<InstanceName>,
    pub(super) failures: u32,
}

impl RequestRecord {
    pub(super) fn new(profile: RequestProfile, grant: AdmissionGrant, now: MonoTime) -> Self {
        Self {
            service: profile.service.clone(),
            profile,
            grant,
            arrived: now,
            first_token: None,
            version: None,
            running_at: None,
            excluded: BTreeSet::new(),
            suspects_at: BTreeSet::new(),
            failures: 0,
        }
    }

    pub(super) fn deadline(&self) -> MonoTime {
        self.arrived + self.profile.time_left
    }

    pub(super) fn query(&self, may_displace: bool, headroom: bool) -> RoutingQuery {
        RoutingQuery {
            service: self.service.clone(),
            version: self.version,
            adapter: self.profile.adapter.clone(),
            prompt_tokens: self.profile.prompt_tokens,
            prefixes: self.profile.prefixes.clone(),
            seed: self.profile.request_id.0.as_u128() as u64,
            class: self.grant.class,
            may_displace,
            headroom,
            excluded: self.excluded.union(&self.suspects_at).cloned().collect(),
        }
    }
}
