//! Model of a batching engine.
//!
//! It works in passes: a piece of the waiting prompts is read, then all answers in progress get a few
//! tokens. An answer's first event leaves one step after its prompt was read.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshed_base::ModelName;
use celeryshed_dispatch::EngineProfile;

/// Requests that an engine runs at once.
pub(super) const SLOTS: u32 = 12;
/// Requests that may wait at an engine.
const QUEUE_LIMIT: usize = 24;
/// Time in which weights are loaded once an engine is empty.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// The timing that the deployments publish.
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

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineWork {
    pub(super) request: usize,
    pub(super) unread: u32,
    pub(super) context: u32,
    pub(super) unwritten: u32,
}

/// What a pass brought forth.
#[derive(Clone, Debug, Default)]
pub(super) struct PassResult {
    /// Requests that got an event.
    pub(super) events: Vec<usize>,
    /// Requests that got their first event; it left `writing_time` before the end of the pass.
    pub(super) first_events: Vec<usize>,
    /// Time of the pass after its prompts were read.
    pub(super) writing_time: Duration,
    /// Requests that are complete.
    pub(super) complete: Vec<usize>,
    /// Whether new weights are loaded now.
    pub(super) loaded: bool,
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub(super) struct SimEngine {
    writing: Vec<EngineWork>,
    reading: VecDeque<EngineWork>,
    queue: VecDeque<EngineWork>,
    /// Whether a pass is in progress.
    pub(super) passing: bool,
    /// Whether it loads weights once it is empty, and accepts nothing meanwhile.
    pub(super) to_load: bool,
    /// Whether it answers nothing.
    pub(super) down: bool,
    read_now: u32,
    writing_time: Duration,
}

impl SimEngine {
    /// Takes a request, unless it is down or its queue is full.
    pub(super) fn accept(&mut self, work: EngineWork) -> bool {
        if self.down || self.queue.len() >= QUEUE_LIMIT {
            return false;
        }
        self.queue.push_back(work);
        true
    }

    /// Loses everything.
    pub(super) fn clear(&mut self) -> Vec<usize> {
        let lost = self.writing.drain(..).chain(self.reading.drain(..)).chain(self.queue.drain(..));
        lost.map(|work| work.request).collect()
    }

    /// Begins a pass; how long it takes, if there is anything to do.
    pub(super) fn begin_pass(&mut self) -> Option<Duration> {
        let busy = self.writing.len() + self.reading.len();
        if self.to_load && busy == 0 {
            self.passing = true;
            return Some(LOAD_TIME);
        }
        if !self.to_load {
            let free = (SLOTS as usize).saturating_sub(busy).min(self.queue.len());
            self.reading.extend(self.queue.drain(..free));
        }
        if self.writing.is_empty() && self.reading.is_empty() {
            return None;
        }
        self.passing = true;
        let profile = published_profile("");
        let writers = self.writing.len() as f64;
        let context: f64 = self.writing.iter().map(|work| f64::from(work.context)).sum();
        let step = profile.step_us as f64
            + writers * profile.step_per_request_us as f64
            + context * profile.step_per_context_token_ns as f64 / 1e3;
        let steps = if self.writing.is_empty() { 1.0 } else { f64::from(profile.pass_steps) };
        let mut room = profile.read_chunk;
        let mut reading = 0.0;
        self.read_now = 0;
        for work in &self.reading {
            let tokens = work.unread.min(room);
            room -= tokens;
            self.read_now += tokens;
            let tokens = f64::from(tokens);
            reading += tokens * 1e6 / profile.read_per_s as f64
                + tokens * tokens / 2.0 * profile.read_per_kilopair_ns as f64 / 1e6;
        }
        self.writing_time = Duration::from_micros(((steps - 1.0) * step) as u64);
        Some(Duration::from_micros((steps * step + reading) as u64))
    }

    /// Ends the pass that was begun.
    pub(super) fn end_pass(&mut self) -> PassResult {
        self.passing = false;
        let mut result = PassResult { writing_time: self.writing_time, ..PassResult::default() };
        if self.to_load && self.writing.is_empty() && self.reading.is_empty() {
            self.to_load = false;
            result.loaded = true;
            return result;
        }
        let steps = published_profile("").pass_steps;
        for work in &mut self.writing {
            work.unwritten = work.unwritten.saturating_sub(steps);
            work.context += steps;
            result.events.push(work.request);
        }
        let done = self.writing.iter().filter(|work| work.unwritten == 0);
        result.complete = done.map(|work| work.request).collect();
        self.writing.retain(|work| work.unwritten > 0);
        let mut read = std::mem::take(&mut self.read_now);
        while let Some(work) = self.reading.front_mut() {
            let tokens = work.unread.min(read);
            work.unread -= tokens;
            read -= tokens;
            if work.unread > 0 {
                break;
            }
            let Some(mut work) = self.reading.pop_front() else { break };
            work.unwritten = work.unwritten.saturating_sub(1).max(1);
            result.first_events.push(work.request);
            self.writing.push(work);
        }
        result
    }
}
