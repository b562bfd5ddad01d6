//! Delayed load reports and the token rate.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_wire::EngineLoad;

/// Period over which the token rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Recent loads, each with the time from which it applies, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    loads: VecDeque<(MonoTime, EngineLoad)>,
}

impl LoadHistory {
    /// Records the load at `now` and drops loads too old for a report with delay `lag`.
    pub(super) fn record(&mut self, load: EngineLoad, now: MonoTime, lag: Duration) {
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now, load));
        }
        while self.loads.get(1).is_some_and(|(since, _)| now - *since >= lag) {
            self.loads.pop_front();
        }
    }

    /// Returns the load as of `lag` ago; the first load if the engine started later than that.
    pub(super) fn report(&self, now: MonoTime, lag: Duration) -> Option<EngineLoad> {
        let old_enough = self.loads.iter().rev().find(|(since, _)| now - *since >= lag);
        old_enough.or_else(|| self.loads.front()).map(|(_, load)| load.clone())
    }
}

/// Tokens generated within [`RATE_WINDOW`].
#[derive(Debug, Default)]
pub(super) struct TokenWindow {
    /// Number of tokens of each decode step, with the time when the step ended, oldest first.
    steps: VecDeque<(MonoTime, u64)>,
    total: u64,
}

impl TokenWindow {
    pub(super) fn add(&mut self, tokens: u64, now: MonoTime) {
        self.steps.push_back((now, tokens));
        self.total += tokens;
    }

    /// Returns the tokens generated per second in the window that ends at `now`.
    pub(super) fn rate(&mut self, now: MonoTime) -> u64 {
        while let Some((at, tokens)) = self.steps.front().copied() {
            if now - at < RATE_WINDOW {
                break;
            }
            self.total -= tokens;
            self.steps.pop_front();
        }
        self.total
    }
}
