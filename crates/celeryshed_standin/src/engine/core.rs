//! State and scheduling of the engine: slots, prompt processing (prefill) and decode steps.

use std::time::Duration;

use celeryshed_base::{AttemptId, ClockSource, ContentDigest, FenceNumber, MonoTime};
use celeryshed_wire::{EngineEvent, EngineLoad, EngineRequest, PREFIX_BLOCK_BYTES};
use tokio::sync::mpsc::UnboundedSender;

use super::adapters::AdapterCache;
use super::cache::PrefixCache;
use super::commands::VersionLoad;
use super::counts::{EngineCounts, EngineFaults};
use super::events::EventFeed;
use super::load::{LoadHistory, TokenWindow};
use super::options::EngineOptions;
use super::queue::WaitingQueue;
use super::stream::{EngineStream, Rejection, StreamPhase, StreamPiece, TokenResult};
use super::tokens::TOKEN_BYTES;
use super::weights::EngineWeights;

/// Maximum delay that the engine makes up for by running the missed decode steps. After a longer
/// pause of the process, one step ends at once and later steps are scheduled from the current time.
const MAX_STEP_DELAY: Duration = Duration::from_millis(100);

/// Number of tokens in one block of the prefix cache.
const BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / TOKEN_BYTES) as u64;

/// State of an engine.
#[derive(Debug)]
pub(super) struct EngineCore {
    pub(super) options: EngineOptions,
    pub(super) clock: ClockSource,
    pub(super) faults: EngineFaults,
    pub(super) counts: EngineCounts,
    pub(super) weights: EngineWeights,
    pub(super) adapters: AdapterCache,
    pub(super) live: Option<ContentDigest>,
    pub(super) fence: FenceNumber,
    pub(super) loading: Option<VersionLoad>,
    boot_id: u64,
    down_until: Option<MonoTime>,
    accepted_requests: u64,
    waiting: WaitingQueue,
    running: Vec<EngineStream>,
    /// End of the current decode step; `None` while no stream decodes.
    step_end: Option<MonoTime>,
    cache: PrefixCache,
    event_feed: EventFeed,
    load_history: LoadHistory,
    token_window: TokenWindow,
}

impl EngineCore {
    pub(super) fn new(options: EngineOptions, clock: ClockSource) -> Self {
        let mut weights = EngineWeights::default();
        let live = options.initial_version;
        if let Some(version) = live {
            weights.mark_loaded(version);
        }
        let mut core = Self {
            adapters: AdapterCache::new(options.adapter_slots, options.adapter_load_time),
            cache: PrefixCache::new(options.cache_blocks),
            event_feed: EventFeed::new(
                options.event_delay,
                options.event_loss_permille,
                options.seed,
            ),
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
            accepted_requests: 0,
            waiting: WaitingQueue::default(),
            running: Vec::new(),
            step_end: None,
            load_history: LoadHistory::default(),
            token_window: TokenWindow::default(),
        };
        core.record_load();
        core
    }

    /// Delay of each call, including the latency fault.
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

