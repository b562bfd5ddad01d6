//! Tokio runtimes that are killed together with all of their tasks.

use tokio::runtime::{Builder, Runtime};

use super::error::{Result, start_error};

/// The runtime of one role; dropping it closes all of the role's connections, as SIGKILL does.
pub struct RoleRuntime {
    runtime: Option<Runtime>,
}

impl RoleRuntime {
    /// Starts a runtime with `workers` threads.
    pub fn start(workers: usize) -> Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(workers).enable_all().build();
        Ok(Self { runtime: Some(runtime.map_err(start_error("a runtime"))?) })
    }

    /// Runs `future` in this runtime and returns its result.
    ///
    /// Fails when the future panics or the runtime shuts down first.
    pub async fn run<T, F>(&self, future: F) -> Result<T>
    where
        T: Send + 'static,
        F: Future<Output = T> + Send + 'static,
    {
        let Some(runtime) = &self.runtime else {
            return Err(start_error("a task")("its runtime has ended"));
        };
        runtime.spawn(future).await.map_err(start_error("a task"))
    }
}

impl Drop for RoleRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
