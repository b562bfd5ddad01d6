//! Failed requests to other sidecars.

use std::time::Duration;

use celeryshed_http::CallLimits;

use super::{FetchFailure, get_from_peer};

/// Guards against a sidecar that asks one that has gone for each piece, again and again.
#[tokio::test]
async fn unreachable_sidecar_counts_as_having_no_piece() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let limits = CallLimits::from(Duration::from_secs(1));
    let (failure, detail) = get_from_peer(&closed.to_string(), "/piece", limits).await.unwrap_err();
    assert_eq!(failure, FetchFailure::Missing, "{detail}");
}
