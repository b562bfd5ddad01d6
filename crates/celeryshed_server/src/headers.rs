//! Headers of replies between processes.

use rocket::fairing::{AdHoc, Fairing};

/// Paths that only processes of the system call; callers' paths keep all headers.
const INTERNAL_PATHS: [&str; 2] = ["/entry/", "/side/"];

/// Headers that rocket adds for browsers. They were 102 of the 260 bytes of a reply to a revision
/// exchange, of which each process answers several a second within 3 KB/s for everything.
const BROWSER_HEADERS: [&str; 3] =
    ["X-Content-Type-Options", "X-Frame-Options", "Permissions-Policy"];

/// Removes headers for browsers from replies to other processes.
pub(crate) fn short_internal_headers() -> impl Fairing {
    AdHoc::on_response("short internal headers", |request, response| {
        Box::pin(async move {
            let path = request.uri().path();
            if INTERNAL_PATHS.iter().any(|prefix| path.starts_with(prefix)) {
                for header in BROWSER_HEADERS {
                    response.remove_header(header);
                }
            }
        })
    })
}
