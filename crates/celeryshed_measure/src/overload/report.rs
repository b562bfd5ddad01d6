//! Figures of a run.

use std::fmt;
use std::time::Duration;

use celeryshed_base::MonoTime;

use super::callers::LATE_VALUE_SHARE;
use super::options::OverloadOptions;

/// Length of the windows by which a report groups requests.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// Figures of the requests whose first attempt fell into one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadWindow {
    /// Requests, retries of callers not counted.
    pub requests: u32,
    /// Requests with an answer of full value.
    pub in_time: u32,
    /// Requests with a late answer or with one whose events paused for too long.
    pub late: u32,
    /// Value that the requests would have if all were answered in time.
    pub full_value: f64,
    /// Value of the answers; late ones count for a quarter.
    pub served_value: f64,
    /// Times from a caller's first attempt to the first event, in milliseconds.
    pub first_events_ms: Vec<u64>,
}

impl OverloadWindow {
    /// Served value as a share of the full value, 0 to 1; 1 without requests.
    pub fn served_value_share(&self) -> f64 {
        if self.full_value == 0.0 { 1.0 } else { self.served_value / self.full_value }
    }

    /// Time to the first event at the percentile `percent`, in milliseconds; 0 without answers.
    pub fn first_event_ms(&self, percent: usize) -> u64 {
        let mut times = self.first_events_ms.clone();
        times.sort_unstable();
        times.get(times.len() * percent / 100).or(times.last()).copied().unwrap_or_default()
    }
}

/// Figures of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadReport {
    /// Options of the run.
    pub options: OverloadOptions,
    /// One window per second of [`OverloadOptions::duration`].
    pub windows: Vec<OverloadWindow>,
    /// Attempts that engines rejected.
    pub rejected: u32,
}

impl OverloadReport {
    pub(super) fn new(options: OverloadOptions) -> Self {
        let windows = options.duration.as_secs() as usize;
        Self { options, windows: vec![OverloadWindow::default(); windows], rejected: 0 }
    }

    pub(super) fn window(&mut self, first_at: MonoTime) -> Option<&mut OverloadWindow> {
        let index = (first_at.0.as_millis() / WINDOW.as_millis()) as usize;
        self.windows.get_mut(index)
    }

    pub(super) fn record_answer(
        &mut self,
        first_at: MonoTime,
        value: f64,
        first_event: Duration,
        in_time: bool,
    ) {
        let Some(window) = self.window(first_at) else { return };
        window.first_events_ms.push(first_event.as_millis() as u64);
        if in_time {
            window.in_time += 1;
            window.served_value += value;
        } else {
            window.late += 1;
            window.served_value += value * LATE_VALUE_SHARE;
        }
    }

    /// Served value of the whole run as a share of the full value, 0 to 1; 1 without requests.
    pub fn served_value_share(&self) -> f64 {
        let full_value: f64 = self.windows.iter().map(|window| window.full_value).sum();
        let served_value: f64 = self.windows.iter().map(|window| window.served_value).sum();
        if full_value == 0.0 { 1.0 } else { served_value / full_value }
    }
}

impl fmt::Display for OverloadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |part: fn(&OverloadWindow) -> u32| self.windows.iter().map(part).sum::<u32>();
        let requests = sum(|window| window.requests).max(1);
        let share = |count: u32| f64::from(count) / f64::from(requests);
        let worst_second =
            self.windows.iter().map(OverloadWindow::served_value_share).fold(1.0, f64::min);
        write!(
            f,
            "scenario={} policy={} seed={} worth={:.3} worst_second={:.3} in_time={:.3} late={:.3} \
             rejected={}",
            self.options.scenario.name(),
            self.options.policy.name(),
            self.options.seed,
            self.served_value_share(),
            worst_second,
            share(sum(|window| window.in_time)),
            share(sum(|window| window.late)),
            self.rejected,
        )
    }
}
