//! Model of an engine and its sidecar's slots.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{AttemptId, ContentDigest, MonoTime};
use celeryshed_core::admission::SlotTable;
use celeryshed_core::routing::EndpointLoad;

use super::events::SimAttempt;

/// Requests that an engine runs at once.
pub(super) const SLOTS: u32 = 16;

/// Time between two tokens of a stream: 50 tokens a second.
pub(super) const STEP: Duration = Duration::from_millis(20);

/// Tokens a second of a full engine.
pub(super) const ENGINE_TOKENS_PER_S: u64 = 800;

/// Prompt tokens processed in one step: 10,000 a second.
const PREFILL_PER_STEP: u64 = 200;

/// Prefix blocks in the cache.
const CACHE_BLOCKS: usize = 4096;

/// Age of the load in a report.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// A stream that runs.
#[derive(Clone, Debug)]
struct EngineStream {
    attempt: SimAttempt,
    prefill_left: u64,
    tokens_left: u32,
    blocks: Vec<u64>,
}

/// What one step brought forth.
#[derive(Clone, Debug, Default)]
pub(super) struct StepResult {
    /// A token of each of these attempts; `true` for its first one.
    pub(super) tokens: Vec<(SimAttempt, bool)>,
    /// Attempts with their last token.
    pub(super) complete: Vec<SimAttempt>,
}

/// An engine.
pub(super) struct SimEngine {
    pub(super) alive: bool,
    pub(super) zone: usize,
    pub(super) version: ContentDigest,
    pub(super) slots: SlotTable,
    streams: Vec<EngineStream>,
    cache: BlockCache,
    loads: Vec<(MonoTime, EndpointLoad)>,
}

/// Prefix blocks in the order of their last use.
#[derive(Default)]
struct BlockCache {
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl BlockCache {
    fn touch(&mut self, block: u64) {
        self.uses += 1;
        if let Some(before) = self.last_use.insert(block, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, block);
        if self.last_use.len() > CACHE_BLOCKS
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
        }
    }

    fn hits(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }
}

impl SimEngine {
    pub(super) fn new(zone: usize, version: ContentDigest) -> Self {
        Self {
            alive: true,
            zone,
            version,
            slots: SlotTable::new(SLOTS),
            streams: Vec::new(),
            cache: BlockCache::default(),
            loads: Vec::new(),
        }
    }

    /// Starts a stream; returns the prompt tokens that must be processed.
    pub(super) fn start(
        &mut self,
        attempt: SimAttempt,
        prompt_tokens: u64,
        blocks: &[u64],
        tokens_left: u32,
    ) -> u64 {
        let cached = self.cache.hits(blocks) as u64 * super::traffic::BLOCK_TOKENS;
        let prefill_left = prompt_tokens.saturating_sub(cached).max(1);
        let blocks = blocks.to_vec();
        self.streams.push(EngineStream { attempt, prefill_left, tokens_left, blocks });
        prefill_left
    }

    pub(super) fn stop(&mut self, attempt_id: &AttemptId) -> Option<SimAttempt> {
        self.slots.release(attempt_id);
        let position = self.streams.iter().position(|it| it.attempt.attempt_id == *attempt_id)?;
        Some(self.streams.remove(position).attempt)
    }

    /// Ends the engine and returns the attempts that ran.
    pub(super) fn die(&mut self) -> Vec<SimAttempt> {
        self.alive = false;
        self.slots = SlotTable::new(SLOTS);
        self.cache = BlockCache::default();
        self.streams.drain(..).map(|stream| stream.attempt).collect()
    }

    /// Processes prompts, higher classes first, and generates one token per stream.
    pub(super) fn step(&mut self) -> StepResult {
        let mut result = StepResult::default();
        let mut budget = PREFILL_PER_STEP;
        // A stable sort: within a class the order of arrival stays.
        self.streams.sort_by_key(|stream| std::cmp::Reverse(stream.attempt.class));
        for stream in &mut self.streams {
            let first = stream.prefill_left > 0;
            if first {
                let part = stream.prefill_left.min(budget);
                stream.prefill_left -= part;
                budget -= part;
                if stream.prefill_left > 0 {
                    continue;
                }
                stream.blocks.iter().for_each(|block| self.cache.touch(*block));
            }
            stream.tokens_left -= 1;
            result.tokens.push((stream.attempt, first));
            if stream.tokens_left == 0 {
                result.complete.push(stream.attempt);
            }
        }
        for attempt in &result.complete {
            self.stop(&attempt.attempt_id);
        }
        result
    }

    fn load(&self) -> EndpointLoad {
        EndpointLoad {
            slots: SLOTS,
            running: self.slots.load().running,
            waiting: 0,
            queued_prompt_tokens: self.streams.iter().map(|stream| stream.prefill_left).sum(),
        }
    }

    /// The load that a sidecar names in its answer to an attempt.
    pub(super) fn load_now(&self) -> EndpointLoad {
        self.load()
    }

    /// Records the load and returns the one that a report shows.
    pub(super) fn reported_load(&mut self, now: MonoTime) -> EndpointLoad {
        let load = self.load();
        self.loads.push((now, load));
        let shown = self.loads.iter().rev().find(|(at, _)| now - *at >= REPORT_LAG);
        shown.map_or(load, |(_, load)| *load)
    }

    /// Whether the block is cached, for the sample of a report.
    pub(super) fn caches(&self, block: u64) -> bool {
        self.cache.last_use.contains_key(&block)
    }
}
