//! Decisions of the thin entries and sidecars: which route a request takes, which endpoint gets it,
//! how long it waits, when it is refused, what may be sent again, and which weights are loaded when.
//!
//! Nothing here does I/O or reads a clock: callers pass events and the time, and carry out what is
//! returned. [`EntryDispatcher`] joins the decisions that one entry takes; the `staging` modules
//! hold those of a sidecar.

mod budget;
mod caller_retry;
mod crashes;
mod deadline;
mod directory;
mod dispatcher;
mod endpoint;
mod health;
mod load;
mod peers;
mod placement;
mod refusal;
mod rendezvous;
mod request;
mod retry;
mod routes;
mod staging;
mod timing;
mod waiting;

pub use budget::{BudgetLimits, RetryBudget};
pub use caller_retry::is_caller_retry;
pub use crashes::{RequestFingerprint, RequestQuarantine};
pub use deadline::VersionDeadlines;
pub use directory::{DirectoryRecord, EndpointDirectory};
pub use dispatcher::{DispatchDecision, DispatcherSettings, EndpointTarget, EntryDispatcher};
pub use endpoint::{EndpointHash, EndpointId, EndpointState, EndpointStatus, ListedEndpoint};
pub use health::{AttemptOutcome, HealthRecord, NotRunReason, UnknownReason};
pub use load::{EndpointLoad, LoadScope, PeerLoad};
pub use peers::PeerAddress;
pub use refusal::{RefusalReason, retry_after};
pub use request::{RequestNumber, RequestProfile};
pub use retry::{AttemptHistory, RetryVerdict};
pub use routes::{
    CallerLimits, EngineProfile, OriginProfile, RouteDenial, RouteGrant, RouteKind, RouteRule,
    RoutingSnapshot, ServiceProfile, SplitTarget, SplitWeight, TeamProfile,
};
pub use staging::{
    ManifestError, PieceFetch, PiecePicker, PieceSet, PieceSource, ReloadSchedule, SidecarPeer,
    StageManifest, UploadPacer, VersionTarget, manifest_sources,
};
pub use timing::EngineTiming;
