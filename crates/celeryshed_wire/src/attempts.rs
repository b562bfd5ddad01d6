//! Dispatch of work from an entry to a sidecar.

use celeryshed_base::{
    AdapterName, AttemptId, ClaimId, ContentDigest, LogOffset, ProcessIncarnation, RequestId,
    ServiceName, TeamName, UnixMillis, common_derives,
};
use serde_bytes::ByteBuf;

use crate::reports::LoadReport;

common_derives! { wire:
    /// One attempt to run a request at the endpoint beside a sidecar.
    pub struct AttemptRequest {
        /// Id of this attempt; every event of the answer carries it.
        pub attempt_id: AttemptId,
        /// Id of the caller's request.
        pub request_id: RequestId,
        /// Team of the caller.
        pub team: TeamName,
        /// Service that the caller asked for.
        pub service: ServiceName,
        /// Priority at the endpoint.
        pub priority: PriorityClass,
        /// Time left until the request's deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Digest of the request's content, by which requests that crash endpoints are recognised.
        pub fingerprint: ContentDigest,
        /// Whether the fingerprint was in flight when an endpoint crashed. An endpoint runs one
        /// such suspect at a time.
        pub suspect: bool,
        /// Completion or call to run.
        pub work: AttemptWork,
    }

    /// The work of an attempt.
    pub enum AttemptWork {
        /// A completion by a model engine.
        Completion(CompletionWork),
        /// A call to a plain service.
        Call(CallWork),
    }

    /// Input of a completion.
    pub struct CompletionWork {
        /// Text to complete.
        pub prompt: String,
        /// Most tokens in the whole answer, including those of `resume_after`.
        pub max_tokens: u32,
        /// Adapter to apply to the model; `None` for the model alone.
        pub adapter: Option<AdapterName>,
        /// Version that must answer; set when an interrupted answer is resumed, otherwise `None`.
        pub version: Option<ContentDigest>,
        /// Tokens that the caller has already received; the engine continues after them.
        pub resume_after: Vec<String>,
    }

    /// A call to a plain service.
    pub struct CallWork {
        /// HTTP method.
        pub method: String,
        /// Path and query below the service's root, without a leading slash.
        pub path: String,
        /// Content type of the request body; `None` when the caller sent none.
        pub content_type: Option<String>,
        /// Request body.
        pub body: ByteBuf,
        /// Idempotency key of the caller, passed on to the service; `None` when absent.
        #[serde(default)]
        pub idempotency_key: Option<String>,
        /// Claim that permits the run; `None` when the call isn't a booking.
        pub claim: Option<ClaimPermit>,
    }

    /// The claim that permits one run of a booking.
    pub struct ClaimPermit {
        /// Id of the claim.
        pub claim_id: ClaimId,
        /// Partition of the claim log that holds the claim.
        pub partition: u32,
        /// Offset of the claim in its partition.
        pub offset: LogOffset,
        /// Time of the append, by the log's clock.
        pub appended_at: UnixMillis,
        /// The only sidecar incarnation that may run the claim.
        pub side_incarnation: ProcessIncarnation,
    }

    /// Priority at an endpoint, lowest first.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum PriorityClass {
        /// The team has no contract or exceeds it.
        BestEffort,
        /// Within the team's contract.
        Contracted,
        /// A booking; other work can't displace it.
        Booking,
    }

    /// One event in the answer to an attempt.
    pub struct AttemptEvent {
        /// Attempt that the event belongs to.
        pub attempt_id: AttemptId,
        /// Kind of the event, with its content.
        pub kind: AttemptEventKind,
    }

    /// Kinds of events in the answer to an attempt.
    pub enum AttemptEventKind {
        /// Current load of the endpoint; sent before the other events.
        Load(LoadReport),
        /// The endpoint took the work.
        Started {
            /// Version of the model that answers; `None` for plain services.
            version: Option<ContentDigest>,
        },
        /// One token.
        Token {
            /// Index of the token in the whole answer, from 0.
            index: u32,
            /// Text of the token.
            text: String,
        },
        /// The whole answer of a plain service.
        Answer(ServiceAnswer),
        /// The answer is complete.
        Finished {
            /// Tokens in the whole answer.
            tokens: u32,
        },
        /// The attempt ended without a complete answer.
        Failed(AttemptFailure),
    }

    /// Answer of a plain service.
    pub struct ServiceAnswer {
        /// HTTP status.
        pub status: u16,
        /// Content type of the answer's body; `None` when the service sent none.
        pub content_type: Option<String>,
        /// Body of the answer.
        pub body: ByteBuf,
    }

    /// Why an attempt has no complete answer.
    pub struct AttemptFailure {
        /// Whether the work ran.
        pub not_run: RunStatus,
        /// Category of the failure, by which the entry decides about a retry.
        pub cause: FailureCause,
        /// Human-readable details.
        pub detail: String,
        /// Suggested pause before another attempt, in milliseconds; `None` for no suggestion.
        pub retry_after_ms: Option<u64>,
    }

    /// Causes of a failed attempt.
    #[derive(Copy, Eq)]
    pub enum FailureCause {
        /// The endpoint is leaving.
        Leaving,
        /// Work of the same or a higher priority class occupies all slots.
        Busy,
        /// The endpoint doesn't serve the requested model, version or adapter.
        NotLive,
        /// Displaced by work of a higher priority class.
        Displaced,
        /// Cancelled by the entry.
        Cancelled,
        /// The endpoint failed while the work ran.
        EndpointFailed,
        /// The endpoint could not be reached.
        EndpointUnreachable,
        /// The claim names another incarnation, is sealed or is too old.
        ClaimRefused,
        /// The request's deadline passed.
        DeadlinePassed,
        /// The fingerprint has crashed endpoints, or another suspect occupies the endpoint.
        Quarantined,
    }

    /// Whether a request was run.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// The request did not run and never will.
        NotRun,
        /// The request ran.
        Ran,
        /// The request may have run.
        Unknown,
    }

    /// Asks a sidecar to stop an attempt.
    pub struct CancelRequest {
        /// Id of the attempt to stop.
        pub attempt_id: AttemptId,
    }
}
