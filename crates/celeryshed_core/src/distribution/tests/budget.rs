//! Rate limit of distribution traffic.

use std::time::Duration;

use celeryshed_base::{ByteCount, MonoTime};

use crate::distribution::LinkBudget;

/// Guards against distribution traffic that takes bandwidth from foreground requests, and against a
/// rate that stays low after these requests have ended.
#[test]
fn distribution_gets_unused_bandwidth() {
    let mut budget = LinkBudget::new(ByteCount(1_000_000));
    let mut now = MonoTime::ZERO;
    for _ in 0..100 {
        budget.record_foreground(ByteCount(40_000), now);
        now = now + Duration::from_millis(100);
    }
    let rate = budget.rate(now).0;
    assert!((450_000..570_000).contains(&rate), "rate={rate}");
    assert!(budget.rate(now + Duration::from_secs(20)).0 > 890_000);
}
