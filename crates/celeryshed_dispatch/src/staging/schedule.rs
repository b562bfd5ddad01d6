//! When an endpoint loads a version.
//!
//! An endpoint that loads takes no work from the order on, until what runs has ended and the load
//! is done. Endpoints therefore load one after the other, in an order that each sidecar computes
//! for itself, between the time by which pieces are expected everywhere and the deadline.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use crate::rendezvous::rendezvous;

/// Time in which pieces are expected everywhere, in times of one copy over the origin's link.
const SPREAD_COPIES: f64 = 1.2;
/// Time on top of it, until the last pieces have been passed on.
const SPREAD_TAIL: Duration = Duration::from_millis(250);
/// Part of the spread after which a version is finished although a newer one was declared.
const FINISHED_PART: f64 = 0.45;
/// Part of the deadline from which orders are given in any case.
const MAX_SPREAD_PART: f64 = 0.6;
/// Time before the deadline at which the last order is given. Work in progress may end after the
/// deadline, but none begins.
const LAST_ORDER: Duration = Duration::from_millis(1100);

common_derives! { value:
    /// A version that endpoints should serve.
    #[derive(Copy)]
    pub struct VersionTarget {
        /// The version.
        pub version: u64,
        /// When it became known here.
        pub learned_at: MonoTime,
        /// When it has to be in force.
        pub due_at: MonoTime,
        /// Whether it was declared while this process ran; else its pieces may have spread already.
        pub age_known: bool,
    }

    /// The time of one endpoint's order.
    #[derive(Copy)]
    pub struct ReloadSchedule {
        /// Not before this time.
        pub reload_at: MonoTime,
    }
}

/// Time in which the pieces of a version are expected everywhere.
fn spread_time(origin_transfer: Duration) -> Duration {
    origin_transfer.mul_f64(SPREAD_COPIES) + SPREAD_TAIL
}

impl VersionTarget {
    /// Whether this version's pieces are still fetched once a newer one is declared.
    ///
    /// All sidecars have to decide alike, since each fetches some pieces for all of them: the time
    /// between the declarations decides, not what has arrived here. A version that has only begun
    /// to spread gives way, and endpoints go straight to the newer one.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::VersionTarget;
    /// use std::time::Duration;
    /// let seconds = |seconds| MonoTime(Duration::from_secs(seconds));
    /// let target = |version, at| VersionTarget {
    ///     version,
    ///     learned_at: seconds(at),
    ///     due_at: seconds(at + 8),
    ///     age_known: true,
    /// };
    /// let copy = Duration::from_secs(4);
    /// assert!(target(2, 0).is_worth_finishing(&target(3, 4), copy));
    /// assert!(!target(2, 0).is_worth_finishing(&target(3, 1), copy));
    /// ```
    pub fn is_worth_finishing(&self, newer: &Self, origin_transfer: Duration) -> bool {
        newer.learned_at - self.learned_at >= spread_time(origin_transfer).mul_f64(FINISHED_PART)
    }
}

impl ReloadSchedule {
    /// The schedule of the endpoint `own` among all `endpoints` of its service.
    ///
    /// `due_at` is the earliest deadline of a version that the endpoint doesn't serve yet;
    /// the origin's link carries one copy in `origin_transfer`.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::{ReloadSchedule, VersionTarget};
    /// use std::time::Duration;
    /// let due_at = MonoTime(Duration::from_secs(8));
    /// let learned_at = MonoTime::ZERO;
    /// let target = VersionTarget { version: 2, learned_at, due_at, age_known: true };
    /// let copy = Duration::from_secs(3);
    /// let schedule = ReloadSchedule::plan("a", &["a", "b"], target, due_at, copy);
    /// assert!(schedule.reload_at < due_at);
    /// ```
    pub fn plan(
        own: &str,
        endpoints: &[&str],
        target: VersionTarget,
        due_at: MonoTime,
        origin_transfer: Duration,
    ) -> Self {
        let window = due_at - target.learned_at;
        let spread = match target.age_known {
            true => spread_time(origin_transfer).min(window.mul_f64(MAX_SPREAD_PART)),
            false => Duration::ZERO,
        };
        let first = target.learned_at + spread;
        let last = target.learned_at + window.saturating_sub(LAST_ORDER);
        let own_rank = rendezvous(own, target.version);
        let ahead =
            endpoints.iter().filter(|name| rendezvous(name, target.version) < own_rank).count();
        let part = ahead as f64 / endpoints.len().max(1) as f64;
        Self { reload_at: first + (last - first).mul_f64(part) }
    }
}
