//! The steps of the demo.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ByteCount, ContentDigest, ModelName, ServiceName, VersionName};
use celeryshed_core::configuration::{ChangeKind, ModelVersion};
use celeryshed_server::TerminationSignal;
use celeryshed_wire::{WeightManifest, encode};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::bookings::{BookingTally, run_bookings};
use super::caller::DemoCaller;
use super::contracts::{api_key, contract_changes};
use super::report::DemoReport;
use super::streams::{StreamTally, run_streams};
use crate::fleet::{
    DeploymentPlan, EndpointControl, FleetError, Result, RunningFleet, start_error,
};

/// Size of the weights of one model version.
const MODEL_BYTES: usize = 4 << 20;

/// Size of the weight chunks.
const CHUNK_BYTES: usize = 64 << 10;

/// Time limit for a model version to be live on every engine.
const SPREAD_LIMIT: Duration = Duration::from_secs(12);

/// Time limit for all entries to serve completions after the start.
const START_LIMIT: Duration = Duration::from_secs(8);

/// Duration of the streams after an engine was killed.
const LOAD_AFTER_KILL: Duration = Duration::from_secs(2);

/// Options of the demo.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Whether the system stays up after the checks until SIGTERM or Ctrl-C.
    pub hold: bool,
}

/// Runs the demo; `progress` receives a line at the start of each step.
pub async fn run_demo(options: DemoOptions, progress: impl Fn(&str)) -> Result<DemoReport> {
    let plan = DeploymentPlan::hinokage();
    let started = Instant::now();
    let step =
        |text: &str| progress(&format!("{:5.1} s  {text}\n", started.elapsed().as_secs_f64()));
    step("starting 3 entries, 15 engines, 4 plain services and the platform");
    let mut fleet = RunningFleet::launch(&plan).await?;
    step("publishing 10 contracts and the first model version");
    for change in contract_changes() {
        fleet.publish(change).await?;
    }
    let first = publish_version(&mut fleet, "spring-1").await?;
    wait_live(&fleet, first).await?;
    wait_served(&fleet).await?;
    step("two teams stream while the second version spreads");
    let entries: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.address).collect();
    let (stop, stop_watch) = watch::channel(false);
    let callers = vec![caller("ordering-portal")?, caller("proof-checkers")?];
    let streams = tokio::spawn(run_streams(callers, entries.clone(), stop_watch));
    let spread_started = Instant::now();
    let second = publish_version(&mut fleet, "spring-2").await?;
    step("booking press runs, each key at every entry at once and once more");
    let bookings = run_bookings(&caller("press-desk")?, &entries).await;
    wait_live(&fleet, second).await?;
    let spread_time = spread_started.elapsed();
    step("killing an engine and its sidecar under load");
    kill_busiest_engine(&mut fleet);
    sleep(LOAD_AFTER_KILL).await;
    stop.send_replace(true);
    let streams = streams.await.map_err(start_error("the streams"))?;
    step("draining an entry while it streams");
    let drained = drain_under_stream(&mut fleet).await?;
    let mut report = DemoReport::default();
    report_spread(&mut report, &fleet, second, spread_time);
    report_streams(&mut report, &streams);
    report.add_fact("streams resumed at another engine", resumed_streams(&fleet));
    report_bookings(&mut report, &fleet, &bookings);
    report_drain(&mut report, &drained);
    if options.hold {
        serve_until_signal(&fleet, &progress).await?;
    }
    Ok(report)
}

fn caller(team: &str) -> Result<DemoCaller> {
    DemoCaller::new(team).map_err(start_error("a caller"))
}

/// Uploads a model version to the origin, publishes it and selects it for the engines.
///
/// Returns the digest of its manifest.
async fn publish_version(fleet: &mut RunningFleet, version: &str) -> Result<ContentDigest> {
    let origin = fleet.platform.origin.control();
    let model = ModelName::try_from("sowing").map_err(start_error("the model"))?;
    let name = VersionName::try_from(version).map_err(start_error("the version"))?;
    let weights = model_weights(version);
    let chunks = weights.chunks(CHUNK_BYTES);
    let chunks = chunks.map(|chunk| origin.insert(Bytes::copy_from_slice(chunk))).collect();
    let manifest = WeightManifest {
        model: model.clone(),
        version: name.clone(),
        chunk_bytes: CHUNK_BYTES as u32,
        total_bytes: MODEL_BYTES as u64,
        chunks,
    };
    let manifest = origin.insert(encode(&manifest).map_err(start_error("the manifest"))?);
    let size = ByteCount(MODEL_BYTES as u64);
    let published = ModelVersion { model, manifest, size };
    fleet.publish(ChangeKind::PublishModel(name.clone(), published)).await?;
    let service = ServiceName::try_from("copywriter").map_err(start_error("the service"))?;
    fleet.publish(ChangeKind::SelectVersion(service, name)).await?;
    Ok(manifest)
}