    /// Adds a request to the queue, or returns why the request is rejected.
    pub(super) fn submit(
        &mut self,
        request: EngineRequest,
        sender: UnboundedSender<StreamPiece>,
    ) -> Result<(), Rejection> {
        self.advance();
        let version =
            self.admissible_version(&request).inspect_err(|_| self.counts.refused += 1)?;
        let stream = EngineStream::new(self.accepted_requests, request, version, sender);
        self.accepted_requests += 1;
        self.counts.requests += 1;
        if !stream.request.resume_after.is_empty() {
            self.counts.resumed += 1;
            self.counts.resume_mismatches += u64::from(!stream.resumes_same_answer());
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

    /// Ends the stream of an attempt without `Done`; returns false if the attempt is unknown.
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

    /// Load report, delayed by the report lag; `None` while the engine is down.
    pub(super) fn reported_load(&self) -> Option<EngineLoad> {
        self.load_history.report(self.clock.now(), self.options.report_lag)
    }

    /// Published cache events with sequence number `from` or higher.
    pub(super) fn published_events(&self, from: u64) -> Vec<EngineEvent> {
        self.event_feed.read(from, self.clock.now())
    }

    /// Time of the next scheduled event; `None` if no event is scheduled.
    pub(super) fn next_event_at(&self) -> Option<MonoTime> {
        if self.is_down() || self.faults.freeze {
            return self.down_until;
        }
        let phases = self.running.iter().filter_map(|stream| match stream.phase {
            StreamPhase::AdapterLoading { until } | StreamPhase::Prefill { until } => Some(until),
            StreamPhase::PrefillPending | StreamPhase::Decode => None,
        });
        let load = self.loading.as_ref().map(|load| load.ready_at);
        phases.chain(self.step_end).chain(load).min()
    }

    /// Runs all events due by now.
    pub(super) fn advance(&mut self) {
        let now = self.clock.now();
        if self.faults.freeze && !self.is_down() {
            return;
        }
        if self.step_end.is_some_and(|end| now - end > MAX_STEP_DELAY) {
            self.step_end = Some(now);
        }
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.run_events(at);
        }
        self.record_load();
    }

    fn run_events(&mut self, at: MonoTime) {
        if self.is_down() {
            return self.restart();
        }
        self.finish_load(at);
        self.finish_adapter_loads(at);
        self.finish_prefill(at);
        if self.is_down() {
            return;
        }
        if self.step_end.is_some_and(|end| end <= at) {
            self.end_decode_step(at);
        }
        self.schedule(at);
    }

    /// Fills free slots, starts processing the next prompt and begins a decode step if none is in
    /// progress.
    fn schedule(&mut self, at: MonoTime) {
        let abandoned = self.waiting.retain(|stream| !stream.is_receiver_closed());
        self.counts.abandoned += abandoned as u64;
        while self.running.len() < self.options.slots {
            let Some(stream) = self.waiting.pop() else { break };
            self.start_stream(stream, at);
        }
        self.start_prefill(at);
        if self.step_end.is_none() || self.decoding_streams() == 0 {
            self.begin_decode_step(at);
        }
    }

    /// Begins a decode step with all streams that decode now. Streams that start to decode later
    /// join the next step.
    fn begin_decode_step(&mut self, at: MonoTime) {
        for stream in &mut self.running {
            stream.in_step = stream.phase == StreamPhase::Decode;
        }
        let decoding = self.decoding_streams();
        self.step_end = (decoding > 0).then(|| at + self.decode_step_time(decoding));
    }

    fn start_stream(&mut self, mut stream: EngineStream, at: MonoTime) {
        if let Some(adapter) = &stream.request.adapter {
            let until = self.adapters.ensure_loading(adapter, at);
            if until > at {
                stream.phase = StreamPhase::AdapterLoading { until };
            }
        }
        self.counts.started += 1;
        self.running.push(stream);
        self.counts.most_running = self.counts.most_running.max(self.running.len() as u32);
    }

    fn finish_adapter_loads(&mut self, at: MonoTime) {
        for stream in &mut self.running {
            if matches!(stream.phase, StreamPhase::AdapterLoading { until } if until <= at) {
                stream.phase = StreamPhase::PrefillPending;
            }
        }
    }

    /// Starts processing the oldest pending prompt, unless another prompt is being processed.
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
        self.event_feed.publish(&change, at);
        self.counts.events_lost = self.event_feed.lost;
    }

    fn decoding_streams(&self) -> usize {
        self.running.iter().filter(|stream| stream.phase == StreamPhase::Decode).count()
    }

    /// Duration of a decode step that generates one token for each of `streams` streams.
    fn decode_step_time(&self, streams: usize) -> Duration {
        let total_rate_time = streams as f64 / self.options.tokens_per_s;
        let stream_rate_time = 1.0 / self.options.stream_tokens_per_s;
        let slowdown = 1.0 + f64::from(self.faults.slower_percent) / 100.0;
        Duration::from_secs_f64(total_rate_time.max(stream_rate_time) * slowdown)
    }

    /// Ends a decode step: each stream in the step gets one token or is cut by a fault.
    fn end_decode_step(&mut self, at: MonoTime) {
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
                TokenResult::ReceiverClosed => counts.abandoned += 1,
            }
            false
        });
        counts.tokens += generated;
        self.token_window.add(generated, at);
        self.begin_decode_step(at);
    }

    /// Ends all streams without `Done`.
    pub(super) fn end_all_streams(&mut self) {
        self.waiting = WaitingQueue::default();
        self.running.clear();
        self.step_end = None;
    }

    /// Ends all streams without `Done`, discards the state that a process holds in memory and stays
    /// down for the restart time.
    fn crash(&mut self) {
        self.counts.crashes += 1;
        self.counts.cut_by_crash += (self.running.len() + self.waiting.len()) as u64;
        self.down_until = Some(self.clock.now() + self.options.restart_time);
        self.end_all_streams();
        self.loading = None;
        self.live = None;
        self.fence = FenceNumber(0);
        self.weights = EngineWeights::default();
        self.adapters =
            AdapterCache::new(self.options.adapter_slots, self.options.adapter_load_time);
        self.cache = PrefixCache::new(self.options.cache_blocks);
        self.load_history = LoadHistory::default();
        self.token_window = TokenWindow::default();
    }

    fn restart(&mut self) {
        self.down_until = None;
        self.boot_id = rand::random();
        self.event_feed.restart();
    }

    fn record_load(&mut self) {
        if self.is_down() {
            return;
        }
        let now = self.clock.now();
        let load = self.current_load(now);
        self.load_history.record(load, now, self.options.report_lag);
    }

    fn current_load(&mut self, now: MonoTime) -> EngineLoad {
        let before_decode =
            self.running.iter().filter(|stream| stream.phase != StreamPhase::Decode);
        let unprocessed_tokens: u64 = before_decode.map(EngineStream::context_tokens).sum();
        EngineLoad {
            live: self.live,
            boot_id: self.boot_id,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.options.slots as u32,
            queued_prompt_tokens: unprocessed_tokens + self.waiting.context_tokens(),
            tokens_per_s: self.token_window.rate(now),
            adapters: self.adapters.ready(now),
        }
    }
}
