//! The metrics registry of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Collects the metrics of the process and renders them as Prometheus text.
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
    /// Installs the global recorder on the first call; later calls return the same registry.
    pub fn install() -> Self {
        let handle = HANDLE.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Fails if a test has installed another recorder; this registry then stays empty.
            let _ = metrics::set_global_recorder(recorder);
            handle
        });
        Self { handle: handle.clone() }
    }

    /// Returns the current metrics as Prometheus text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
