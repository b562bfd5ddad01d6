//! Maps of what other processes tell.

use celeryshed_dispatch::{BoundedMap, InsertOutcome};
use quickcheck::quickcheck;

/// A sender without end pushed out what others had told.
#[test]
fn endless_owner_displaces_others() {
    let mut map = BoundedMap::new(100);
    for key in 0..40 {
        map.insert("sound", key, ());
    }
    for key in 1000..5000 {
        map.insert("hostile", key, ());
    }
    assert_eq!(map.len(), 100);
    assert!((0..40).all(|key| map.get(&key).is_some()));
    assert_eq!(map.insert("late", 99_999, ()), InsertOutcome::Displaced(4940));
}

/// Many senders with an entry each pushed out what others had told.
#[test]
fn many_owners_displace_others() {
    let mut map = BoundedMap::new(100);
    for key in 0..100 {
        map.insert(key, key, ());
    }
    for key in 100..5000 {
        assert_eq!(map.insert(key, key, ()), InsertOutcome::Refused);
    }
    assert_eq!(map.insert(7, 7, ()), InsertOutcome::Kept);
    map.retain(|key, ()| *key != 50);
    assert_eq!(map.insert(500, 500, ()), InsertOutcome::Kept);
    assert!((0..100).filter(|key| *key != 50).all(|key| map.get(&key).is_some()));
}

quickcheck! {
    /// Entries that changed their owner, or were removed, were counted wrong.
    fn counts_follow_the_entries(steps: Vec<(u8, u8, bool)>, limit: u8) -> bool {
        let limit = usize::from(limit % 16) + 1;
        let mut map = BoundedMap::new(limit);
        steps.iter().all(|(owner, key, is_removed)| {
            let (owner, key) = (owner % 4, key % 32);
            if *is_removed {
                map.remove(&key);
            } else if map.insert(owner, key, owner) == InsertOutcome::Refused {
                return map.len() == limit && map.iter().all(|(_, other)| *other != owner);
            }
            map.len() == map.iter().count() && map.len() <= limit
        })
    }
}
