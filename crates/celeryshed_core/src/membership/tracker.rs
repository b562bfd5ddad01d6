//! The tracker that merges list, reports, notices and silence.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, InstanceName, MonoTime, ProcessIncarnation, RegionName, ServiceName,
    common_derives,
};

use super::view::{EntryMember, MemberState, MembershipView, SideMember};

/// A sidecar that was not heard of for this long gets no work.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// How long an entry that could not be reached is left out.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(10);

/// How long a sidecar that is not on the list is remembered after its last sign of life.
///
/// Longer than the list's lag of up to a minute, so that a leaving mark outlives the listing.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Longest lag of the platform's list.
pub const LIST_LAG: Duration = Duration::from_secs(60);

/// Shortest pause between two reads of the list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Pause per listed instance between two reads of the list: an instance takes about 200 bytes, so
/// that the list costs a process about 0.4 KB/s of its 3 KB/s at any size.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(500);

common_derives! { value:
    /// Options of a tracker.
    #[derive(Copy)]
    pub struct TrackerOptions {
        /// Silence after which a sidecar gets no work.
        pub silence_limit: Duration,
        /// Whether sidecars that were never heard of or fell silent count as silent. An entry
        /// needs to hear of a sidecar before it sends work; sidecars take the list's word.
        pub expect_reports: bool,
    }

    /// Roles on the list.
    #[derive(Copy)]
    pub enum ListedRole {
        /// Entry.
        Entry,
        /// Sidecar.
        Side,
    }

    /// State that a sidecar reports.
    #[derive(Copy)]
    pub enum ReportedState {
        /// Takes work.
        Serving,
        /// Takes no work yet.
        Starting,
        /// Takes no new work.
        Leaving,
    }

    /// An instance as the platform lists it.
    pub struct ListedMember {
        /// Its name.
        pub instance: InstanceName,
        /// Its role.
        pub role: ListedRole,
        /// IP address and port.
        pub address: String,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
        /// Service of its endpoint; sidecars without one are left out.
        pub service: Option<ServiceName>,
        /// Whether the platform marks it as leaving.
        pub leaving: bool,
    }

    /// What a sidecar says about itself.
    pub struct SideReport {
        /// Its instance.
        pub instance: InstanceName,
        /// Its incarnation.
        pub incarnation: ProcessIncarnation,
        /// IP address and port.
        pub address: String,
        /// Availability zone.
        pub zone: AvailabilityZone,
        /// Region.
        pub region: RegionName,
        /// Service of its endpoint.
        pub service: ServiceName,
        /// Its state.
        pub state: ReportedState,
    }
}

impl Default for TrackerOptions {
    fn default() -> Self {
        Self { silence_limit: SILENCE_LIMIT, expect_reports: true }
    }
}

#[derive(Clone, Debug)]
struct HeardSide {
    report: SideReport,
    previous: Option<ProcessIncarnation>,
    /// When this incarnation replaced the previous one; `None` when it may be of any age.
    replaced_at: Option<MonoTime>,
    heard_at: MonoTime,
}

/// Merges the lagging list, reports, notices and silence into a view.
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
    heard: BTreeMap<InstanceName, HeardSide>,
    unreachable: BTreeMap<InstanceName, MonoTime>,
}

