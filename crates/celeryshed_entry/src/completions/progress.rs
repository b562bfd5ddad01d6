//! The tokens that a caller has received, and the checks of each attempt event.

use celeryshed_base::{AttemptId, ContentDigest};
use celeryshed_wire::{AttemptEvent, AttemptEventKind, AttemptFailure};

/// Tokens delivered to the caller, and the model version that generated them.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerProgress {
    pub(super) tokens: Vec<String>,
    /// `None` before the first token. Only this version may resume the answer.
    pub(super) version: Option<ContentDigest>,
}

/// How to handle an event.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum EventVerdict {
    /// Skip the event: it belongs to another attempt, repeats a token or carries no text.
    Ignore,
    /// Deliver this token to the caller.
    Deliver(String),
    /// The answer is complete.
    Complete,
    /// The sidecar reported a failure.
    Failed(AttemptFailure),
    /// The events are inconsistent, for the given reason; abandon the attempt.
    Abandon(&'static str),
}

/// Checks the events of one attempt for gaps, repetitions and version changes.
#[derive(Clone, Debug)]
pub(super) struct EventCheck {
    attempt_id: AttemptId,
    version: Option<ContentDigest>,
}

impl EventCheck {
    pub(super) fn new(attempt_id: AttemptId) -> Self {
        Self { attempt_id, version: None }
    }

    /// Checks one event and adds its token to `progress`.
    pub(super) fn accept(
        &mut self,
        event: AttemptEvent,
        progress: &mut AnswerProgress,
    ) -> EventVerdict {
        if event.attempt_id != self.attempt_id {
            return EventVerdict::Ignore;
        }
        match event.kind {
            AttemptEventKind::Load(_) => EventVerdict::Ignore,
            AttemptEventKind::Started { version } => self.started(version, progress),
            AttemptEventKind::Token { index, text } => self.token(index, text, progress),
            AttemptEventKind::Answer(_) => EventVerdict::Abandon("an engine sent a whole answer"),
            AttemptEventKind::Finished { tokens } => self.finished(tokens, progress),
            AttemptEventKind::Failed(failure) => EventVerdict::Failed(failure),
        }
    }

    fn started(
        &mut self,
        version: Option<ContentDigest>,
        progress: &AnswerProgress,
    ) -> EventVerdict {
        let Some(version) = version else {
            return EventVerdict::Abandon("the engine names no version");
        };
        if self.version.is_some_and(|started| started != version) {
            return EventVerdict::Abandon("the attempt changed its version");
        }
        if progress.version.is_some_and(|delivered| delivered != version) {
            return EventVerdict::Abandon("another version resumed the answer");
        }
        self.version = Some(version);
        EventVerdict::Ignore
    }

    fn finished(&self, tokens: u32, progress: &mut AnswerProgress) -> EventVerdict {
        if self.version.is_none() {
            return EventVerdict::Abandon("the answer ended before the version was named");
        }
        if tokens as usize != progress.tokens.len() {
            return EventVerdict::Abandon("tokens are missing");
        }
        progress.version = self.version;
        EventVerdict::Complete
    }

    fn token(&self, index: u32, text: String, progress: &mut AnswerProgress) -> EventVerdict {
        let Some(version) = self.version else {
            return EventVerdict::Abandon("a token came before the version");
        };
        let next_index = progress.tokens.len();
        if (index as usize) < next_index {
            return EventVerdict::Ignore;
        }
        if index as usize > next_index {
            return EventVerdict::Abandon("a token is missing");
        }
        progress.version = Some(version);
        progress.tokens.push(text.clone());
        EventVerdict::Deliver(text)
    }
}
