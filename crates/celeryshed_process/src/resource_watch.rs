//! Watches the memory of the process and the pace of its runtime.

use std::time::Duration;

use celeryshed_observe::EventLine;
use tokio::time::{Instant, sleep};

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a check from which the runtime counts as stalled.
const STALL_LIMIT: Duration = Duration::from_millis(500);
/// Least time between two log lines on memory.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Something that holds memory, as written to the log: its name, and its bytes or count.
pub type HolderFigure = (&'static str, usize);

/// Memory of this process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// What it takes now.
    pub resident: usize,
    /// The most that it ever took.
    pub peak: usize,
}

/// Logs when the process takes most of its machine's memory, and when its tasks had to wait. A process
/// that is killed for its memory can't write a line any more.
#[derive(Clone, Debug)]
pub struct ResourceWatch<F> {
    memory_limit: usize,
    holders: F,
}

impl<F: Fn() -> Vec<HolderFigure>> ResourceWatch<F> {
    /// A watch over a process that may take `memory_limit` bytes; `holders` tells what holds them.
    ///
    /// ```
    /// use celeryshed_process::{MemoryUsage, ResourceWatch};
    /// let watch = ResourceWatch::new(260_000_000, || vec![("connections", 3)]);
    /// let usage = MemoryUsage { resident: 9_000_000, peak: 230_000_000 };
    /// let line = watch.usage_line(usage);
    /// assert!(line.text().ends_with("peak=230000000 limit=260000000 connections=3"));
    /// ```
    pub fn new(memory_limit: usize, holders: F) -> Self {
        Self { memory_limit, holders }
    }

    /// The event that tells the memory in use and its holders.
    pub fn usage_line(&self, usage: MemoryUsage) -> EventLine {
        let line = EventLine::new("memory_high")
            .field("resident", usage.resident)
            .field("peak", usage.peak)
            .field("limit", self.memory_limit);
        (self.holders)().into_iter().fold(line, |line, (name, figure)| line.field(name, figure))
    }

    /// Checks until the process ends.
    pub async fn run(self) {
        let mut logged_peak = self.memory_limit / 4 * 3;
        let mut logged_at: Option<Instant> = None;
        loop {
            let due_at = Instant::now() + CHECK_INTERVAL;
            sleep(CHECK_INTERVAL).await;
            let delay = due_at.elapsed();
            if delay >= STALL_LIMIT {
                EventLine::new("runtime_stalled").field("delay_ms", delay.as_millis()).warn();
                metrics::counter!("celeryshed_runtime_stalls_total").increment(1);
            }
            // Systems without this file offer no other way that needs no extra right.
            let Some(usage) = own_memory() else { continue };
            metrics::gauge!("celeryshed_resident_bytes").set(usage.resident as f64);
            // The peak also shows what was returned between two checks.
            let is_due = logged_at.is_none_or(|logged_at| logged_at.elapsed() >= LOG_INTERVAL);
            if usage.peak > logged_peak && is_due {
                logged_at = Some(Instant::now());
                logged_peak = usage.peak;
                self.usage_line(usage).warn();
            }
        }
    }
}

/// Memory of this process; `None` if the system doesn't tell it.
fn own_memory() -> Option<MemoryUsage> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let bytes = |name: &str| {
        let value = status.lines().find_map(|line| line.strip_prefix(name))?;
        let kibibytes: usize = value.split_whitespace().next()?.parse().ok()?;
        Some(kibibytes.saturating_mul(1024))
    };
    Some(MemoryUsage { resident: bytes("VmRSS:")?, peak: bytes("VmHWM:")? })
}
