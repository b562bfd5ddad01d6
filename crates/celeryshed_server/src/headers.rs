//! Response headers between processes.

use rocket::fairing::{AdHoc, Fairing};

/// Prefixes of paths that only entries and sidecars call. Replies to callers keep all headers.
const INTERNAL_PATHS: [&str; 2] = ["/entry/", "/side/"];

/// Headers that rocket adds for browsers. They take 102 of the 260 bytes of a reply to a revision
/// exchange. Each process sends several such replies per second and may use 3 KB/s for all
/// messages.
const BROWSER_HEADERS: [&str; 3] =
    ["X-Content-Type-Options", "X-Frame-Options", "Permissions-Policy"];

/// Removes [`BROWSER_HEADERS`] from replies to other processes.
pub(crate) fn strip_browser_headers() -> impl Fairing {
    AdHoc::on_response("strip browser headers", |request, response| {
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
