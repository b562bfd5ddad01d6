//! Live requests that share the links with the distribution.

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

/// Size of a request.
const PROMPT_BYTES: usize = 8 * 1024;

/// Size of the event of one token.
const TOKEN_BYTES: usize = 200;

/// Tokens of an answer after its first.
const FURTHER_TOKENS: usize = 20;

/// Time between two tokens of an answer.
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);

/// Time that an engine needs to process a prompt.
const PREFILL_DURATION: Duration = Duration::from_millis(150);

/// Interval at which the lateness of the runtime's timers is measured.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Share of requests that come through an entry in another region, in percent.
const OTHER_REGION_PERCENT: u32 = 20;

/// Phase of the experiment in which a live request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivePhase {
    BeforeDistribution,
    Distribution,
    AfterDistribution,
}

/// Times to the first token by phase, and the lateness of timers, in microseconds.
#[derive(Debug)]
pub(super) struct LiveRecorder {
    phase: Mutex<LivePhase>,
    before: Mutex<Histogram<u64>>,
    during: Mutex<Histogram<u64>>,
    timer_lateness: Mutex<Histogram<u64>>,
}

impl LiveRecorder {
    pub(super) fn new() -> Self {
        let new_histogram = || {
            Mutex::new(Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| {
                unreachable!("the bounds are constants that the library accepts")
            }))
        };
        Self {
            phase: Mutex::new(LivePhase::BeforeDistribution),
            before: new_histogram(),
            during: new_histogram(),
            timer_lateness: new_histogram(),
        }
    }

    pub(super) fn set_phase(&self, phase: LivePhase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    fn phase(&self) -> LivePhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, phase: LivePhase, first_token: Duration) {
        let histogram = match phase {
            LivePhase::BeforeDistribution => &self.before,
            LivePhase::Distribution => &self.during,
            LivePhase::AfterDistribution => return,
        };
        let first_token_us = first_token.as_micros() as u64;
        histogram.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(first_token_us);
    }

    /// Measures how late the runtime's timers fire during the distribution. On a busy machine late
    /// timers also delay the live requests.
    pub(super) async fn measure_timers(self: Arc<Self>) {
        loop {
            let due = Instant::now() + PROBE_INTERVAL;
            sleep_until(due).await;
            if self.phase() == LivePhase::Distribution {
                let lateness_us = due.elapsed().as_micros() as u64;
                let mut timer_lateness =
                    self.timer_lateness.lock().unwrap_or_else(PoisonError::into_inner);
                timer_lateness.saturating_record(lateness_us);
            }
        }
    }

    /// Lateness of timers at the 95th percentile, in seconds.
    pub(super) fn timer_lateness_p95_s(&self) -> f64 {
        let timer_lateness = self.timer_lateness.lock().unwrap_or_else(PoisonError::into_inner);
        timer_lateness.value_at_quantile(0.95) as f64 / 1e6
    }

    /// Time to the first token at the 95th percentile, in seconds, before and during the distribution.
    pub(super) fn first_token_p95_s(&self) -> (f64, f64) {
        let p95 = |histogram: &Mutex<Histogram<u64>>| {
            let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
            histogram.value_at_quantile(0.95) as f64 / 1e6
        };
        (p95(&self.before), p95(&self.during))
    }
}

/// The live requests of one instance.
pub(super) struct LiveRequests {
    pub(super) instance: usize,
    pub(super) requests_per_s: f64,
    pub(super) region_count: usize,
    pub(super) seed: u64,
    pub(super) network: Arc<LinkNetwork>,
    pub(super) faults: Arc<FaultPlan>,
    pub(super) weights: WeightsHandle,
    pub(super) recorder: Arc<LiveRecorder>,
}

impl LiveRequests {
    /// Sends requests at random times until the instance is killed, without waiting for earlier
    /// answers.
    pub(super) async fn run(self) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let requests = Arc::new(self);
        while !requests.faults.is_dead(requests.instance) {
            let pause = -(1.0 - random.random::<f64>()).ln() / requests.requests_per_s;
            sleep(Duration::from_secs_f64(pause)).await;
            let own_region = requests.network.region_of(requests.instance);
            let from_other_region = random.random_range(0..100) < OTHER_REGION_PERCENT;
            let region_offset = if from_other_region {
                random.random_range(1..requests.region_count.max(2))
            } else {
                0
            };
            let entry_region = (own_region + region_offset) % requests.region_count;
            tokio::spawn(requests.clone().send_request(entry_region));
        }
    }

    async fn send_request(self: Arc<Self>, entry_region: usize) {
        let phase = self.recorder.phase();
        let started = Instant::now();
        let request_path = self.network.client_to_instance(entry_region, self.instance);
        let answer_path = self.network.instance_to_client(self.instance, entry_region);
        request_path.wait_latency().await;
        self.weights.record_live(ByteCount(PROMPT_BYTES as u64));
        request_path.pass_live_bytes(PROMPT_BYTES).await;
        sleep(PREFILL_DURATION).await;
        for index in 0..=FURTHER_TOKENS {
            self.weights.record_live(ByteCount(TOKEN_BYTES as u64));
            answer_path.pass_live_bytes(TOKEN_BYTES).await;
            if index == 0 {
                answer_path.wait_latency().await;
                self.recorder.record(phase, started.elapsed());
            }
            sleep(TOKEN_INTERVAL).await;
        }
    }
}
