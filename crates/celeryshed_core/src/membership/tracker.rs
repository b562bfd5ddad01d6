//! The tracker that merges the platform's list, status reports and the results of requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, InstanceName, MonoTime, ProcessIncarnation, RegionName, ServiceName,
    common_derives,
};

use super::view::{EntryMember, MemberState, MembershipView, SideMember};

/// Default time after the last contact at which a sidecar counts as silent and gets no work.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which the view omits an entry after a failed connection.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(10);

/// Time after the last contact at which a sidecar that the platform doesn't list is removed.
///
/// Longer than `LIST_LAG`, so that an outdated list entry without a leaving mark doesn't make a
/// leaving sidecar live again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(120);

/// Maximum lag of the platform's list behind the actual instances.
pub const LIST_LAG: Duration = Duration::from_secs(60);

/// Minimum time between two reads of the list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between two reads of the list, per listed instance. An instance takes about 200
/// bytes of the list, so reading the list costs a process about 0.4 KB/s of its limit of 3 KB/s,
/// whatever the number of instances.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(500);

common_derives! { value:
    /// Options of a [`MembershipTracker`].
    #[derive(Copy)]
    pub struct TrackerOptions {
        /// Time after the last contact at which a sidecar counts as silent; default
        /// [`SILENCE_LIMIT`]. Unused unless `expect_reports` is set.
        pub silence_limit: Duration,
        /// Whether a sidecar without recent contact counts as silent; default `true`. Entries set
        /// it, because they send work only to sidecars that report to them. Sidecars don't get
        /// reports from each other and treat a listed sidecar as live unless the list marks it as
        /// leaving.
        pub expect_reports: bool,
    }

    /// Role of a listed instance.
    #[derive(Copy)]
    pub enum ListedRole {
        /// An entry, which accepts requests from clients.
        Entry,
        /// A sidecar, which serves one endpoint.
        Side,
    }

    /// State that a sidecar reports about its endpoint.
    #[derive(Copy)]
    pub enum ReportedState {
        /// Accepts requests.
        Serving,
        /// Doesn't accept requests yet.
        Starting,
        /// Refuses new requests because it is shutting down; final for the incarnation.
        Leaving,
    }

    /// An instance in the platform's list.
    pub struct ListedMember {
        /// Name, which a replacement of the process may reuse.
        pub instance: InstanceName,
        /// Whether the instance is an entry or a sidecar.
        pub role: ListedRole,
        /// IP address and port.
        pub address: String,
        /// Availability zone of the instance.
        pub zone: AvailabilityZone,
        /// Region of the instance.
        pub region: RegionName,
        /// Service of the sidecar's endpoint; sidecars without a service are ignored.
        pub service: Option<ServiceName>,
        /// Whether the platform marks the instance as leaving.
        pub leaving: bool,
    }

    /// Status report of a sidecar.
    pub struct SideReport {
        /// Name of the reporting sidecar.
        pub instance: InstanceName,
        /// Distinguishes the process from those that had the same name before.
        pub incarnation: ProcessIncarnation,
        /// IP address and port.
        pub address: String,
        /// Availability zone of the instance.
        pub zone: AvailabilityZone,
        /// Region of the instance.
        pub region: RegionName,
        /// Service of the sidecar's endpoint.
        pub service: ServiceName,
        /// Whether the endpoint accepts requests.
        pub state: ReportedState,
    }
}

impl Default for TrackerOptions {
    fn default() -> Self {
        Self { silence_limit: SILENCE_LIMIT, expect_reports: true }
    }
}

#[derive(Clone, Debug)]
struct ReportedSide {
    report: SideReport,
    /// Incarnation that this one replaced; its late reports are ignored.
    replaced: Option<ProcessIncarnation>,
    /// When this incarnation replaced another; `None` when no other was known.
    replaced_at: Option<MonoTime>,
    last_contact_at: MonoTime,
}

