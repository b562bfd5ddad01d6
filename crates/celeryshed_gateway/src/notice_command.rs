//! Commands to the dispatcher task about what endpoints state of themselves.

use celeryshed_base::MonoTime;
use celeryshed_dispatch::{
    EndpointNotice, EndpointStart, EntryDispatcher, NoticeChange, ReopeningCause,
};
use celeryshed_observe::EventLine;
use hyper::StatusCode;
use tokio::sync::oneshot;

/// A command to the dispatcher task.
#[derive(Debug)]
pub(crate) enum NoticeCommand {
    /// An endpoint stated something in an answer.
    Stated {
        start: EndpointStart,
        notice: EndpointNotice,
        /// Status of the answer.
        status: StatusCode,
        /// Id of the request.
        request_id: String,
    },
    /// Asks whether a placed request may still be sent.
    MaySend { start: EndpointStart, reply: oneshot::Sender<bool> },
    /// An endpoint answered a request after its pause.
    TrialAnswered(EndpointStart),
    /// A request after a pause ended.
    TrialEnded(EndpointStart),
}

impl NoticeCommand {
    /// Whether the command changes nothing.
    pub(crate) fn is_query(&self) -> bool {
        matches!(self, Self::MaySend { .. })
    }

    pub(crate) fn run(self, dispatcher: &mut EntryDispatcher, now: MonoTime) {
        match self {
            Self::Stated { start, notice, status, request_id } => {
                metrics::counter!("celeryshed_endpoint_notices_total", "notice" => notice.name())
                    .increment(1);
                let change = dispatcher.apply_notice(now, &start, notice);
                log_change(now, &start, change, status, &request_id);
            }
            Self::MaySend { start, reply } => {
                // Sending fails if the caller has disconnected.
                let _ = reply.send(dispatcher.may_send(now, &start));
            }
            Self::TrialAnswered(start) => {
                dispatcher.record_trial_answer(now, &start);
                log_reopened(dispatcher);
            }
            Self::TrialEnded(start) => dispatcher.end_trial(&start),
        }
    }
}

fn log_change(
    now: MonoTime,
    start: &EndpointStart,
    change: NoticeChange,
    status: StatusCode,
    request_id: &str,
) {
    let line = EventLine::new("endpoint_closed")
        .field("endpoint", &start.id)
        .field("id", request_id)
        .field("status", status.as_u16());
    match change {
        NoticeChange::Unchanged => {}
        NoticeChange::Leaving => line.field("notice", "leaving").field("until", "restart").info(),
        NoticeChange::Paused { until, shortened } => line
            .field("notice", "paused")
            .field("for_ms", (until - now).as_millis())
            .field("shortened", shortened)
            .info(),
    }
}

/// Logs the endpoints that accept requests again.
pub(crate) fn log_reopened(dispatcher: &mut EntryDispatcher) {
    for (id, cause) in dispatcher.take_reopened() {
        let cause = match cause {
            ReopeningCause::Restarted => "restarted",
            ReopeningCause::Answered => "answered",
        };
        EventLine::new("endpoint_reopened").field("endpoint", &id).field("cause", cause).info();
    }
}
