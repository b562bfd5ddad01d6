//! Metrics of HTTP requests: count and time to the response's head, by route and status.

use rocket::fairing::{Fairing, Info, Kind};
use rocket::{Data, Request, Response};
use tokio::time::Instant;

/// Label value for requests that match no route. Their paths would make the number of label values
/// unbounded.
const NO_ROUTE: &str = "none";

/// Fairing that counts requests and measures the time to the response's head.
pub(crate) struct RequestMetrics;

#[derive(Clone, Copy)]
struct ArrivalTime(Instant);

#[rocket::async_trait]
impl Fairing for RequestMetrics {
    fn info(&self) -> Info {
        Info { name: "request metrics", kind: Kind::Request | Kind::Response }
    }

    async fn on_request(&self, request: &mut Request<'_>, _data: &mut Data<'_>) {
        request.local_cache(|| ArrivalTime(Instant::now()));
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, response: &mut Response<'r>) {
        let ArrivalTime(arrived) = *request.local_cache(|| ArrivalTime(Instant::now()));
        let route = request.route().map_or(NO_ROUTE.to_owned(), |route| route.uri.to_string());
        let status = response.status().code.to_string();
        let labels = [("route", route), ("status", status)];
        metrics::counter!("celeryshed_http_requests_total", &labels).increment(1);
        metrics::histogram!("celeryshed_http_response_seconds", &labels)
            .record(arrived.elapsed().as_secs_f64());
    }
}
