//! Crashes of endpoints, and the parts of prompts that may have caused them.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use super::answers::AnsweredParts;
use super::part::{PartId, PromptPart};
use crate::endpoint::EndpointHash;

/// Time in which reports of crashes of one endpoint are about the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Maximum number of suspected parts of a crash.
const MAX_SUSPECTS: usize = 48;

common_derives! { index:
    /// Whether a part may have caused a crash; what any entry knows raises it.
    pub enum Suspicion {
        /// No answer on the part is known.
        New,
        /// The part was answered before the crash.
        Answered,
        /// An answer on the part began after the crash.
        Cleared,
    }
}

impl Suspicion {
    /// What the answers say about a part and a crash.
    pub(super) fn of(answers: &AnsweredParts, part: PartId, crash_at: MonoTime) -> Self {
        match answers.last(part) {
            None => Self::New,
            Some(begun_at) if begun_at > crash_at => Self::Cleared,
            Some(_) => Self::Answered,
        }
    }
}

/// A part of the requests that were about to be answered when an endpoint crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    pub(super) position: u8,
    pub(super) suspicion: Suspicion,
}

/// A crash of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) endpoint: EndpointHash,
    pub(super) at: MonoTime,
    pub(super) suspects: BTreeMap<PartId, Suspect>,
    /// Time until which the crash counts because another entry reports it; `None` if no entry has.
    pub(super) reported_until: Option<MonoTime>,
}

/// The latest crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    records: Vec<CrashRecord>,
}

impl CrashLog {
    /// Adds suspects of a crash, which another request or entry may have recorded before; returns
    /// whether anything is new.
    pub(super) fn record(
        &mut self,
        endpoint: EndpointHash,
        at: MonoTime,
        suspects: &[(PromptPart, Suspicion)],
    ) -> bool {
        let known = self.records.iter().position(|record| record.is_same(endpoint, at));
        let index = known.unwrap_or_else(|| {
            if self.records.len() >= MAX_CRASHES {
                self.records.remove(0);
            }
            let (suspects, reported_until) = (BTreeMap::new(), None);
            self.records.push(CrashRecord { endpoint, at, suspects, reported_until });
            self.records.len() - 1
        });
        let record = &mut self.records[index];
        // Reports arrive late, so the earliest time is the most accurate one.
        record.at = record.at.min(at);
        let mut changed = false;
        for (part, suspicion) in suspects {
            if let Some(suspect) = record.suspects.get_mut(&part.id) {
                changed |= *suspicion > suspect.suspicion;
                suspect.suspicion = suspect.suspicion.max(*suspicion);
            } else if record.suspects.len() < MAX_SUSPECTS {
                let suspect = Suspect { position: part.position, suspicion: *suspicion };
                record.suspects.insert(part.id, suspect);
                changed = true;
            }
        }
        changed
    }

    /// Keeps a crash until `until`, since another entry reports it.
    pub(super) fn extend(&mut self, endpoint: EndpointHash, at: MonoTime, until: MonoTime) {
        let records = self.records.iter_mut();
        for record in records.filter(|record| record.is_same(endpoint, at)) {
            record.reported_until = Some(until);
        }
    }

    /// Applies an answer on a part that began at `begun_at`; returns whether anything is new.
    pub(super) fn apply_answer(&mut self, part: PartId, begun_at: MonoTime) -> bool {
        let mut changed = false;
        for record in &mut self.records {
            let Some(suspect) = record.suspects.get_mut(&part) else { continue };
            let suspicion =
                if begun_at > record.at { Suspicion::Cleared } else { Suspicion::Answered };
            changed |= suspicion > suspect.suspicion;
            suspect.suspicion = suspect.suspicion.max(suspicion);
        }
        changed
    }

    /// Whether a crash of the endpoint at `at` is known.
    pub(super) fn contains(&self, endpoint: EndpointHash, at: MonoTime) -> bool {
        self.records.iter().any(|record| record.is_same(endpoint, at))
    }

    /// Whether the part was answered after a crash of which it was suspected.
    pub(super) fn is_cleared(&self, part: PartId) -> bool {
        let suspects = self.records.iter().filter_map(|record| record.suspects.get(&part));
        suspects.map(|suspect| suspect.suspicion).max() == Some(Suspicion::Cleared)
    }

    pub(super) fn records(&self) -> &[CrashRecord] {
        &self.records
    }

    /// Removes the crashes for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl FnMut(&CrashRecord) -> bool) {
        self.records.retain(keep);
    }
}

impl CrashRecord {
    fn is_same(&self, endpoint: EndpointHash, at: MonoTime) -> bool {
        self.endpoint == endpoint
            && self.at - at < SAME_CRASH_WINDOW
            && at - self.at < SAME_CRASH_WINDOW
    }
}
