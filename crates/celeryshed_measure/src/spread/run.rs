//! Runs the experiment and collects its figures.

use std::collections::BTreeMap;
use std::io::Write;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ByteCount, ContentDigest, ModelName, ServiceName, TokenRate, VersionName};
use celeryshed_core::configuration::{
    ConfigurationState, EndpointKind, ModelVersion, ServiceDefinition,
};
use celeryshed_wire::{WeightManifest, encode};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, RngCore, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval_at, sleep, timeout};

use super::fleet::{FleetParts, FleetSide};
use super::links::LinkNetwork;
use super::live_requests::{LivePhase, LiveRecorder, LiveRequests};
use super::options::{SpreadMeasureError, SpreadMeasureOptions};
use super::report::SpreadReport;
use super::sources::FaultPlan;

/// Time during which live requests are measured before the distribution starts.
const BASELINE_DURATION: Duration = Duration::from_secs(6);

/// Longest delay until a sidecar receives the configuration that selects the version; each sidecar
/// has a random delay.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_millis(500);

/// Interval of the progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Time limit of a run, as a multiple of the lower bound of its duration.
const TIME_LIMIT_FACTOR: u32 = 12;

/// Share of the window after which instances are killed.
const KILL_AFTER_WINDOW_SHARE: f64 = 0.3;

/// Runs the experiment and writes key=value lines to `out`, the summary last.
///
/// Runs on the caller's Tokio runtime, which should have several threads.
pub async fn measure_spread(
    options: &SpreadMeasureOptions,
    out: &mut (dyn Write + Send),
) -> Result<SpreadReport, SpreadMeasureError> {
    options.check()?;
    writeln!(out, "run=spread {}", describe(options))?;
    let names = run_names().map_err(|reason| SpreadMeasureError::Start { index: 0, reason })?;
    let (blobs, state) = create_model(options, &names)
        .map_err(|reason| SpreadMeasureError::Start { index: 0, reason })?;
    let manifest = state.versions[&names.version].manifest;
    let parts = FleetParts {
        options: options.clone(),
        network: Arc::new(LinkNetwork::new(options)),
        faults: Arc::new(FaultPlan::new(options.replicas, options.corrupt_percent, options.seed)),
        blobs: Arc::new(blobs),
        service: names.service.clone(),
    };
    let sides = parts.start().await?;
    let recorder = Arc::new(LiveRecorder::new());
    let _live_requests = start_live_requests(&parts, &sides, &recorder);
    sleep(BASELINE_DURATION).await;
    recorder.set_phase(LivePhase::Distribution);
    let killed = choose_killed_instances(options);
    let (origin_bytes_before, started) = (parts.network.origin_bytes(), Instant::now());
    let _distribution_tasks = start_distribution(&parts, &sides, state, &killed);
    let waiting = wait_until_live(options, &sides, &killed, manifest, started);
    let mut times = write_progress(options, &parts, started, waiting, out).await?;
    recorder.set_phase(LivePhase::AfterDistribution);
    times.sort_by(f64::total_cmp);
    let report =
        spread_report(options, &parts, &recorder, &times, killed.len(), origin_bytes_before);
    writeln!(out, "{report}")?;
    Ok(report)
}

struct RunNames {
    service: ServiceName,
    model: ModelName,
    version: VersionName,
}

fn run_names() -> Result<RunNames, String> {
    let error_text = |error: celeryshed_base::NameError| error.to_string();
    Ok(RunNames {
        service: ServiceName::try_from("engines").map_err(error_text)?,
        model: ModelName::try_from("measured").map_err(error_text)?,
        version: VersionName::try_from("v1").map_err(error_text)?,
    })
}

fn describe(options: &SpreadMeasureOptions) -> String {
    format!(
        "replicas={} size_mib={} deployment={:?} plan={:?} weighing={:?} seed={} kill_percent={} \
         corrupt_percent={} window_s={} chunk_kib={}",
        options.replicas,
        options.size_mib,
        options.deployment,
        options.plan,
        options.goal(),
        options.seed,
        options.kill_percent,
        options.corrupt_percent,
        options.window.as_secs_f64(),
        options.chunk_kib,
    )
}

/// Creates a model of random bytes, and the configuration that selects it.
fn create_model(
    options: &SpreadMeasureOptions,
    names: &RunNames,
) -> Result<(BTreeMap<ContentDigest, Bytes>, ConfigurationState), String> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut content = vec![0; options.size_bytes() as usize];
    random.fill_bytes(&mut content);
    let content = Bytes::from(content);
    let mut blobs = BTreeMap::new();
    let mut chunks = Vec::new();
    for chunk in content.chunks(options.chunk_bytes() as usize) {
        let digest = ContentDigest::of(chunk);
        blobs.insert(digest, content.slice_ref(chunk));
        chunks.push(digest);
    }
    let total_bytes = content.len() as u64;
    let manifest = WeightManifest {
        model: names.model.clone(),
        version: names.version.clone(),
        chunk_bytes: options.chunk_bytes(),
        total_bytes,
        chunks,
    };
    let encoded = encode(&manifest).map_err(|error| error.to_string())?;
    let digest = ContentDigest::of(&encoded);
    blobs.insert(digest, encoded);
    let mut state = ConfigurationState::default();
    let definition = ServiceDefinition {
        kind: EndpointKind::Engine,
        endpoints: options.replicas as u32,
        slots_per_endpoint: 8,
        tokens_per_endpoint: TokenRate(1000),
        version: Some(names.version.clone()),
    };
    state.services.insert(names.service.clone(), definition);
    let size = ByteCount(total_bytes);
    let version = ModelVersion { model: names.model.clone(), manifest: digest, size };
    state.versions.insert(names.version.clone(), version);
    Ok((blobs, state))
}

