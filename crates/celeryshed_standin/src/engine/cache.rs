//! Cache of prompt prefixes with a limited number of blocks.

use std::collections::BTreeMap;

/// Key of a cached block: the scope, which identifies a version and adapter, and the prefix hash.
type BlockKey = (u64, u64);

/// Prefix hashes that an insertion added to and removed from the cache.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct CacheChange {
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
}

/// Least-recently-used cache of prefix blocks.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Number of uses so far; each use is identified by its number.
    use_count: u64,
    last_use: BTreeMap<BlockKey, u64>,
    by_last_use: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, use_count: 0, last_use: BTreeMap::new(), by_last_use: BTreeMap::new() }
    }

    /// Returns the number of leading blocks that are cached, and marks them as used.
    pub(super) fn lookup(&mut self, scope: u64, prefixes: &[u64]) -> usize {
        let cached = |prefix: &&u64| self.last_use.contains_key(&(scope, **prefix));
        let hits = prefixes.iter().take_while(cached).count();
        for prefix in &prefixes[..hits] {
            self.mark_used((scope, *prefix));
        }
        hits
    }

    /// Adds the blocks of a prompt and evicts the least recently used blocks above the capacity.
    pub(super) fn insert(&mut self, scope: u64, prefixes: &[u64]) -> CacheChange {
        let mut change = CacheChange::default();
        for prefix in prefixes {
            let key = (scope, *prefix);
            if !self.last_use.contains_key(&key) {
                change.stored.push(*prefix);
            }
            self.mark_used(key);
        }
        while self.last_use.len() > self.capacity {
            change.evicted.extend(self.evict_least_recent());
        }
        change
    }

    fn mark_used(&mut self, key: BlockKey) {
        self.use_count += 1;
        if let Some(previous_use) = self.last_use.insert(key, self.use_count) {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.use_count, key);
    }

    fn evict_least_recent(&mut self) -> Option<u64> {
        let (_, key) = self.by_last_use.pop_first()?;
        self.last_use.remove(&key);
        Some(key.1)
    }
}
