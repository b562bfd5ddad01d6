//! Tests of the tracker and of rendezvous hashing.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, InstanceName, MonoTime, ProcessIncarnation, RegionName, ServiceName,
};

use super::*;

const OLD: u128 = 1;
const NEW: u128 = 2;

fn name(prefix: &str, number: usize) -> InstanceName {
    InstanceName::try_from(format!("{prefix}-{number}")).unwrap()
}

fn at(seconds: f64) -> MonoTime {
    MonoTime(Duration::from_secs_f64(seconds))
}

fn listed(role: ListedRole, instance: InstanceName, leaving: bool) -> ListedMember {
    ListedMember {
        instance,
        role,
        address: "127.0.0.1:1".to_owned(),
        zone: AvailabilityZone::try_from("z").unwrap(),
        region: RegionName::try_from("r").unwrap(),
        service: Some(ServiceName::try_from("drafter").unwrap()),
        leaving,
    }
}

fn report(incarnation: u128, state: ReportedState) -> SideReport {
    SideReport {
        instance: name("side", 0),
        incarnation: ProcessIncarnation::from_u128(incarnation),
        address: "127.0.0.1:1".to_owned(),
        zone: AvailabilityZone::try_from("z").unwrap(),
        region: RegionName::try_from("r").unwrap(),
        service: ServiceName::try_from("drafter").unwrap(),
        state,
    }
}

enum Event {
    /// The list has the sidecar, marked as leaving or not.
    Listed(bool),
    /// The list no longer has the sidecar.
    Unlisted,
    /// A report of this incarnation arrives.
    Reported(u128, ReportedState),
    /// This incarnation answers an attempt.
    Answered(u128),
    /// This incarnation refuses an attempt because it is leaving.
    Refused(u128),
}

/// State and incarnation in the view; `None` if the view doesn't include the sidecar.
type ViewedState = Option<(MemberState, Option<u128>)>;

