//! The figures.

use std::fmt;

/// Figures of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadReport {
    /// Instances that were to get the version, those killed left out.
    pub alive: usize,
    /// Those that got it.
    pub live: usize,
    /// Time until the last one reported it live, from its selection.
    pub time_to_n_s: f64,
    /// Time until half of them did.
    pub time_to_half_s: f64,
    /// Lower bound.
    pub floor_s: f64,
    /// `time_to_n_s` by `floor_s`.
    pub time_ratio: f64,
    /// Copies that left the origin.
    pub origin_copies: f64,
    /// Most copies over one direction of an inter-region link.
    pub interregion_copies: f64,
    /// Most copies over one instance's link, both ways.
    pub link_copies_max: f64,
    /// Time to first token at the 95th percentile before the spread.
    pub ttft_p95_before_s: f64,
    /// The same during the spread.
    pub ttft_p95_during_s: f64,
    /// `ttft_p95_during_s` by `ttft_p95_before_s`.
    pub ttft_p95_ratio: f64,
    /// Lateness of the process's timers at the 95th percentile during the spread; the figures
    /// above are only as good as this.
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
