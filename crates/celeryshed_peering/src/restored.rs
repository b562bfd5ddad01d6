//! Recognizes registrations that a restored store repeats from before its restore.
//!
//! The copy may list an endpoint as ready that has reported draining or has left since. What is
//! known of the endpoint is newer until it writes again itself. If it writes nothing but renewals,
//! which add no record, its registration outlives those that aren't renewed, and counts from then on.
//!
//! What is known beyond the copy is passed on to peers at the position of the copy's record, with an
//! advance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{LogPosition, MonoTime, StoreEra, common_derives};
use celeryshed_dispatch::{EndpointState, ListedEndpoint};

use crate::record::{ControlBatch, ControlRecord};
use crate::renewals::LIFETIME_INTERVALS;
use crate::task::ControlSettings;

/// Time between two renewals of a registration if the settings don't tell it.
const FALLBACK_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// The last registration that was read of each endpoint.
#[derive(Clone, Debug)]
pub(crate) struct SeenRegistrations {
    seen: BTreeMap<String, SeenRegistration>,
    /// End of the first snapshot after the latest restore; all later records were written since.
    copy_end: LogPosition,
    /// The newest record of each endpoint that a restored store repeats, until it shows renewals.
    repeated: BTreeMap<String, RepeatedRegistration>,
    /// Time after a restore within which registrations expire that aren't renewed.
    lifetime: Duration,
    /// When the registrations that the restored store still lists have been renewed.
    renewed_from: Option<MonoTime>,
    /// When the first read of the list was sent that failed since the latest answer.
    failing_since: Option<MonoTime>,
}

common_derives! { index:
    /// What is known of an endpoint beyond its record in the copy; the later ones replace the earlier.
    pub(crate) enum EndpointAdvance {
        /// It reported draining.
        Draining,
        /// It left.
        Left,
        /// It renewed its registration after the restore.
        Renewed,
    }
}

impl EndpointAdvance {
    /// By how much the position of the record advances.
    pub(crate) fn number(self) -> u64 {
        match self {
            Self::Draining => 1,
            Self::Left => 2,
            Self::Renewed => 3,
        }
    }
}

#[derive(Clone, Debug)]
struct SeenRegistration {
    value: Option<Bytes>,
    era: StoreEra,
    started_at_ms: u64,
    seq_no: u64,
    state: EndpointState,
    /// Position of the record that removed it because the copy lacks it.
    removed_at: Option<LogPosition>,
}

/// A registration of the restored store, at least as old as the one that was read before.
#[derive(Clone, Debug)]
pub(crate) struct RepeatedRegistration {
    pub(crate) record: ControlRecord,
    pub(crate) endpoint: ListedEndpoint,
}

impl SeenRegistrations {
    pub(crate) fn new(settings: &ControlSettings) -> Self {
        let renewal_interval = settings.renewal_interval.unwrap_or(FALLBACK_RENEWAL_INTERVAL);
        Self {
            seen: BTreeMap::new(),
            copy_end: LogPosition::default(),
            repeated: BTreeMap::new(),
            lifetime: renewal_interval * LIFETIME_INTERVALS + settings.endpoints_interval,
            renewed_from: None,
            failing_since: None,
        }
    }

    /// Records that the store was restored from a copy.
    pub(crate) fn record_restore(&mut self, now: MonoTime) {
        self.renewed_from = Some(now + self.lifetime);
    }

    /// Records that a read of the list that was sent at `sent_at` failed. Endpoints may have been
    /// unable to renew their registrations until the next answer.
    pub(crate) fn record_failure(&mut self, sent_at: MonoTime) {
        self.failing_since.get_or_insert(sent_at);
    }

    /// Records that the store answered a read of the list.
    pub(crate) fn record_answer(&mut self, now: MonoTime) {
        if let (Some(since), Some(from)) = (self.failing_since.take(), &mut self.renewed_from) {
            *from = *from + (now - since);
        }
    }

    /// Records a snapshot that was read from the store.
    pub(crate) fn record_snapshot(&mut self, batch: &ControlBatch) {
        if batch.end.era() > self.copy_end.era() {
            self.copy_end = batch.end;
        }
        // The log tells no removal of an endpoint that is known to have left.
        let listed: BTreeSet<&str> =
            batch.records.iter().map(|record| record.key.as_str()).collect();
        self.repeated.retain(|key, _| listed.contains(key.as_str()));
    }

