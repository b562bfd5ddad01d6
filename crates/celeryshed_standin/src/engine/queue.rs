//! Queue of waiting requests.

use std::cmp::Reverse;

use celeryshed_base::AttemptId;

use super::stream::EngineStream;

/// Waiting requests, which run in order of priority and, within a priority, of arrival.
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

    /// Removes and returns the request that runs next; `None` if the queue is empty.
    pub(super) fn pop(&mut self) -> Option<EngineStream> {
        let order = |stream: &EngineStream| (stream.request.priority, Reverse(stream.number));
        let (index, _) = self.streams.iter().enumerate().max_by_key(|(_, s)| order(s))?;
        Some(self.streams.swap_remove(index))
    }

    /// Removes the requests for which `keep` returns false, and returns their number.
    pub(super) fn retain(&mut self, keep: impl FnMut(&EngineStream) -> bool) -> usize {
        let before = self.streams.len();
        self.streams.retain(keep);
        before - self.streams.len()
    }

    /// Removes the request of an attempt; returns false if the attempt is not in the queue.
    pub(super) fn remove(&mut self, attempt_id: AttemptId) -> bool {
        self.retain(|stream| stream.request.attempt_id != attempt_id) > 0
    }

    /// Prompt tokens of all waiting requests, including the tokens of resumed answers.
    pub(super) fn context_tokens(&self) -> u64 {
        self.streams.iter().map(EngineStream::context_tokens).sum()
    }
}
