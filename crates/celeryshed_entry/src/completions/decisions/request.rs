//! State of a request, and the result of placing it.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{
    AdapterName, ContentDigest, InstanceName, MonoTime, RequestId, ServiceName, TeamName,
};
use celeryshed_core::admission::{AdmissionGrant, SlotClass};
use celeryshed_core::routing::{DispatchId, PromptPrefix, RoutingChoice, RoutingQuery};

use super::outcome::EntryRefusal;

/// Properties of a request that determine its admission and endpoint.
#[derive(Clone, Debug)]
pub struct RequestProfile {
    /// Random id, set by the route.
    pub request_id: RequestId,
    /// Team that sends the request, or `uncontracted`.
    pub team: TeamName,
    /// Requested service.
    pub service: ServiceName,
    /// Requested adapter; `None` for the base model and for plain calls.
    pub adapter: Option<AdapterName>,
    /// Estimated number of tokens of the prompt; 0 for a plain call.
    pub prompt_tokens: u64,
    /// Hashed prefixes of the prompt, shortest first; empty for a plain call.
    pub prefixes: Vec<PromptPrefix>,
    /// Maximum number of generated tokens; 0 for a plain call.
    pub max_tokens: u32,
    /// Digest of the content, by which the quarantine recognizes a request that is sent again.
    pub fingerprint: ContentDigest,
    /// Time from the arrival to the deadline.
    pub time_left: Duration,
}

/// Destination and conditions of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedAttempt {
    /// Chosen endpoint.
    pub choice: RoutingChoice,
    /// Service of the endpoint; differs from the requested one if the contract allows a smaller
    /// model.
    pub service: ServiceName,
    /// Class of the slot, given by the admission.
    pub class: SlotClass,
    /// Whether the request was in flight at a crash; suspects must not run together.
    pub suspect: bool,
}

/// Result of placing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Start this attempt now.
    Dispatch(PlacedAttempt),
    /// The request waits for a slot; `EntryDecisions::place_waiting` returns its placement.
    Wait,
    /// The request is refused.
    Refuse(EntryRefusal),
}

/// State of a request in progress.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) profile: RequestProfile,
    pub(super) service: ServiceName,
    pub(super) grant: AdmissionGrant,
    pub(super) arrived: MonoTime,
    pub(super) first_token: Option<MonoTime>,
    /// Model version of the answer; `None` before the first token.
    pub(super) version: Option<ContentDigest>,
    /// The running attempt; `None` between attempts.
    pub(super) running_dispatch: Option<DispatchId>,
    /// Endpoints that failed or don't have the required version.
    pub(super) excluded: BTreeSet<InstanceName>,
    /// Endpoints that refused this suspect because another suspect was running there.
    pub(super) suspect_conflicts: BTreeSet<InstanceName>,
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
            running_dispatch: None,
            excluded: BTreeSet::new(),
            suspect_conflicts: BTreeSet::new(),
            failures: 0,
        }
    }

    pub(super) fn deadline(&self) -> MonoTime {
        self.arrived + self.profile.time_left
    }

    pub(super) fn query(&self, may_displace: bool, reserves_headroom: bool) -> RoutingQuery {
        RoutingQuery {
            service: self.service.clone(),
            version: self.version,
            adapter: self.profile.adapter.clone(),
            prompt_tokens: self.profile.prompt_tokens,
            prefixes: self.profile.prefixes.clone(),
            seed: self.profile.request_id.0.as_u128() as u64,
            class: self.grant.class,
            may_displace,
            reserves_headroom,
            excluded: self.excluded.union(&self.suspect_conflicts).cloned().collect(),
        }
    }
}
