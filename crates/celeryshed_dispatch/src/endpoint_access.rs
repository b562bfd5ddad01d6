//! Which endpoints accept requests of this entry, by their own statements.
//!
//! Load pattern: many endpoints leave or pause at once, while the list of endpoints, their sidecars
//! and requests in progress still show them as ready. A statement counts from the moment that it is
//! read. An endpoint that leaves stays closed until a later start of it is listed. One that paused
//! gets single requests until it has answered one of them, so that entries whose pauses end together
//! don't return with their full load.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use crate::endpoint::EndpointId;
use crate::endpoint_notice::{EndpointNotice, PauseLength};

/// Requests that may be in progress after a pause at an endpoint that has answered none of them.
const MAX_TRIAL_REQUESTS: u32 = 2;
/// Difference up to which two ends stand for the same pause: several answers that state it take
/// different times.
const SAME_PAUSE_TOLERANCE: Duration = Duration::from_millis(100);
/// Most statements that are kept of endpoints that are not listed.
const MAX_UNLISTED_ENDPOINTS: usize = 1024;

common_derives! { value:
    /// Bounds on the statements of endpoints.
    #[derive(Copy)]
    pub struct NoticeLimits {
        /// Longest pause that an endpoint may ask for; a longer one ends after this time.
        pub max_pause: Duration,
    }

    /// One start of an endpoint; a restart under the same id is another one.
    pub struct EndpointStart {
        /// Id of the endpoint.
        pub id: EndpointId,
        /// Time of the start in Unix milliseconds.
        pub started_at_ms: u64,
    }

    /// How a notice changed what is known of an endpoint.
    #[derive(Copy)]
    pub enum NoticeChange {
        /// The endpoint was known to leave, to be paused for as long, or has restarted since.
        Unchanged,
        /// The endpoint is closed until it is started again.
        Leaving,
        /// The endpoint is closed until a time.
        Paused {
            /// End of the pause.
            until: MonoTime,
            /// Whether the endpoint asked for more than [`NoticeLimits::max_pause`].
            shortened: bool,
        },
    }

    /// Why an endpoint accepts requests again.
    #[derive(Copy)]
    pub enum ReopeningCause {
        /// It was started again.
        Restarted,
        /// It answered a request after its pause.
        Answered,
    }

    /// Whether an endpoint accepts requests of this entry.
    #[derive(Copy)]
    pub(crate) enum EndpointAccess {
        /// It accepts any number of requests.
        Open,
        /// Its pause has ended, and it accepts `free` more requests before it has answered one.
        Trial { free: u32 },
        /// It accepts none until a time.
        Paused { until: MonoTime },
        /// It accepts none until it is started again.
        Leaving,
    }
}

#[derive(Clone, Debug)]
struct EndpointStatement {
    started_at_ms: u64,
    noted_at: MonoTime,
    is_leaving: bool,
    pause: Option<EndpointPause>,
}

#[derive(Clone, Copy, Debug)]
struct EndpointPause {
    until: MonoTime,
    running_trials: u32,
}

impl EndpointStatement {
    fn is_over(&self, now: MonoTime) -> bool {
        !self.is_leaving && self.pause.is_none_or(|pause| pause.until <= now)
    }
}

/// The statements of endpoints that are in force.
#[derive(Clone, Debug)]
pub(crate) struct EndpointStatements {
    limits: NoticeLimits,
    statements: BTreeMap<EndpointId, EndpointStatement>,
    reopened: Vec<(EndpointId, ReopeningCause)>,
}

impl EndpointStatements {
    pub(crate) fn new(limits: NoticeLimits) -> Self {
        Self { limits, statements: BTreeMap::new(), reopened: Vec::new() }
    }

