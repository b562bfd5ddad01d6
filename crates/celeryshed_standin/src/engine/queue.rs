//! Waiting requests in order of priority.

use std::cmp::Reverse;

use celeryshed_base::AttemptId;

use super::stream::EngineStream;

/// Waiting requests: higher priority first, then order of arrival.
#[derive(Debug, Default)]
pub(super) struct WaitingQueue {
    streams: Vec<EngineStream>,
}

impl WaitingQueue {
    pub(super) fn len(&self) -> usize {
        self.streams.len()
    }

    pub(super) fn push(&mut self, stream: EngineStream) {
        self.streams.push(stream);
    }

    /// Takes the request that runs next.
    pub(super) fn pop(&mut self) -> Option<EngineStream> {
        let order = |stream: &EngineStream| (stream.request.priority, Reverse(stream.number));
        let (index, _) = self.streams.iter().enumerate().max_by_key(|(_, s)| order(s))?;
        Some(self.streams.swap_remove(index))
    }

    /// Removes the requests that `keep` doesn't keep and returns how many.
    pub(super) fn retain(&mut self, keep: impl FnMut(&EngineStream) -> bool) -> usize {
        let before = self.streams.len();
        self.streams.retain(keep);
        before - self.streams.len()
    }

    /// Removes the request of an attempt.
    pub(super) fn remove(&mut self, attempt_id: AttemptId) -> bool {
        self.retain(|stream| stream.request.attempt_id != attempt_id) > 0
    }

    /// Prompt tokens of all waiting requests.
    pub(super) fn context_tokens(&self) -> u64 {
        self.streams.iter().map(EngineStream::context_tokens).sum()
    }
}
