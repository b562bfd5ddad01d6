//! Model of a batching engine.
//!
//! The engine works in passes: each pass prefills up to one chunk of prompt tokens, then decodes a few
//! tokens of every answer in progress. The first event of an answer leaves one decoding step after
//! the prefill of its prompt.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshed_base::ModelName;
use celeryshed_dispatch::EngineProfile;

/// Requests that an engine runs concurrently.
pub(super) const SLOTS: u32 = 12;
/// Requests that may wait in an engine's queue.
const QUEUE_LIMIT: usize = 24;
/// Duration of loading weights, once no request runs.
const LOAD_DURATION: Duration = Duration::from_millis(300);

/// The engine timing that the deployments publish.
pub(super) fn published_profile(model: &str) -> EngineProfile {
    EngineProfile {
        slots: SLOTS,
        step_us: 6730,
        step_per_request_us: 22,
        step_per_context_token_ns: 7,
        read_per_s: 30_600,
        read_per_kilopair_ns: 647,
        read_chunk: 2048,
        pass_steps: 7,
        mean_answer_tokens: 121,
        mean_prompt_tokens: 964,
        models: ModelName::try_from(model).into_iter().collect(),
        piece_count: 96,
        piece_bytes: 24_576,
    }
}

/// A request at an engine, with the work that is left.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineWork {
    /// Index of the request.
    pub(super) request: usize,
    pub(super) prefill_tokens_left: u32,
    pub(super) context_tokens: u32,
    pub(super) answer_tokens_left: u32,
}

/// Results of a pass; requests are given by index.
#[derive(Clone, Debug, Default)]
pub(super) struct PassResult {
    /// Requests that got an event other than their first.
    pub(super) events: Vec<usize>,
    /// Requests that got their first event, `decode_time` before the end of the pass.
    pub(super) first_events: Vec<usize>,
    /// Time of the pass after its prefill and first decoding step.
    pub(super) decode_time: Duration,
    /// Requests whose answers are complete.
    pub(super) complete: Vec<usize>,
    /// Whether the pass loaded new weights.
    pub(super) loaded: bool,
}

/// A simulated engine.
#[derive(Clone, Debug, Default)]
pub(super) struct SimEngine {
    decoding: Vec<EngineWork>,
    prefilling: VecDeque<EngineWork>,
    queue: VecDeque<EngineWork>,
    /// Whether a pass is in progress.
    pub(super) pass_in_progress: bool,
    /// Whether new weights are to be loaded: queued requests don't start, and loading begins when
    /// no request runs.
    pub(super) load_pending: bool,
    /// Whether the engine is down: it accepts no request and runs no pass.
    pub(super) down: bool,
    prefill_in_pass: u32,
    decode_time: Duration,
}

impl SimEngine {
    /// Queues a request; returns `false` if the engine is down or the queue is full.
    pub(super) fn accept(&mut self, work: EngineWork) -> bool {
        if self.down || self.queue.len() >= QUEUE_LIMIT {
            return false;
        }
        self.queue.push_back(work);
        true
    }

    /// Drops all requests and returns their indexes.
    pub(super) fn drop_requests(&mut self) -> Vec<usize> {
        let dropped =
            self.decoding.drain(..).chain(self.prefilling.drain(..)).chain(self.queue.drain(..));
        dropped.map(|work| work.request).collect()
    }

    /// Begins a pass and returns its duration; `None` if the engine has nothing to do.
    pub(super) fn begin_pass(&mut self) -> Option<Duration> {
        let running = self.decoding.len() + self.prefilling.len();
        if self.load_pending && running == 0 {
            self.pass_in_progress = true;
            return Some(LOAD_DURATION);
        }
        if !self.load_pending {
            let free_slots = (SLOTS as usize).saturating_sub(running).min(self.queue.len());
            self.prefilling.extend(self.queue.drain(..free_slots));
        }
        if self.decoding.is_empty() && self.prefilling.is_empty() {
            return None;
        }
        self.pass_in_progress = true;
        let profile = published_profile("");
        let decoding_requests = self.decoding.len() as f64;
        let context: f64 = self.decoding.iter().map(|work| f64::from(work.context_tokens)).sum();
        let step_us = profile.step_us as f64
            + decoding_requests * profile.step_per_request_us as f64
            + context * profile.step_per_context_token_ns as f64 / 1e3;
        let steps = if self.decoding.is_empty() { 1.0 } else { f64::from(profile.pass_steps) };
        let mut chunk_tokens_left = profile.read_chunk;
        let mut prefill_us = 0.0;
        self.prefill_in_pass = 0;
        for work in &self.prefilling {
            let tokens = work.prefill_tokens_left.min(chunk_tokens_left);
            chunk_tokens_left -= tokens;
            self.prefill_in_pass += tokens;
            let tokens = f64::from(tokens);
            prefill_us += tokens * 1e6 / profile.read_per_s as f64
                + tokens * tokens / 2.0 * profile.read_per_kilopair_ns as f64 / 1e6;
        }
        self.decode_time = Duration::from_micros(((steps - 1.0) * step_us) as u64);
        Some(Duration::from_micros((steps * step_us + prefill_us) as u64))
    }

    /// Ends the pass in progress.
    pub(super) fn end_pass(&mut self) -> PassResult {
        self.pass_in_progress = false;
        let mut result = PassResult { decode_time: self.decode_time, ..PassResult::default() };
        if self.load_pending && self.decoding.is_empty() && self.prefilling.is_empty() {
            self.load_pending = false;
            result.loaded = true;
            return result;
        }
        let steps = published_profile("").pass_steps;
        for work in &mut self.decoding {
            work.answer_tokens_left = work.answer_tokens_left.saturating_sub(steps);
            work.context_tokens += steps;
            result.events.push(work.request);
        }
        let finished = self.decoding.iter().filter(|work| work.answer_tokens_left == 0);
        result.complete = finished.map(|work| work.request).collect();
        self.decoding.retain(|work| work.answer_tokens_left > 0);
        let mut prefilled_tokens = std::mem::take(&mut self.prefill_in_pass);
        while let Some(work) = self.prefilling.front_mut() {
            let tokens = work.prefill_tokens_left.min(prefilled_tokens);
            work.prefill_tokens_left -= tokens;
            prefilled_tokens -= tokens;
            if work.prefill_tokens_left > 0 {
                break;
            }
            let Some(mut work) = self.prefilling.pop_front() else { break };
            work.answer_tokens_left = work.answer_tokens_left.saturating_sub(1).max(1);
            result.first_events.push(work.request);
            self.decoding.push(work);
        }
        result
    }
}
