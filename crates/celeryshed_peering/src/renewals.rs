//! Tells an outage of the store from a failure on the way to it, by the registrations that endpoints
//! renewed meanwhile.
//!
//! In an outage that is longer than the lifetime of a registration, all of them expire without their
//! endpoints having left. If most are still listed after such a time, endpoints have renewed them: only
//! this process was cut off, and a registration that was removed belongs to an endpoint that left.
//! Renewals themselves can't be seen, as the list changes only if more than their number does.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{MonoTime, StoreEra};

use crate::record::ControlBatch;

/// Intervals without a renewal after which a registration expires.
pub(crate) const LIFETIME_INTERVALS: u32 = 3;
/// Time after a failed read within which a further failure belongs to the same disturbance.
const DISTURBANCE_GAP: Duration = Duration::from_secs(3);

/// What the list of endpoints shows of renewals while reads of the store failed.
#[derive(Clone, Debug)]
pub(crate) struct RegistrationRenewals {
    /// Time between two renewals of a registration; `None` if it isn't known.
    interval: Option<Duration>,
    registered: BTreeSet<String>,
    era: StoreEra,
    disturbance: Option<ReadDisturbance>,
}

/// Failed reads that follow each other closely.
#[derive(Clone, Debug)]
struct ReadDisturbance {
    last_failure_at: MonoTime,
    /// The first failure since the latest answer; `None` if no read has failed since.
    unanswered_since: Option<MonoTime>,
    /// Longest time, without an answer, from a failure to the start of another read that failed.
    unanswered: Duration,
    /// Number of endpoints that were registered when it began.
    registered_count: usize,
    /// Those of them that have not been removed since, even if they registered again.
    remaining: BTreeSet<String>,
}

impl RegistrationRenewals {
    pub(crate) fn new(interval: Option<Duration>) -> Self {
        Self { interval, registered: BTreeSet::new(), era: StoreEra::default(), disturbance: None }
    }

    /// Records that a read that was sent at `sent_at` failed.
    pub(crate) fn record_failure(&mut self, now: MonoTime, sent_at: MonoTime) {
        let registered = &self.registered;
        let disturbance = self.disturbance.get_or_insert_with(|| ReadDisturbance {
            last_failure_at: now,
            unanswered_since: None,
            unanswered: Duration::ZERO,
            registered_count: registered.len(),
            remaining: registered.clone(),
        });
        disturbance.last_failure_at = now;
        let unanswered = sent_at - *disturbance.unanswered_since.get_or_insert(now);
        disturbance.unanswered = disturbance.unanswered.max(unanswered);
    }

    /// Records an answer of the store to a read of the list of endpoints.
    pub(crate) fn record_answer(&mut self, now: MonoTime, batch: &ControlBatch) {
        if batch.end.era() > self.era {
            // The copy lacks registrations that were made or renewed since.
            self.era = batch.end.era();
            self.disturbance = None;
        }
        self.disturbance.take_if(|disturbance| now - disturbance.last_failure_at > DISTURBANCE_GAP);
        if let Some(disturbance) = &mut self.disturbance {
            disturbance.unanswered_since = None;
        }
        if batch.is_snapshot {
            let listed = batch.records.iter().map(|record| record.key.clone()).collect();
            self.retain(|key| BTreeSet::contains(&listed, key));
        }
        for record in &batch.records {
            if record.value.is_some() {
                self.registered.insert(record.key.clone());
            } else {
                self.retain(|key| *key != record.key);
            }
        }
    }

    /// Whether endpoints could renew their registrations while reads failed.
    pub(crate) fn are_shown(&self) -> bool {
        let (Some(interval), Some(disturbance)) = (self.interval, &self.disturbance) else {
            return false;
        };
        disturbance.unanswered >= interval * LIFETIME_INTERVALS
            && disturbance.remaining.len() * 2 > disturbance.registered_count
    }

    fn retain(&mut self, is_listed: impl Fn(&String) -> bool) {
        self.registered.retain(&is_listed);
        if let Some(disturbance) = &mut self.disturbance {
            disturbance.remaining.retain(is_listed);
        }
    }
}
