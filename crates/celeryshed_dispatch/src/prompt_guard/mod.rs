//! Finds and blocks parts of prompts that crash the endpoints that begin to answer them.
//!
//! A crash is a reset connection to an endpoint that is unreachable shortly afterwards. Suspects are
//! the parts of the requests whose answers had not begun there. Entries exchange crashes and answers
//! on suspects, and each entry attributes the crashes by itself.

mod answers;
mod attribution;
mod crash;
mod part;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use self::answers::AnsweredParts;
use self::attribution::attribute;
pub use self::crash::Suspicion;
use self::crash::{CrashLog, CrashRecord};
pub use self::part::{PartId, PromptPart, shared_parts};
use crate::endpoint::{EndpointHash, EndpointId};
use crate::pacing::PeerAudience;

/// Time after a reset within which the endpoint must be unreachable for the reset to count as a
/// crash.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(1);
/// Time after a crash for which it counts. The crashes of a blocked part count for as long as
/// requests with the part arrive.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which an older crash counts after another entry reported it; several times the interval
/// of reports in a large fleet.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Time from the block of a part until one request with it is tried; each further trial comes after
/// twice the time.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of doublings of [`FIRST_TRIAL_DELAY`].
const MAX_TRIAL_DOUBLINGS: u32 = 6;
/// Maximum number of unconfirmed resets.
const MAX_PENDING_RESETS: usize = 256;
/// Maximum number of suspects of one crash in a report; those of most crashes are kept.
const MAX_REPORTED_SUSPECTS: usize = 16;

common_derives! { value:
    /// A crash, as reported to other entries.
    pub struct CrashNotice {
        /// The endpoint.
        pub endpoint: EndpointHash,
        /// Time since the crash.
        pub age: Duration,
        /// Parts that may have caused it.
        pub suspects: Vec<(PromptPart, Suspicion)>,
    }

    /// The crashes that an entry knows of and that still count.
    #[derive(Default)]
    pub struct GuardReport {
        /// The crashes.
        pub crashes: Vec<CrashNotice>,
    }

    /// A change of what the guard believes.
    pub enum GuardEvent {
        /// An endpoint crashed while requests with these parts were about to be answered.
        Crashed {
            /// The endpoint.
            endpoint: EndpointId,
            /// Parts of the requests.
            suspects: Vec<(PromptPart, Suspicion)>,
        },
        /// A part is blocked.
        Blocked {
            /// The part.
            part: PartId,
            /// Number of crashes that it explains.
            crashes: u32,
        },
        /// A part is no longer blocked.
        Released {
            /// The part.
            part: PartId,
            /// Whether a request with the part was answered; otherwise, its crashes are outdated
            /// or explained by another part.
            answered: bool,
        },
    }
}

#[derive(Clone, Debug)]
struct PendingReset {
    at: MonoTime,
    endpoint: EndpointId,
    parts: Vec<PromptPart>,
}

#[derive(Clone, Copy, Debug)]
struct PartBlock {
    crashes: u32,
    /// Last time that a request with the part arrived.
    last_request_at: MonoTime,
    next_trial_at: MonoTime,
    trials: u32,
}

/// Crashes, answers and blocked parts, as far as one entry knows them.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::PromptGuard;
/// assert!(PromptGuard::default().blocked_parts().next().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromptGuard {
    pending: Vec<PendingReset>,
    crashes: CrashLog,
    answers: AnsweredParts,
    blocks: BTreeMap<PartId, PartBlock>,
    events: Vec<GuardEvent>,
    /// Audiences that have not been told the latest changes.
    untold: BTreeSet<PeerAudience>,
}

impl PromptGuard {
    /// Records that the connection to `endpoint` broke before the answer to a request with `parts`
    /// began.
    pub fn record_reset(&mut self, now: MonoTime, endpoint: &EndpointId, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        if self.crashes.contains(EndpointHash::from(endpoint), now) {
            self.add_crash(now, endpoint, now, parts);
            return;
        }
        self.pending.retain(|reset| now - reset.at <= CONFIRMATION_WINDOW);
        if self.pending.len() < MAX_PENDING_RESETS {
            let (endpoint, parts) = (endpoint.clone(), parts.to_vec());
            self.pending.push(PendingReset { at: now, endpoint, parts });
        }
    }

    /// Records that an endpoint is unreachable, which confirms that earlier resets were a crash.
    pub fn record_unreachable(&mut self, now: MonoTime, endpoint: &EndpointId) {
        self.pending.retain(|reset| now - reset.at <= CONFIRMATION_WINDOW);
        let (confirmed, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|reset| reset.endpoint == *endpoint);
        self.pending = rest;
        let Some(first) = confirmed.first() else { return };
        let at = first.at;
        let parts: BTreeSet<PromptPart> =
            confirmed.iter().flat_map(|reset| reset.parts.iter().copied()).collect();
        let parts: Vec<PromptPart> = parts.into_iter().collect();
        self.add_crash(now, endpoint, at, &parts);
    }

    fn add_crash(
        &mut self,
        now: MonoTime,
        endpoint: &EndpointId,
        at: MonoTime,
        parts: &[PromptPart],
    ) {
        let judged = parts.iter().map(|part| (*part, Suspicion::of(&self.answers, part.id, at)));
        let suspects: Vec<(PromptPart, Suspicion)> =
            judged.filter(|(_, suspicion)| *suspicion != Suspicion::Cleared).collect();
        if self.crashes.record(EndpointHash::from(endpoint), at, &suspects) {
            self.untold.extend(PeerAudience::ALL);
            self.events.push(GuardEvent::Crashed { endpoint: endpoint.clone(), suspects });
        }
        self.update_blocks(now);
    }

