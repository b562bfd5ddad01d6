//! Hints about which endpoints have which prompt prefixes cached.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

/// Lengths of the prefixes that are looked up, in blocks. Looking up one prefix per block would be
/// too slow: 10 µs of a decision over 600 endpoints that all hold a prompt of 16 blocks.
const PREFIX_LENGTHS_BLOCKS: [usize; 11] = [4, 8, 16, 24, 32, 48, 64, 96, 128, 192, 256];

/// Number of leading blocks of a prompt whose hashes are used; later blocks are ignored.
pub const MAX_PREFIX_BLOCKS: usize = PREFIX_LENGTHS_BLOCKS[PREFIX_LENGTHS_BLOCKS.len() - 1];

/// Maximum number of hints, for all endpoints together; bounds the memory of an entry at about
/// 50 bytes per hint.
const MAX_HINTS: usize = 65_536;

/// A prefix of a prompt, one of the fixed lengths that are looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the prefix's text.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Returns the prefixes of a prompt that are looked up, shortest first.
///
/// `hashes[i]` is the hash of the first `i + 1` blocks, each of `block_tokens` tokens.
///
/// ```
/// use celeryshed_core::routing::prompt_prefixes;
/// let prefixes = prompt_prefixes(&[11, 12, 13, 14, 15], 16);
/// assert_eq!(prefixes.len(), 1);
/// assert_eq!((prefixes[0].hash, prefixes[0].tokens), (14, 64));
/// ```
pub fn prompt_prefixes(hashes: &[u64], block_tokens: u64) -> Vec<PromptPrefix> {
    let blocks = PREFIX_LENGTHS_BLOCKS.iter().take_while(|blocks| **blocks <= hashes.len());
    let prefixes = blocks.map(|blocks| PromptPrefix {
        hash: hashes[blocks - 1],
        tokens: *blocks as u64 * block_tokens,
    });
    prefixes.collect()
}

/// Endpoints that may have a prefix cached, by the prefix's hash.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixHints {
    /// Endpoint index and time of the record in seconds; 32 bits each, because a decision reads
    /// many of them.
    holders: BTreeMap<u64, Vec<(u32, u32)>>,
    count: usize,
}

impl PrefixHints {
    /// Records that endpoint `index` has the prefix cached or is about to.
    pub(super) fn record(&mut self, hash: u64, index: u32, now: MonoTime) {
        let now = seconds(now);
        let holders = self.holders.entry(hash).or_default();
        match holders.iter_mut().find(|(holder, _)| *holder == index) {
            Some((_, recorded_at)) => *recorded_at = now,
            None => {
                holders.push((index, now));
                self.count += 1;
            }
        }
    }

    /// Removes all hints about an endpoint, whose engine may have restarted with an empty cache.
    pub(super) fn remove_endpoint(&mut self, index: u32) {
        self.retain(|holder, _| holder != index);
    }

    /// Removes hints older than `age`, and all hints if more than `MAX_HINTS` remain.
    pub(super) fn expire(&mut self, age: Duration, now: MonoTime) {
        let (now, age) = (seconds(now), age.as_secs() as u32);
        self.retain(|_, recorded_at| now - recorded_at < age);
        if self.count > MAX_HINTS {
            *self = Self::default();
        }
    }

    /// Estimated cached tokens of a prompt, by endpoint index. A hint for a longer prefix counts
    /// even without hints for the shorter ones, which may be lost.
    pub(super) fn cached_tokens(&self, prefixes: &[PromptPrefix], endpoints: usize) -> Vec<u64> {
        let mut cached = vec![0; endpoints];
        for prefix in prefixes {
            let holders = self.holders.get(&prefix.hash).map_or(&[][..], Vec::as_slice);
            for (index, _) in holders {
                cached[*index as usize] = prefix.tokens;
            }
        }
        cached
    }

    /// Estimated cached tokens of a prompt at one endpoint.
    pub(super) fn cached_at(&self, prefixes: &[PromptPrefix], index: u32) -> u64 {
        let held = prefixes.iter().rev().find(|prefix| {
            let holders = self.holders.get(&prefix.hash);
            holders.is_some_and(|holders| holders.iter().any(|(holder, _)| *holder == index))
        });
        held.map_or(0, |prefix| prefix.tokens)
    }

    fn retain(&mut self, keep: impl Fn(u32, u32) -> bool) {
        for holders in self.holders.values_mut() {
            holders.retain(|(index, recorded_at)| keep(*index, *recorded_at));
        }
        self.holders.retain(|_, holders| !holders.is_empty());
        self.count = self.holders.values().map(Vec::len).sum();
    }
}

/// Whole seconds since the process started; 32 bits suffice for 136 years.
fn seconds(now: MonoTime) -> u32 {
    now.0.as_secs() as u32
}
