//! Register of the claims that a sidecar ran or sealed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{ClaimId, MonoTime, ProcessIncarnation, UnixMillis, common_derives};

/// How long a claim id is kept beyond the booking window. A claim can be 60 s older than its key,
/// and a request that began within the window may ask about it until its deadline (up to 600 s).
const RETENTION_MARGIN: Duration = Duration::from_secs(900);

common_derives! { value:
    /// Options of a claim register.
    #[derive(Copy)]
    pub struct RegisterOptions {
        /// Length of the booking window; 6 hours by default. Claim ids are kept 15 minutes longer,
        /// counted from their last change.
        pub window: Duration,
        /// Maximum number of claim ids kept; 200,000 by default. Further claims are refused.
        pub max_claims: usize,
    }

    /// How a run ended.
    pub enum RunOutcome<A> {
        /// The service answered.
        Answer(A),
        /// The claim may have run; no answer was received.
        Unknown,
        /// The call was not sent to the service and never will be.
        NotRun,
    }

    /// Decision on a dispatched claim.
    pub enum BeginVerdict<A> {
        /// The caller must run the claim now.
        Run,
        /// The claim ran before, with this answer.
        Ran(A),
        /// The claim ran before; its outcome is recorded in the log.
        Recorded,
        /// The claim is running.
        Running,
        /// The claim may have run before; its answer is lost.
        Unknown,
        /// The claim didn't run, and this register will never let it run.
        Refused(BeginRefusal),
    }

    /// Why a claim is refused.
    #[derive(Copy)]
    pub enum BeginRefusal {
        /// The claim names another incarnation.
        OtherIncarnation,
        /// The claim is sealed.
        Sealed,
        /// The claim was appended more than half a booking window ago.
        TooOld,
        /// The register is full.
        Full,
    }

    /// Reply to a request to seal a claim.
    pub enum SealVerdict<A> {
        /// The claim ran, with this answer.
        Ran(A),
        /// The claim ran; its outcome is recorded in the log.
        Recorded,
        /// The claim is running.
        Running,
        /// The claim will never run.
        Sealed,
        /// The claim may have run, or the register is too full to seal it.
        Unknown,
        /// The claim names another incarnation than this one.
        OtherIncarnation(ProcessIncarnation),
    }
}

impl std::fmt::Display for BeginRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::OtherIncarnation => "the claim names another incarnation",
            Self::Sealed => "the claim is sealed",
            Self::TooOld => "the claim was appended more than half a booking window ago",
            Self::Full => "the claim register is full",
        })
    }
}

impl Default for RegisterOptions {
    fn default() -> Self {
        // 200,000 claim ids of about 150 bytes each take 30 MB.
        Self { window: Duration::from_secs(6 * 3600), max_claims: 200_000 }
    }
}

common_derives! { value:
    enum ClaimStatus<A> {
        Running,
        Ran(A),
        Recorded,
        Unknown,
        Sealed,
    }
}

/// Claims of one sidecar incarnation; lets each run at most once.
#[derive(Clone, Debug)]
pub struct ClaimRegister<A> {
    incarnation: ProcessIncarnation,
    options: RegisterOptions,
    claims: BTreeMap<ClaimId, StoredClaim<A>>,
    /// Claims in the order of their last change, to find the expired ones.
    by_change_time: BTreeSet<(MonoTime, ClaimId)>,
}

#[derive(Clone, Debug)]
struct StoredClaim<A> {
    status: ClaimStatus<A>,
    changed_at: MonoTime,
}

