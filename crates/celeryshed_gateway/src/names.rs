//! Names of the HTTP headers that callers, entries and endpoints send.

use hyper::header::HeaderName;

/// Header names of a platform, set by its adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id, set by the caller for each attempt and repeated in the endpoint's answer.
    pub request_id: HeaderName,
    /// Milliseconds that the sender of a request still waits for the answer.
    pub time_limit: HeaderName,
    /// Id of the last event that the sender received; the stream resumes after that event.
    pub last_event: HeaderName,
    /// Proof that an endpoint created the answer.
    pub seal: HeaderName,
    /// API key of the caller; not forwarded to endpoints.
    pub key: HeaderName,
    /// Team of the caller, set by the entry.
    pub team: HeaderName,
    /// Id of the only endpoint that may run the request, set by the entry.
    pub endpoint: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Name of the requested model.
    pub model: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS` items separated by commas; the last part belongs
    /// to the request alone.
    pub prompt_parts: HeaderName,
    /// Number of output tokens that the caller expects.
    pub length_hint: HeaderName,
    /// Version of the weights that the endpoint serves, in its answers.
    pub version: HeaderName,
    /// Version of the weights that the endpoint must serve to run the request, set by the entry.
    pub expect_version: HeaderName,
    /// `1` in the answers of an endpoint that accepts no new work until it is started again.
    pub leaving: HeaderName,
    /// Seconds for which an endpoint accepts no work of this entry, in its answers of status 503.
    pub pause: HeaderName,
}
