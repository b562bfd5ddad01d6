//! One run of the experiment.

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
use super::live::{LiveLoad, LivePhase, LiveRecorder};
use super::options::{SpreadMeasureError, SpreadMeasureOptions};
use super::report::SpreadReport;
use super::sources::FaultPlan;

/// Live requests alone, before the spread.
const BASELINE: Duration = Duration::from_secs(6);

/// Sidecars learn of the version within this time of its selection, each at a random moment.
const CONFIGURATION_SPREAD: Duration = Duration::from_millis(500);

/// Interval of the lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// A run is given up after this many lower bounds.
const GIVE_UP_FLOORS: u32 = 12;

/// Part of the window after which instances are killed.
const KILL_AT: f64 = 0.3;

/// Runs the experiment and writes key=value lines to `out`, the summary last.
///
/// Runs on the caller's runtime, which should have several threads.
pub async fn measure_spread(
    options: &SpreadMeasureOptions,
    out: &mut (dyn Write + Send),
) -> Result<SpreadReport, SpreadMeasureError> {
    options.check()?;
    writeln!(out, "run=spread {}", describe(options))?;
    let names = names().map_err(|reason| SpreadMeasureError::Start { index: 0, reason })?;
    let (blobs, state) = publish(options, &names)
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
    let _live_load = start_live(&parts, &sides, &recorder);
    sleep(BASELINE).await;
    recorder.enter(LivePhase::During);
    let killed = choose_killed(options);
    let (origin_before, started) = (parts.network.origin_bytes(), Instant::now());
    let _fleet_tasks = select(&parts, &sides, state, &killed);
    let waiting = wait_live(options, &sides, &killed, manifest, started);
    let mut times = with_progress(options, &parts, started, waiting, out).await?;
    recorder.enter(LivePhase::After);
    times.sort_by(f64::total_cmp);
    let report = report(options, &parts, &recorder, &times, killed.len(), origin_before);
    writeln!(out, "{report}")?;
    Ok(report)
}

struct RunNames {
    service: ServiceName,
    model: ModelName,
    version: VersionName,
}

fn names() -> Result<RunNames, String> {
    let text = |error: celeryshed_base::NameError| error.to_string();
    Ok(RunNames {
        service: ServiceName::try_from("engines").map_err(text)?,
        model: ModelName::try_from("measured").map_err(text)?,
        version: VersionName::try_from("v1").map_err(text)?,
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
        options.weighing(),
        options.seed,
        options.kill_percent,
        options.corrupt_percent,
        options.window.as_secs_f64(),
        options.chunk_kib,
    )
}

/// Makes a model of random bytes, and the configuration that selects it.
fn publish(
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

fn start_live(
    parts: &FleetParts,
    sides: &[FleetSide],
    recorder: &Arc<LiveRecorder>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(recorder.clone().probe_timers());
    for (instance, side) in sides.iter().enumerate() {
        let load = LiveLoad {
            instance,
            per_s: f64::from(parts.options.live_per_s),
            regions: parts.options.regions().len(),
            seed: parts.options.seed.wrapping_add(instance as u64),
            network: parts.network.clone(),
            faults: parts.faults.clone(),
            weights: side.handle.clone(),
            recorder: recorder.clone(),
        };
        tasks.spawn(load.run());
    }
    tasks
}

fn choose_killed(options: &SpreadMeasureOptions) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(options.seed.wrapping_add(1));
    let mut order: Vec<_> = (0..options.replicas).collect();
    order.shuffle(&mut random);
    order.truncate(options.replicas * options.kill_percent as usize / 100);
    order
}

/// Selects the version everywhere, and kills the chosen instances later.
fn select(
    parts: &FleetParts,
    sides: &[FleetSide],
    state: ConfigurationState,
    killed: &[usize],
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut random = StdRng::seed_from_u64(parts.options.seed.wrapping_add(2));
    let state = Arc::new(state);
    for side in sides {
        let pause = CONFIGURATION_SPREAD.mul_f64(random.random::<f64>());
        let (configuration, state) = (side.configuration.clone(), state.clone());
        tasks.spawn(async move {
            sleep(pause).await;
            configuration.send_replace(Some(state));
        });
    }
    let (faults, killed) = (parts.faults.clone(), killed.to_vec());
    let kill_after = parts.options.window.mul_f64(KILL_AT);
    tasks.spawn(async move {
        sleep(kill_after).await;
        killed.into_iter().for_each(|instance| faults.kill(instance));
    });
    tasks
}

/// Writes a line of progress every [`PROGRESS_INTERVAL`] until `waiting` ends.
async fn with_progress<T>(
    options: &SpreadMeasureOptions,
    parts: &FleetParts,
    started: Instant,
    waiting: impl Future<Output = T>,
    out: &mut (dyn Write + Send),
) -> Result<T, SpreadMeasureError> {
    let mut ticks = interval_at(started + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    let mut waiting = pin!(waiting);
    let mut last = 0;
    loop {
        tokio::select! {
            result = &mut waiting => return Ok(result),
            now = ticks.tick() => {
                let carried = parts.network.instance_bytes().iter().sum::<u64>();
                let capacity = options.instance_rate() * PROGRESS_INTERVAL.as_secs_f64();
                let used = (carried - last) as f64 / (capacity * options.replicas as f64);
                last = carried;
                let origin = parts.network.origin_bytes() as f64 / options.size_bytes();
                let at = (now - started).as_secs_f64();
                writeln!(out, "at_s={at:.0} links_used={used:.2} origin_copies={origin:.3}")?;
            }
        }
    }
}

/// Seconds from `started` until each instance that isn't killed is live.
async fn wait_live(
    options: &SpreadMeasureOptions,
    sides: &[FleetSide],
    killed: &[usize],
    manifest: ContentDigest,
    started: Instant,
) -> Vec<f64> {
    let limit = (options.floor() * GIVE_UP_FLOORS).max(options.window);
    let mut waits = JoinSet::new();
    for (_, side) in sides.iter().enumerate().filter(|(index, _)| !killed.contains(index)) {
        let mut live = side.handle.live_version();
        waits.spawn(async move {
            let wait = live.wait_for(|live| *live == Some(manifest));
            let arrived = matches!(timeout(limit, wait).await, Ok(Ok(_)));
            arrived.then(|| started.elapsed().as_secs_f64())
        });
    }
    waits.join_all().await.into_iter().flatten().collect()
}

fn report(
    options: &SpreadMeasureOptions,
    parts: &FleetParts,
    recorder: &LiveRecorder,
    times: &[f64],
    killed: usize,
    origin_before: u64,
) -> SpreadReport {
    let size = options.size_bytes();
    let floor_s = options.floor().as_secs_f64();
    let time_to_n_s = times.last().copied().unwrap_or(f64::INFINITY);
    let (before, during) = recorder.first_token_p95();
    let busiest = parts.network.instance_bytes().into_iter().max().unwrap_or_default();
    SpreadReport {
        alive: options.replicas - killed,
        live: times.len(),
        time_to_n_s,
        time_to_half_s: times.get(times.len() / 2).copied().unwrap_or(f64::INFINITY),
        floor_s,
        time_ratio: time_to_n_s / floor_s,
        origin_copies: (parts.network.origin_bytes() - origin_before) as f64 / size,
        interregion_copies: parts.network.region_bytes() as f64 / size,
        link_copies_max: busiest as f64 / size,
        ttft_p95_before_s: before,
        ttft_p95_during_s: during,
        ttft_p95_ratio: during / before,
        timer_late_p95_s: recorder.timer_late_p95(),
    }
}
