//! Problem details (RFC 9457).

use celeryshed_base::{RequestId, common_derives};

use crate::attempts::RunStatus;

common_derives! { wire:
    /// Body of every refusal and error that callers receive.
    pub struct ProblemDetails {
        /// Stable identifier of the problem type, a URI reference such as `/problems/overloaded`.
        #[serde(rename = "type")]
        pub kind: String,
        /// Short summary of the problem type.
        pub title: String,
        /// HTTP status code.
        pub status: u16,
        /// Explanation of what happened to this request.
        pub detail: String,
        /// Id of the request.
        pub request_id: RequestId,
        /// Whether the request ran. Callers receive JSON `true` for [`RunStatus::NotRun`], `false`
        /// for [`RunStatus::Ran`] or `"unknown"`.
        pub not_run: RunStatus,
        /// Suggested pause before a retry, in milliseconds; `None` for no suggestion.
        pub retry_after_ms: Option<u64>,
    }
}
