//! Folds the records of one claim stream in offset order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{ClaimId, ContentDigest, LogOffset, UnixMillis, common_derives};

use super::key::FUTURE_ALLOWANCE;
use super::record::{
    BookingState, ClaimDetails, ClaimLogRecord, ClaimState, ClaimView, OutcomeKind,
};

/// Time that a booking is kept beyond the window: covers the longest request (600 s).
const KEEP_MARGIN: Duration = Duration::from_secs(900);

common_derives! { value:
    /// Options of a replay.
    #[derive(Copy)]
    pub struct ReplayOptions {
        /// Longest age of a key.
        pub window: Duration,
        /// Age below which the log removes no record.
        pub retention: Duration,
    }

    /// A record with its position.
    pub struct PositionedClaimRecord {
        /// Its offset.
        pub offset: LogOffset,
        /// When the log took it.
        pub appended_at: UnixMillis,
        /// The record; `None` when it can't be decoded.
        pub record: Option<ClaimLogRecord>,
    }

    /// One reply of the log to a read from [`PartitionReplica::next_offset`].
    pub struct ClaimLogPage {
        /// The records in offset order.
        pub records: Vec<PositionedClaimRecord>,
        /// Offset of the oldest retained record.
        pub oldest: LogOffset,
        /// Offset that the next record will get.
        pub end: LogOffset,
        /// Time at the log.
        pub log_now: UnixMillis,
    }
}

/// The claims of one partition, as far as it has been read.
#[derive(Clone, Debug)]
pub struct PartitionReplica {
    options: ReplayOptions,
    next_offset: LogOffset,
    /// Every record that the log took at or after this time and below `next_offset` is folded in.
    complete_from: UnixMillis,
    last_reply: Option<UnixMillis>,
    bookings: BTreeMap<ContentDigest, BookingRecord>,
    booking_of: BTreeMap<ClaimId, ContentDigest>,
    /// Claims released before the claim itself arrived, as after a delayed append.
    released_early: BTreeMap<ClaimId, UnixMillis>,
    /// Bookings by the time of their last record, for removal.
    by_age: BTreeSet<(UnixMillis, ContentDigest)>,
}

#[derive(Clone, Debug)]
struct BookingRecord {
    booking_state: BookingState,
    last_record: UnixMillis,
}

impl PartitionReplica {
    /// An empty replica.
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
            last_reply: None,
            bookings: BTreeMap::new(),
            booking_of: BTreeMap::new(),
            released_early: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Number of bookings kept.
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

