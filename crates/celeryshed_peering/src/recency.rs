//! Bounds the age of the operators' records at the time they are read.
//!
//! A process that was paused reads a record long after it was written. All processes may be late
//! together, so that no peer knows better. What is certain is the time up to which every earlier
//! record has been read; a record that is read later is at most that old.
//!
//! While the store refuses reads, nobody can follow its records, and deadlines that they set don't run.
//! Only the time until that was noticed counts. A read that isn't answered shows no such thing: the
//! process or its own links may be slow, while the store serves others.

use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime, common_derives};

use crate::record::ControlStream;
use crate::store::StoreError;

/// Longest time between two calls of [`ReadRecency::record_tick`], and interval of those of
/// [`ReadRecency::record_pending`] while a poll is pending.
pub(crate) const RECENCY_TICK: Duration = Duration::from_millis(100);
/// Time between two ticks above which the process counts as paused in between.
const MAX_TICK_GAP: Duration = Duration::from_millis(300);
/// Longest age that counts as known: records count as complete up to the last but one time at which the
/// poll was seen pending.
const MAX_KNOWN_AGE: Duration = Duration::from_millis(400);
/// Time beyond the interval of reads within which the next read is answered, unless the store or the
/// link to it has failed.
const ANSWER_SLACK: Duration = Duration::from_millis(300);

common_derives! { value:
    /// Time up to which every operator record has been read.
    ///
    /// Only answers to reads of the operators' records prove that. While the long poll for new ones
    /// is unanswered, the process has to run to receive the answer, and answers to reads of the list of
    /// endpoints, which are sent at intervals on another connection, show that the store can be
    /// reached. After a pause, an answer that arrived meanwhile may be unread, so the list shows
    /// nothing until a read of the operators' records that was sent since has been answered.
    pub(crate) struct ReadRecency {
        /// Interval at which the store is read.
        interval: Duration,
        /// When the latest answered read of the operators' records was sent.
        verified_until: Option<MonoTime>,
        /// When the latest read was sent whose answer shows that the store could be reached, while a
        /// poll was pending.
        reached_at: Option<MonoTime>,
        /// Time that the latest read of the list of endpoints took. The poll's answer may be under way,
        /// or wait to be processed, for as long.
        list_read_time: Duration,
        /// Time up to which the poll would have returned new records; later than `verified_until`
        /// while the process runs and reads are answered.
        complete_until: Option<MonoTime>,
        /// Time until which records count as complete as long as the process runs.
        reachable_until: Option<MonoTime>,
        /// The failures since the operators' records were last read; none if no read failed.
        outage: Option<StoreOutage>,
        ticked_at: MonoTime,
        /// When the poll for operators' records was last seen pending.
        pending_at: MonoTime,
        /// When the process last went on after a pause. Answers to earlier reads may have arrived
        /// long before.
        resumed_at: MonoTime,
    }

    /// Why a read of the store failed.
    #[derive(Copy)]
    pub(crate) enum FailureCause {
        /// The store refused it.
        Refused,
        /// No usable answer arrived.
        Unanswered,
    }

    /// Failures of reads in a row.
    #[derive(Copy)]
    struct StoreOutage {
        /// Time from the latest answered read to the first failure, and that of pauses and before reads
        /// without an answer since.
        unnoticed: Duration,
        last_failure_at: MonoTime,
    }

    /// What is known of the time since a record was written.
    #[derive(Copy)]
    pub enum RecordAge {
        /// The record was read shortly after it was written.
        Known(Duration),
        /// The record is not older than this; it may be much younger.
        AtMost(Duration),
        /// Nothing is known.
        Unknown,
    }

    /// What the age of a record is derived from, for logs.
    #[derive(Copy)]
    pub(crate) struct ReadEvidence {
        /// Time since the latest answered read that proves the records complete was sent.
        pub(crate) verified_before: Option<Duration>,
        /// Time for which records may have been written that haven't been processed.
        pub(crate) complete_before: Option<Duration>,
        /// Time since the process last went on after a pause, or since its start.
        pub(crate) running_for: Duration,
    }

}

/// The age of a record, counted on from the time at which the record was read.
#[derive(Clone, Copy, Debug)]
pub struct AgeReading {
    age: RecordAge,
    read_at: MonoTime,
    clock: ClockSource,
}

impl ReadRecency {
    /// Nothing has been read yet.
    pub(crate) fn new(now: MonoTime, interval: Duration) -> Self {
        Self {
            interval,
            verified_until: None,
            reached_at: None,
            list_read_time: Duration::ZERO,
            complete_until: None,
            reachable_until: None,
            outage: None,
            ticked_at: now,
            pending_at: now,
            resumed_at: now,
        }
    }

    /// Records that the process runs. Returns the length of the pause that has just ended, if any.
    pub(crate) fn record_tick(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = now - self.ticked_at;
        let pause = (gap > MAX_TICK_GAP).then_some(gap);
        if pause.is_some() {
            self.resumed_at = now;
            self.reachable_until = None;
            if let Some(outage) = &mut self.outage {
                // The store may have been back during the pause.
                outage.unnoticed += now - outage.last_failure_at;
                outage.last_failure_at = now;
            }
        }
        self.ticked_at = now;
        pause
    }

