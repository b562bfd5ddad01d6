//! Replica of one claim log partition, built by replaying its records in offset order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{ClaimId, ContentDigest, LogOffset, UnixMillis, common_derives};

use super::key::KEY_FUTURE_ALLOWANCE;
use super::record::{
    BookingState, ClaimDetails, ClaimLogRecord, ClaimState, ClaimView, OutcomeKind,
};

/// How long a booking is kept beyond the booking window; covers the longest request (600 s).
const RETENTION_MARGIN: Duration = Duration::from_secs(900);

common_derives! { value:
    /// Options of a partition replica.
    #[derive(Copy)]
    pub struct ReplayOptions {
        /// Length of the booking window, which is the longest accepted age of a key.
        pub window: Duration,
        /// Minimum age of a record before the log may remove it.
        pub retention: Duration,
    }

    /// A claim log record and its position.
    pub struct PositionedClaimRecord {
        /// Offset in the partition.
        pub offset: LogOffset,
        /// When the log appended the record, by the log's clock.
        pub appended_at: UnixMillis,
        /// `None` if the record can't be decoded.
        pub record: Option<ClaimLogRecord>,
    }

    /// Reply of the log to a read from [`PartitionReplica::next_offset`].
    pub struct ClaimLogPage {
        /// Consecutive records in offset order; may end before `end`.
        pub records: Vec<PositionedClaimRecord>,
        /// Offset of the oldest retained record.
        pub oldest: LogOffset,
        /// Offset that the next appended record will get.
        pub end: LogOffset,
        /// The log's clock at the time of the reply.
        pub log_now: UnixMillis,
    }
}

/// Bookings of one partition, as far as the partition has been read.
#[derive(Clone, Debug)]
pub struct PartitionReplica {
    options: ReplayOptions,
    next_offset: LogOffset,
    /// All records below `next_offset` that were appended at or after this time have been applied.
    complete_from: UnixMillis,
    /// Clock of the log in its last reply; `None` before the first reply.
    last_reply_at: Option<UnixMillis>,
    bookings: BTreeMap<ContentDigest, BookingRecord>,
    booking_by_claim: BTreeMap<ClaimId, ContentDigest>,
    /// Claims whose release or seal was read before the claim itself, as after a delayed append of
    /// the claim, with the time of that release or seal.
    ended_before_claim: BTreeMap<ClaimId, UnixMillis>,
    /// Bookings in the order of their last record, to find the expired ones.
    by_last_record: BTreeSet<(UnixMillis, ContentDigest)>,
}

#[derive(Clone, Debug)]
struct BookingRecord {
    booking_state: BookingState,
    last_record_at: UnixMillis,
}

