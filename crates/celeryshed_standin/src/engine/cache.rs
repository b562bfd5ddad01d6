//! Cache of prompt prefixes with limited memory.

use std::collections::BTreeMap;

/// A cached block: the version and adapter that computed it, and the hash of the prefix.
type BlockKey = (u64, u64);

/// What an insertion changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct CacheChange {
    pub(super) stored: Vec<u64>,
    pub(super) evicted: Vec<u64>,
}

/// Prefix blocks, the least recently used of which are evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    uses: u64,
    last_use: BTreeMap<BlockKey, u64>,
    by_use: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, uses: 0, last_use: BTreeMap::new(), by_use: BTreeMap::new() }
    }

    /// Number of leading blocks that are cached; they count as used.
    pub(super) fn lookup(&mut self, scope: u64, prefixes: &[u64]) -> usize {
        let cached = |prefix: &&u64| self.last_use.contains_key(&(scope, **prefix));
        let hits = prefixes.iter().take_while(cached).count();
        for prefix in &prefixes[..hits] {
            self.touch((scope, *prefix));
        }
        hits
    }

    /// Adds the blocks of a prompt.
    pub(super) fn insert(&mut self, scope: u64, prefixes: &[u64]) -> CacheChange {
        let mut change = CacheChange::default();
        for prefix in prefixes {
            let key = (scope, *prefix);
            if !self.last_use.contains_key(&key) {
                change.stored.push(*prefix);
            }
            self.touch(key);
        }
        while self.last_use.len() > self.capacity {
            change.evicted.extend(self.evict_oldest());
        }
        change
    }

    fn touch(&mut self, key: BlockKey) {
        self.uses += 1;
        if let Some(before) = self.last_use.insert(key, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, key);
    }

    fn evict_oldest(&mut self) -> Option<u64> {
        let (_, key) = self.by_use.pop_first()?;
        self.last_use.remove(&key);
        Some(key.1)
    }
}
