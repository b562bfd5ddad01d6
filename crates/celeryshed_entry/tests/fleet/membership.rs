//! P5: a leaving endpoint receives no new work after 5 s.

#![allow(clippy::print_stdout, reason = "measured figures are shown by --nocapture")]

use std::time::Duration;

use celeryshed_base::InstanceName;
use celeryshed_core::membership::MemberState;
use celeryshed_entry::configuration::ConfigurationOptions;
use celeryshed_entry::membership::MembershipOptions;
use celeryshed_wire::{EndpointState, InstanceState};
use tokio::time::{Instant, sleep};

use super::fleet::Fleet;

const LIMIT: Duration = Duration::from_secs(5);

/// Lag of the platform's list.
const LIST_LAG: Duration = Duration::from_secs(60);

async fn started_fleet(members: MembershipOptions) -> Fleet {
    let fleet = Fleet::start(20, 60, ConfigurationOptions::default(), members).await;
    sleep(Duration::from_secs(30)).await;
    fleet.list.set_lag(LIST_LAG);
    fleet
}

fn entries_that_use(fleet: &Fleet, instance: &InstanceName) -> usize {
    let uses = |view: &celeryshed_core::membership::MembershipView| {
        view.sides.get(instance).is_some_and(|side| side.state == MemberState::Live)
    };
    fleet.entries().iter().filter(|entry| uses(&entry.membership.view())).count()
}

/// Time until no entry uses the sidecar.
async fn unused_after(fleet: &Fleet, number: usize) -> Duration {
    let instance = InstanceName::try_from(format!("side-{number}")).unwrap();
    assert!(entries_that_use(fleet, &instance) > 0);
    let started = Instant::now();
    while entries_that_use(fleet, &instance) > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Guards against work for a sidecar that said it leaves, also from entries that it doesn't report
/// to but that send it work.
#[tokio::test(start_paused = true)]
async fn leaving_sidecar_is_unused_within_5_s() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    for number in 0..20 {
        let side = fleet.side(number);
        for entry in fleet.entries() {
            let instance = InstanceName::try_from(format!("side-{number}")).unwrap();
            side.configuration.record_sender(&entry.address());
            entry.membership.record_contact(instance, side.incarnation()).await;
        }
        sleep(Duration::from_millis(100)).await;
        side.status.send_modify(|status| status.state = EndpointState::Leaving);
        let started = Instant::now();
        let passed = unused_after(&fleet, number).await;
        println!("leaving side-{number}: unused after {passed:?}");
        assert!(started.elapsed() < Duration::from_secs(1), "{passed:?}");
    }
}

/// Guards against a sidecar that the platform drains and that does not know it, and against a
/// replacement that drains because of its predecessor's mark.
#[tokio::test(start_paused = true)]
async fn sidecar_learns_from_the_list_that_it_leaves() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    fleet.publish_list(|name| match name {
        "side-3" => InstanceState::Leaving,
        _ => InstanceState::Live,
    });
    let published = Instant::now();
    // 80 listed instances are read every 40 s.
    while published.elapsed() < LIST_LAG + Duration::from_secs(41)
        && !*fleet.side(3).configuration.subscribe_leaving().borrow()
    {
        sleep(Duration::from_millis(100)).await;
    }
    println!("known to the sidecar after {:?}, list lag {LIST_LAG:?}", published.elapsed());
    assert!(*fleet.side(3).configuration.subscribe_leaving().borrow());
    assert_eq!(fleet.side(3).configuration.report().state, EndpointState::Leaving);
    // Its replacement is not sent away by the mark that the list still shows.
    fleet.start_side(3);
    sleep(LIST_LAG / 2).await;
    assert!(!*fleet.side(3).configuration.subscribe_leaving().borrow());
}

async fn dead_sidecar_unused_after(silence_limit: Duration) -> Duration {
    let members = MembershipOptions { silence_limit, ..MembershipOptions::default() };
    let fleet = started_fleet(members).await;
    fleet.kill_side(7);
    unused_after(&fleet, 7).await
}

/// Guards against work for a dead sidecar while the list still shows it.
#[tokio::test(start_paused = true)]
async fn dead_sidecar_is_unused_within_5_s() {
    let passed = dead_sidecar_unused_after(LIMIT).await;
    println!("dead: unused after {passed:?}");
    assert!(passed <= LIMIT + Duration::from_millis(50), "{passed:?}");
}

/// Shows that the test above notices entries that don't watch the silence.
#[tokio::test(start_paused = true)]
async fn dead_sidecar_stays_in_use_without_silence_limit() {
    let passed = dead_sidecar_unused_after(Duration::from_secs(60)).await;
    println!("dead: unused after {passed:?} with a silence limit of 60 s");
    assert!(passed > LIMIT * 2);
}

/// Guards against a replaced sidecar that stays unused.
#[tokio::test(start_paused = true)]
async fn replaced_sidecar_is_used_again() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    let instance = InstanceName::try_from("side-5").unwrap();
    fleet.side(5).status.send_modify(|status| status.state = EndpointState::Leaving);
    unused_after(&fleet, 5).await;
    fleet.start_side(5);
    sleep(LIMIT).await;
    assert!(entries_that_use(&fleet, &instance) >= 3);
}

/// Guards against an entry that starts without endpoints because sidecars learn of it late.
#[tokio::test(start_paused = true)]
async fn fresh_entry_finds_endpoints_by_itself() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    fleet.start_entry(4);
    sleep(LIMIT).await;
    let view = fleet.entry(4).membership.view();
    let live = view.sides.values().filter(|side| side.state == MemberState::Live).count();
    println!("fresh entry: {live} endpoints after {LIMIT:?}");
    assert!(live >= 5);
}