/// Pseudorandom weights, which differ between versions and between chunks.
fn model_weights(version: &str) -> Vec<u8> {
    let mut weights = Vec::with_capacity(MODEL_BYTES);
    for block in 0u64.. {
        if weights.len() >= MODEL_BYTES {
            break;
        }
        let digest = ContentDigest::of_parts(&[version.as_bytes(), &block.to_be_bytes()]);
        weights.extend_from_slice(digest.as_bytes());
    }
    weights.truncate(MODEL_BYTES);
    weights
}

async fn wait_until(
    condition: &str,
    limit: Duration,
    mut done: impl FnMut() -> bool,
) -> Result<()> {
    let deadline = Instant::now() + limit;
    while !done() {
        if Instant::now() > deadline {
            return Err(FleetError::Late { what: condition.to_owned(), seconds: limit.as_secs() });
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// The live version of each running engine.
fn live_versions(fleet: &RunningFleet) -> Vec<Option<ContentDigest>> {
    let running = fleet.endpoints.iter().filter(|endpoint| endpoint.is_running());
    let engines = running.filter_map(|endpoint| match &endpoint.control {
        EndpointControl::Engine(engine) => Some(engine.live()),
        EndpointControl::Plain(_) => None,
    });
    engines.collect()
}

async fn wait_live(fleet: &RunningFleet, version: ContentDigest) -> Result<()> {
    let all_live = || live_versions(fleet).iter().all(|live| *live == Some(version));
    wait_until("a version live on every engine", SPREAD_LIMIT, all_live).await
}

/// Waits until each entry serves a completion.
async fn wait_served(fleet: &RunningFleet) -> Result<()> {
    let caller = caller("ordering-portal")?;
    let deadline = Instant::now() + START_LIMIT;
    for entry in &fleet.entries {
        loop {
            let end = caller.stream(entry.address, "ready?", 1).await;
            if matches!(end, super::caller::StreamEnd::Whole { .. }) {
                break;
            }
            if Instant::now() > deadline {
                let what = format!("an answer of {}, last was {end:?},", entry.name);
                return Err(FleetError::Late { what, seconds: START_LIMIT.as_secs() });
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn kill_busiest_engine(fleet: &mut RunningFleet) {
    // The reported load is delayed by the report interval; the stand-in's counts are current.
    let running = |control: &EndpointControl| match control {
        EndpointControl::Engine(engine) => {
            let counts = engine.counts();
            let ended = counts.finished + counts.cancelled + counts.abandoned + counts.cut;
            counts.started.saturating_sub(ended)
        }
        EndpointControl::Plain(_) => 0,
    };
    let engines = fleet
        .endpoints
        .iter_mut()
        .filter(|endpoint| matches!(endpoint.control, EndpointControl::Engine(_)));
    if let Some(busiest) = engines.max_by_key(|endpoint| running(&endpoint.control)) {
        busiest.kill();
    }
}

fn resumed_streams(fleet: &RunningFleet) -> u64 {
    let engines = fleet.endpoints.iter().filter_map(|endpoint| match &endpoint.control {
        EndpointControl::Engine(engine) => Some(engine.counts().resumed),
        EndpointControl::Plain(_) => None,
    });
    engines.sum()
}

/// Results of a drain: a long stream already in progress and a request sent during the drain.
struct DrainTally {
    stream: StreamTally,
    rejected: StreamTally,
}

async fn drain_under_stream(fleet: &mut RunningFleet) -> Result<DrainTally> {
    const LONG_STREAM_TOKENS: u32 = 150;
    let (stream_caller, late_caller) = (caller("ordering-portal")?, caller("proof-checkers")?);
    let Some(entry) = fleet.entries.last_mut() else {
        return Err(start_error("the drain")("no entry"));
    };
    let address = entry.address;
    let stream = tokio::spawn(async move {
        stream_caller.stream(address, "a long text", LONG_STREAM_TOKENS).await
    });
    sleep(Duration::from_millis(500)).await;
    let late = async {
        sleep(Duration::from_millis(300)).await;
        late_caller.stream(address, "too late", 1).await
    };
    let (drained, late) = tokio::join!(entry.drain(), late);
    drained?;
    let mut tally = DrainTally { stream: StreamTally::default(), rejected: StreamTally::default() };
    let end = stream.await.map_err(start_error("the long stream"))?;
    tally.stream.add("a long text", LONG_STREAM_TOKENS, end);
    tally.rejected.add("too late", 1, late);
    Ok(tally)
}

fn report_spread(
    report: &mut DemoReport,
    fleet: &RunningFleet,
    version: ContentDigest,
    time: Duration,
) {
    let origin = fleet.platform.origin.control().counts();
    let live = live_versions(fleet);
    let count = live.iter().filter(|live| **live == Some(version)).count();
    let copies = origin.bytes_served as f64 / (2 * MODEL_BYTES) as f64;
    report.add_fact(
        "second version live on every engine after",
        format!("{:.2} s", time.as_secs_f64()),
    );
    report.add_fact("copies drawn from the origin per version", format!("{copies:.2}"));
    let counts = format!("{count} of {} engines run the selected version", live.len());
    report.add_check("the new version is live everywhere", counts, count == live.len());
    let counts = format!("{copies:.2} copies, 4 allowed");
    report.add_check("few copies leave the origin", counts, copies <= 4.0);
}

fn report_streams(report: &mut DemoReport, streams: &StreamTally) {
    report.add_fact("completions served while spreading", streams.whole);
    report.add_fact("versions that answered", streams.versions.len());
    report.add_fact("completions refused as not run", streams.refused);
    report.add_fact("completions ended by an explicit error", streams.errors);
    for example in &streams.examples {
        report.add_fact("example", example);
    }
    let counts =
        format!("{} of {} are exactly one version's tokens", streams.whole, streams.total());
    report.add_check("no mixed, partial or crossed answer", counts, streams.mismatched == 0);
    let counts = format!("{} without end marker or error", streams.broken);
    report.add_check("no answer ends silently", counts, streams.broken == 0 && streams.whole > 0);
    let lost = streams.errors + streams.refused;
    let counts = format!("{lost} of {} lost to the kill", streams.total());
    report.add_check("contracted callers get complete answers", counts, lost == 0);
}

fn report_bookings(report: &mut DemoReport, fleet: &RunningFleet, bookings: &BookingTally) {
    let mut executions_by_key: Vec<u64> = Vec::new();
    for endpoint in &fleet.endpoints {
        if let EndpointControl::Plain(service) = &endpoint.control {
            executions_by_key.extend(service.counts().by_key.values());
        }
    }
    let executions: u64 = executions_by_key.iter().sum();
    report.add_fact("press runs booked", bookings.keys);
    report.add_fact("booking requests, resends included", bookings.requests);
    report.add_fact("executions counted by the services", executions);
    for example in bookings.examples.iter().take(3) {
        report.add_fact("example", example);
    }
    let twice = executions_by_key.iter().filter(|count| **count > 1).count();
    let exact = executions == bookings.keys && twice == 0;
    let counts = format!("{executions} executions of {} keys, {twice} twice", bookings.keys);
    report.add_check("each booking runs exactly once", counts, exact);
    let counts = format!("{} of {} keys", bookings.consistent, bookings.keys);
    report.add_check(
        "resends get the recorded answer",
        counts,
        bookings.consistent == bookings.keys,
    );
}

fn report_drain(report: &mut DemoReport, drained: &DrainTally) {
    let counts = format!("{} of 1 long stream", drained.stream.whole);
    report.add_check("a drain cuts off nothing", counts, drained.stream.whole == 1);
    let counts = format!("{} of 1 refused with not_run true", drained.rejected.refused);
    report.add_check("a draining entry refuses truthfully", counts, drained.rejected.refused == 1);
}

/// Prints the addresses and API keys, then waits for a termination signal.
async fn serve_until_signal(fleet: &RunningFleet, progress: &impl Fn(&str)) -> Result<()> {
    let mut signal = TerminationSignal::install().map_err(start_error("signals"))?;
    for entry in &fleet.entries {
        progress(&format!("entry {} http://{}\n", entry.name, entry.address));
    }
    progress(&format!("log http://{}\n", fleet.platform.log.address()));
    progress(&format!("origin http://{}\n", fleet.platform.origin.address()));
    progress(&format!("API key of ordering-portal: {}\n", api_key("ordering-portal")));
    progress(&format!("API key of press-desk: {}\n", api_key("press-desk")));
    progress("running until SIGTERM or Ctrl-C\n");
    signal.wait().await;
    Ok(())
}