impl MembershipTracker {
    /// A tracker that knows nobody yet.
    pub fn new(options: TrackerOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Replaces what the platform listed before.
    pub fn list(&mut self, members: &[ListedMember], now: MonoTime) {
        self.listed_entries.clear();
        self.listed_sides.clear();
        self.listed_leaving.clear();
        self.listed_at = now;
        for member in members {
            self.list_member(member);
        }
        let listed = &self.listed_sides;
        self.heard.retain(|instance, side| {
            listed.contains_key(instance) || now - side.heard_at < FORGET_AFTER
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

    /// Takes a sidecar's report; a leaving incarnation stays leaving whatever comes later.
    ///
    /// Reports of an incarnation that another one has replaced are ignored. Returns whether the
    /// view changes.
    pub fn report(&mut self, report: SideReport, now: MonoTime) -> bool {
        let before = self.heard.get(&report.instance);
        let mut side = HeardSide { report, previous: None, replaced_at: None, heard_at: now };
        let mut changed = true;
        if let Some(before) = before {
            if before.previous == Some(side.report.incarnation) {
                return false;
            }
            if before.report.incarnation == side.report.incarnation {
                if before.report.state == ReportedState::Leaving {
                    side.report.state = ReportedState::Leaving;
                }
                side.previous = before.previous;
                side.replaced_at = before.replaced_at;
            } else {
                side.previous = Some(before.report.incarnation);
                side.replaced_at = Some(now);
            }
            changed = before.report != side.report || self.is_silent(before, now);
        }
        self.heard.insert(side.report.instance.clone(), side);
        changed
    }

    /// Takes note that an incarnation answered, for instance an attempt.
    pub fn record_contact(
        &mut self,
        instance: &InstanceName,
        incarnation: ProcessIncarnation,
        now: MonoTime,
    ) {
        if let Some(side) = self.heard.get_mut(instance)
            && side.report.incarnation == incarnation
        {
            side.heard_at = now;
        }
    }

    /// Takes note that an incarnation refuses new work because it leaves.
    pub fn record_leaving(&mut self, instance: &InstanceName, incarnation: ProcessIncarnation) {
        if let Some(side) = self.heard.get_mut(instance)
            && side.report.incarnation == incarnation
        {
            side.report.state = ReportedState::Leaving;
        }
    }

    /// Takes note that an entry could not be reached; it is left out for a while.
    pub fn record_unreachable(&mut self, instance: &InstanceName, now: MonoTime) {
        self.unreachable.insert(instance.clone(), now);
    }

    /// Takes note that an entry answered.
    pub fn record_reachable(&mut self, instance: &InstanceName) {
        self.unreachable.remove(instance);
    }

    /// Pause until the list is read again; it grows with the list's size.
    pub fn list_interval(&self) -> Duration {
        let listed = self.listed_entries.len() + self.listed_sides.len();
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_INSTANCE.saturating_mul(listed))
    }

    /// Whether the platform marks `instance` as leaving.
    pub fn is_listed_leaving(&self, instance: &InstanceName) -> bool {
        self.listed_leaving.contains(instance)
    }

    /// Sidecars that the platform marks as leaving and that don't say so themselves, with their
    /// addresses.
    pub fn unacknowledged_leaving(&self) -> impl Iterator<Item = (&InstanceName, &str)> {
        let unaware = self.heard.iter().filter(|(_, side)| {
            side.report.state != ReportedState::Leaving && self.is_leaving_by_list(side)
        });
        unaware.map(|(instance, side)| (instance, side.report.address.as_str()))
    }

    /// When a sidecar was last heard of; `None` when never.
    pub fn last_contact(&self, instance: &InstanceName) -> Option<MonoTime> {
        self.heard.get(instance).map(|side| side.heard_at)
    }

    /// When the next sidecar falls silent if nothing more is heard; `None` when none can.
    pub fn next_expiry(&self, now: MonoTime) -> Option<MonoTime> {
        let heard = self.heard.values().filter(|side| !self.is_silent(side, now));
        heard.map(|side| side.heard_at + self.options.silence_limit).min()
    }

    /// The view as of `now`.
    pub fn view(&self, now: MonoTime) -> MembershipView {
        let entries = self.listed_entries.iter().filter(|(instance, _)| {
            !self.listed_leaving.contains(*instance) && !self.is_unreachable(instance, now)
        });
        let mut view = MembershipView {
            entries: entries.map(|(instance, entry)| (instance.clone(), entry.clone())).collect(),
            sides: self.listed_sides.clone(),
        };
        for (instance, side) in &mut view.sides {
            side.state = self.unheard_state(instance);
        }
        for (instance, side) in &self.heard {
            view.sides.insert(instance.clone(), self.heard_member(side, now));
        }
        view
    }

    fn is_unreachable(&self, instance: &InstanceName, now: MonoTime) -> bool {
        self.unreachable.get(instance).is_some_and(|since| now - *since < UNREACHABLE_PAUSE)
    }

    /// Whether the list's leaving mark is about this incarnation: a lagging list may still mean the
    /// one that it replaced.
    fn is_leaving_by_list(&self, side: &HeardSide) -> bool {
        let current = side.replaced_at.is_none_or(|at| at + LIST_LAG <= self.listed_at);
        current && self.listed_leaving.contains(&side.report.instance)
    }

    fn is_silent(&self, side: &HeardSide, now: MonoTime) -> bool {
        self.options.expect_reports && now - side.heard_at >= self.options.silence_limit
    }

    fn unheard_state(&self, instance: &InstanceName) -> MemberState {
        if self.listed_leaving.contains(instance) {
            MemberState::Leaving
        } else if self.options.expect_reports {
            MemberState::Silent
        } else {
            MemberState::Live
        }
    }

    fn heard_member(&self, side: &HeardSide, now: MonoTime) -> SideMember {
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
