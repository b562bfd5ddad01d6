//! Hints about cached prompt prefixes.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{ContentDigest, MonoTime};

/// Bytes of text per block of a prefix; engines cache whole blocks.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Prefixes of one prompt that are looked up; longer shared beginnings gain little more.
const MAX_PREFIXES: usize = 16;

/// Bytes of text per token, on average.
const BYTES_PER_TOKEN: usize = 4;

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

/// The prefixes of whole blocks of a prompt, shortest first.
///
/// ```
/// use celeryshed_core::routing::prompt_prefixes;
/// let prompt = "x".repeat(600);
/// assert_eq!(prompt_prefixes(&prompt).len(), 2);
/// assert_eq!(prompt_prefixes(&prompt)[..1], prompt_prefixes(&prompt[..300]));
/// ```
pub fn prompt_prefixes(prompt: &str) -> Vec<PromptPrefix> {
    let blocks = (prompt.len() / PREFIX_BLOCK_BYTES).min(MAX_PREFIXES);
    let ends = (1..=blocks).map(|block| block * PREFIX_BLOCK_BYTES);
    let prefixes = ends.map(|end| PromptPrefix {
        hash: ContentDigest::of(&prompt.as_bytes()[..end]).leading_u64(),
        tokens: (end / BYTES_PER_TOKEN) as u64,
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

    fn retain(&mut self, keep: impl Fn(u32, MonoTime) -> bool) {
        for holders in self.holders.values_mut() {
            holders.retain(|(index, noted)| keep(*index, *noted));
        }
        self.holders.retain(|_, holders| !holders.is_empty());
        self.count = self.holders.values().map(Vec::len).sum();
    }
}