impl<A: Clone> ClaimRegister<A> {
    /// Creates an empty register for the sidecar process `incarnation`.
    ///
    /// ```
    /// use celeryshed_base::{ClaimId, MonoTime, ProcessIncarnation};
    /// use celeryshed_core::booking::{ClaimRegister, SealVerdict};
    /// let incarnation = ProcessIncarnation::from_u128(1);
    /// let mut register = ClaimRegister::<String>::new(incarnation, Default::default());
    /// let verdict = register.seal(ClaimId::from_u128(7), incarnation, MonoTime::ZERO);
    /// assert_eq!(verdict, SealVerdict::Sealed);
    /// ```
    pub fn new(incarnation: ProcessIncarnation, options: RegisterOptions) -> Self {
        Self { incarnation, options, claims: BTreeMap::new(), by_change_time: BTreeSet::new() }
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides whether to run a dispatched claim, and marks the claim as running if so.
    ///
    /// `named` is the incarnation that the claim names, and `appended_at` when the log appended the
    /// claim. `unix_now` is this process's clock.
    ///
    /// A sealed claim id is kept for more than a window, but a claim is refused half a window after
    /// its append. A dispatch that arrives after the sealed id was removed is therefore refused as
    /// too old. The other half allows for a difference between this process's clock and the log's.
    ///
    /// ```
    /// use celeryshed_base::{ClaimId, MonoTime, ProcessIncarnation, UnixMillis};
    /// use celeryshed_core::booking::{BeginVerdict, ClaimRegister};
    /// let incarnation = ProcessIncarnation::from_u128(1);
    /// let mut register = ClaimRegister::<String>::new(incarnation, Default::default());
    /// let (claim_id, unix, now) = (ClaimId::from_u128(7), UnixMillis(5), MonoTime::ZERO);
    /// let first = register.begin(claim_id, incarnation, unix, now, unix);
    /// assert_eq!(first, BeginVerdict::Run);
    /// let second = register.begin(claim_id, incarnation, unix, now, unix);
    /// assert_eq!(second, BeginVerdict::Running);
    /// ```
    pub fn begin(
        &mut self,
        claim_id: ClaimId,
        named: ProcessIncarnation,
        appended_at: UnixMillis,
        now: MonoTime,
        unix_now: UnixMillis,
    ) -> BeginVerdict<A> {
        self.remove_expired(now);
        if named != self.incarnation {
            return BeginVerdict::Refused(BeginRefusal::OtherIncarnation);
        }
        if let Some(stored) = self.claims.get(&claim_id) {
            return match &stored.status {
                ClaimStatus::Running => BeginVerdict::Running,
                ClaimStatus::Ran(answer) => BeginVerdict::Ran(answer.clone()),
                ClaimStatus::Recorded => BeginVerdict::Recorded,
                ClaimStatus::Unknown => BeginVerdict::Unknown,
                ClaimStatus::Sealed => BeginVerdict::Refused(BeginRefusal::Sealed),
            };
        }
        if unix_now.since(appended_at) > self.options.window / 2 {
            return BeginVerdict::Refused(BeginRefusal::TooOld);
        }
        if self.is_full() {
            return BeginVerdict::Refused(BeginRefusal::Full);
        }
        self.store(claim_id, ClaimStatus::Running, now);
        BeginVerdict::Run
    }

    /// Stores the outcome of a run; ignores a claim that isn't running.
    ///
    /// ```
    /// use celeryshed_base::{ClaimId, MonoTime, ProcessIncarnation, UnixMillis};
    /// use celeryshed_core::booking::{ClaimRegister, RunOutcome, SealVerdict};
    /// let incarnation = ProcessIncarnation::from_u128(1);
    /// let mut register = ClaimRegister::new(incarnation, Default::default());
    /// let (claim_id, unix, now) = (ClaimId::from_u128(7), UnixMillis(5), MonoTime::ZERO);
    /// register.begin(claim_id, incarnation, unix, now, unix);
    /// register.finish(claim_id, RunOutcome::Answer("done"), now);
    /// assert_eq!(register.seal(claim_id, incarnation, now), SealVerdict::Ran("done"));
    /// register.mark_recorded(claim_id, now);
    /// assert_eq!(register.seal(claim_id, incarnation, now), SealVerdict::Recorded);
    /// ```
    pub fn finish(&mut self, claim_id: ClaimId, outcome: RunOutcome<A>, now: MonoTime) {
        let status = self.claims.get(&claim_id).map(|stored| &stored.status);
        if !matches!(status, Some(ClaimStatus::Running)) {
            return;
        }
        let status = match outcome {
            RunOutcome::Answer(answer) => ClaimStatus::Ran(answer),
            RunOutcome::Unknown => ClaimStatus::Unknown,
            RunOutcome::NotRun => ClaimStatus::Sealed,
        };
        self.store(claim_id, status, now);
    }

    /// Marks the outcome of a claim as recorded in the log, and drops its answer from the register.
    pub fn mark_recorded(&mut self, claim_id: ClaimId, now: MonoTime) {
        let status = self.claims.get(&claim_id).map(|stored| &stored.status);
        if matches!(status, Some(ClaimStatus::Ran(_) | ClaimStatus::Unknown)) {
            self.store(claim_id, ClaimStatus::Recorded, now);
        }
    }

    /// Seals a claim that hasn't run, so that it never runs; otherwise returns its status.
    ///
    /// `named` is the incarnation that the claim names.
    pub fn seal(
        &mut self,
        claim_id: ClaimId,
        named: ProcessIncarnation,
        now: MonoTime,
    ) -> SealVerdict<A> {
        self.remove_expired(now);
        if named != self.incarnation {
            return SealVerdict::OtherIncarnation(self.incarnation);
        }
        if let Some(stored) = self.claims.get(&claim_id) {
            return match &stored.status {
                ClaimStatus::Running => SealVerdict::Running,
                ClaimStatus::Ran(answer) => SealVerdict::Ran(answer.clone()),
                ClaimStatus::Recorded => SealVerdict::Recorded,
                ClaimStatus::Unknown => SealVerdict::Unknown,
                ClaimStatus::Sealed => SealVerdict::Sealed,
            };
        }
        // A full register can't store the seal, so the claim could still run later.
        if self.is_full() {
            return SealVerdict::Unknown;
        }
        self.store(claim_id, ClaimStatus::Sealed, now);
        SealVerdict::Sealed
    }

    fn is_full(&self) -> bool {
        self.claims.len() >= self.options.max_claims
    }

    fn store(&mut self, claim_id: ClaimId, status: ClaimStatus<A>, now: MonoTime) {
        let stored = StoredClaim { status, changed_at: now };
        if let Some(replaced) = self.claims.insert(claim_id, stored) {
            self.by_change_time.remove(&(replaced.changed_at, claim_id));
        }
        self.by_change_time.insert((now, claim_id));
    }

    /// Removes claims whose keys have expired. A claim that ran is kept until its outcome is in the
    /// log, because the register treats an unknown claim as one that didn't run.
    fn remove_expired(&mut self, now: MonoTime) {
        while let Some(&(changed_at, claim_id)) = self.by_change_time.first() {
            if now - changed_at <= self.options.window + RETENTION_MARGIN {
                break;
            }
            self.by_change_time.pop_first();
            let Some(stored) = self.claims.remove(&claim_id) else { continue };
            match stored.status {
                ClaimStatus::Recorded | ClaimStatus::Sealed => {}
                unrecorded => self.store(claim_id, unrecorded, now),
            }
        }
    }
}