/// Merges the platform's list, which lags, with status reports and the results of requests into a
/// view.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_core::membership::{MembershipTracker, TrackerOptions};
/// let tracker = MembershipTracker::new(TrackerOptions::default());
/// assert!(tracker.view(MonoTime::ZERO).sides.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct MembershipTracker {
    options: TrackerOptions,
    listed_entries: BTreeMap<InstanceName, EntryMember>,
    listed_sides: BTreeMap<InstanceName, SideMember>,
    listed_leaving: BTreeSet<InstanceName>,
    listed_at: MonoTime,
    reported: BTreeMap<InstanceName, ReportedSide>,
    unreachable: BTreeMap<InstanceName, MonoTime>,
}

impl MembershipTracker {
    /// A tracker without any members.
    pub fn new(options: TrackerOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Replaces the previous list with `members`, as read at `now`.
    pub fn replace_list(&mut self, members: &[ListedMember], now: MonoTime) {
        self.listed_entries.clear();
        self.listed_sides.clear();
        self.listed_leaving.clear();
        self.listed_at = now;
        for member in members {
            self.list_member(member);
        }
        let listed = &self.listed_sides;
        self.reported.retain(|instance, side| {
            listed.contains_key(instance) || now - side.last_contact_at < UNLISTED_RETENTION
        });
        self.unreachable.retain(|_, since| now - *since < UNREACHABLE_PAUSE);
    }

    fn list_member(&mut self, member: &ListedMember) {
        if member.leaving {
            self.listed_leaving.insert(member.instance.clone());
        }
        let ListedMember { instance, address, zone, region, .. } = member.clone();
        match (member.role, member.service.clone()) {
            (ListedRole::Entry, _) => {
                self.listed_entries.insert(instance, EntryMember { address, zone, region });
            }
            (ListedRole::Side, Some(service)) => {
                let state = MemberState::Live;
                let side = SideMember { address, incarnation: None, zone, region, service, state };
                self.listed_sides.insert(instance, side);
            }
            (ListedRole::Side, None) => {}
        }
    }

    /// Applies a sidecar's status report and returns whether the view changed.
    ///
    /// An incarnation that is leaving stays leaving, even if a later report says otherwise. Reports
    /// of an incarnation that has been replaced are ignored.
    pub fn apply_report(&mut self, report: SideReport, now: MonoTime) -> bool {
        let known = self.reported.get(&report.instance);
        let mut side =
            ReportedSide { report, replaced: None, replaced_at: None, last_contact_at: now };
        let mut changed = true;
        if let Some(known) = known {
            if known.replaced == Some(side.report.incarnation) {
                return false;
            }
            if known.report.incarnation == side.report.incarnation {
                if known.report.state == ReportedState::Leaving {
                    side.report.state = ReportedState::Leaving;
                }
                side.replaced = known.replaced;
                side.replaced_at = known.replaced_at;
            } else {
                side.replaced = Some(known.report.incarnation);
                side.replaced_at = Some(now);
            }
            changed = known.report != side.report || self.is_silent(known, now);
        }
        self.reported.insert(side.report.instance.clone(), side);
        changed
    }

    /// Records that a sidecar's incarnation answered, for example to an attempt; ignored unless the
    /// incarnation is the current one.
    pub fn record_contact(
        &mut self,
        instance: &InstanceName,
        incarnation: ProcessIncarnation,
        now: MonoTime,
    ) {
        if let Some(side) = self.reported.get_mut(instance)
            && side.report.incarnation == incarnation
        {
            side.last_contact_at = now;
        }
    }

    /// Records that a sidecar's incarnation refuses new work because it is leaving; ignored unless
    /// the incarnation is the current one.
    pub fn record_leaving(&mut self, instance: &InstanceName, incarnation: ProcessIncarnation) {
        if let Some(side) = self.reported.get_mut(instance)
            && side.report.incarnation == incarnation
        {
            side.report.state = ReportedState::Leaving;
        }
    }

    /// Records that an entry could not be reached; the view omits the entry for 10 s.
    pub fn record_unreachable(&mut self, instance: &InstanceName, now: MonoTime) {
        self.unreachable.insert(instance.clone(), now);
    }

    /// Records that an entry answered, which returns it to the view.
    pub fn record_reachable(&mut self, instance: &InstanceName) {
        self.unreachable.remove(instance);
    }

    /// Time until the list should be read again; grows with the list's size.
    pub fn list_interval(&self) -> Duration {
        let listed = self.listed_entries.len() + self.listed_sides.len();
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_INSTANCE.saturating_mul(listed))
    }

