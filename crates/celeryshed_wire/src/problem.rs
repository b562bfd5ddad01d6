//! Problem details (RFC 9457).

use celeryshed_base::{RequestId, common_derives};

use crate::attempts::RunStatus;

common_derives! { wire:
    /// Body of each refusal and error towards callers.
    pub struct ProblemDetails {
        /// Stable identifier of the kind of problem, a URI reference such as `/problems/overloaded`.
        #[serde(rename = "type")]
        pub kind: String,
        /// Short summary.
        pub title: String,
        /// HTTP status.
        pub status: u16,
        /// What happened to this request.
        pub detail: String,
        /// Id of the request.
        pub request_id: RequestId,
        /// Whether the request was not run; JSON `true`, `false` or `"unknown"` towards callers.
        pub not_run: RunStatus,
        /// Suggested pause before another try, in milliseconds.
        pub retry_after_ms: Option<u64>,
    }
}
