//! Reads what an endpoint states of itself in the head of an answer.

use celeryshed_dispatch::{EndpointNotice, HeaderValues, LeavingMark, NoticeError, PauseLength};
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};

use crate::names::HeaderNames;
use crate::request::attempt::AttemptPlan;
use crate::request::parse::{CallerRequest, header_text};

/// Reports the notices in a head, whatever becomes of the answer, before its body is read.
///
/// An answer to another request is ignored: another process may have sent it.
pub(crate) fn report_notices(
    names: &HeaderNames,
    request: &CallerRequest,
    plan: &AttemptPlan<'_>,
    head: &Parts,
) {
    let echoed = header_text(&head.headers, &names.request_id);
    if echoed.is_some_and(|id| id != request.request_id) {
        return;
    }
    let leaving = read_header(&head.headers, &names.leaving, |values| {
        LeavingMark::try_from(values).map(|LeavingMark| EndpointNotice::Leaving)
    });
    // The header has other meanings with other statuses.
    let pause = (head.status == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| {
            read_header(&head.headers, &names.pause, |values| {
                PauseLength::try_from(values).map(EndpointNotice::Paused)
            })
        })
        .flatten();
    for notice in leaving.into_iter().chain(pause) {
        plan.permit.report_notice(notice, head.status, &request.request_id);
    }
}

/// The notice in the header `name`; `None` if the header is missing or can't be used.
fn read_header(
    headers: &HeaderMap,
    name: &HeaderName,
    read: impl FnOnce(&HeaderValues<'_>) -> Result<EndpointNotice, NoticeError>,
) -> Option<EndpointNotice> {
    let values = HeaderValues(headers.get_all(name).iter().map(|value| value.as_bytes()).collect());
    if values.0.is_empty() {
        return None;
    }
    let error = match read(&values) {
        Ok(notice) => return Some(notice),
        Err(error) => error,
    };
    let labels = [("header", name.as_str().to_owned()), ("reason", error.name().to_owned())];
    metrics::counter!("celeryshed_endpoint_notices_rejected_total", &labels).increment(1);
    None
}
