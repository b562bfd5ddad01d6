//! Fingerprints that were in flight when an endpoint crashed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celeryshed_base::{ContentDigest, MonoTime, RecordId, common_derives};

/// Time after which a suspect that was not seen again is forgotten.
const SUSPECT_AGE: Duration = Duration::from_secs(600);

/// Time for which a convicted fingerprint is refused; new entries learn crashes of the last hour.
const CONVICTED_AGE: Duration = Duration::from_secs(3600);

/// Notices that are remembered, so that each counts once.
const REMEMBERED_NOTICES: usize = 4096;

common_derives! { value:
    /// A notice that an endpoint crashed, or that suspects finished.
    pub struct CrashObservation {
        /// Id of the notice.
        pub notice_id: RecordId,
        /// Fingerprints in flight when the endpoint crashed.
        pub in_flight: Vec<ContentDigest>,
        /// Among them, those that ran as suspects.
        pub suspects: Vec<ContentDigest>,
        /// Suspects that finished without a crash.
        pub cleared: Vec<ContentDigest>,
    }

    /// What may be done with a fingerprint.
    #[derive(Copy)]
    pub enum FingerprintVerdict {
        /// Runs anywhere.
        Clear,
        /// Runs only where no other suspect runs.
        Suspect,
        /// Runs nowhere.
        Refused,
    }
}

#[derive(Clone, Copy, Debug)]
struct FingerprintRecord {
    convicted: bool,
    noted_at: MonoTime,
}

/// Suspects and convicted fingerprints.
///
/// The first crash makes every fingerprint in flight a suspect; a second crash with a suspect in
/// flight convicts it. Suspects run apart from each other, so that a second crash names one of
/// them: a request that crashes endpoints gets at most two, and those that merely ran beside it
/// are cleared when they finish.
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
    notices: VecDeque<RecordId>,
}

impl QuarantineTable {
    /// Takes a notice; a repeated one changes nothing.
    pub fn observe(&mut self, observation: &CrashObservation, now: MonoTime) {
        if self.notices.contains(&observation.notice_id) {
            return;
        }
        if self.notices.len() == REMEMBERED_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(observation.notice_id);
        self.expire(now);
        for fingerprint in &observation.in_flight {
            let convicted = observation.suspects.contains(fingerprint)
                || self.records.contains_key(fingerprint);
            self.records.insert(*fingerprint, FingerprintRecord { convicted, noted_at: now });
        }
        for fingerprint in &observation.cleared {
            if self.records.get(fingerprint).is_some_and(|record| !record.convicted) {
                self.records.remove(fingerprint);
            }
        }
    }

    /// The verdict on a fingerprint.
    pub fn verdict(&self, fingerprint: &ContentDigest, now: MonoTime) -> FingerprintVerdict {
        match self.records.get(fingerprint) {
            Some(record) if now - record.noted_at >= age_of(record) => FingerprintVerdict::Clear,
            Some(record) if record.convicted => FingerprintVerdict::Refused,
            Some(_) => FingerprintVerdict::Suspect,
            None => FingerprintVerdict::Clear,
        }
    }

    /// Number of suspects and convicted fingerprints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is noted.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: MonoTime) {
        self.records.retain(|_, record| now - record.noted_at < age_of(record));
    }
}

fn age_of(record: &FingerprintRecord) -> Duration {
    if record.convicted { CONVICTED_AGE } else { SUSPECT_AGE }
}
