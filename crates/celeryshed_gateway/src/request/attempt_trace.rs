//! Logs what was known of an endpoint whose attempt is withdrawn.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_dispatch::EndpointTarget;
use celeryshed_observe::EventLine;

use crate::request::parse::CallerRequest;

/// The times of one attempt. They are logged when the attempt is dropped before its end: the caller
/// has disconnected, or another endpoint has answered.
#[derive(Debug)]
pub(crate) struct AttemptTrace {
    request: Arc<CallerRequest>,
    target: EndpointTarget,
    clock: ClockSource,
    placed_at: MonoTime,
    sent_at: OnceLock<MonoTime>,
    has_ended: bool,
}

impl AttemptTrace {
    pub(crate) fn start(
        request: Arc<CallerRequest>,
        target: EndpointTarget,
        clock: ClockSource,
    ) -> Self {
        let placed_at = clock.now();
        Self { request, target, clock, placed_at, sent_at: OnceLock::new(), has_ended: false }
    }

    /// Records that the request is being sent.
    pub(crate) fn record_send(&self) {
        self.sent_at.get_or_init(|| self.clock.now());
    }

    /// Records that the attempt has ended; it is then logged with its outcome.
    pub(crate) fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for AttemptTrace {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let now = self.clock.now();
        let sent = self.sent_at.get().map(|sent_at| now - *sent_at);
        EventLine::new("attempt_withdrawn")
            .field("id", &self.request.request_id)
            .field("endpoint", &self.target.id)
            .field("elapsed_ms", (now - self.request.profile.arrived_at).as_millis())
            .field("placed_ms_ago", (now - self.placed_at).as_millis())
            .field("sent_ms_ago", optional_millis(sent))
            .field("silent_ms", optional_millis(self.target.silent_for))
            .field("status_remaining_ms", optional_millis(self.target.status_remaining))
            .info();
        metrics::counter!("celeryshed_attempts_withdrawn_total").increment(1);
    }
}

fn optional_millis(duration: Option<Duration>) -> String {
    duration.map_or_else(|| "-".to_owned(), |duration| duration.as_millis().to_string())
}
