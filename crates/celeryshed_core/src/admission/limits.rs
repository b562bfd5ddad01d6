//! Contracted capacity of teams, divided equally between the entries.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{MonoTime, TeamName, common_derives};

use super::slots::SlotClass;
use crate::configuration::TeamContract;

/// Balances count millionths of a token, so that slow rates accumulate without rounding loss.
const MICROTOKENS_PER_TOKEN: i128 = 1_000_000;

common_derives! { value:
    /// The class of an admitted request and the tokens charged for it.
    #[derive(Copy)]
    pub struct AdmissionGrant {
        /// `Contracted` if the request is within the team's share, otherwise `BestEffort`.
        pub class: SlotClass,
        /// Tokens charged to the share in advance; 0 for best-effort work.
        pub charged_tokens: u64,
    }
}

/// Usage of one team's share at this entry.
#[derive(Clone, Copy, Debug)]
struct ShareUsage {
    /// Negative after a request that needed more tokens than were left.
    available_microtokens: i128,
    refilled_at: MonoTime,
    in_progress: u32,
}

/// Shares of all teams at one entry.
///
/// An entry that sees `n` live entries admits `1/n` of each team's contracted capacity. Work above
/// this share is not refused but runs as best effort, when capacity is free.
///
/// - Tokens: an entry's share is `1/n` of the contracted rate and burst. A request is admitted
///   while any tokens are left, even if it needs more, because a small share might otherwise never
///   admit a large request. An entry therefore exceeds its share by at most one request.
///   [`admitted_share_bounds`] gives the bounds on the sum when entries disagree about `n`.
/// - Requests in progress: for a contract of `R` requests, an entry admits `R/n + sqrt(R/n)`,
///   rounded up, because the number of random arrivals at one entry varies by about its square
///   root. All entries together admit at most `R + sqrt(R n) + n`. The token limit still bounds the
///   rate, so the excess is temporary.
///
/// ```
/// use celeryshed_core::admission::{TeamLimits, SlotClass};
/// use celeryshed_base::{TeamName, MonoTime};
/// let mut limits = TeamLimits::default();
/// let name = TeamName::try_from("visitor").unwrap();
/// let grant = limits.admit(&name, None, 100, 1, MonoTime::ZERO);
/// assert_eq!(grant.class, SlotClass::BestEffort);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    shares: BTreeMap<TeamName, ShareUsage>,
}

impl TeamLimits {
    /// Admits a request that may generate up to `tokens` tokens.
    ///
    /// `contract` is `None` for a team without a contract; `entries` is the number of live entries,
    /// including this one.
    pub fn admit(
        &mut self,
        team: &TeamName,
        contract: Option<&TeamContract>,
        tokens: u64,
        entries: u32,
        now: MonoTime,
    ) -> AdmissionGrant {
        let best_effort = AdmissionGrant { class: SlotClass::BestEffort, charged_tokens: 0 };
        let Some(contract) = contract else {
            return best_effort;
        };
        let limit = request_limit(contract, entries);
        let share = self.refilled_share(team, contract, entries, now);
        if share.in_progress >= limit || share.available_microtokens <= 0 {
            return best_effort;
        }
        share.available_microtokens -= i128::from(tokens) * MICROTOKENS_PER_TOKEN;
        share.in_progress += 1;
        AdmissionGrant { class: SlotClass::Contracted, charged_tokens: tokens }
    }

    /// Ends a request and refunds the tokens that were charged but not generated.
    pub fn end(&mut self, team: &TeamName, grant: AdmissionGrant, used_tokens: u64) {
        if grant.class == SlotClass::BestEffort {
            return;
        }
        if let Some(share) = self.shares.get_mut(team) {
            share.in_progress = share.in_progress.saturating_sub(1);
            let unused = grant.charged_tokens.saturating_sub(used_tokens);
            // The next refill limits the balance to the burst.
            share.available_microtokens += i128::from(unused) * MICROTOKENS_PER_TOKEN;
        }
    }

    /// Removes the shares of teams for which `is_contracted` returns `false`.
    pub fn retain(&mut self, is_contracted: impl Fn(&TeamName) -> bool) {
        self.shares.retain(|team, _| is_contracted(team));
    }

    fn refilled_share(
        &mut self,
        team: &TeamName,
        contract: &TeamContract,
        entries: u32,
        now: MonoTime,
    ) -> &mut ShareUsage {
        let entries = i128::from(entries.max(1));
        let burst = i128::from(contract.burst.0) * MICROTOKENS_PER_TOKEN / entries;
        let full_share =
            ShareUsage { available_microtokens: burst, refilled_at: now, in_progress: 0 };
        let share = self.shares.entry(team.clone()).or_insert(full_share);
        let elapsed: Duration = now - share.refilled_at;
        let refill = i128::from(contract.token_rate.0) * elapsed.as_micros() as i128 / entries;
        share.available_microtokens = (share.available_microtokens + refill).min(burst);
        share.refilled_at = now;
        share
    }
}

/// Returns the limit of contracted requests in progress at one entry.
fn request_limit(contract: &TeamContract, entries: u32) -> u32 {
    let reserved = contract.requests_in_progress;
    if entries <= 1 {
        return reserved;
    }
    let share = f64::from(reserved) / f64::from(entries);
    ((share + share.sqrt()).ceil() as u32).min(reserved)
}

/// Returns the smallest and largest sum of all entries' shares, as multiples of the contract.
///
/// Each of the `live` entries may overlook up to `missed` live entries and count up to `stale`
/// entries that are gone.
///
/// ```
/// use celeryshed_core::admission::admitted_share_bounds;
/// assert_eq!(admitted_share_bounds(3, 0, 0), (1.0, 1.0));
/// assert_eq!(admitted_share_bounds(3, 1, 1), (0.75, 1.5));
/// ```
pub fn admitted_share_bounds(live: u32, missed: u32, stale: u32) -> (f64, f64) {
    let live_count = f64::from(live);
    let min_counted = f64::from(live.saturating_sub(missed).max(1));
    (live_count / f64::from(live + stale), live_count / min_counted)
}
