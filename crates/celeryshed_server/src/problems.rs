//! Problem details (RFC 9457) for requests that ended without a reply from their route.

use rocket::http::{ContentType, Status};
use rocket::{Catcher, Request, catch, catchers};

/// Returns one catcher for all statuses.
pub(crate) fn problem_catchers() -> Vec<Catcher> {
    catchers![any_problem]
}

/// Reports `not_run` as `true` unless the status is a server error: a request that reached no
/// handler was not run, but a handler that failed may have run it.
#[catch(default)]
fn any_problem(status: Status, request: &Request<'_>) -> (ContentType, String) {
    let not_run = if status.class().is_server_error() { "\"unknown\"" } else { "true" };
    let title = status.reason_lossy();
    let (method, path) = (request.method(), request.uri().path());
    let detail = format!("{method} {path} ended with status {}", status.code);
    let body = format!(
        "{{\"type\":\"about:blank\",\"title\":{title:?},\"status\":{},\"detail\":{detail:?},\
         \"not_run\":{not_run}}}\n",
        status.code,
    );
    (ContentType::new("application", "problem+json"), body)
}