    /// Whether every claim that a key created at `issued_at` can have is folded in.
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
        let earliest_claim = issued_at.0.saturating_sub(FUTURE_ALLOWANCE.as_millis() as u64);
        self.complete_from.0 <= earliest_claim
    }

    /// The claims of `booking`.
    pub fn booking_state(&self, booking: &ContentDigest) -> BookingState {
        self.bookings.get(booking).map(|record| record.booking_state.clone()).unwrap_or_default()
    }

    /// Folds in a reply; returns whether it reached the end of the stream.
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
        self.note_missing(page);
        for record in &page.records {
            self.apply_record(record);
        }
        self.last_reply = Some(page.log_now);
        self.remove_expired(page.log_now);
        self.next_offset >= page.end
    }

    /// Moves over records that the log removed before they were read.
    fn note_missing(&mut self, page: &ClaimLogPage) {
        if page.oldest <= self.next_offset {
            return;
        }
        let retention = self.options.retention.as_millis() as u64;
        let removed_before = page.log_now.0.saturating_sub(retention);
        let kept_too_short = self.last_reply.is_some_and(|last| last.0 > removed_before);
        // Missing records were appended after the last reply. If that is within the retention, the
        // log has removed records that it should still have, of any age up to now.
        let complete_from = if kept_too_short { page.log_now.0 } else { removed_before };
        self.complete_from = self.complete_from.max(UnixMillis(complete_from));
        self.next_offset = page.oldest;
    }

    fn apply_record(&mut self, stamped: &PositionedClaimRecord) {
        if stamped.offset < self.next_offset {
            return;
        }
        self.next_offset = stamped.offset.next();
        match &stamped.record {
            Some(ClaimLogRecord::Claim(details)) => self.add_claim(details, stamped),
            Some(ClaimLogRecord::Sealed(claim_id)) => {
                self.end_claim(*claim_id, ClaimState::Sealed, stamped.appended_at);
            }
            Some(ClaimLogRecord::Released(claim_id)) => {
                self.end_claim(*claim_id, ClaimState::Released, stamped.appended_at);
            }
            Some(ClaimLogRecord::Outcome(claim_id, outcome)) => {
                self.settle_claim(*claim_id, *outcome, stamped);
            }
            Some(ClaimLogRecord::Fenced(booking)) => {
                self.touch(*booking, stamped.appended_at).fence = Some(stamped.offset);
            }
            None => {}
        }
    }

    fn add_claim(&mut self, details: &ClaimDetails, stamped: &PositionedClaimRecord) {
        // A repeated append of the same claim must not bring it into force a second time.
        if self.booking_of.contains_key(&details.claim_id) {
            return;
        }
        let booking_state = self.touch(details.booking, stamped.appended_at);
        let taken = booking_state.is_taken();
        let state = if taken { ClaimState::Void } else { ClaimState::InForce };
        // Nearly all bookings have one claim; a growing vector would hold room for four.
        booking_state.claims.reserve_exact(1);
        booking_state.claims.push(ClaimView {
            claim_id: details.claim_id,
            offset: stamped.offset,
            appended_at: stamped.appended_at,
            terms: details.terms.clone(),
            state,
        });
        self.booking_of.insert(details.claim_id, details.booking);
        if self.released_early.remove(&details.claim_id).is_some() {
            self.end_claim(details.claim_id, ClaimState::Released, stamped.appended_at);
        }
    }

    fn end_claim(&mut self, claim_id: ClaimId, ended: ClaimState, appended_at: UnixMillis) {
        let Some(claim) = self.claim_mut(claim_id, appended_at) else {
            self.released_early.insert(claim_id, appended_at);
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
        stamped: &PositionedClaimRecord,
    ) {
        let Some(claim) = self.claim_mut(claim_id, stamped.appended_at) else {
            return;
        };
        // The sidecar repeats an append whose reply is lost; the first outcome stays.
        if !matches!(claim.state, ClaimState::Settled { .. }) {
            claim.state = ClaimState::Settled { outcome, offset: stamped.offset };
        }
    }

    fn claim_mut(&mut self, claim_id: ClaimId, at: UnixMillis) -> Option<&mut ClaimView> {
        let booking = *self.booking_of.get(&claim_id)?;
        let booking_state = self.touch(booking, at);
        booking_state.claims.iter_mut().find(|claim| claim.claim_id == claim_id)
    }

    fn touch(&mut self, booking: ContentDigest, at: UnixMillis) -> &mut BookingState {
        let fresh = || BookingRecord { booking_state: BookingState::default(), last_record: at };
        let record = self.bookings.entry(booking).or_insert_with(fresh);
        self.by_age.remove(&(record.last_record, booking));
        record.last_record = record.last_record.max(at);
        self.by_age.insert((record.last_record, booking));
        &mut record.booking_state
    }

    fn remove_expired(&mut self, log_now: UnixMillis) {
        let keep = self.options.window + FUTURE_ALLOWANCE + KEEP_MARGIN;
        let limit = UnixMillis(log_now.0.saturating_sub(keep.as_millis() as u64));
        while let Some(&(last_record, booking)) = self.by_age.first() {
            if last_record >= limit {
                break;
            }
            self.by_age.pop_first();
            let removed = self.bookings.remove(&booking);
            for claim in removed.iter().flat_map(|record| &record.booking_state.claims) {
                self.booking_of.remove(&claim.claim_id);
            }
        }
        self.released_early.retain(|_, appended_at| *appended_at >= limit);
    }
}
