//! The process's metrics.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Renders the process's metrics as Prometheus text.
///
/// ```
/// use celeryshed_observe::MetricsRegistry;
/// let registry = MetricsRegistry::install();
/// metrics::counter!("requests_total").increment(1);
/// assert!(registry.render().contains("requests_total 1"));
/// ```
#[derive(Clone)]
pub struct MetricsRegistry {
    handle: PrometheusHandle,
}

impl MetricsRegistry {
    /// Installs the recorder on the first call; later calls give the same registry.
    pub fn install() -> Self {
        let handle = HANDLE.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Another recorder may be installed by a test; ours then stays empty.
            let _ = metrics::set_global_recorder(recorder);
            handle
        });
        Self { handle: handle.clone() }
    }

    /// The metrics as Prometheus text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
