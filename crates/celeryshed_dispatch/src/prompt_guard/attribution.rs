//! Attributes crashes to parts of prompts.
//!
//! Sound parts are in flight beside the part that crashes an endpoint. The part that most crashes
//! have in common explains these crashes, so that they no longer count against the other parts; what
//! remains is attributed in the same way.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

use super::crash::{CrashRecord, Suspicion};
use super::part::PartId;

/// Crashes after which a part that was never answered is blocked.
const CRASHES_OF_NEW_PART: u32 = 3;
/// Crashes since its last answer after which a part is blocked.
const CRASHES_OF_ANSWERED_PART: u32 = 5;
/// Crashes within this time count once: a fault of the platform may end many endpoints together.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Default)]
struct CrashCount {
    crashes: u32,
    last_at: Option<MonoTime>,
    position: u8,
}

/// The parts that are to be blocked, each with the number of crashes that it explains.
pub(super) fn attribute(records: &[CrashRecord]) -> BTreeMap<PartId, u32> {
    let mut open: Vec<&CrashRecord> = records.iter().collect();
    open.sort_by_key(|record| (record.at, record.endpoint));
    let mut blocked = BTreeMap::new();
    for (threshold, with_answered) in
        [(CRASHES_OF_NEW_PART, false), (CRASHES_OF_ANSWERED_PART, true)]
    {
        while let Some((part, crashes)) = most_common(&open, with_answered) {
            if crashes < threshold {
                break;
            }
            blocked.insert(part, crashes);
            open.retain(|record| !record.suspects.contains_key(&part));
        }
    }
    blocked
}

/// The suspect that most crashes have in common; the one further back in the prompt, which fewer
/// requests share, if several have equally many.
fn most_common(records: &[&CrashRecord], with_answered: bool) -> Option<(PartId, u32)> {
    let mut counts: BTreeMap<PartId, CrashCount> = BTreeMap::new();
    for record in records {
        for (part, suspect) in &record.suspects {
            match suspect.suspicion {
                Suspicion::New => {}
                Suspicion::Answered if with_answered => {}
                Suspicion::Answered | Suspicion::Cleared => continue,
            }
            let count = counts.entry(*part).or_default();
            if count.last_at.is_none_or(|last_at| record.at - last_at >= COMMON_CAUSE_WINDOW) {
                count.crashes += 1;
                count.last_at = Some(record.at);
            }
            count.position = suspect.position;
        }
    }
    let common =
        counts.into_iter().max_by_key(|(part, count)| (count.crashes, count.position, *part));
    common.map(|(part, count)| (part, count.crashes))
}
