//! Client of a plain service.

use std::time::Duration;

use celeryshed_http::FinalStatus;
use celeryshed_wire::{AttemptFailure, CallWork, FailureCause, RunStatus, ServiceAnswer};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Method, StatusCode};
use serde_bytes::ByteBuf;
use tokio::time::timeout;

use super::engine::send_failure;
use super::runner::failure;

/// Header by which services recognise a repeated booking.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// One call to a plain service.
#[derive(Debug)]
pub(super) struct PlainCall<'a> {
    pub(super) http: &'a reqwest::Client,
    pub(super) base_url: &'a str,
    pub(super) time_limit: Duration,
}

impl PlainCall<'_> {
    /// Calls the service without retries.
    pub(super) async fn run(&self, work: &CallWork) -> Result<ServiceAnswer, AttemptFailure> {
        match timeout(self.time_limit, self.call(work)).await {
            Ok(answer) => answer,
            Err(_) => {
                let detail = "the service did not answer before the deadline";
                Err(failure(RunStatus::Unknown, FailureCause::DeadlinePassed, detail))
            }
        }
    }

    async fn call(&self, work: &CallWork) -> Result<ServiceAnswer, AttemptFailure> {
        let method = Method::from_bytes(work.method.as_bytes()).map_err(|_| {
            let detail = format!("{:?} is not an HTTP method", work.method);
            failure(RunStatus::NotRun, FailureCause::NotLive, &detail)
        })?;
        let url = format!("{}/{}", self.base_url, work.path);
        let mut request = self.http.request(method, url).body(work.body.to_vec());
        if let Some(content_type) = &work.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = &work.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let response = request.send().await.map_err(send_failure)?;
        read_answer(response).await
    }
}

async fn read_answer(response: reqwest::Response) -> Result<ServiceAnswer, AttemptFailure> {
    let status = FinalStatus::try_from(response.status()).map_err(|invalid| {
        failure(RunStatus::Unknown, FailureCause::EndpointFailed, &invalid.to_string())
    })?;
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.bytes().await.map_err(|error| {
        let detail = format!("the answer was cut off: {error}");
        failure(RunStatus::Ran, FailureCause::EndpointFailed, &detail)
    })?;
    Ok(ServiceAnswer {
        status: StatusCode::from(status).as_u16(),
        content_type,
        body: ByteBuf::from(body.to_vec()),
    })
}
