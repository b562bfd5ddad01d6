//! Figures of a run.

use std::fmt;

/// Figures of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadReport {
    /// Instances that weren't killed.
    pub alive: usize,
    /// Instances on which the version became live within the time limit.
    pub live: usize,
    /// Seconds from the selection of the version until it was live on the last of these instances;
    /// infinite if it became live on none.
    pub time_to_n_s: f64,
    /// Seconds until the version was live on half of these instances; infinite if on none.
    pub time_to_half_s: f64,
    /// Lower bound of `time_to_n_s` that the rates of the links allow.
    pub floor_s: f64,
    /// `time_to_n_s` divided by `floor_s`.
    pub time_ratio: f64,
    /// Bytes that the origin sent, in copies of the model.
    pub origin_copies: f64,
    /// Bytes over the busiest direction of an inter-region link, in copies of the model.
    pub interregion_copies: f64,
    /// Bytes over the busiest link of an instance, up and down together, in copies of the model.
    pub link_copies_max: f64,
    /// Time to the first token of live requests before the distribution, at the 95th percentile.
    pub ttft_p95_before_s: f64,
    /// Time to the first token of live requests during the distribution, at the 95th percentile.
    pub ttft_p95_during_s: f64,
    /// `ttft_p95_during_s` divided by `ttft_p95_before_s`.
    pub ttft_p95_ratio: f64,
    /// Lateness of the process's timers during the distribution, at the 95th percentile; late timers
    /// make the times above less accurate.
    pub timer_late_p95_s: f64,
}

impl fmt::Display for SpreadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "summary=spread alive={} live={}", self.alive, self.live)?;
        write!(
            f,
            " time_to_n_s={:.2} time_to_half_s={:.2}",
            self.time_to_n_s, self.time_to_half_s
        )?;
        write!(f, " floor_s={:.2} time_ratio={:.2}", self.floor_s, self.time_ratio)?;
        write!(f, " origin_copies={:.3}", self.origin_copies)?;
        write!(f, " interregion_copies={:.3}", self.interregion_copies)?;
        write!(f, " link_copies_max={:.3}", self.link_copies_max)?;
        write!(f, " ttft_p95_before_s={:.3}", self.ttft_p95_before_s)?;
        write!(f, " ttft_p95_during_s={:.3}", self.ttft_p95_during_s)?;
        write!(f, " ttft_p95_ratio={:.3}", self.ttft_p95_ratio)?;
        write!(f, " timer_late_p95_s={:.3}", self.timer_late_p95_s)
    }
}
