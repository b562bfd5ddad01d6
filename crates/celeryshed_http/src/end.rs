//! Reports why a connection ended.

use std::net::SocketAddr;

use celeryshed_observe::EventLine;

/// Why a connection ended other than after a complete response, or by its caller between requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// It was idle for too long.
    Idle,
    /// It was idle for longest when the limit of connections was reached.
    Evicted,
    /// It was idle while the server closed.
    Closing,
    /// A request head began, but wasn't complete in time; it was answered with 408.
    UnfinishedHead,
    /// The body of a request wasn't complete when the limit of connections was reached; it was
    /// answered with 408.
    UnfinishedBody,
    /// The caller has received nothing of an ended response for too long.
    Unreceived,
    /// What arrived was no valid request.
    InvalidRequest,
    /// The caller disconnected while a request was in progress.
    CallerLeft,
    /// The body of a response ended with an error.
    AnswerBroken,
    /// The handler of a request panicked; the request was answered with 500.
    HandlerPanicked,
}

impl EndReason {
    /// Why the server ended a connection with `error`, if any. `in_progress` says whether a request
    /// was in progress.
    pub(crate) fn of(error: Option<&hyper::Error>, in_progress: bool) -> Option<Self> {
        match error {
            Some(error) if error.is_user() => Some(Self::AnswerBroken),
            Some(error) if error.is_parse() => Some(Self::InvalidRequest),
            _ if in_progress => Some(Self::CallerLeft),
            _ => None,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Evicted => "evicted",
            Self::Closing => "closing",
            Self::UnfinishedHead => "unfinished_head",
            Self::UnfinishedBody => "unfinished_body",
            Self::Unreceived => "unreceived",
            Self::InvalidRequest => "invalid_request",
            Self::CallerLeft => "caller_left",
            Self::AnswerBroken => "answer_broken",
            Self::HandlerPanicked => "handler_panicked",
        }
    }

    /// Logs and counts the end of a connection to `peer`.
    pub(crate) fn report(self, peer: SocketAddr) {
        metrics::counter!("celeryshed_connections_closed_total", "reason" => self.name())
            .increment(1);
        let line =
            EventLine::new("connection_closed").field("peer", peer).field("reason", self.name());
        match self {
            Self::HandlerPanicked => line.error(),
            Self::AnswerBroken => line.warn(),
            _ => line.info(),
        }
    }
}
