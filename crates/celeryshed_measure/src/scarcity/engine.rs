//! Model of an engine, its prefix cache and the slots that its sidecar grants.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{AttemptId, ContentDigest, MonoTime};
use celeryshed_core::admission::SlotTable;
use celeryshed_core::routing::EndpointLoad;

use super::events::SimAttempt;

/// Requests that an engine runs concurrently.
pub(super) const SLOTS: u32 = 16;

/// Time between two tokens of a stream, for 50 tokens/s.
pub(super) const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Generated tokens per second of an engine whose slots are all in use.
pub(super) const ENGINE_TOKENS_PER_S: u64 = 800;

/// Prompt tokens that an engine processes in one step, for 10,000 tokens/s.
const PREFILL_TOKENS_PER_STEP: u64 = 200;

/// Capacity of the prefix cache in blocks.
const CACHE_BLOCKS: usize = 4096;

/// Age of the load that a report shows.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// A running stream.
#[derive(Clone, Debug)]
struct EngineStream {
    attempt: SimAttempt,
    prefill_left: u64,
    tokens_left: u32,
    blocks: Vec<u64>,
}

/// Results of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepResult {
    /// Attempts that got a token, and whether it was their first.
    pub(super) tokens: Vec<(SimAttempt, bool)>,
    /// Attempts that got their last token.
    pub(super) complete: Vec<SimAttempt>,
}

/// A simulated engine.
pub(super) struct SimEngine {
    pub(super) alive: bool,
    pub(super) zone: usize,
    pub(super) version: ContentDigest,
    pub(super) slots: SlotTable,
    streams: Vec<EngineStream>,
    cache: BlockCache,
    loads: Vec<(MonoTime, EndpointLoad)>,
}

/// A least-recently-used cache of prefix blocks; each use has a sequence number.
#[derive(Default)]
struct BlockCache {
    last_use: BTreeMap<u64, u64>,
    blocks_by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl BlockCache {
    fn record_use(&mut self, block: u64) {
        self.uses += 1;
        if let Some(previous_use) = self.last_use.insert(block, self.uses) {
            self.blocks_by_use.remove(&previous_use);
        }
        self.blocks_by_use.insert(self.uses, block);
        if self.last_use.len() > CACHE_BLOCKS
            && let Some((_, oldest)) = self.blocks_by_use.pop_first()
        {
            self.last_use.remove(&oldest);
        }
    }

    fn cached_prefix_blocks(&self, blocks: &[u64]) -> usize {
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

    /// Starts a stream; returns the number of prompt tokens that aren't cached, 1 or more.
    pub(super) fn start(
        &mut self,
        attempt: SimAttempt,
        prompt_tokens: u64,
        blocks: &[u64],
        tokens_left: u32,
    ) -> u64 {
        let cached_tokens =
            self.cache.cached_prefix_blocks(blocks) as u64 * super::traffic::BLOCK_TOKENS;
        let prefill_left = prompt_tokens.saturating_sub(cached_tokens).max(1);
        let blocks = blocks.to_vec();
        self.streams.push(EngineStream { attempt, prefill_left, tokens_left, blocks });
        prefill_left
    }

    pub(super) fn stop(&mut self, attempt_id: &AttemptId) -> Option<SimAttempt> {
        self.slots.release(attempt_id);
        let position =
            self.streams.iter().position(|stream| stream.attempt.attempt_id == *attempt_id)?;
        Some(self.streams.remove(position).attempt)
    }

    /// Crashes the engine and returns the attempts that it was running.
    pub(super) fn crash(&mut self) -> Vec<SimAttempt> {
        self.alive = false;
        self.slots = SlotTable::new(SLOTS);
        self.cache = BlockCache::default();
        self.streams.drain(..).map(|stream| stream.attempt).collect()
    }

    /// Processes prompts, higher classes first, and generates one token for each stream whose prompt
    /// is processed.
    pub(super) fn step(&mut self) -> StepResult {
        let mut result = StepResult::default();
        let mut prefill_budget = PREFILL_TOKENS_PER_STEP;
        // The sort is stable, so streams of one class keep the order of their arrival.
        self.streams.sort_by_key(|stream| std::cmp::Reverse(stream.attempt.class));
        for stream in &mut self.streams {
            let is_first = stream.prefill_left > 0;
            if is_first {
                let part = stream.prefill_left.min(prefill_budget);
                stream.prefill_left -= part;
                prefill_budget -= part;
                if stream.prefill_left > 0 {
                    continue;
                }
                stream.blocks.iter().for_each(|block| self.cache.record_use(*block));
            }
            stream.tokens_left -= 1;
            result.tokens.push((stream.attempt, is_first));
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

    /// Load that the sidecar returns in its reply to an attempt.
    pub(super) fn load_now(&self) -> EndpointLoad {
        self.load()
    }

    /// Records the current load; returns the load that a report shows, which is older.
    pub(super) fn reported_load(&mut self, now: MonoTime) -> EndpointLoad {
        let load = self.load();
        self.loads.push((now, load));
        let shown = self.loads.iter().rev().find(|(at, _)| now - *at >= REPORT_LAG);
        shown.map_or(load, |(_, load)| *load)
    }

    /// Whether the block is in the prefix cache.
    pub(super) fn is_cached(&self, block: u64) -> bool {
        self.cache.last_use.contains_key(&block)
    }
}
