//! Intervals of the datagrams that entries and sidecars send each other.
//!
//! Load pattern: the number of pairs of processes grows with the square of the fleet, while the
//! links of an instance and between regions stay as they are. Each process therefore sends a bounded
//! number of datagrams a second, whatever the number of receivers, and every message says how long
//! its content counts. Processes of the own region hear sooner than others: most requests are placed
//! within the region, and its links are neither shared nor paid for.

use std::time::Duration;

use celeryshed_base::common_derives;

/// Shortest time between two load reports to the same entry.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(30);
/// Time between two load reports for each receiving entry of the own region.
const NEAR_LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(5);
/// Time between two load reports for each receiving entry of another region.
const FAR_LOAD_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(6);
/// Time between two load reports that list all endpoints, while the fleet is small.
const MIN_WHOLE_LOAD_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two status messages of a sidecar, while the fleet is small.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two status messages for each receiving entry.
const STATUS_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(25);
/// Time between two heartbeats to the same sidecar, while the fleet is small.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between two heartbeats for each receiving sidecar.
const HEARTBEAT_INTERVAL_PER_SIDECAR: Duration = Duration::from_millis(15);
/// Time between two inventories of pieces for each receiving sidecar.
const INVENTORY_INTERVAL_PER_SIDECAR: Duration = Duration::from_millis(8);
/// Intervals without a message after which the content of the last one no longer counts. Single
/// datagrams may be lost.
const LIFETIME_INTERVALS: f64 = 3.25;
/// Shortest lifetime of a load report: a process may be delayed for a second.
const MIN_LOAD_LIFETIME: Duration = Duration::from_millis(1500);

/// Most entries, and most sidecars, that a process exchanges messages with.
pub const MAX_PEERS: usize = 1024;

common_derives! { value:
    /// The receivers of a message that a process repeats, such as a load report.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum PeerAudience {
        /// Processes of the sender's region.
        OwnRegion,
        /// Processes of all other regions.
        OtherRegions,
    }
}

impl PeerAudience {
    /// Both audiences.
    pub const ALL: [Self; 2] = [Self::OwnRegion, Self::OtherRegions];

    /// Time between two load reports to `receivers` entries.
    ///
    /// ```
    /// use celeryshed_dispatch::PeerAudience;
    /// use std::time::Duration;
    /// assert_eq!(PeerAudience::OwnRegion.load_interval(2), Duration::from_millis(30));
    /// assert!(PeerAudience::OtherRegions.load_interval(400) > Duration::from_secs(2));
    /// ```
    pub fn load_interval(self, receivers: usize) -> Duration {
        let per_entry = match self {
            Self::OwnRegion => NEAR_LOAD_INTERVAL_PER_ENTRY,
            Self::OtherRegions => FAR_LOAD_INTERVAL_PER_ENTRY,
        };
        MIN_LOAD_INTERVAL.max(per_entry * receivers as u32)
    }

    /// Time between two load reports that list all endpoints.
    pub fn whole_load_interval(self, receivers: usize) -> Duration {
        MIN_WHOLE_LOAD_INTERVAL.max(self.load_interval(receivers))
    }
}

/// Time without a load report after which the load of a peer no longer counts, given the interval of
/// its whole reports.
///
/// ```
/// use celeryshed_dispatch::load_lifetime;
/// use std::time::Duration;
/// assert!(load_lifetime(Duration::from_millis(700)) > Duration::from_millis(1400));
/// ```
pub fn load_lifetime(whole_interval: Duration) -> Duration {
    MIN_LOAD_LIFETIME.max(whole_interval.mul_f64(2.0))
}

/// Time between two status messages of a sidecar to `receivers` entries, while nothing changes.
///
/// ```
/// use celeryshed_dispatch::status_interval;
/// use std::time::Duration;
/// assert_eq!(status_interval(5), Duration::from_millis(800));
/// assert!(status_interval(400) >= Duration::from_secs(10));
/// ```
pub fn status_interval(receivers: usize) -> Duration {
    MIN_STATUS_INTERVAL.max(STATUS_INTERVAL_PER_ENTRY * receivers as u32)
}

/// Time between two heartbeats of an entry to `receivers` sidecars.
///
/// ```
/// use celeryshed_dispatch::heartbeat_interval;
/// use std::time::Duration;
/// assert_eq!(heartbeat_interval(14), Duration::from_secs(1));
/// ```
pub fn heartbeat_interval(receivers: usize) -> Duration {
    MIN_HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_SIDECAR * receivers as u32)
}

/// Time between two inventories of pieces to `receivers` sidecars, unless a piece arrives that none
/// of them may know of yet.
///
/// ```
/// use celeryshed_dispatch::inventory_interval;
/// use std::time::Duration;
/// assert_eq!(inventory_interval(50), Duration::from_millis(400));
/// ```
pub fn inventory_interval(receivers: usize) -> Duration {
    INVENTORY_INTERVAL_PER_SIDECAR * receivers as u32
}

/// Time for which a message counts whose sender repeats it at `interval`.
///
/// ```
/// use celeryshed_dispatch::message_lifetime;
/// use std::time::Duration;
/// assert_eq!(message_lifetime(Duration::from_millis(800)), Duration::from_millis(2600));
/// ```
pub fn message_lifetime(interval: Duration) -> Duration {
    interval.mul_f64(LIFETIME_INTERVALS)
}

/// Time for which a load report counts that says that it does for `millis`: no longer than those to
/// [`MAX_PEERS`] entries.
///
/// ```
/// use celeryshed_dispatch::told_load_lifetime;
/// use std::time::Duration;
/// assert_eq!(told_load_lifetime(2600), Duration::from_millis(2600));
/// assert_eq!(told_load_lifetime(u32::MAX), Duration::from_millis(12_288));
/// ```
pub fn told_load_lifetime(millis: u32) -> Duration {
    let longest = load_lifetime(PeerAudience::OtherRegions.whole_load_interval(MAX_PEERS));
    Duration::from_millis(millis.into()).min(longest)
}

/// Time for which a status counts that says that it does for `millis`: no longer than those to
/// [`MAX_PEERS`] entries.
///
/// ```
/// use celeryshed_dispatch::told_status_lifetime;
/// use std::time::Duration;
/// assert_eq!(told_status_lifetime(2600), Duration::from_millis(2600));
/// assert_eq!(told_status_lifetime(u32::MAX), Duration::from_millis(83_200));
/// ```
pub fn told_status_lifetime(millis: u32) -> Duration {
    let longest = message_lifetime(status_interval(MAX_PEERS));
    Duration::from_millis(millis.into()).min(longest)
}

/// Time for which a heartbeat counts that says that it does for `millis`: no longer than those to
/// [`MAX_PEERS`] sidecars.
///
/// ```
/// use celeryshed_dispatch::told_heartbeat_lifetime;
/// use std::time::Duration;
/// assert_eq!(told_heartbeat_lifetime(2600), Duration::from_millis(2600));
/// assert_eq!(told_heartbeat_lifetime(u32::MAX), Duration::from_millis(49_920));
/// ```
pub fn told_heartbeat_lifetime(millis: u32) -> Duration {
    let longest = message_lifetime(heartbeat_interval(MAX_PEERS));
    Duration::from_millis(millis.into()).min(longest)
}
