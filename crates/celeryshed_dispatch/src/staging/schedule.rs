//! Schedules when each endpoint loads a version.
//!
//! From the start of a reload, an endpoint accepts no work until its running requests have ended
//! and the weights are loaded. The reloads of a service's endpoints are therefore spread over the
//! time between the expected arrival of the pieces at all sidecars and the deadline. Each sidecar
//! computes the same order by itself.

use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};

use crate::rendezvous::rendezvous;

/// Expected time until all sidecars have all pieces, as a multiple of the time that one copy takes
/// over the origin's link.
const DISTRIBUTION_COPIES: f64 = 1.2;
/// Additional time until the last pieces have been passed on between sidecars.
const DISTRIBUTION_TAIL: Duration = Duration::from_millis(250);
/// Fraction of its distribution time that must have passed for a version to be completed although a
/// newer one is declared.
const MIN_FINISHED_FRACTION: f64 = 0.45;
/// Fraction of the time until the deadline after which reloads start, even if the pieces are
/// expected later.
const MAX_DISTRIBUTION_FRACTION: f64 = 0.6;
/// Time before the deadline at which the last reload starts. Requests in progress may end after the
/// deadline, but none starts after it.
const LAST_RELOAD_MARGIN: Duration = Duration::from_millis(1100);

common_derives! { value:
    /// A declared version that endpoints must load.
    #[derive(Copy)]
    pub struct VersionTarget {
        /// Version to load.
        pub version: u64,
        /// Earliest possible time of the declaration, or the time at which this process learned of
        /// it if its age is unknown.
        pub learned_at: MonoTime,
        /// Deadline by which the version must be in force.
        pub due_at: MonoTime,
        /// Whether the version was declared while this process ran. Otherwise all sidecars may
        /// already have its pieces.
        pub declared_while_running: bool,
    }

    /// The planned reload of one endpoint.
    #[derive(Copy)]
    pub struct ReloadSchedule {
        /// Earliest time at which the reload starts.
        pub reload_at: MonoTime,
    }
}

/// Expected time from the declaration of a version until all sidecars have all of its pieces.
fn distribution_time(origin_transfer: Duration) -> Duration {
    origin_transfer.mul_f64(DISTRIBUTION_COPIES) + DISTRIBUTION_TAIL
}

impl VersionTarget {
    /// Whether this version's pieces are still fetched after a newer version is declared.
    ///
    /// All sidecars must decide alike, since each fetches some pieces for all of them. The decision
    /// therefore depends on the time between the two declarations instead of the pieces that have
    /// arrived at this sidecar. If that time is short, endpoints skip this version and load the
    /// newer one.
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
    ///     declared_while_running: true,
    /// };
    /// let copy = Duration::from_secs(4);
    /// assert!(target(2, 0).is_worth_finishing(&target(3, 4), copy));
    /// assert!(!target(2, 0).is_worth_finishing(&target(3, 1), copy));
    /// ```
    pub fn is_worth_finishing(&self, newer: &Self, origin_transfer: Duration) -> bool {
        newer.learned_at - self.learned_at
            >= distribution_time(origin_transfer).mul_f64(MIN_FINISHED_FRACTION)
    }
}

impl ReloadSchedule {
    /// Plans the reload of the endpoint `own` among all `endpoints` of its service.
    ///
    /// `due_at` is the earliest deadline of a version that the endpoint doesn't serve yet,
    /// `loaded_due_at` the deadline of the version that it serves, and `origin_transfer` the time
    /// that one copy of the weights takes over the origin's link.
    ///
    /// Until the deadline of the version that it serves, endpoints of older versions reload first:
    /// their deadline is earlier, and reloads of both at once would leave too few endpoints.
    ///
    /// ```
    /// use celeryshed_base::MonoTime;
    /// use celeryshed_dispatch::{ReloadSchedule, VersionTarget};
    /// use std::time::Duration;
    /// let due_at = MonoTime(Duration::from_secs(8));
    /// let learned_at = MonoTime::ZERO;
    /// let target = VersionTarget { version: 2, learned_at, due_at, declared_while_running: true };
    /// let copy = Duration::from_secs(3);
    /// let schedule = ReloadSchedule::plan("a", &["a", "b"], target, due_at, None, copy);
    /// assert!(schedule.reload_at < due_at);
    /// ```
    pub fn plan(
        own: &str,
        endpoints: &[&str],
        target: VersionTarget,
        due_at: MonoTime,
        loaded_due_at: Option<MonoTime>,
        origin_transfer: Duration,
    ) -> Self {
        let remaining = due_at - target.learned_at;
        let distribution = match target.declared_while_running {
            true => {
                distribution_time(origin_transfer).min(remaining.mul_f64(MAX_DISTRIBUTION_FRACTION))
            }
            false => Duration::ZERO,
        };
        let last = target.learned_at + remaining.saturating_sub(LAST_RELOAD_MARGIN);
        let first = target.learned_at + distribution;
        let first = loaded_due_at.map_or(first, |at| first.max(at - LAST_RELOAD_MARGIN)).min(last);
        let own_rank = rendezvous(own, target.version);
        let ahead =
            endpoints.iter().filter(|name| rendezvous(name, target.version) < own_rank).count();
        let position = ahead as f64 / endpoints.len().max(1) as f64;
        Self { reload_at: first + (last - first).mul_f64(position) }
    }
}