    /// Records an answer to a request with `parts` that began at `begun_at`. An answer counts once
    /// the endpoint has gone on after its beginning.
    pub fn record_answer(&mut self, now: MonoTime, parts: &[PromptPart], begun_at: MonoTime) {
        let mut changed = false;
        for part in parts {
            self.answers.record(now, part.id, begun_at);
            changed |= self.crashes.apply_answer(part.id, begun_at);
        }
        if changed {
            self.untold.extend(PeerAudience::ALL);
            self.update_blocks(now);
        }
    }

    /// Applies the report of another entry.
    pub fn apply_report(&mut self, now: MonoTime, report: &GuardReport) {
        let mut changed = false;
        for crash in &report.crashes {
            let at = now - crash.age;
            let judged = crash.suspects.iter().map(|(part, suspicion)| {
                (*part, Suspicion::of(&self.answers, part.id, at).max(*suspicion))
            });
            let suspects: Vec<(PromptPart, Suspicion)> = judged.collect();
            let is_new = self.crashes.record(crash.endpoint, at, &suspects);
            self.crashes.extend(crash.endpoint, at, now + REPORT_LIFETIME);
            if is_new {
                changed = true;
                // The sender doesn't know of answers that are known here.
                if suspects != crash.suspects {
                    self.untold.extend(PeerAudience::ALL);
                }
            }
        }
        if changed {
            self.update_blocks(now);
        }
    }

    /// What this entry tells the entries of `audience`; `None` if it knows of no crash.
    pub fn report(&mut self, now: MonoTime, audience: PeerAudience) -> Option<GuardReport> {
        self.update_blocks(now);
        self.untold.remove(&audience);
        let records = self.crashes.records();
        if records.is_empty() {
            return None;
        }
        let mut frequency: BTreeMap<PartId, usize> = BTreeMap::new();
        for part in records.iter().flat_map(|record| record.suspects.keys()) {
            *frequency.entry(*part).or_default() += 1;
        }
        // What only others report is not reported in turn: it would never end.
        let own = records.iter().filter(|record| self.counts_here(now, record));
        let crashes = own.map(|record| {
            let suspects = record.suspects.iter().map(|(id, suspect)| {
                (PromptPart { id: *id, position: suspect.position }, suspect.suspicion)
            });
            let mut suspects: Vec<(PromptPart, Suspicion)> = suspects.collect();
            suspects.sort_by_key(|(part, _)| Reverse(frequency.get(&part.id).copied()));
            suspects.truncate(MAX_REPORTED_SUSPECTS);
            CrashNotice { endpoint: record.endpoint, age: now - record.at, suspects }
        });
        let crashes: Vec<CrashNotice> = crashes.collect();
        (!crashes.is_empty()).then_some(GuardReport { crashes })
    }

    /// Whether there is something to tell `audience` before the next regular report.
    pub fn has_news(&self, audience: PeerAudience) -> bool {
        self.untold.contains(&audience)
    }

    /// The parts whose requests are refused.
    pub fn blocked_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        self.blocks.keys().copied()
    }

    /// Whether a request with `parts` must be refused. From time to time a request with a blocked
    /// part is let through if `may_try`, which is set at one entry only.
    pub fn refuses(&mut self, now: MonoTime, parts: &[PromptPart], may_try: bool) -> bool {
        let mut refused = false;
        for part in parts {
            let Some(block) = self.blocks.get_mut(&part.id) else { continue };
            block.last_request_at = now;
            if may_try && now >= block.next_trial_at {
                block.trials += 1;
                block.next_trial_at = now + trial_delay(block.trials);
            } else {
                refused = true;
            }
        }
        refused
    }

    /// Removes and returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<GuardEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether a crash counts whatever others report: it is recent, or requests with the part that
    /// it blocks arrive here.
    fn counts_here(&self, now: MonoTime, record: &CrashRecord) -> bool {
        let is_requested =
            |block: &PartBlock| now - block.last_request_at.max(record.at) < CRASH_LIFETIME;
        let mut blocks = record.suspects.keys().filter_map(|part| self.blocks.get(part));
        now - record.at < CRASH_LIFETIME || blocks.any(is_requested)
    }

    fn remove_expired(&mut self, now: MonoTime) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|record| {
            record.reported_until.is_some_and(|until| now < until) || self.counts_here(now, record)
        });
        self.crashes = crashes;
    }

    fn update_blocks(&mut self, now: MonoTime) {
        self.remove_expired(now);
        let blamed = attribute(self.crashes.records());
        let released = self.blocks.keys().filter(|part| !blamed.contains_key(part));
        for part in released.copied().collect::<Vec<_>>() {
            self.blocks.remove(&part);
            let answered = self.crashes.is_cleared(part);
            self.events.push(GuardEvent::Released { part, answered });
        }
        for (part, crashes) in blamed {
            if let Some(block) = self.blocks.get_mut(&part) {
                block.crashes = crashes;
                continue;
            }
            let next_trial_at = now + trial_delay(0);
            let last_request_at = MonoTime::ZERO;
            let block = PartBlock { crashes, last_request_at, next_trial_at, trials: 0 };
            self.blocks.insert(part, block);
            self.events.push(GuardEvent::Blocked { part, crashes });
        }
    }
}

fn trial_delay(trials: u32) -> Duration {
    FIRST_TRIAL_DELAY * (1 << trials.min(MAX_TRIAL_DOUBLINGS))
}
