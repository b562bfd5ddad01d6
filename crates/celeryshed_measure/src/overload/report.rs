//! Results of a run.

use std::fmt;
use std::time::Duration;

use celeryshed_base::MonoTime;

use super::callers::LATE_PART;
use super::options::OverloadOptions;

/// Length of a window.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// What became of the requests that callers sent first within one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadWindow {
    /// Requests.
    pub asked: u32,
    /// Answered in time.
    pub in_time: u32,
    /// Answered late.
    pub late: u32,
    /// Value of all of them in time.
    pub owed: f64,
    /// Value of the answers.
    pub earned: f64,
    /// Times to the first event, in milliseconds.
    pub first_events_ms: Vec<u64>,
}

impl LoadWindow {
    /// Value of the answers as a part of what was owed.
    pub fn served_worth(&self) -> f64 {
        if self.owed == 0.0 { 1.0 } else { self.earned / self.owed }
    }

    /// The time to the first event that `percent` in 100 answers kept, in milliseconds.
    pub fn first_event_ms(&self, percent: usize) -> u64 {
        let mut times = self.first_events_ms.clone();
        times.sort_unstable();
        times.get(times.len() * percent / 100).or(times.last()).copied().unwrap_or_default()
    }
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadReport {
    /// What was run.
    pub options: OverloadOptions,
    /// One for each second.
    pub windows: Vec<LoadWindow>,
    /// Requests that engines did not take.
    pub rejected: u32,
}

impl OverloadReport {
    pub(super) fn new(options: OverloadOptions) -> Self {
        let windows = options.duration.as_secs() as usize;
        Self { options, windows: vec![LoadWindow::default(); windows], rejected: 0 }
    }

    pub(super) fn window(&mut self, first_at: MonoTime) -> Option<&mut LoadWindow> {
        let index = (first_at.0.as_millis() / WINDOW.as_millis()) as usize;
        self.windows.get_mut(index)
    }

    pub(super) fn answered(
        &mut self,
        first_at: MonoTime,
        worth: f64,
        first_event: Duration,
        in_time: bool,
    ) {
        let Some(window) = self.window(first_at) else { return };
        window.first_events_ms.push(first_event.as_millis() as u64);
        if in_time {
            window.in_time += 1;
            window.earned += worth;
        } else {
            window.late += 1;
            window.earned += worth * LATE_PART;
        }
    }

    /// Value of all answers as a part of what was owed.
    pub fn served_worth(&self) -> f64 {
        let owed: f64 = self.windows.iter().map(|window| window.owed).sum();
        let earned: f64 = self.windows.iter().map(|window| window.earned).sum();
        if owed == 0.0 { 1.0 } else { earned / owed }
    }
}

impl fmt::Display for OverloadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |part: fn(&LoadWindow) -> u32| self.windows.iter().map(part).sum::<u32>();
        let asked = sum(|window| window.asked).max(1);
        let share = |count: u32| f64::from(count) / f64::from(asked);
        let least = self.windows.iter().map(LoadWindow::served_worth).fold(1.0, f64::min);
        write!(
            f,
            "scenario={} policy={} seed={} worth={:.3} worst_second={:.3} in_time={:.3} late={:.3} \
             rejected={}",
            self.options.scenario.name(),
            self.options.policy.name(),
            self.options.seed,
            self.served_worth(),
            least,
            share(sum(|window| window.in_time)),
            share(sum(|window| window.late)),
            self.rejected,
        )
    }
}
