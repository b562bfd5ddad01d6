//! State of the engine: slots, prompt processing and token steps.

use std::time::Duration;

use celeryshed_base::{AttemptId, ClockSource, ContentDigest, FenceNumber, MonoTime};
use celeryshed_wire::{EngineEvent, EngineLoad, EngineRequest, PREFIX_BLOCK_BYTES};
use tokio::sync::mpsc::UnboundedSender;

use super::adapters::AdapterShelf;
use super::cache::PrefixCache;
use super::commands::VersionLoad;
use super::counts::{EngineCounts, EngineFaults};
use super::events::EventFeed;
use super::load::{LoadHistory, TokenWindow};
use super::options::EngineOptions;
use super::queue::WaitingQueue;
use super::stream::{EngineStream, Rejection, StreamPhase, StreamPiece, TokenResult};
use super::tokens::TOKEN_BYTES;
use super::weights::WeightShelf;

/// Delay behind the schedule of steps that is made up for; a longer pause of the process is not.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);

/// Tokens of one block of the prefix cache.
const BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / TOKEN_BYTES) as u64;

/// Everything that an engine knows.
#[derive(Debug)]
pub(super) struct EngineCore {
    pub(super) options: EngineOptions,
    pub(super) clock: ClockSource,
    pub(super) faults: EngineFaults,
    pub(super) counts: EngineCounts,
    pub(super) weights: WeightShelf,
    pub(super) adapters: AdapterShelf,
    pub(super) live: Option<ContentDigest>,
    pub(super) fence: FenceNumber,
    pub(super) loading: Option<VersionLoad>,
    boot_id: u64,
    down_until: Option<MonoTime>,
    accepted: u64,
    waiting: WaitingQueue,
    running: Vec<EngineStream>,
    step_due: Option<MonoTime>,
    cache: PrefixCache,
    events: EventFeed,
    loads: LoadHistory,
    tokens: TokenWindow,
}

impl EngineCore {
    pub(super) fn new(options: EngineOptions, clock: ClockSource) -> Self {
        let mut weights = WeightShelf::default();
        let live = options.initial_version;
        if let Some(version) = live {
            weights.load(version);
        }
        let mut core = Self {
            adapters: AdapterShelf::new(options.adapter_slots, options.adapter_load),
            cache: PrefixCache::new(options.cache_blocks),
            events: EventFeed::new(options.event_delay, options.event_loss_permille, options.seed),
            options,
            clock,
            faults: EngineFaults::default(),
            counts: EngineCounts::default(),
            weights,
            live,
            fence: FenceNumber(0),
            loading: None,
            boot_id: rand::random(),
            down_until: None,
            accepted: 0,
            waiting: WaitingQueue::default(),
            running: Vec::new(),
            step_due: None,
            loads: LoadHistory::default(),
            tokens: TokenWindow::default(),
        };
        core.record_load();
        core
    }

    /// Delay of each call.
    pub(super) fn latency(&self) -> Duration {
        self.options.latency + Duration::from_millis(self.faults.extra_latency_ms)
    }

    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    pub(super) fn set_faults(&mut self, mut faults: EngineFaults) {
        self.advance();
        if std::mem::take(&mut faults.crash) && !self.is_down() {
            self.crash();
        }
        self.faults = faults;
    }

    /// Accepts a request into the queue.
    pub(super) fn submit(
        &mut self,
        request: EngineRequest,
        sender: UnboundedSender<StreamPiece>,
    ) -> Result<(), Rejection> {
        self.advance();
        let version =
            self.admissible_version(&request).inspect_err(|_| self.counts.refused += 1)?;
        let stream = EngineStream::new(self.accepted, request, version, sender);
        self.accepted += 1;
        self.counts.requests += 1;
        if !stream.request.resume_after.is_empty() {
            self.counts.resumed += 1;
            self.counts.resume_mismatches += u64::from(!stream.resumes_own_answer());
        }
        self.waiting.push(stream);
        self.schedule(self.clock.now());
        self.record_load();
        Ok(())
    }

    fn admissible_version(&self, request: &EngineRequest) -> Result<ContentDigest, Rejection> {
        if self.is_down() {
            return Err(Rejection::Down);
        }
        if request.max_tokens == 0 {
            return Err(Rejection::Invalid("max_tokens = 0: accepted is 1 or more".to_owned()));
        }
        if request.resume_after.len() > request.max_tokens as usize {
            return Err(Rejection::Invalid("resume_after exceeds max_tokens".to_owned()));
        }
        let version = request.version.or(self.live);
        let version = version.ok_or_else(|| Rejection::NotLoaded("none is live".to_owned()))?;
        if !self.weights.is_loaded(&version) {
            return Err(Rejection::NotLoaded(version.to_string()));
        }
        if self.waiting.len() >= self.options.queue_limit
            && self.running.len() >= self.options.slots
        {
            return Err(Rejection::QueueFull);
        }
        Ok(version)
    }