    /// Notes a record; `endpoint` is `None` if it removes the registration or is unusable. Returns
    /// whether the endpoint wrote it before the store was restored, and a registration at least as new
    /// has been read.
    pub(crate) fn is_repeated(
        &mut self,
        record: &ControlRecord,
        endpoint: Option<&ListedEndpoint>,
    ) -> bool {
        self.repeated.remove(&record.key);
        if endpoint.is_none() && record.position.is_before_era() {
            if let Some(known) = self.seen.get_mut(&record.key) {
                known.removed_at = Some(record.position);
            }
            return false;
        }
        let Some((registration, endpoint)) = endpoint
            .and_then(|endpoint| SeenRegistration::new(record, endpoint).zip(Some(endpoint)))
        else {
            return false;
        };
        let position = record.position;
        let known = self.seen.get(&record.key);
        let may_be_copied = position < self.copy_end || position.era() > self.copy_end.era();
        let is_repeated = known.is_some_and(|known| {
            may_be_copied
                && known.era < registration.era
                && known.removed_at != Some(LogPosition::before(registration.era))
                && registration.written_at() <= known.written_at()
                // Peers tell what they know beyond the copy.
                && (position.advance() == 0 || !known.may_be_followed_by(&registration))
        });
        if is_repeated {
            self.hold(record.clone(), endpoint.clone());
        } else {
            self.seen.insert(record.key.clone(), registration);
        }
        is_repeated
    }

    /// Holds a registration of the restored store back until it shows renewals.
    fn hold(&mut self, record: ControlRecord, endpoint: ListedEndpoint) {
        let key = record.key.clone();
        self.repeated.insert(key, RepeatedRegistration { record, endpoint });
    }

    /// Holds a registration of the restored store back, as a peer has told that the endpoint left.
    pub(crate) fn hold_left(
        &mut self,
        now: MonoTime,
        record: ControlRecord,
        endpoint: ListedEndpoint,
    ) {
        // A process that was started since knows of no restore.
        self.renewed_from.get_or_insert(now + self.lifetime);
        self.hold(record, endpoint);
    }

    /// Whether a registration was read before the store was restored to that of `record`.
    pub(crate) fn is_known_from_before(&self, record: &ControlRecord) -> bool {
        self.seen.get(&record.key).is_some_and(|known| known.era < record.position.era())
    }

    /// Forgets an endpoint that the store no longer lists.
    pub(crate) fn forget(&mut self, key: &str) {
        self.seen.remove(key);
        self.repeated.remove(key);
    }

    /// Value of the last registration of an endpoint that was read.
    pub(crate) fn value(&self, key: &str) -> Option<&Bytes> {
        self.seen.get(key)?.value.as_ref()
    }

    /// Takes the repeated registrations of the list that was read at `read_at`, once all that weren't
    /// renewed have expired. Those of earlier starts stay ignored, as do those that are ready again
    /// after draining.
    pub(crate) fn take_renewed(&mut self, read_at: MonoTime) -> Vec<RepeatedRegistration> {
        if self.renewed_from.is_none_or(|from| read_at < from) {
            return Vec::new();
        }
        let mut renewed = Vec::new();
        for (key, repeated) in std::mem::take(&mut self.repeated) {
            let known = self.seen.get(&key);
            if let Some(registration) = SeenRegistration::new(&repeated.record, &repeated.endpoint)
                && known.is_none_or(|known| known.may_be_followed_by(&registration))
            {
                self.seen.insert(key, registration);
                renewed.push(repeated);
            }
        }
        renewed
    }
}

impl SeenRegistration {
    /// `None` if the registration isn't numbered.
    fn new(record: &ControlRecord, endpoint: &ListedEndpoint) -> Option<Self> {
        let ListedEndpoint { started_at_ms, state, seq_no, .. } = *endpoint;
        let (value, era) = (record.value.clone(), record.position.era());
        Some(Self { value, era, started_at_ms, seq_no: seq_no?, state, removed_at: None })
    }

    /// The order of the registrations of an endpoint.
    fn written_at(&self) -> (u64, u64) {
        (self.started_at_ms, self.seq_no)
    }

    /// Whether an endpoint that wrote this registration may have been in the other's state later.
    fn may_be_followed_by(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms
            && (self.state != EndpointState::Draining || other.state == EndpointState::Draining)
    }
}
