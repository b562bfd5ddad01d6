//! Health of an endpoint, judged by the outcome of attempts. Health probes are ignored: an endpoint
//! may pass its probes and still fail requests.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

/// Weight of the newest attempt in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Time in which the failure rate halves if there are no new attempts.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time added to the score of an endpoint whose failure rate is 1.
const MAX_FAILURE_PENALTY: Duration = Duration::from_millis(700);
/// First suspension of an endpoint that is unreachable or stops sending. Each further suspension
/// lasts twice as long as the one before.
const FIRST_SUSPENSION: Duration = Duration::from_millis(400);
/// Maximum number of doublings of the first suspension.
const MAX_SUSPENSION_DOUBLINGS: u32 = 3;
/// Suspension of an endpoint that refused a request because it was full.
const FULL_SUSPENSION: Duration = Duration::from_millis(60);
/// Suspension of an endpoint whose address now belongs to another endpoint.
const MISDIRECTED_SUSPENSION: Duration = Duration::from_secs(4);
/// Weight of the newest measurement in the means of slowdown and answer time.
const MEASUREMENT_WEIGHT: f64 = 0.2;
/// Lower and upper bound of the ratio of measured to expected time.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.8, 6.0);

common_derives! { value:
    /// Why a request has certainly not run.
    #[derive(Copy)]
    pub enum NotRunReason {
        /// No connection could be established.
        Unreachable,
        /// The endpoint answered that it did not run the request.
        Full,
        /// The address now belongs to another endpoint.
        Misdirected,
        /// The endpoint doesn't serve the requested version.
        OtherVersion,
        /// The decision no longer holds, since the endpoint has closed, or may no longer hold, since
        /// this process was delayed after it.
        StaleDecision,
    }

    /// Why it is unknown whether a request ran.
    #[derive(Copy)]
    pub enum UnknownReason {
        /// The connection closed before the answer was complete.
        Reset,
        /// Nothing was received within the time allowed.
        Silent,
        /// The received bytes are not a valid answer.
        Malformed,
        /// The request was withdrawn because it might have started on a version that is no longer
        /// in force.
        Outdated,
        /// The request was withdrawn because a part of it crashes endpoints.
        Withdrawn,
    }

    /// How an attempt ended.
    #[derive(Copy)]
    pub enum AttemptOutcome {
        /// A complete, successful answer was received.
        Served,
        /// The endpoint answered with an error.
        Failed,
        /// The request has not run.
        NotRun(NotRunReason),
        /// The request may have run.
        Unknown(UnknownReason),
        /// The caller disconnected, or the time limit passed.
        Abandoned,
    }
}

/// Failure rate, suspension and speed of one endpoint.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::{AttemptOutcome, HealthRecord, NotRunReason};
/// let mut health = HealthRecord::default();
/// health.record(MonoTime::ZERO, AttemptOutcome::NotRun(NotRunReason::Unreachable));
/// assert!(health.is_suspended(MonoTime::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct HealthRecord {
    failure_rate: f64,
    failure_rate_updated_at: MonoTime,
    /// Unreachable or silent attempts since the last success; sets the length of a suspension.
    suspension_streak: u32,
    suspended_until: MonoTime,
    slowdown: f64,
    mean_answer_time: Option<Duration>,
}

impl Default for HealthRecord {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            failure_rate_updated_at: MonoTime::ZERO,
            suspension_streak: 0,
            suspended_until: MonoTime::ZERO,
            slowdown: 1.0,
            mean_answer_time: None,
        }
    }
}

impl HealthRecord {
    /// Records the end of an attempt.
    pub fn record(&mut self, now: MonoTime, outcome: AttemptOutcome) {
        let suspension = match outcome {
            AttemptOutcome::Served => {
                self.suspension_streak = 0;
                self.update_failure_rate(now, 0.0);
                return;
            }
            // These outcomes say nothing about the endpoint's health. A wrong version is corrected
            // by the next report of the sidecar.
            AttemptOutcome::Abandoned
            | AttemptOutcome::NotRun(NotRunReason::OtherVersion | NotRunReason::StaleDecision)
            | AttemptOutcome::Unknown(UnknownReason::Outdated | UnknownReason::Withdrawn) => return,
            AttemptOutcome::Failed
            | AttemptOutcome::Unknown(UnknownReason::Malformed | UnknownReason::Reset) => {
                self.update_failure_rate(now, 1.0);
                return;
            }
            AttemptOutcome::NotRun(NotRunReason::Full) => FULL_SUSPENSION,
            AttemptOutcome::NotRun(NotRunReason::Misdirected) => MISDIRECTED_SUSPENSION,
            AttemptOutcome::NotRun(NotRunReason::Unreachable)
            | AttemptOutcome::Unknown(UnknownReason::Silent) => {
                self.update_failure_rate(now, 1.0);
                let doublings = self.suspension_streak.min(MAX_SUSPENSION_DOUBLINGS);
                self.suspension_streak += 1;
                FIRST_SUSPENSION * (1 << doublings)
            }
        };
        self.suspended_until = self.suspended_until.max(now + suspension);
    }

    /// Records the measured and the expected time to the first token, or to the answer of a plain
    /// service.
    pub fn measure(&mut self, expected: Duration, measured: Duration) {
        let ratio = measured.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown += MEASUREMENT_WEIGHT * (ratio - self.slowdown);
        let mean = self.mean_answer_time.unwrap_or(measured);
        self.mean_answer_time =
            Some(mean.mul_f64(1.0 - MEASUREMENT_WEIGHT) + measured.mul_f64(MEASUREMENT_WEIGHT));
    }

    /// Whether the endpoint gets requests only if no other endpoint has a free slot.
    pub fn is_suspended(&self, now: MonoTime) -> bool {
        now < self.suspended_until
    }

    /// Ratio of measured to expected time, from 0.8 to 6; 1 before the first measurement.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Mean measured time; `None` before the first measurement.
    pub fn mean_answer_time(&self) -> Option<Duration> {
        self.mean_answer_time
    }

    /// Expected delay from failures, which placement adds to the endpoint's score.
    pub fn failure_penalty(&self, now: MonoTime) -> Duration {
        MAX_FAILURE_PENALTY.mul_f64(self.decayed_failure_rate(now))
    }

    fn update_failure_rate(&mut self, now: MonoTime, failure: f64) {
        let rate = self.decayed_failure_rate(now);
        self.failure_rate = rate + FAILURE_RATE_WEIGHT * (failure - rate);
        self.failure_rate_updated_at = now;
    }

    fn decayed_failure_rate(&self, now: MonoTime) -> f64 {
        let age = (now - self.failure_rate_updated_at).as_secs_f64()
            / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }
}
