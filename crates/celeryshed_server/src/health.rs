//! Routes `/healthz`, `/readyz` and `/metrics`.

use celeryshed_observe::MetricsRegistry;
use rocket::http::Status;
use rocket::{Route, State, get, routes};

/// Whether a process accepts new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadyState {
    /// The process accepts new work.
    Ready,
    /// The process doesn't accept work yet; holds the reason.
    Starting(String),
    /// The process finishes its work before it stops.
    Draining,
}

/// Determines the reply to `/readyz`; must be in rocket's managed state.
pub struct HealthProbe {
    check: Box<dyn Fn() -> ReadyState + Send + Sync>,
}

impl HealthProbe {
    /// Creates a probe that calls `check` for each request.
    ///
    /// ```
    /// use celeryshed_server::{HealthProbe, ReadyState};
    /// let probe = HealthProbe::new(|| ReadyState::Draining);
    /// assert_eq!(probe.state(), ReadyState::Draining);
    /// ```
    pub fn new(check: impl Fn() -> ReadyState + Send + Sync + 'static) -> Self {
        Self { check: Box::new(check) }
    }

    /// Returns the current state.
    pub fn state(&self) -> ReadyState {
        (self.check)()
    }
}

/// Returns the routes, which need a [`HealthProbe`] and a [`MetricsRegistry`] in rocket's managed
/// state.
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
