//! Hints about cached prompt prefixes.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

/// Lengths of the prefixes that are looked up, in blocks. With one prefix per block, a prompt of
/// 16 blocks that every endpoint holds took 10 µs of a decision over 600 endpoints.
const PREFIX_LENGTHS: [usize; 11] = [4, 8, 16, 24, 32, 48, 64, 96, 128, 192, 256];

/// Blocks of a prompt whose hashes are needed at most.
pub const MAX_PREFIX_BLOCKS: usize = PREFIX_LENGTHS[PREFIX_LENGTHS.len() - 1];

/// Hints kept over all endpoints; bounds the memory of an entry (about 50 bytes each).
const MAX_HINTS: usize = 65_536;

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of its text.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// The prefixes of a prompt that are looked up, shortest first; `hashes` has one hash per block.
///
/// ```
/// use celeryshed_core::routing::prompt_prefixes;
/// let prefixes = prompt_prefixes(&[11, 12, 13, 14, 15], 16);
/// assert_eq!(prefixes.len(), 1);
/// assert_eq!((prefixes[0].hash, prefixes[0].tokens), (14, 64));
/// ```
pub fn prompt_prefixes(hashes: &[u64], block_tokens: u64) -> Vec<PromptPrefix> {
    let blocks = PREFIX_LENGTHS.iter().take_while(|blocks| **blocks <= hashes.len());
    let prefixes = blocks.map(|blocks| PromptPrefix {
        hash: hashes[blocks - 1],
        tokens: *blocks as u64 * block_tokens,
    });
    prefixes.collect()
}

/// Which endpoints may have which prefixes cached.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixHints {
    holders: BTreeMap<u64, Vec<(u32, MonoTime)>>,
    count: usize,
}

impl PrefixHints {
    /// Notes that endpoint `index` has, or soon has, the prefix.
    pub(super) fn note(&mut self, hash: u64, index: u32, now: MonoTime) {
        let holders = self.holders.entry(hash).or_default();
        match holders.iter_mut().find(|(holder, _)| *holder == index) {
            Some((_, noted)) => *noted = now,
            None => {
                holders.push((index, now));
                self.count += 1;
            }
        }
    }

    /// Forgets everything about an endpoint, for example because its engine restarted.
    pub(super) fn forget(&mut self, index: u32) {
        self.retain(|holder, _| holder != index);
    }

    /// Drops old hints, and all of them when there are too many.
    pub(super) fn expire(&mut self, age: Duration, now: MonoTime) {
        self.retain(|_, noted| now - noted < age);
        if self.count > MAX_HINTS {
            *self = Self::default();
        }
    }

    /// Estimated cached tokens of a prompt per endpoint; a longer prefix implies the shorter
    /// ones, whose events may be lost.
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

    fn retain(&mut self, keep: impl Fn(u32, MonoTime) -> bool) {
        for holders in self.holders.values_mut() {
            holders.retain(|(index, noted)| keep(*index, *noted));
        }
        self.holders.retain(|_, holders| !holders.is_empty());
        self.count = self.holders.values().map(Vec::len).sum();
    }
}