    /// Cuts the stream of an attempt; false when there is none.
    pub(super) fn cancel(&mut self, attempt_id: AttemptId) -> bool {
        self.advance();
        let before = self.running.len();
        self.running.retain(|stream| stream.request.attempt_id != attempt_id);
        let cancelled = self.waiting.remove(attempt_id) || self.running.len() < before;
        self.counts.cancelled += u64::from(cancelled);
        self.schedule(self.clock.now());
        self.record_load();
        cancelled
    }

    /// The load as reported, with its lag.
    pub(super) fn reported_load(&self) -> Option<EngineLoad> {
        self.loads.shown(self.clock.now(), self.options.report_lag)
    }

    /// Cache events from `from` on, as published.
    pub(super) fn published_events(&self, from: u64) -> Vec<EngineEvent> {
        self.events.read(from, self.clock.now())
    }

    /// Time of the next change, `None` when only a call changes something.
    pub(super) fn next_due(&self) -> Option<MonoTime> {
        if self.is_down() || self.faults.freeze {
            return self.down_until;
        }
        let phases = self.running.iter().filter_map(|stream| match stream.phase {
            StreamPhase::AdapterLoading { until } | StreamPhase::Prefill { until } => Some(until),
            StreamPhase::PrefillPending | StreamPhase::Decode => None,
        });
        let load = self.loading.as_ref().map(|load| load.due);
        phases.chain(self.step_due).chain(load).min()
    }

