//! What attempts say of an endpoint's health. Probes are not asked: they may lie.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

/// Weight of the newest attempt in the failure rate.
const RATE_WEIGHT: f64 = 0.2;
/// Time in which a failure rate without new attempts halves.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time that a certain failure of the next attempt is worth when endpoints are compared.
const FAILURE_COST: Duration = Duration::from_millis(700);
/// First suspension after an endpoint could not be reached or fell silent; doubles up to a limit.
const FIRST_SUSPENSION: Duration = Duration::from_millis(400);
/// Doublings of the first suspension.
const MAX_DOUBLINGS: u32 = 3;
/// Suspension of an endpoint that had no room.
const FULL_SUSPENSION: Duration = Duration::from_millis(60);
/// Suspension of an address that another endpoint uses now.
const MISDIRECTED_SUSPENSION: Duration = Duration::from_secs(4);
/// Weight of the newest measurement of speed.
const PACE_WEIGHT: f64 = 0.2;
/// Bounds of the measured speed against the model's.
const PACE_BOUNDS: (f64, f64) = (0.8, 6.0);

common_derives! { value:
    /// Why a request has certainly not run.
    #[derive(Copy)]
    pub enum NotRunReason {
        /// No connection could be made.
        Unreachable,
        /// The endpoint said that it did not run it.
        Full,
        /// Another endpoint answers at the address.
        Misdirected,
        /// The endpoint serves another version than the one that was asked for.
        OtherVersion,
    }

    /// Why it is unknown whether a request ran.
    #[derive(Copy)]
    pub enum UnknownReason {
        /// The connection ended before a whole answer.
        Reset,
        /// Nothing came for too long.
        Silent,
        /// The bytes were no valid answer.
        Malformed,
        /// It was withdrawn, since it might have begun on a version that is out of force.
        Outdated,
    }

    /// How an attempt ended.
    #[derive(Copy)]
    pub enum AttemptOutcome {
        /// A whole successful answer came.
        Served,
        /// The endpoint answered with an error of its own.
        Failed,
        /// The request has not run.
        NotRun(NotRunReason),
        /// The request may have run.
        Unknown(UnknownReason),
        /// The caller left, or the time limit passed.
        Abandoned,
    }
}

/// Failures and speed of one endpoint.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::{AttemptOutcome, HealthRecord, NotRunReason};
/// let mut health = HealthRecord::default();
/// health.record(MonoTime::ZERO, AttemptOutcome::NotRun(NotRunReason::Unreachable));
/// assert!(health.suspended(MonoTime::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct HealthRecord {
    failure_rate: f64,
    rated_at: MonoTime,
    streak: u32,
    suspended_until: MonoTime,
    pace: f64,
    work: Option<Duration>,
}

impl Default for HealthRecord {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            rated_at: MonoTime::ZERO,
            streak: 0,
            suspended_until: MonoTime::ZERO,
            pace: 1.0,
            work: None,
        }
    }
}

impl HealthRecord {
    /// Takes over the end of an attempt.
    pub fn record(&mut self, now: MonoTime, outcome: AttemptOutcome) {
        let suspension = match outcome {
            AttemptOutcome::Served => {
                self.streak = 0;
                self.rate(now, 0.0);
                return;
            }
            // It says nothing of the endpoint's health; the sidecar tells the version soon.
            AttemptOutcome::Abandoned
            | AttemptOutcome::NotRun(NotRunReason::OtherVersion)
            | AttemptOutcome::Unknown(UnknownReason::Outdated) => return,
            AttemptOutcome::Failed
            | AttemptOutcome::Unknown(UnknownReason::Malformed | UnknownReason::Reset) => {
                self.rate(now, 1.0);
                return;
            }
            AttemptOutcome::NotRun(NotRunReason::Full) => FULL_SUSPENSION,
            AttemptOutcome::NotRun(NotRunReason::Misdirected) => MISDIRECTED_SUSPENSION,
            AttemptOutcome::NotRun(NotRunReason::Unreachable)
            | AttemptOutcome::Unknown(UnknownReason::Silent) => {
                self.rate(now, 1.0);
                let doublings = self.streak.min(MAX_DOUBLINGS);
                self.streak += 1;
                FIRST_SUSPENSION * (1 << doublings)
            }
        };
        self.suspended_until = self.suspended_until.max(now + suspension);
    }

    /// Takes over how long a first token or a plain answer took, and what the model expected.
    pub fn measure(&mut self, expected: Duration, measured: Duration) {
        let ratio = measured.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace += PACE_WEIGHT * (ratio - self.pace);
        let work = self.work.unwrap_or(measured);
        self.work = Some(work.mul_f64(1.0 - PACE_WEIGHT) + measured.mul_f64(PACE_WEIGHT));
    }

    /// Whether the endpoint is left out for now.
    pub fn suspended(&self, now: MonoTime) -> bool {
        now < self.suspended_until
    }

    /// Measured time against the model's.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Mean measured time of answers, once there was one.
    pub fn work(&self) -> Option<Duration> {
        self.work
    }

    /// Time that the endpoint's failures add to an attempt on average.
    pub fn penalty(&self, now: MonoTime) -> Duration {
        FAILURE_COST.mul_f64(self.decayed_rate(now))
    }

    fn rate(&mut self, now: MonoTime, failure: f64) {
        let rate = self.decayed_rate(now);
        self.failure_rate = rate + RATE_WEIGHT * (failure - rate);
        self.rated_at = now;
    }

    fn decayed_rate(&self, now: MonoTime) -> f64 {
        let age = (now - self.rated_at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }
}
