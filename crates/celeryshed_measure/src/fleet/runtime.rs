//! Runtimes that can be killed with everything that runs in them.

use tokio::runtime::{Builder, Runtime};

use super::error::{Result, start_error};

/// A runtime for one role; dropping it cuts all of the role's connections, as SIGKILL does.
pub struct RoleRuntime {
    runtime: Option<Runtime>,
}

impl RoleRuntime {
    /// A runtime with `workers` threads.
    pub fn start(workers: usize) -> Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(workers).enable_all().build();
        Ok(Self { runtime: Some(runtime.map_err(start_error("a runtime"))?) })
    }

    /// Runs `future` in this runtime and returns its result.
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