    /// Applies a notice of the start of an endpoint that a request was sent to.
    pub(crate) fn apply(
        &mut self,
        now: MonoTime,
        start: &EndpointStart,
        notice: EndpointNotice,
    ) -> NoticeChange {
        let started_at_ms = start.started_at_ms;
        let created =
            EndpointStatement { started_at_ms, noted_at: now, is_leaving: false, pause: None };
        let statement = self.statements.entry(start.id.clone()).or_insert_with(|| created.clone());
        if statement.started_at_ms > started_at_ms {
            return NoticeChange::Unchanged;
        }
        if statement.started_at_ms < started_at_ms {
            *statement = created;
        }
        statement.noted_at = now;
        match notice {
            EndpointNotice::Leaving if statement.is_leaving => NoticeChange::Unchanged,
            EndpointNotice::Leaving => {
                statement.is_leaving = true;
                NoticeChange::Leaving
            }
            EndpointNotice::Paused(PauseLength(length)) => {
                let shortened = length > self.limits.max_pause;
                let until = now + length.min(self.limits.max_pause);
                let pause = statement
                    .pause
                    .get_or_insert(EndpointPause { until: MonoTime::ZERO, running_trials: 0 });
                let known_until = pause.until;
                pause.until = known_until.max(until);
                if until <= known_until + SAME_PAUSE_TOLERANCE && known_until > now {
                    return NoticeChange::Unchanged;
                }
                NoticeChange::Paused { until, shortened }
            }
        }
    }

    /// Whether a start of an endpoint accepts requests.
    pub(crate) fn access(
        &self,
        now: MonoTime,
        id: &EndpointId,
        started_at_ms: u64,
    ) -> EndpointAccess {
        let statement = self.statements.get(id);
        let statement = statement.filter(|statement| statement.started_at_ms >= started_at_ms);
        match statement {
            None => EndpointAccess::Open,
            Some(statement) if statement.is_leaving => EndpointAccess::Leaving,
            Some(statement) => match statement.pause {
                None => EndpointAccess::Open,
                Some(pause) if now < pause.until => EndpointAccess::Paused { until: pause.until },
                Some(pause) => EndpointAccess::Trial {
                    free: MAX_TRIAL_REQUESTS.saturating_sub(pause.running_trials),
                },
            },
        }
    }

    /// Counts a request that was placed on an endpoint; returns whether it is a trial after a pause.
    pub(crate) fn start_trial(&mut self, now: MonoTime, start: &EndpointStart) -> bool {
        let is_trial = matches!(
            self.access(now, &start.id, start.started_at_ms),
            EndpointAccess::Trial { .. }
        );
        if is_trial && let Some(pause) = self.pause_mut(start) {
            pause.running_trials += 1;
        }
        is_trial
    }

    /// Discounts a trial that ended.
    pub(crate) fn end_trial(&mut self, start: &EndpointStart) {
        if let Some(pause) = self.pause_mut(start) {
            pause.running_trials = pause.running_trials.saturating_sub(1);
        }
    }

    /// Opens an endpoint that answered a trial, unless it has paused again since.
    pub(crate) fn record_trial_answer(&mut self, now: MonoTime, start: &EndpointStart) {
        if self.pause_mut(start).is_some_and(|pause| pause.until <= now) {
            if let Some(statement) = self.statements.get_mut(&start.id) {
                statement.pause = None;
            }
            self.reopened.push((start.id.clone(), ReopeningCause::Answered));
        }
    }

    fn pause_mut(&mut self, start: &EndpointStart) -> Option<&mut EndpointPause> {
        let statement = self.statements.get_mut(&start.id)?;
        statement.pause.as_mut().filter(|_| statement.started_at_ms == start.started_at_ms)
    }

    /// Drops the statements of endpoints that were started again, and the oldest ones of endpoints
    /// that are not listed.
    pub(crate) fn sync(&mut self, now: MonoTime, start_times: &BTreeMap<EndpointId, u64>) {
        let reopened = &mut self.reopened;
        self.statements.retain(|id, statement| match start_times.get(id) {
            Some(started_at_ms) if *started_at_ms > statement.started_at_ms => {
                reopened.push((id.clone(), ReopeningCause::Restarted));
                false
            }
            Some(_) => true,
            // The endpoint may be listed again without having been restarted.
            None => !statement.is_over(now),
        });
        let unlisted = self.statements.iter().filter(|(id, _)| !start_times.contains_key(*id));
        let mut unlisted: Vec<(MonoTime, EndpointId)> =
            unlisted.map(|(id, statement)| (statement.noted_at, id.clone())).collect();
        if unlisted.len() > MAX_UNLISTED_ENDPOINTS {
            unlisted.sort();
            let excess = unlisted.len() - MAX_UNLISTED_ENDPOINTS;
            for (_, id) in &unlisted[..excess] {
                self.statements.remove(id);
            }
        }
    }

    /// The endpoints that accept requests again since the last call.
    pub(crate) fn take_reopened(&mut self) -> Vec<(EndpointId, ReopeningCause)> {
        std::mem::take(&mut self.reopened)
    }
}