    /// Runs everything that is due by now.
    pub(super) fn advance(&mut self) {
        let now = self.clock.now();
        if self.faults.freeze && !self.is_down() {
            return;
        }
        if self.step_due.is_some_and(|due| now - due > MAX_CATCH_UP) {
            self.step_due = Some(now);
        }
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            self.run_due(due);
        }
        self.record_load();
    }

    fn run_due(&mut self, at: MonoTime) {
        if self.is_down() {
            return self.restart();
        }
        self.finish_load(at);
        self.finish_adapters(at);
        self.finish_prefill(at);
        if self.is_down() {
            return;
        }
        if self.step_due.is_some_and(|due| due <= at) {
            self.end_step(at);
        }
        self.schedule(at);
    }

    /// Fills free slots, and starts the next prompt and the next step.
    fn schedule(&mut self, at: MonoTime) {
        let abandoned = self.waiting.retain(|stream| !stream.reader_is_gone());
        self.counts.abandoned += abandoned as u64;
        while self.running.len() < self.options.slots {
            let Some(stream) = self.waiting.pop() else { break };
            self.start(stream, at);
        }
        self.start_prefill(at);
        if self.step_due.is_none() || self.decoding() == 0 {
            self.begin_step(at);
        }
    }

    /// Begins a step of the streams that decode now; others join the next one.
    fn begin_step(&mut self, at: MonoTime) {
        for stream in &mut self.running {
            stream.in_step = stream.phase == StreamPhase::Decode;
        }
        let decoding = self.decoding();
        self.step_due = (decoding > 0).then(|| at + self.step_time(decoding));
    }

    fn start(&mut self, mut stream: EngineStream, at: MonoTime) {
        if let Some(adapter) = &stream.request.adapter {
            let until = self.adapters.want(adapter, at);
            if until > at {
                stream.phase = StreamPhase::AdapterLoading { until };
            }
        }
        self.counts.started += 1;
        self.running.push(stream);
        self.counts.most_running = self.counts.most_running.max(self.running.len() as u32);
    }

    fn finish_adapters(&mut self, at: MonoTime) {
        for stream in &mut self.running {
            if matches!(stream.phase, StreamPhase::AdapterLoading { until } if until <= at) {
                stream.phase = StreamPhase::PrefillPending;
            }
        }
    }

    /// Starts the oldest pending prompt unless one is being processed.
    fn start_prefill(&mut self, at: MonoTime) {
        let in_prefill = |s: &EngineStream| matches!(s.phase, StreamPhase::Prefill { .. });
        if self.running.iter().any(in_prefill) {
            return;
        }
        let pending = self.running.iter_mut().filter(|s| s.phase == StreamPhase::PrefillPending);
        let Some(stream) = pending.min_by_key(|stream| stream.number) else {
            return;
        };
        let context = stream.context_tokens();
        let hits = self.cache.lookup(stream.cache_scope(), &stream.prefixes());
        let cached = hits as u64 * BLOCK_TOKENS;
        let uncached = context.saturating_sub(cached);
        let time = uncached as f64 / self.options.prefill_tokens_per_s;
        stream.phase = StreamPhase::Prefill { until: at + Duration::from_secs_f64(time) };
        self.counts.prompt_tokens += context;
        self.counts.cached_prompt_tokens += cached;
    }

    fn finish_prefill(&mut self, at: MonoTime) {
        let finished = |s: &&mut EngineStream| matches!(s.phase, StreamPhase::Prefill { until } if until <= at);
        let Some(stream) = self.running.iter_mut().find(finished) else {
            return;
        };
        if stream.request.prompt.contains(&self.options.crash_marker) {
            let prompt = ContentDigest::of(stream.request.prompt.as_bytes());
            *self.counts.crashed_prompts.entry(prompt).or_default() += 1;
            return self.crash();
        }
        stream.phase = StreamPhase::Decode;
        let change = self.cache.insert(stream.cache_scope(), &stream.prefixes());
        self.events.publish(&change, at);
        self.counts.events_lost = self.events.lost;
    }

    fn decoding(&self) -> usize {
        self.running.iter().filter(|stream| stream.phase == StreamPhase::Decode).count()
    }

    /// Time of one step in which each of `streams` streams gets one token.
    fn step_time(&self, streams: usize) -> Duration {
        let shared = streams as f64 / self.options.tokens_per_s;
        let own = 1.0 / self.options.stream_tokens_per_s;
        let slower = 1.0 + f64::from(self.faults.slower_percent) / 100.0;
        Duration::from_secs_f64(shared.max(own) * slower)
    }

    /// Ends a step: each stream in it gets one token.
    fn end_step(&mut self, at: MonoTime) {
        let mut generated = 0;
        let cut_after = self.faults.cut_streams_after;
        let counts = &mut self.counts;
        self.running.retain_mut(|stream| {
            if !stream.in_step {
                return true;
            }
            if cut_after.is_some_and(|limit| stream.sent >= limit) {
                counts.cut += 1;
                return false;
            }
            let before = stream.sent;
            let result = stream.send_token();
            let tokens = u64::from(stream.sent - before);
            generated += tokens;
            *counts.tokens_by_version.entry(stream.version).or_default() += tokens;
            match result {
                TokenResult::Sent => return true,
                TokenResult::Finished => counts.finished += 1,
                TokenResult::ReaderGone => counts.abandoned += 1,
            }
            false
        });
        counts.tokens += generated;
        self.tokens.add(generated, at);
        self.begin_step(at);
    }

    /// Cuts all streams.
    pub(super) fn cut_all(&mut self) {
        self.waiting = WaitingQueue::default();
        self.running.clear();
        self.step_due = None;
    }

    /// Cuts all streams and forgets everything that a process holds in memory.
    fn crash(&mut self) {
        self.counts.crashes += 1;
        self.counts.cut_by_crash += (self.running.len() + self.waiting.len()) as u64;
        self.down_until = Some(self.clock.now() + self.options.restart);
        self.cut_all();
        self.loading = None;
        self.live = None;
        self.fence = FenceNumber(0);
        self.weights = WeightShelf::default();
        self.adapters = AdapterShelf::new(self.options.adapter_slots, self.options.adapter_load);
        self.cache = PrefixCache::new(self.options.cache_blocks);
        self.loads = LoadHistory::default();
        self.tokens = TokenWindow::default();
    }

    fn restart(&mut self) {
        self.down_until = None;
        self.boot_id = rand::random();
        self.events.restart();
    }

    fn record_load(&mut self) {
        if self.is_down() {
            return;
        }
        let now = self.clock.now();
        let load = self.current_load(now);
        self.loads.record(load, now, self.options.report_lag);
    }

    fn current_load(&mut self, now: MonoTime) -> EngineLoad {
        let undecoded = self.running.iter().filter(|stream| stream.phase != StreamPhase::Decode);
        let in_prefill: u64 = undecoded.map(EngineStream::context_tokens).sum();
        EngineLoad {
            live: self.live,
            boot_id: self.boot_id,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.options.slots as u32,
            queued_prompt_tokens: in_prefill + self.waiting.context_tokens(),
            tokens_per_s: self.tokens.rate(now),
            adapters: self.adapters.ready(now),
        }
    }
}
