use std::time::Duration;

use tokio::time::Instant;

use super::IdleLimit;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a long limit that never ends because later changes, each within its time, prolong
/// it.
#[test]
fn later_changes_do_not_prolong_former_limit() {
    let start = Instant::now();
    let mut limit = IdleLimit::new(seconds(60));
    limit.replace(seconds(10), start);
    for (change, length) in (1..=20).zip([20, 10].into_iter().cycle()) {
        limit.replace(seconds(length), start + seconds(50 * change));
    }
    assert_eq!(limit.at(start + seconds(1019)), seconds(20));
    assert_eq!(limit.at(start + seconds(1020)), seconds(10));
}

/// Each former limit applies until its own length after its replacement, whatever replaced it.
#[test]
fn each_former_limit_ends_after_its_own_length() {
    let start = Instant::now();
    let mut limit = IdleLimit::new(seconds(60));
    limit.replace(seconds(40), start);
    limit.replace(seconds(10), start + seconds(30));
    let expected = [(59, 60), (60, 40), (69, 40), (70, 10)];
    for (at, length) in expected {
        assert_eq!(limit.at(start + seconds(at)), seconds(length), "after {at} s");
    }
}

/// A longer limit applies at once, and stays as a former one after its replacement.
#[test]
fn longer_limit_replaces_shorter_former_ones() {
    let start = Instant::now();
    let mut limit = IdleLimit::new(seconds(20));
    limit.replace(seconds(10), start);
    limit.replace(seconds(30), start + seconds(1));
    assert_eq!(limit.at(start + seconds(1)), seconds(30));
    limit.replace(seconds(10), start + seconds(2));
    assert_eq!(limit.at(start + seconds(31)), seconds(30));
    assert_eq!(limit.at(start + seconds(32)), seconds(10));
}
