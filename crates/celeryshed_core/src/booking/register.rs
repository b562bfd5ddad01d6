//! The sidecar's record of the claims that it ran or sealed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{ClaimId, MonoTime, ProcessIncarnation, UnixMillis, common_derives};

common_derives! { value:
    /// Options of a register.
    #[derive(Copy)]
    pub struct RegisterOptions {
        /// Longest age of a key; claim ids are kept this long after their last change.
        pub window: Duration,
        /// Most claim ids kept; further claims are refused.
        pub max_claims: usize,
    }

    /// How a run ended.
    pub enum RunOutcome<A> {
        /// With an answer.
        Answer(A),
        /// It may have run; there is no answer.
        Unknown,
        /// The endpoint was never handed the call, and won't be.
        NotRun,
    }

    /// Whether a claim may be run.
    pub enum BeginVerdict<A> {
        /// Run it now, once.
        Run,
        /// It ran before, with this answer.
        Ran(A),
        /// It ran before; its outcome stands in the log.
        Recorded,
        /// It is running.
        Running,
        /// It may have run before; there is no answer.
        Unknown,
        /// It is not run and will never be.
        Refused(BeginRefusal),
    }

    /// Why a claim is refused.
    #[derive(Copy)]
    pub enum BeginRefusal {
        /// The claim names another incarnation.
        OtherIncarnation,
        /// The claim is sealed.
        Sealed,
        /// The claim was appended more than half a window ago.
        TooOld,
        /// The register holds as many claims as it may.
        Full,
    }

    /// Reply to a request to seal a claim.
    pub enum SealVerdict<A> {
        /// It ran, with this answer.
        Ran(A),
        /// It ran; its outcome stands in the log.
        Recorded,
        /// It is running.
        Running,
        /// It will never run.
        Sealed,
        /// It may have run; there is no answer.
        Unknown,
        /// This is another incarnation.
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
        // 200,000 ids at about 150 bytes need 30 MB.
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

/// The claims of one sidecar incarnation: runs each at most once.
#[derive(Clone, Debug)]
pub struct ClaimRegister<A> {
    incarnation: ProcessIncarnation,
    options: RegisterOptions,
    claims: BTreeMap<ClaimId, StoredClaim<A>>,
    by_change: BTreeSet<(MonoTime, ClaimId)>,
}

#[derive(Clone, Debug)]
struct StoredClaim<A> {
    status: ClaimStatus<A>,
    changed: MonoTime,
}

impl<A: Clone> ClaimRegister<A> {
    /// An empty register of `incarnation`.
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
        Self { incarnation, options, claims: BTreeMap::new(), by_change: BTreeSet::new() }
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides about a dispatch of a claim that the log took at `appended_at`.
    ///
    /// A sealed id is kept for a whole window and a claim is refused after half a window, so a
    /// dispatch that arrives after its seal was forgotten is refused for its age. The other half
    /// window allows for the difference between this process's clock and the log's.
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

    /// Takes in the end of the run of a claim; a claim that isn't running is left as it is.
    pub fn finish(&mut self, claim_id: ClaimId, outcome: RunOutcome<A>, now: MonoTime) {
        let running = self.claims.get(&claim_id).map(|stored| &stored.status);
        if !matches!(running, Some(ClaimStatus::Running)) {
            return;
        }
        let status = match outcome {
            RunOutcome::Answer(answer) => ClaimStatus::Ran(answer),
            RunOutcome::Unknown => ClaimStatus::Unknown,
            RunOutcome::NotRun => ClaimStatus::Sealed,
        };
        self.store(claim_id, status, now);
    }

    /// Notes that the outcome of a claim stands in the log; its answer is no longer kept here.
    pub fn note_recorded(&mut self, claim_id: ClaimId, now: MonoTime) {
        let status = self.claims.get(&claim_id).map(|stored| &stored.status);
        if matches!(status, Some(ClaimStatus::Ran(_) | ClaimStatus::Unknown)) {
            self.store(claim_id, ClaimStatus::Recorded, now);
        }
    }

    /// Seals a claim unless it was begun.
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
        // A seal that can't be kept must not be promised.
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
        let stored = StoredClaim { status, changed: now };
        if let Some(replaced) = self.claims.insert(claim_id, stored) {
            self.by_change.remove(&(replaced.changed, claim_id));
        }
        self.by_change.insert((now, claim_id));
    }

    /// Forgets claims that didn't change for a window; a running claim is never forgotten.
    fn remove_expired(&mut self, now: MonoTime) {
        while let Some(&(changed, claim_id)) = self.by_change.first() {
            if now - changed <= self.options.window {
                break;
            }
            self.by_change.pop_first();
            let status = self.claims.get(&claim_id).map(|stored| &stored.status);
            match status {
                Some(ClaimStatus::Running) => self.store(claim_id, ClaimStatus::Running, now),
                _ => drop(self.claims.remove(&claim_id)),
            }
        }
    }
}
