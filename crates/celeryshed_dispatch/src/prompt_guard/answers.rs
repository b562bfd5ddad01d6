//! Remembers which parts of prompts have been answered.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::MonoTime;

use super::part::PartId;

/// Time after which the current generation of answers becomes the previous one. An answer is
/// remembered for one to two of these times.
const GENERATION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of parts in a generation.
const MAX_GENERATION_PARTS: usize = 16_384;

/// Time of the last answer on each part, in two generations; the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    current_since: MonoTime,
    current: BTreeMap<PartId, MonoTime>,
    previous: BTreeMap<PartId, MonoTime>,
}

impl AnsweredParts {
    /// Records an answer that began at `begun_at`.
    pub(super) fn record(&mut self, now: MonoTime, part: PartId, begun_at: MonoTime) {
        if now - self.current_since >= GENERATION_TIME || self.current.len() >= MAX_GENERATION_PARTS
        {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        let last = self.current.entry(part).or_insert(begun_at);
        *last = begun_at.max(*last);
    }

    /// When the last answer on a part began; `None` if none is remembered.
    pub(super) fn last(&self, part: PartId) -> Option<MonoTime> {
        self.current.get(&part).max(self.previous.get(&part)).copied()
    }
}
