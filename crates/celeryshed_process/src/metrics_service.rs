//! The service that exposes the metrics of a process.

use std::net::SocketAddr;

use bytes::Bytes;
use celeryshed_http::ConnectionServer;
use celeryshed_observe::{EventLine, MetricsRegistry};
use http_body_util::Full;
use hyper::Response;

use crate::listen::{listen_tcp, open_sockets};

/// Serves the metrics at `address` once it is free. The process goes on without them until then.
///
/// ```no_run
/// # async fn example(server: celeryshed_http::ConnectionServer) {
/// use celeryshed_observe::MetricsRegistry;
/// use celeryshed_process::serve_metrics;
/// let address = "127.0.0.1:9464".parse().unwrap();
/// tokio::spawn(serve_metrics(server, address, MetricsRegistry::install()));
/// # }
/// ```
pub async fn serve_metrics(
    server: ConnectionServer,
    address: SocketAddr,
    registry: MetricsRegistry,
) {
    let listener = match open_sockets(|| listen_tcp("the metrics service", address)).await {
        Ok(listener) => listener,
        Err(error) => {
            EventLine::new("metrics_unavailable").field("error", error).error();
            return;
        }
    };
    let respond = move |_request, _from| {
        let text = registry.render();
        async move { Response::new(Full::new(Bytes::from(text))) }
    };
    server.run(listener, respond).await;
}
