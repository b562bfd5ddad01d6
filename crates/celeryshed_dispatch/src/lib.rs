//! Decision logic of the entry and sidecar programs for small instances, which run without rocket
//! (`celeryshed_gateway` and `celeryshed_stager`): routing, endpoint selection, queueing, refusal,
//! retries, and fetching and loading of weights.
//!
//! This crate does no I/O and reads no clock: callers pass events and the current time, and carry
//! out the returned decisions. [`EntryDispatcher`] combines all decisions of an entry; the
//! `staging` modules hold those of a sidecar.

mod activity;
mod bounded_map;
mod budget;
mod caller_retry;
mod deadline;
mod directory;
mod dispatcher;
mod endpoint;
mod endpoint_access;
mod endpoint_notice;
mod health;
mod load;
mod pacing;
mod peers;
mod placement;
mod prompt_guard;
mod quarantine;
mod refusal;
mod rendezvous;
mod request;
mod retry;
mod routes;
mod staging;
mod stall;
mod timing;
mod unlisted_statuses;
mod waiting_queue;

pub use activity::AnswerActivity;
pub use bounded_map::{BoundedMap, InsertOutcome};
pub use budget::{BudgetLimits, RetryBudget};
pub use caller_retry::is_caller_retry;
pub use deadline::VersionDeadlines;
pub use directory::{DirectoryRecord, EndpointDirectory, MAX_REMOVED_ENDPOINTS};
pub use dispatcher::{DispatchDecision, DispatcherSettings, EndpointTarget, EntryDispatcher};
pub use endpoint::{EndpointHash, EndpointId, EndpointState, EndpointStatus, ListedEndpoint};
pub use endpoint_access::{EndpointStart, NoticeChange, NoticeLimits, ReopeningCause};
pub use endpoint_notice::{EndpointNotice, HeaderValues, LeavingMark, NoticeError, PauseLength};
pub use health::{AttemptOutcome, HealthRecord, NotRunReason, UnknownReason};
pub use load::{EndpointLoad, LoadReport, LoadScope, PeerLoad};
pub use pacing::{
    MAX_PEERS, PeerAudience, heartbeat_interval, inventory_interval, load_lifetime,
    message_lifetime, status_interval, told_heartbeat_lifetime, told_load_lifetime,
    told_status_lifetime,
};
pub use peers::PeerAddress;
pub use prompt_guard::{
    CrashNotice, GuardEvent, GuardReport, PartId, PromptGuard, PromptPart, Suspicion, shared_parts,
};
pub use quarantine::{RequestFingerprint, RequestQuarantine};
pub use refusal::{RefusalReason, retry_after};
pub use request::{RequestNumber, RequestProfile};
pub use retry::{AttemptHistory, RetryVerdict};
pub use routes::{
    CallerLimits, EngineProfile, OriginProfile, RouteDenial, RouteGrant, RouteKind, RouteRule,
    RoutingSnapshot, ServiceProfile, SplitTarget, SplitWeight, TeamProfile, UnreadableParts,
    UnreadableRoute,
};
pub use staging::{
    ManifestError, PieceFetch, PiecePicker, PieceSet, PieceSource, ReloadSchedule, SidecarPeer,
    StageManifest, UploadPacer, VersionTarget, manifest_sources,
};
pub use stall::StallLimits;
pub use timing::EngineTiming;
