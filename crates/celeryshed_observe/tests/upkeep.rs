//! Memory of metrics that nobody reads.

use std::time::Duration;

use celeryshed_observe::MetricsRegistry;
use tokio::time::sleep;

/// Values recorded between two upkeeps.
const BATCH_VALUES: usize = 50_000;
const BATCHES: usize = 60;
/// Far less than the recorded values take up, at eight bytes each and more.
const MAX_GROWTH_BYTES: usize = 8 * 1024 * 1024;

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

/// Guards against a process that runs out of memory because nobody reads its metrics: a histogram
/// kept each value that was recorded since.
#[tokio::test(start_paused = true)]
async fn unread_histograms_do_not_grow() {
    tokio::spawn(MetricsRegistry::install().run_upkeep());
    let answers = metrics::histogram!("answers_seconds");
    let mut first = None;
    for _ in 0..BATCHES {
        for value in 0..BATCH_VALUES {
            answers.record(value as f64 / 1e4);
        }
        sleep(Duration::from_secs(60)).await;
        first.get_or_insert_with(resident_bytes);
    }
    let growth = resident_bytes().saturating_sub(first.unwrap_or_default());
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
}
