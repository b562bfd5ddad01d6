//! Routes `/healthz`, `/readyz` and `/metrics`.

use celeryshed_observe::MetricsRegistry;
use rocket::http::Status;
use rocket::{Route, State, get, routes};

/// Whether a process takes new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadyState {
    /// It does.
    Ready,
    /// Not yet, for this reason.
    Starting(String),
    /// No longer.
    Draining,
}

/// Answers `/readyz`; kept in rocket's managed state.
pub struct HealthProbe {
    check: Box<dyn Fn() -> ReadyState + Send + Sync>,
}

impl HealthProbe {
    /// A probe that calls `check` for each query.
    ///
    /// ```
    /// use celeryshed_server::{HealthProbe, ReadyState};
    /// let probe = HealthProbe::new(|| ReadyState::Draining);
    /// assert_eq!(probe.state(), ReadyState::Draining);
    /// ```
    pub fn new(check: impl Fn() -> ReadyState + Send + Sync + 'static) -> Self {
        Self { check: Box::new(check) }
    }

    /// The state now.
    pub fn state(&self) -> ReadyState {
        (self.check)()
    }
}

/// The routes; the server manages a [`HealthProbe`] and a [`MetricsRegistry`].
pub fn health_routes() -> Vec<Route> {
    routes![healthz, readyz, render_metrics]
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(probe: &State<HealthProbe>) -> (Status, String) {
    match probe.state() {
        ReadyState::Ready => (Status::Ok, "ready\n".to_owned()),
        ReadyState::Starting(reason) => {
            (Status::ServiceUnavailable, format!("starting: {reason}\n"))
        }
        ReadyState::Draining => (Status::ServiceUnavailable, "draining\n".to_owned()),
    }
}

#[get("/metrics")]
fn render_metrics(registry: &State<MetricsRegistry>) -> String {
    registry.render()
}
