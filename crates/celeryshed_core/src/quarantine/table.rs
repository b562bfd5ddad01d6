//! Request fingerprints that are suspected or refused after endpoint crashes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{ContentDigest, MonoTime, RecordId, common_derives};

/// How long a fingerprint stays a suspect after its last crash.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);

/// How long a fingerprint is refused after its last crash. Matches the hour of crash notices that
/// a newly started entry reads.
const REFUSED_LIFETIME: Duration = Duration::from_secs(3600);

/// Number of recent notice ids kept to ignore repeated notices.
const MAX_REMEMBERED_NOTICES: usize = 4096;

common_derives! { value:
    /// A notice that an endpoint crashed or that suspects finished without a crash.
    pub struct CrashObservation {
        /// Identifies repeated deliveries of the same notice.
        pub notice_id: RecordId,
        /// Fingerprints in flight when the endpoint crashed; empty if no endpoint crashed.
        pub in_flight: Vec<ContentDigest>,
        /// The fingerprints of `in_flight` that the endpoint ran as suspects.
        pub suspects: Vec<ContentDigest>,
        /// Suspects that finished without a crash.
        pub cleared: Vec<ContentDigest>,
    }

    /// Where requests with a fingerprint may run.
    #[derive(Copy)]
    pub enum FingerprintVerdict {
        /// May run on any endpoint.
        Clear,
        /// May run only on an endpoint that runs no other suspect.
        Suspect,
        /// May not run.
        Refused,
    }
}

#[derive(Clone, Copy, Debug)]
struct FingerprintRecord {
    /// Whether requests with the fingerprint are refused; otherwise it is a suspect.
    refused: bool,
    updated_at: MonoTime,
}

/// Suspected and refused fingerprints.
///
/// A crash makes every fingerprint in flight a suspect; a suspect in flight during a second crash
/// is refused. An endpoint runs at most one suspect at a time, so a second crash identifies the
/// cause: a request can crash at most two endpoints, and a suspect that finishes without a crash is
/// cleared.
///
/// ```
/// use celeryshed_core::quarantine::{CrashObservation, FingerprintVerdict, QuarantineTable};
/// use celeryshed_base::{ContentDigest, MonoTime, RecordId};
/// let bad = ContentDigest::of(b"bad");
/// let crash = |suspects: &[ContentDigest]| CrashObservation {
///     notice_id: RecordId::random(),
///     in_flight: vec![bad],
///     suspects: suspects.to_vec(),
///     cleared: Vec::new(),
/// };
/// let mut table = QuarantineTable::default();
/// table.observe(&crash(&[]), MonoTime::ZERO);
/// assert_eq!(table.verdict(&bad, MonoTime::ZERO), FingerprintVerdict::Suspect);
/// table.observe(&crash(&[bad]), MonoTime::ZERO);
/// assert_eq!(table.verdict(&bad, MonoTime::ZERO), FingerprintVerdict::Refused);
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: BTreeMap<ContentDigest, FingerprintRecord>,
    notice_ids: VecDeque<RecordId>,
}

impl QuarantineTable {
    /// Updates the table from a notice; ignores a notice that was already observed.
    pub fn observe(&mut self, observation: &CrashObservation, now: MonoTime) {
        if self.notice_ids.contains(&observation.notice_id) {
            return;
        }
        if self.notice_ids.len() == MAX_REMEMBERED_NOTICES {
            self.notice_ids.pop_front();
        }
        self.notice_ids.push_back(observation.notice_id);
        self.remove_expired(now);
        for fingerprint in &observation.in_flight {
            let refused = observation.suspects.contains(fingerprint)
                || self.records.contains_key(fingerprint);
            self.records.insert(*fingerprint, FingerprintRecord { refused, updated_at: now });
        }
        for fingerprint in &observation.cleared {
            if self.records.get(fingerprint).is_some_and(|record| !record.refused) {
                self.records.remove(fingerprint);
            }
        }
    }

    /// Returns where requests with `fingerprint` may run; `Clear` if the table doesn't list it.
    pub fn verdict(&self, fingerprint: &ContentDigest, now: MonoTime) -> FingerprintVerdict {
        match self.records.get(fingerprint) {
            Some(record) if now - record.updated_at >= lifetime_of(record) => {
                FingerprintVerdict::Clear
            }
            Some(record) if record.refused => FingerprintVerdict::Refused,
            Some(_) => FingerprintVerdict::Suspect,
            None => FingerprintVerdict::Clear,
        }
    }

    /// Number of suspected and refused fingerprints, including expired ones not yet removed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table lists no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.records.retain(|_, record| now - record.updated_at < lifetime_of(record));
    }
}

fn lifetime_of(record: &FingerprintRecord) -> Duration {
    if record.refused { REFUSED_LIFETIME } else { SUSPECT_LIFETIME }
}