/// Name, events with their times in seconds, time of the view, expected result.
type TrackerCase = (&'static str, Vec<(f64, Event)>, f64, ViewedState);

fn state_after(events: &[(f64, Event)], now: f64) -> ViewedState {
    let mut tracker = MembershipTracker::new(TrackerOptions::default());
    let side = name("side", 0);
    for (time, event) in events {
        let id = |incarnation: &u128| ProcessIncarnation::from_u128(*incarnation);
        match event {
            Event::Listed(leaving) => {
                tracker
                    .replace_list(&[listed(ListedRole::Side, side.clone(), *leaving)], at(*time));
            }
            Event::Unlisted => tracker.replace_list(&[], at(*time)),
            Event::Reported(incarnation, state) => {
                tracker.apply_report(report(*incarnation, *state), at(*time));
            }
            Event::Answered(incarnation) => {
                tracker.record_contact(&side, id(incarnation), at(*time))
            }
            Event::Refused(incarnation) => tracker.record_leaving(&side, id(incarnation)),
        }
    }
    let view = tracker.view(at(now));
    let member = view.sides.get(&side)?;
    Some((member.state, member.incarnation.map(|incarnation| incarnation.0.as_u128())))
}

/// Guards against work for sidecars that are leaving, silent or replaced, and against a replacement
/// that gets no work because of a report or list mark that concerns its predecessor.
#[test]
fn view_follows_lists_reports_and_answers() {
    use Event::{Answered, Listed, Refused, Reported, Unlisted};
    use MemberState::{Leaving, Live, Silent};
    use ReportedState as State;
    let cases: Vec<TrackerCase> = vec![
        ("listed without a report", vec![(0.0, Listed(false))], 1.0, Some((Silent, None))),
        (
            "reported, not listed yet",
            vec![(0.0, Reported(OLD, State::Serving))],
            4.9,
            Some((Live, Some(OLD))),
        ),
        (
            "no contact for 5 s",
            vec![(0.0, Reported(OLD, State::Serving))],
            5.0,
            Some((Silent, Some(OLD))),
        ),
        (
            "an answered attempt counts as contact",
            vec![(0.0, Reported(OLD, State::Serving)), (4.0, Answered(OLD))],
            8.9,
            Some((Live, Some(OLD))),
        ),
        (
            "an answer of the predecessor does not count as contact",
            vec![(0.0, Reported(NEW, State::Serving)), (4.0, Answered(OLD))],
            8.9,
            Some((Silent, Some(NEW))),
        ),
        ("starting", vec![(0.0, Reported(OLD, State::Starting))], 1.0, Some((Silent, Some(OLD)))),
        (
            "a late report does not undo leaving",
            vec![(0.0, Reported(OLD, State::Leaving)), (0.1, Reported(OLD, State::Serving))],
            1.0,
            Some((Leaving, Some(OLD))),
        ),
        (
            "the lagging list does not undo leaving",
            vec![(0.0, Reported(OLD, State::Leaving)), (0.1, Listed(false))],
            1.0,
            Some((Leaving, Some(OLD))),
        ),
        (
            "a refused attempt shows that the sidecar is leaving",
            vec![(0.0, Reported(OLD, State::Serving)), (0.1, Refused(OLD))],
            1.0,
            Some((Leaving, Some(OLD))),
        ),
        (
            "the replacement of a leaving sidecar is live",
            vec![(0.0, Reported(OLD, State::Leaving)), (1.0, Reported(NEW, State::Serving))],
            2.0,
            Some((Live, Some(NEW))),
        ),
        (
            "late notices of the predecessor do not affect the replacement",
            vec![
                (0.0, Reported(OLD, State::Serving)),
                (1.0, Reported(NEW, State::Serving)),
                (1.1, Reported(OLD, State::Leaving)),
                (1.2, Refused(OLD)),
            ],
            2.0,
            Some((Live, Some(NEW))),
        ),
        (
            "the list marks the sidecar as leaving",
            vec![(0.0, Reported(OLD, State::Serving)), (0.1, Listed(true))],
            1.0,
            Some((Leaving, Some(OLD))),
        ),
        (
            "a lagging list mark does not affect the replacement",
            vec![
                (0.0, Reported(OLD, State::Leaving)),
                (10.0, Reported(NEW, State::Serving)),
                (11.0, Listed(true)),
            ],
            12.0,
            Some((Live, Some(NEW))),
        ),
        (
            "a list mark after the list lag affects the replacement",
            vec![
                (0.0, Reported(OLD, State::Leaving)),
                (10.0, Reported(NEW, State::Serving)),
                (70.0, Listed(true)),
                (70.0, Reported(NEW, State::Serving)),
            ],
            71.0,
            Some((Leaving, Some(NEW))),
        ),
        (
            "unlisted sidecar is kept during the list lag",
            vec![(0.0, Reported(OLD, State::Leaving)), (119.0, Unlisted)],
            119.0,
            Some((Leaving, Some(OLD))),
        ),
        (
            "unlisted sidecar is removed after the list lag",
            vec![(0.0, Reported(OLD, State::Leaving)), (121.0, Unlisted)],
            121.0,
            None,
        ),
    ];
    for (case, events, now, expected) in cases {
        assert_eq!(state_after(&events, now), expected, "{case}");
    }
}

fn view(entries: usize, sides: usize) -> MembershipView {
    let mut tracker = MembershipTracker::new(TrackerOptions::default());
    let entries = (0..entries).map(|n| listed(ListedRole::Entry, name("entry", n), false));
    let sides = (0..sides).map(|n| listed(ListedRole::Side, name("side", n), false));
    tracker.replace_list(&entries.chain(sides).collect::<Vec<_>>(), at(0.0));
    tracker.view(at(0.0))
}

/// Guards against an unreachable entry that stays in the view, and against one that stays out of
/// it.
#[test]
fn unreachable_entry_is_omitted_for_10_s() {
    let mut tracker = MembershipTracker::new(TrackerOptions::default());
    tracker.replace_list(&[listed(ListedRole::Entry, name("entry", 0), false)], at(0.0));
    tracker.record_unreachable(&name("entry", 0), at(1.0));
    assert!(tracker.view(at(10.9)).entries.is_empty());
    assert_eq!(tracker.view(at(11.0)).entries.len(), 1);
}

/// Guards against a partition whose readers change although both are still live.
#[test]
fn lost_entry_moves_only_its_partitions() {
    let (before, mut after) = (view(20, 0), view(20, 0));
    let lost = name("entry", 7);
    after.entries.remove(&lost);
    for partition in 0..64 {
        let readers = partition_readers(partition, &before);
        assert_eq!(readers.len(), 2);
        let kept: Vec<_> = readers.iter().filter(|reader| ***reader != lost).collect();
        assert!(kept.iter().all(|reader| partition_readers(partition, &after).contains(reader)));
        assert_eq!(
            rendezvous_rank(b"key", &lost, before.entries.keys()),
            rank_by_order(&before, &lost)
        );
    }
}

fn rank_by_order(view: &MembershipView, instance: &InstanceName) -> usize {
    let ranked = by_rendezvous(b"key", view.entries.keys());
    ranked.iter().position(|other| *other == instance).unwrap()
}

/// Guards against entries that no sidecar reports to, and against report traffic at one entry that
/// grows with the number of sidecars.
#[test]
fn reports_are_distributed_over_the_entries() {
    let count = |view: &MembershipView| {
        let mut reports: BTreeMap<InstanceName, usize> = BTreeMap::new();
        for side in view.sides.keys() {
            for entry in report_targets(side, view) {
                *reports.entry(entry.clone()).or_default() += 1;
            }
        }
        reports
    };
    let few = view(8, 15);
    assert!(few.entries.keys().all(|entry| count(&few)[entry] == 15));
    let many = view(410, 600);
    let reports = count(&many);
    assert_eq!(reports.values().sum::<usize>(), 1_800);
    // The mean is 4.4; a random distribution practically never reaches 15.
    assert!(reports.values().all(|reports| *reports <= 15), "{reports:?}");
    let service = ServiceName::try_from("drafter").unwrap();
    assert_eq!(endpoint_subset(&name("entry", 0), &service, &many).len(), SUBSET_ENDPOINTS);
}
