//! What the endpoints send, shared between the attempts and the dispatcher task.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::AnswerActivity;

/// The [`AnswerActivity`] of one endpoint, updated by the attempts there.
#[derive(Debug, Default)]
pub(crate) struct EndpointActivity {
    in_progress: AtomicU32,
    last_micros: AtomicU64,
}

impl EndpointActivity {
    /// Records that an answer has begun.
    pub(crate) fn begin(&self, now: MonoTime) {
        self.record(now);
        self.in_progress.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that an answer that had begun has ended, or was withdrawn.
    pub(crate) fn end(&self) {
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that a part of an answer has arrived.
    pub(crate) fn record(&self, now: MonoTime) {
        self.last_micros.fetch_max(now.0.as_micros() as u64, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> AnswerActivity {
        AnswerActivity {
            in_progress: self.in_progress.load(Ordering::Relaxed),
            last_at: MonoTime(Duration::from_micros(self.last_micros.load(Ordering::Relaxed))),
        }
    }
}