    /// Records that the poll for operators' records that was sent at `sent_at` was pending at
    /// `pending_at`, and that no part of its answer had arrived.
    pub(crate) fn record_pending(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        pending_at: MonoTime,
    ) {
        // What arrived since the last time may not be processed yet.
        let until = self.pending_at - self.list_read_time;
        self.pending_at = pending_at;
        // The store may be about to answer with records from before the poll.
        if until >= sent_at && self.reachable_until.is_some_and(|reachable| now <= reachable) {
            self.complete_until = self.complete_until.max(Some(until));
        }
    }

    /// Records an answer of the store to a read that was sent at `sent_at`.
    pub(crate) fn record_answer(
        &mut self,
        now: MonoTime,
        stream: ControlStream,
        sent_at: MonoTime,
    ) {
        match stream {
            ControlStream::Operator => {
                self.outage = None;
                self.verified_until = self.verified_until.max(Some(sent_at));
                self.complete_until = self.complete_until.max(self.verified_until);
            }
            // No poll for operators' records is pending, or its answer may be unread.
            ControlStream::Endpoints if self.outage.is_some() || !self.is_verified() => return,
            ControlStream::Endpoints => self.list_read_time = now - sent_at,
        }
        if sent_at >= self.resumed_at {
            self.reached_at = self.reached_at.max(Some(sent_at));
            self.reachable_until = Some(now + self.interval + ANSWER_SLACK);
        }
    }

    /// Whether a read of the operators' records that was sent after the latest pause was answered.
    fn is_verified(&self) -> bool {
        self.verified_until.is_some_and(|until| until >= self.resumed_at)
    }

    /// Records that a poll wasn't answered when it had to be: its connection may have been silent since
    /// it was sent, whatever reads of the list show.
    pub(crate) fn record_silent_poll(&mut self) {
        self.complete_until = self.verified_until;
        self.reached_at = self.verified_until;
    }

    /// Records that the store did not answer. It may have been out of reach since the latest read
    /// that it answered was sent.
    pub(crate) fn record_failure(&mut self, now: MonoTime, cause: FailureCause) {
        self.reachable_until = None;
        self.complete_until = self.complete_until.min(self.reached_at).max(self.verified_until);
        let unnoticed = match (self.outage, self.complete_until) {
            (Some(outage), _) => match cause {
                FailureCause::Refused => outage.unnoticed,
                FailureCause::Unanswered => outage.unnoticed + (now - outage.last_failure_at),
            },
            (None, Some(complete)) => now - complete,
            (None, None) => return,
        };
        self.outage = Some(StoreOutage { unnoticed, last_failure_at: now });
    }

    /// What [`Self::record_age`] is derived from.
    pub(crate) fn evidence(&self, now: MonoTime) -> ReadEvidence {
        ReadEvidence {
            verified_before: self.verified_until.map(|until| now - until),
            complete_before: self.complete_until.map(|until| now - until),
            running_for: now - self.resumed_at,
        }
    }

    /// Age of a record that has just been read.
    pub(crate) fn record_age(&self, now: MonoTime) -> RecordAge {
        if let Some(outage) = self.outage {
            return RecordAge::AtMost(outage.unnoticed + (now - outage.last_failure_at));
        }
        match self.complete_until.map(|until| now - until) {
            Some(age) if age <= MAX_KNOWN_AGE => RecordAge::Known(age),
            Some(age) => RecordAge::AtMost(age),
            None => RecordAge::Unknown,
        }
    }
}

impl From<&StoreError> for FailureCause {
    fn from(error: &StoreError) -> Self {
        match error {
            StoreError::Refused { .. } => Self::Refused,
            StoreError::CallFailed { .. } => Self::Unanswered,
        }
    }
}

impl RecordAge {
    /// The age, or the longest possible one; `None` if it is unknown.
    ///
    /// ```
    /// use celeryshed_peering::RecordAge;
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// assert_eq!(RecordAge::AtMost(second).limit(), Some(second));
    /// assert_eq!(RecordAge::Unknown.limit(), None);
    /// ```
    pub fn limit(self) -> Option<Duration> {
        match self {
            Self::Known(age) | Self::AtMost(age) => Some(age),
            Self::Unknown => None,
        }
    }

    /// The age after a further time.
    pub(crate) fn after(self, elapsed: Duration) -> Self {
        match self {
            Self::Known(age) => Self::Known(age + elapsed),
            Self::AtMost(age) => Self::AtMost(age + elapsed),
            Self::Unknown => Self::Unknown,
        }
    }

    /// The age of a record that was told by a peer and arrived `delay` after it was asked for, at
    /// most.
    pub(crate) fn delayed(self, delay: Duration) -> Self {
        match self.after(delay) {
            Self::Known(age) if delay > MAX_KNOWN_AGE => Self::AtMost(age),
            age => age,
        }
    }
}

impl AgeReading {
    /// The age of a record that was read at `read_at` by `clock`.
    ///
    /// ```
    /// use celeryshed_base::ClockSource;
    /// use celeryshed_peering::{AgeReading, RecordAge};
    /// use std::time::Duration;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// runtime.block_on(async {
    ///     let second = Duration::from_secs(1);
    ///     let clock = ClockSource::start();
    ///     let reading = AgeReading::new(clock, clock.now(), RecordAge::Known(second));
    ///     assert!(reading.age().limit().unwrap() >= second);
    /// });
    /// ```
    pub fn new(clock: ClockSource, read_at: MonoTime, age: RecordAge) -> Self {
        Self { age, read_at, clock }
    }

    /// The age of the record now.
    pub fn age(&self) -> RecordAge {
        self.age.after(self.clock.now() - self.read_at)
    }
}
