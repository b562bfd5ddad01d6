//! A map for what other processes make this one keep.

use std::collections::{BTreeMap, BTreeSet};

use celeryshed_base::common_derives;

common_derives! { value:
    /// A map with a limit of entries, each of which has an owner: the process that told it.
    ///
    /// At the limit, the owner with the most entries loses the one that it told longest ago. An owner
    /// that has no more than its share of the map therefore loses nothing, whatever others tell. An
    /// entry that would itself be the one to go isn't taken.
    ///
    /// ```
    /// use celeryshed_dispatch::{BoundedMap, InsertOutcome};
    /// let mut map = BoundedMap::new(2);
    /// assert_eq!(map.insert("a", 1, "one"), InsertOutcome::Kept);
    /// assert_eq!(map.insert("a", 2, "two"), InsertOutcome::Kept);
    /// assert_eq!(map.insert("b", 3, "three"), InsertOutcome::Displaced(1));
    /// assert_eq!(map.insert("c", 4, "four"), InsertOutcome::Refused);
    /// assert_eq!(map.get(&3), Some(&"three"));
    /// ```
    pub struct BoundedMap<O, K, V> {
        limit: usize,
        entries: BTreeMap<K, OwnedEntry<O, V>>,
        /// The entries of each owner, those that were told longest ago first.
        owners: BTreeMap<O, BTreeSet<(u64, K)>>,
        /// The owners by their number of entries.
        sizes: BTreeSet<(usize, O)>,
        next_age: u64,
        /// Entries that were displaced or refused since the last call of [`Self::take_dropped`].
        dropped: u64,
    }

    struct OwnedEntry<O, V> {
        owner: O,
        /// Counts up from one told entry to the next.
        age: u64,
        value: V,
    }

    /// What became of an entry.
    pub enum InsertOutcome<K> {
        /// The map has the entry, and lost none for it.
        Kept,
        /// The map has the entry, and lost that of this key for it.
        Displaced(K),
        /// The map is full, and no owner has more entries than its share.
        Refused,
    }
}

impl<O: Clone + Ord, K: Clone + Ord, V> BoundedMap<O, K, V> {
    /// An empty map for at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            entries: BTreeMap::new(),
            owners: BTreeMap::new(),
            sizes: BTreeSet::new(),
            next_age: 0,
            dropped: 0,
        }
    }

    /// Sets an entry. One that is known gets the new value and the new owner.
    pub fn insert(&mut self, owner: O, key: K, value: V) -> InsertOutcome<K> {
        let known = self.remove(&key).is_some();
        let mut outcome = InsertOutcome::Kept;
        if !known && self.entries.len() >= self.limit {
            self.dropped += 1;
            let Some(displaced) = self.next_displaced(&owner) else {
                return InsertOutcome::Refused;
            };
            self.remove(&displaced);
            outcome = InsertOutcome::Displaced(displaced);
        }
        let age = self.next_age;
        self.next_age += 1;
        self.update_owner(&owner, |keys| {
            keys.insert((age, key.clone()));
        });
        self.entries.insert(key, OwnedEntry { owner, age, value });
        outcome
    }

    /// The value of an entry.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The value of an entry, for changes; they don't count as told.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let OwnedEntry { owner, age, value } = self.entries.remove(key)?;
        self.update_owner(&owner, |keys| {
            keys.remove(&(age, key.clone()));
        });
        Some(value)
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        let entries = self.entries.iter_mut();
        let dropped = entries.filter_map(|(key, entry)| {
            let is_kept = keep(key, &mut entry.value);
            (!is_kept).then(|| key.clone())
        });
        for key in dropped.collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    /// The entries, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> + '_ {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of entries that were displaced or refused since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// The entry that goes for a further one of `owner`; `None` if that would be the further one.
    fn next_displaced(&self, owner: &O) -> Option<K> {
        let own_size = self.owners.get(owner).map_or(0, BTreeSet::len);
        let (size, largest) = self.sizes.last()?;
        let loser = if *size > own_size + 1 { largest } else { owner };
        self.owners.get(loser)?.first().map(|(_, key)| key.clone())
    }

    fn update_owner(&mut self, owner: &O, change: impl FnOnce(&mut BTreeSet<(u64, K)>)) {
        let mut keys = self.owners.remove(owner).unwrap_or_default();
        self.sizes.remove(&(keys.len(), owner.clone()));
        change(&mut keys);
        if !keys.is_empty() {
            self.sizes.insert((keys.len(), owner.clone()));
            self.owners.insert(owner.clone(), keys);
        }
    }
}