fn start_live_requests(
    parts: &FleetParts,
    sides: &[FleetSide],
    recorder: &Arc<LiveRecorder>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(recorder.clone().measure_timers());
    for (instance, side) in sides.iter().enumerate() {
        let requests = LiveRequests {
            instance,
            requests_per_s: f64::from(parts.options.live_per_s),
            region_count: parts.options.regions().len(),
            seed: parts.options.seed.wrapping_add(instance as u64),
            network: parts.network.clone(),
            faults: parts.faults.clone(),
            weights: side.handle.clone(),
            recorder: recorder.clone(),
        };
        tasks.spawn(requests.run());
    }
    tasks
}

fn choose_killed_instances(options: &SpreadMeasureOptions) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(options.seed.wrapping_add(1));
    let mut order: Vec<_> = (0..options.replicas).collect();
    order.shuffle(&mut random);
    order.truncate(options.replicas * options.kill_percent as usize / 100);
    order
}

/// Sends the configuration that selects the version to all sidecars, and schedules the killing of
/// instances.
fn start_distribution(
    parts: &FleetParts,
    sides: &[FleetSide],
    state: ConfigurationState,
    killed: &[usize],
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut random = StdRng::seed_from_u64(parts.options.seed.wrapping_add(2));
    let state = Arc::new(state);
    for side in sides {
        let delay = MAX_CONFIGURATION_DELAY.mul_f64(random.random::<f64>());
        let (configuration, state) = (side.configuration.clone(), state.clone());
        tasks.spawn(async move {
            sleep(delay).await;
            configuration.send_replace(Some(state));
        });
    }
    let (faults, killed) = (parts.faults.clone(), killed.to_vec());
    let kill_after = parts.options.window.mul_f64(KILL_AFTER_WINDOW_SHARE);
    tasks.spawn(async move {
        sleep(kill_after).await;
        killed.into_iter().for_each(|instance| faults.kill(instance));
    });
    tasks
}

/// Waits for `waiting` and writes a progress line every [`PROGRESS_INTERVAL`] until it ends.
async fn write_progress<T>(
    options: &SpreadMeasureOptions,
    parts: &FleetParts,
    started: Instant,
    waiting: impl Future<Output = T>,
    out: &mut (dyn Write + Send),
) -> Result<T, SpreadMeasureError> {
    let mut ticks = interval_at(started + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    let mut waiting = pin!(waiting);
    let mut last_carried = 0;
    loop {
        tokio::select! {
            result = &mut waiting => return Ok(result),
            now = ticks.tick() => {
                let carried = parts.network.instance_bytes().iter().sum::<u64>();
                let capacity = options.instance_bytes_per_s() * PROGRESS_INTERVAL.as_secs_f64();
                let used = (carried - last_carried) as f64 / (capacity * options.replicas as f64);
                last_carried = carried;
                let origin = parts.network.origin_bytes() as f64 / options.size_bytes();
                let at = (now - started).as_secs_f64();
                writeln!(out, "at_s={at:.0} links_used={used:.2} origin_copies={origin:.3}")?;
            }
        }
    }
}

/// Waits until the version is live on all instances that aren't killed, and returns for each its
/// seconds since `started`; instances that exceed the time limit are left out.
async fn wait_until_live(
    options: &SpreadMeasureOptions,
    sides: &[FleetSide],
    killed: &[usize],
    manifest: ContentDigest,
    started: Instant,
) -> Vec<f64> {
    let limit = (options.min_duration() * TIME_LIMIT_FACTOR).max(options.window);
    let mut tasks = JoinSet::new();
    for (_, side) in sides.iter().enumerate().filter(|(index, _)| !killed.contains(index)) {
        let mut live = side.handle.live_version();
        tasks.spawn(async move {
            let wait = live.wait_for(|live| *live == Some(manifest));
            let is_live = matches!(timeout(limit, wait).await, Ok(Ok(_)));
            is_live.then(|| started.elapsed().as_secs_f64())
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

fn spread_report(
    options: &SpreadMeasureOptions,
    parts: &FleetParts,
    recorder: &LiveRecorder,
    times: &[f64],
    killed: usize,
    origin_bytes_before: u64,
) -> SpreadReport {
    let size = options.size_bytes();
    let floor_s = options.min_duration().as_secs_f64();
    let time_to_n_s = times.last().copied().unwrap_or(f64::INFINITY);
    let (before, during) = recorder.first_token_p95_s();
    let busiest_link_bytes = parts.network.instance_bytes().into_iter().max().unwrap_or_default();
    SpreadReport {
        alive: options.replicas - killed,
        live: times.len(),
        time_to_n_s,
        time_to_half_s: times.get(times.len() / 2).copied().unwrap_or(f64::INFINITY),
        floor_s,
        time_ratio: time_to_n_s / floor_s,
        origin_copies: (parts.network.origin_bytes() - origin_bytes_before) as f64 / size,
        interregion_copies: parts.network.max_region_bytes() as f64 / size,
        link_copies_max: busiest_link_bytes as f64 / size,
        ttft_p95_before_s: before,
        ttft_p95_during_s: during,
        ttft_p95_ratio: during / before,
        timer_late_p95_s: recorder.timer_lateness_p95_s(),
    }
}