impl PartitionReplica {
    /// Creates an empty replica that reads from offset 0.
    ///
    /// ```
    /// use celeryshed_core::booking::{PartitionReplica, ReplayOptions};
    /// use std::time::Duration;
    /// let hour = Duration::from_secs(3600);
    /// let options = ReplayOptions { window: 6 * hour, retention: 12 * hour };
    /// let replica = PartitionReplica::new(options);
    /// assert_eq!(replica.next_offset().0, 0);
    /// ```
    pub fn new(options: ReplayOptions) -> Self {
        Self {
            options,
            next_offset: LogOffset::default(),
            complete_from: UnixMillis::default(),
            last_reply_at: None,
            bookings: BTreeMap::new(),
            booking_by_claim: BTreeMap::new(),
            ended_before_claim: BTreeMap::new(),
            by_last_record: BTreeSet::new(),
        }
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the number of bookings with a record that hasn't expired.
    ///
    /// ```
    /// use celeryshed_core::booking::{PartitionReplica, ReplayOptions};
    /// use std::time::Duration;
    /// let hour = Duration::from_secs(3600);
    /// let options = ReplayOptions { window: 6 * hour, retention: 12 * hour };
    /// let replica = PartitionReplica::new(options);
    /// assert_eq!(replica.booking_count(), 0);
    /// ```
    pub fn booking_count(&self) -> usize {
        self.bookings.len()
    }

    /// Returns whether the replica has seen every record of a key created at `issued_at`, as far as
    /// the partition has been read.
    ///
    /// `false` if the log may have removed such records before they were read.
    ///
    /// ```
    /// use celeryshed_base::{LogOffset, UnixMillis};
    /// use celeryshed_core::booking::{ClaimLogPage, PartitionReplica, ReplayOptions};
    /// use std::time::Duration;
    /// let hour = Duration::from_secs(3600);
    /// let options = ReplayOptions { window: 6 * hour, retention: 12 * hour };
    /// let mut replica = PartitionReplica::new(options);
    /// let log_now = UnixMillis(24 * 3_600_000);
    /// let removed = LogOffset(5);
    /// replica.apply(&ClaimLogPage { records: vec![], oldest: removed, end: removed, log_now });
    /// assert!(replica.covers(log_now));
    /// assert!(!replica.covers(UnixMillis(0)), "the log has removed records of that time");
    /// ```
    pub fn covers(&self, issued_at: UnixMillis) -> bool {
        let earliest_claim = issued_at.0.saturating_sub(KEY_FUTURE_ALLOWANCE.as_millis() as u64);
        self.complete_from.0 <= earliest_claim
    }

    /// Returns the state of `booking`; empty if no record was read.
    pub fn booking_state(&self, booking: &ContentDigest) -> BookingState {
        self.bookings.get(booking).map(|record| record.booking_state.clone()).unwrap_or_default()
    }

    /// Applies a reply of the log; returns whether the replica reached the end of the partition.
    ///
    /// Records below [`Self::next_offset`] are ignored.
    ///
    /// ```
    /// use celeryshed_base::{ContentDigest, LogOffset, UnixMillis};
    /// use celeryshed_core::booking::{
    ///     ClaimLogPage, ClaimLogRecord, PartitionReplica, PositionedClaimRecord, ReplayOptions,
    /// };
    /// use std::time::Duration;
    /// let hour = Duration::from_secs(3600);
    /// let options = ReplayOptions { window: 6 * hour, retention: 12 * hour };
    /// let mut replica = PartitionReplica::new(options);
    /// let booking = ContentDigest::of(b"booking");
    /// let record = PositionedClaimRecord {
    ///     offset: LogOffset(0),
    ///     appended_at: UnixMillis(1_000),
    ///     record: Some(ClaimLogRecord::Fenced(booking)),
    /// };
    /// let (oldest, end) = (LogOffset(0), LogOffset(1));
    /// let page = ClaimLogPage { records: vec![record], oldest, end, log_now: UnixMillis(1_000) };
    /// assert!(replica.apply(&page));
    /// assert_eq!(replica.booking_state(&booking).fence, Some(LogOffset(0)));
    /// ```
    pub fn apply(&mut self, page: &ClaimLogPage) -> bool {
        self.skip_removed(page);
        for record in &page.records {
            self.apply_record(record);
        }
        self.last_reply_at = Some(page.log_now);
        self.remove_expired(page.log_now);
        self.next_offset >= page.end
    }

    /// Skips records that the log removed before they were read.
    fn skip_removed(&mut self, page: &ClaimLogPage) {
        if page.oldest <= self.next_offset {
            return;
        }
        let retention = self.options.retention.as_millis() as u64;
        let removed_before = page.log_now.0.saturating_sub(retention);
        let removed_early = self.last_reply_at.is_some_and(|last| last.0 > removed_before);
        // The missing records were appended after the last reply. If that reply is within the
        // retention, the log removed records too early, and these may be of any age up to now.
        let complete_from = if removed_early { page.log_now.0 } else { removed_before };
        self.complete_from = self.complete_from.max(UnixMillis(complete_from));
        self.next_offset = page.oldest;
    }

    fn apply_record(&mut self, positioned: &PositionedClaimRecord) {
        if positioned.offset < self.next_offset {
            return;
        }
        self.next_offset = positioned.offset.next();
        match &positioned.record {
            Some(ClaimLogRecord::Claim(details)) => self.add_claim(details, positioned),
            Some(ClaimLogRecord::Sealed(claim_id)) => {
                self.end_claim(*claim_id, ClaimState::Sealed, positioned.appended_at);
            }
            Some(ClaimLogRecord::Released(claim_id)) => {
                self.end_claim(*claim_id, ClaimState::Released, positioned.appended_at);
            }
            Some(ClaimLogRecord::Outcome(claim_id, outcome)) => {
                self.settle_claim(*claim_id, *outcome, positioned);
            }
            Some(ClaimLogRecord::Fenced(booking)) => {
                self.booking_mut(*booking, positioned.appended_at).fence = Some(positioned.offset);
            }
            None => {}
        }
    }

    fn add_claim(&mut self, details: &ClaimDetails, positioned: &PositionedClaimRecord) {
        // A repeated append of an ended claim must not bring the claim back into force.
        if self.booking_by_claim.contains_key(&details.claim_id) {
            return;
        }
        let booking_state = self.booking_mut(details.booking, positioned.appended_at);
        let taken = booking_state.is_taken();
        let state = if taken { ClaimState::Void } else { ClaimState::InForce };
        // Nearly all bookings have one claim; `push` alone would allocate space for four.
        booking_state.claims.reserve_exact(1);
        booking_state.claims.push(ClaimView {
            claim_id: details.claim_id,
            offset: positioned.offset,
            appended_at: positioned.appended_at,
            spec: details.spec.clone(),
            state,
        });
        self.booking_by_claim.insert(details.claim_id, details.booking);
        if self.ended_before_claim.remove(&details.claim_id).is_some() {
            self.end_claim(details.claim_id, ClaimState::Released, positioned.appended_at);
        }
    }

    fn end_claim(&mut self, claim_id: ClaimId, ended: ClaimState, appended_at: UnixMillis) {
        let Some(claim) = self.claim_mut(claim_id, appended_at) else {
            self.ended_before_claim.insert(claim_id, appended_at);
            return;
        };
        if claim.state == ClaimState::InForce {
            claim.state = ended;
        }
    }

    fn settle_claim(
        &mut self,
        claim_id: ClaimId,
        outcome: OutcomeKind,
        positioned: &PositionedClaimRecord,
    ) {
        let Some(claim) = self.claim_mut(claim_id, positioned.appended_at) else {
            return;
        };
        // The sidecar repeats an append whose reply was lost; only the first outcome counts.
        if !matches!(claim.state, ClaimState::Settled { .. }) {
            claim.state = ClaimState::Settled { outcome, offset: positioned.offset };
        }
    }

    fn claim_mut(&mut self, claim_id: ClaimId, appended_at: UnixMillis) -> Option<&mut ClaimView> {
        let booking = *self.booking_by_claim.get(&claim_id)?;
        let booking_state = self.booking_mut(booking, appended_at);
        booking_state.claims.iter_mut().find(|claim| claim.claim_id == claim_id)
    }

    /// Returns the state of `booking`, created if absent, and moves it to the time `appended_at` in
    /// the order of removal.
    fn booking_mut(
        &mut self,
        booking: ContentDigest,
        appended_at: UnixMillis,
    ) -> &mut BookingState {
        let empty = || BookingRecord {
            booking_state: BookingState::default(),
            last_record_at: appended_at,
        };
        let record = self.bookings.entry(booking).or_insert_with(empty);
        self.by_last_record.remove(&(record.last_record_at, booking));
        record.last_record_at = record.last_record_at.max(appended_at);
        self.by_last_record.insert((record.last_record_at, booking));
        &mut record.booking_state
    }

    fn remove_expired(&mut self, log_now: UnixMillis) {
        let retained_for = self.options.window + KEY_FUTURE_ALLOWANCE + RETENTION_MARGIN;
        let expired_before = UnixMillis(log_now.0.saturating_sub(retained_for.as_millis() as u64));
        while let Some(&(last_record_at, booking)) = self.by_last_record.first() {
            if last_record_at >= expired_before {
                break;
            }
            self.by_last_record.pop_first();
            let removed = self.bookings.remove(&booking);
            for claim in removed.iter().flat_map(|record| &record.booking_state.claims) {
                self.booking_by_claim.remove(&claim.claim_id);
            }
        }
        self.ended_before_claim.retain(|_, appended_at| *appended_at >= expired_before);
    }
}
