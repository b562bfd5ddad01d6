//! The metrics registry of the process.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time::sleep;

use crate::log_writer::ensure_log_writer;

/// Time between two upkeeps. A histogram keeps each recorded value until the next one.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(10);

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

    /// Condenses the values recorded in histograms from time to time, so that they don't take up memory
    /// while nobody reads the metrics, and starts the thread of the log if the system has refused it so
    /// far. Never completes.
    ///
    /// ```
    /// use celeryshed_observe::MetricsRegistry;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// let upkeep = runtime.spawn(MetricsRegistry::install().run_upkeep());
    /// assert!(!upkeep.is_finished());
    /// ```
    pub async fn run_upkeep(self) {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            self.handle.run_upkeep();
            ensure_log_writer();
        }
    }

    /// Returns the current metrics as Prometheus text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
