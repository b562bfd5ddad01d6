//! Live requests over the same links.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use celeryshed_base::ByteCount;
use celeryshed_side::weights::WeightsHandle;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

use super::links::LinkNetwork;
use super::sources::FaultPlan;

/// Bytes of a request.
const PROMPT_BYTES: usize = 8 * 1024;

/// Bytes of one token's event.
const TOKEN_BYTES: usize = 200;

/// Tokens after the first.
const MORE_TOKENS: usize = 20;

/// Time between two tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);

/// Time that the engine needs for a prompt.
const PREFILL: Duration = Duration::from_millis(150);

/// Interval of the probes of the runtime's timers.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Requests from an entry in another region, in percent.
const FOREIGN_PERCENT: u32 = 20;

/// Phase of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivePhase {
    Before,
    During,
    After,
}

/// Times to first token, by phase.
#[derive(Debug)]
pub(super) struct LiveRecorder {
    phase: Mutex<LivePhase>,
    before: Mutex<Histogram<u64>>,
    during: Mutex<Histogram<u64>>,
    timers: Mutex<Histogram<u64>>,
}

impl LiveRecorder {
    pub(super) fn new() -> Self {
        let histogram = || {
            Mutex::new(Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| {
                unreachable!("the bounds are constants that the library accepts")
            }))
        };
        Self {
            phase: Mutex::new(LivePhase::Before),
            before: histogram(),
            during: histogram(),
            timers: histogram(),
        }
    }

    pub(super) fn enter(&self, phase: LivePhase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    fn phase(&self) -> LivePhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, phase: LivePhase, first_token: Duration) {
        let histogram = match phase {
            LivePhase::Before => &self.before,
            LivePhase::During => &self.during,
            LivePhase::After => return,
        };
        let micros = first_token.as_micros() as u64;
        histogram.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(micros);
    }

    /// Measures how late the runtime's timers are during the spread: a busy machine delays
    /// everything here, live requests included.
    pub(super) async fn probe_timers(self: Arc<Self>) {
        loop {
            let due = Instant::now() + PROBE_INTERVAL;
            sleep_until(due).await;
            if self.phase() == LivePhase::During {
                let late = due.elapsed().as_micros() as u64;
                let mut timers = self.timers.lock().unwrap_or_else(PoisonError::into_inner);
                timers.saturating_record(late);
            }
        }
    }

    /// Lateness of timers at the 95th percentile, in seconds.
    pub(super) fn timer_late_p95(&self) -> f64 {
        let timers = self.timers.lock().unwrap_or_else(PoisonError::into_inner);
        timers.value_at_quantile(0.95) as f64 / 1e6
    }

    /// Time to first token at the 95th percentile, in seconds: before and during the spread.
    pub(super) fn first_token_p95(&self) -> (f64, f64) {
        let p95 = |histogram: &Mutex<Histogram<u64>>| {
            let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
            histogram.value_at_quantile(0.95) as f64 / 1e6
        };
        (p95(&self.before), p95(&self.during))
    }
}

/// Requests to one instance.
pub(super) struct LiveLoad {
    pub(super) instance: usize,
    pub(super) per_s: f64,
    pub(super) regions: usize,
    pub(super) seed: u64,
    pub(super) network: Arc<LinkNetwork>,
    pub(super) faults: Arc<FaultPlan>,
    pub(super) weights: WeightsHandle,
    pub(super) recorder: Arc<LiveRecorder>,
}

impl LiveLoad {
    /// Sends requests at random times, however long the earlier ones take.
    pub(super) async fn run(self) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let load = Arc::new(self);
        while !load.faults.is_dead(load.instance) {
            let pause = -(1.0 - random.random::<f64>()).ln() / load.per_s;
            sleep(Duration::from_secs_f64(pause)).await;
            let own = load.network.region_of(load.instance);
            let foreign = random.random_range(0..100) < FOREIGN_PERCENT;
            let step = if foreign { random.random_range(1..load.regions.max(2)) } else { 0 };
            let entry_region = (own + step) % load.regions;
            tokio::spawn(load.clone().request(entry_region));
        }
    }

    async fn request(self: Arc<Self>, entry_region: usize) {
        let phase = self.recorder.phase();
        let started = Instant::now();
        let there = self.network.to_engine(entry_region, self.instance);
        let back = self.network.to_client(self.instance, entry_region);
        there.travel().await;
        self.weights.record_live(ByteCount(PROMPT_BYTES as u64));
        there.pass_live(PROMPT_BYTES).await;
        sleep(PREFILL).await;
        for index in 0..=MORE_TOKENS {
            self.weights.record_live(ByteCount(TOKEN_BYTES as u64));
            back.pass_live(TOKEN_BYTES).await;
            if index == 0 {
                back.travel().await;
                self.recorder.record(phase, started.elapsed());
            }
            sleep(TOKEN_INTERVAL).await;
        }
    }
}
