//! Reports of an engine, and settings, with numbers at the end of their range.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_stager::{EngineReport, LayerRange};
use support::{FakeWeights, MODEL, start_limited_sidecar, start_sidecar};
use tokio::time::sleep;

/// Time for which the engine sends an odd report; several queries and a reload fit in.
const ODD_TIME: Duration = Duration::from_secs(2);

/// A report of the engine while it serves `version`.
fn report(version: u64) -> EngineReport {
    EngineReport {
        models: BTreeMap::from([(MODEL.to_owned(), version)]),
        started_at_ms: Some(0),
        ..EngineReport::default()
    }
}

/// Starts a sidecar beside an engine that sends an odd report, and checks that it loads version 2 at the
/// next start of the engine.
async fn check_load_after(odd: EngineReport) {
    let weights: Arc<FakeWeights> = FakeWeights::new(1, []);
    weights.set_odd_report(Some(odd));
    start_sidecar(&weights, 2);
    sleep(ODD_TIME).await;
    weights.restart();
    weights.set_odd_report(None);
    weights.wait_loaded(2).await;
}

/// Guards against an engine that never gets a version again since the sidecar's tasks have ended: it
/// reported the highest version.
#[tokio::test]
async fn highest_reported_version_ends_no_task() {
    check_load_after(report(u64::MAX)).await;
}

/// Guards against an engine that never gets a version again since the sidecar's tasks have ended: it
/// reported the highest number of accepted orders.
#[tokio::test]
async fn highest_reported_order_number_ends_no_task() {
    check_load_after(EngineReport { seq_no: Some(u64::MAX), ..report(1) }).await;
}

/// Guards against an engine that never gets a version again since the sidecar's tasks have ended: it
/// reported the highest layer as its first one.
#[tokio::test]
async fn highest_reported_layer_ends_no_task() {
    let layers = Some(LayerRange { from: u32::MAX, to: u32::MAX });
    check_load_after(EngineReport { layers, ..report(2) }).await;
}

/// Guards against a sidecar that ends at its start because the settings name more memory than can be
/// counted.
#[tokio::test]
async fn largest_memory_ends_no_sidecar() {
    let weights = FakeWeights::new(1, []);
    start_limited_sidecar(&weights, &[2], |_own| Vec::new(), usize::MAX);
    weights.wait_loaded(2).await;
}