    /// Whether the platform marks `instance` as leaving.
    pub fn is_listed_leaving(&self, instance: &InstanceName) -> bool {
        self.listed_leaving.contains(instance)
    }

    /// Sidecars, with their addresses, that the platform marks as leaving and that don't report
    /// that they are leaving.
    pub fn unacknowledged_leaving(&self) -> impl Iterator<Item = (&InstanceName, &str)> {
        let unacknowledged = self.reported.iter().filter(|(_, side)| {
            side.report.state != ReportedState::Leaving && self.is_leaving_by_list(side)
        });
        unacknowledged.map(|(instance, side)| (instance, side.report.address.as_str()))
    }

    /// Time of the last report or answer of a sidecar; `None` before its first report.
    pub fn last_contact(&self, instance: &InstanceName) -> Option<MonoTime> {
        self.reported.get(instance).map(|side| side.last_contact_at)
    }

    /// Time at which the next sidecar becomes silent without further contact; `None` if no sidecar
    /// can become silent.
    pub fn next_expiry(&self, now: MonoTime) -> Option<MonoTime> {
        let reported = self.reported.values().filter(|side| !self.is_silent(side, now));
        reported.map(|side| side.last_contact_at + self.options.silence_limit).min()
    }

    /// The membership view at `now`.
    pub fn view(&self, now: MonoTime) -> MembershipView {
        let entries = self.listed_entries.iter().filter(|(instance, _)| {
            !self.listed_leaving.contains(*instance) && !self.is_unreachable(instance, now)
        });
        let mut view = MembershipView {
            entries: entries.map(|(instance, entry)| (instance.clone(), entry.clone())).collect(),
            sides: self.listed_sides.clone(),
        };
        for (instance, side) in &mut view.sides {
            side.state = self.unreported_state(instance);
        }
        for (instance, side) in &self.reported {
            view.sides.insert(instance.clone(), self.reported_member(side, now));
        }
        view
    }

    fn is_unreachable(&self, instance: &InstanceName, now: MonoTime) -> bool {
        self.unreachable.get(instance).is_some_and(|since| now - *since < UNREACHABLE_PAUSE)
    }

    /// Whether the list marks the current incarnation as leaving. Until `LIST_LAG` after a
    /// replacement, the mark may refer to the replaced incarnation and is ignored.
    fn is_leaving_by_list(&self, side: &ReportedSide) -> bool {
        let current = side.replaced_at.is_none_or(|at| at + LIST_LAG <= self.listed_at);
        current && self.listed_leaving.contains(&side.report.instance)
    }

    fn is_silent(&self, side: &ReportedSide, now: MonoTime) -> bool {
        self.options.expect_reports && now - side.last_contact_at >= self.options.silence_limit
    }

    fn unreported_state(&self, instance: &InstanceName) -> MemberState {
        if self.listed_leaving.contains(instance) {
            MemberState::Leaving
        } else if self.options.expect_reports {
            MemberState::Silent
        } else {
            MemberState::Live
        }
    }

    fn reported_member(&self, side: &ReportedSide, now: MonoTime) -> SideMember {
        let report = side.report.clone();
        let silent = self.is_silent(side, now);
        let listed_leaving = self.is_leaving_by_list(side);
        let state = match report.state {
            ReportedState::Leaving => MemberState::Leaving,
            _ if listed_leaving => MemberState::Leaving,
            _ if silent => MemberState::Silent,
            ReportedState::Starting => MemberState::Silent,
            ReportedState::Serving => MemberState::Live,
        };
        SideMember {
            address: report.address,
            incarnation: Some(report.incarnation),
            zone: report.zone,
            region: report.region,
            service: report.service,
            state,
        }
    }
}
