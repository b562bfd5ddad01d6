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
        /// The team that pays for it.
        pub team: TeamName,
        /// The service asked for.
        pub service: ServiceName,
        /// Priority at the endpoint.
        pub priority: PriorityClass,
        /// Time left until the request's deadline, in milliseconds.
        pub deadline_ms: u64,
        /// Identifies the request's content, to recognise one that crashes endpoints.
        pub fingerprint: ContentDigest,
        /// Whether the fingerprint is suspected of a crash: it runs beside no other suspect.
        pub suspect: bool,
        /// What to do.
        pub work: AttemptWork,
    }

    /// The work of an attempt.
    pub enum AttemptWork {
        /// A completion by a model engine.
        Completion(CompletionWork),
        /// A call to a plain service.
        Call(CallWork),
    }

    /// A completion.
    pub struct CompletionWork {
        /// The prompt.
        pub prompt: String,
        /// Most tokens to generate.
        pub max_tokens: u32,
        /// Adapter on top of the model.
        pub adapter: Option<AdapterName>,
        /// Version that must answer; set on a resume.
        pub version: Option<ContentDigest>,
        /// Tokens already delivered; the engine continues after them.
        pub resume_after: Vec<String>,
    }

    /// A call to a plain service.
    pub struct CallWork {
        /// HTTP method.
        pub method: String,
        /// Path and query below the service's root, without a leading slash.
        pub path: String,
        /// Content type of the body.
        pub content_type: Option<String>,
        /// The body.
        pub body: ByteBuf,
        /// The caller's idempotency key, which the service gets too.
        #[serde(default)]
        pub idempotency_key: Option<String>,
        /// Set for a booking: the claim that permits the run.
        pub claim: Option<ClaimPermit>,
    }

    /// The claim that permits one run of a booking.
    pub struct ClaimPermit {
        /// The claim.
        pub claim_id: ClaimId,
        /// Partition of the claim log that holds it.
        pub partition: u32,
        /// Offset of the claim in its partition.
        pub offset: LogOffset,
        /// When the log took the claim.
        pub appended_at: UnixMillis,
        /// The only incarnation that may run it.
        pub side_incarnation: ProcessIncarnation,
    }

    /// Priority at an endpoint, lowest first.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum PriorityClass {
        /// No contract, or above the contract.
        BestEffort,
        /// Within the team's contract.
        Contracted,
        /// May not be displaced.
        Booking,
    }

    /// One event in the answer to an attempt.
    pub struct AttemptEvent {
        /// The attempt that it belongs to.
        pub attempt_id: AttemptId,
        /// What happened.
        pub kind: AttemptEventKind,
    }

    /// Kinds of events.
    pub enum AttemptEventKind {
        /// Load of the endpoint as of now; sent before the other events.
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
            /// Its text.
            text: String,
        },
        /// Whole answer of a plain service.
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
        /// Content type of the body.
        pub content_type: Option<String>,
        /// The body.
        pub body: ByteBuf,
    }

    /// Why an attempt has no complete answer.
    pub struct AttemptFailure {
        /// Whether the work was not run.
        pub not_run: RunStatus,
        /// The cause.
        pub cause: FailureCause,
        /// Details for people.
        pub detail: String,
        /// Suggested pause before another attempt, in milliseconds.
        pub retry_after_ms: Option<u64>,
    }

    /// Causes of a failed attempt.
    #[derive(Copy, Eq)]
    pub enum FailureCause {
        /// The endpoint is leaving.
        Leaving,
        /// All slots are taken by work of the same or a higher class.
        Busy,
        /// The model, version or adapter is not live here.
        NotLive,
        /// Displaced by work of a higher class.
        Displaced,
        /// Cancelled by the entry.
        Cancelled,
        /// The endpoint failed while the work ran.
        EndpointFailed,
        /// The endpoint could not be reached.
        EndpointUnreachable,
        /// The claim names another incarnation, is sealed or too old.
        ClaimRefused,
        /// The deadline passed.
        DeadlinePassed,
        /// The fingerprint is refused, or can't run beside another suspect now.
        Quarantined,
    }

    /// Whether a request was run.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// It was not run and will not be.
        NotRun,
        /// It ran.
        Ran,
        /// It can't be known.
        Unknown,
    }

    /// Asks a sidecar to stop an attempt.
    pub struct CancelRequest {
        /// The attempt.
        pub attempt_id: AttemptId,
    }
}
