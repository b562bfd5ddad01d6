//! Guards P5: a leaving endpoint gets no new requests after 5 s.

#![allow(clippy::print_stdout, reason = "measured figures are shown by --nocapture")]

use std::time::Duration;

use celeryshed_base::InstanceName;
use celeryshed_core::membership::MemberState;
use celeryshed_entry::configuration::ConfigurationOptions;
use celeryshed_entry::membership::MembershipOptions;
use celeryshed_wire::{EndpointState, InstanceState};
use tokio::time::{Instant, sleep};

use super::fleet::Fleet;

/// Maximum time until a leaving or dead sidecar is no longer used.
const REMOVAL_LIMIT: Duration = Duration::from_secs(5);

/// Delay after which the platform's instance list shows a change.
const LIST_DELAY: Duration = Duration::from_secs(60);

async fn started_fleet(members: MembershipOptions) -> Fleet {
    let fleet = Fleet::start(20, 60, ConfigurationOptions::default(), members).await;
    sleep(Duration::from_secs(30)).await;
    fleet.list.set_lag(LIST_DELAY);
    fleet
}

fn count_entries_using(fleet: &Fleet, instance: &InstanceName) -> usize {
    let uses = |view: &celeryshed_core::membership::MembershipView| {
        view.sides.get(instance).is_some_and(|side| side.state == MemberState::Live)
    };
    fleet.entries().iter().filter(|entry| uses(&entry.membership.view())).count()
}

/// Waits until no entry uses the sidecar and returns the elapsed time.
async fn wait_until_unused(fleet: &Fleet, number: usize) -> Duration {
    let instance = InstanceName::try_from(format!("side-{number}")).unwrap();
    assert!(count_entries_using(fleet, &instance) > 0);
    let started = Instant::now();
    while count_entries_using(fleet, &instance) > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Guards against requests for a sidecar that announced its leaving. Entries that send requests to
/// the sidecar must learn of it too, even if the sidecar sends them no reports.
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
        let passed = wait_until_unused(&fleet, number).await;
        println!("leaving side-{number}: unused after {passed:?}");
        assert!(started.elapsed() < Duration::from_secs(1), "{passed:?}");
    }
}

/// Guards against a sidecar that doesn't notice that the platform lists it as leaving, and against a
/// replacement that drains because the list still shows its predecessor as leaving.
#[tokio::test(start_paused = true)]
async fn sidecar_learns_of_its_leaving_from_the_list() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    fleet.publish_list(|name| match name {
        "side-3" => InstanceState::Leaving,
        _ => InstanceState::Live,
    });
    let published = Instant::now();
    // A list of 80 instances is read every 40 s.
    while published.elapsed() < LIST_DELAY + Duration::from_secs(41)
        && !*fleet.side(3).configuration.subscribe_leaving().borrow()
    {
        sleep(Duration::from_millis(100)).await;
    }
    println!("known to the sidecar after {:?}, list lag {LIST_DELAY:?}", published.elapsed());
    assert!(*fleet.side(3).configuration.subscribe_leaving().borrow());
    assert_eq!(fleet.side(3).configuration.report().state, EndpointState::Leaving);
    // The list still shows the predecessor as leaving; the replacement must not drain.
    fleet.start_side(3);
    sleep(LIST_DELAY / 2).await;
    assert!(!*fleet.side(3).configuration.subscribe_leaving().borrow());
}

async fn dead_sidecar_removal_time(silence_limit: Duration) -> Duration {
    let members = MembershipOptions { silence_limit, ..MembershipOptions::default() };
    let fleet = started_fleet(members).await;
    fleet.kill_side(7);
    wait_until_unused(&fleet, 7).await
}

/// Guards against requests for a dead sidecar that the list still shows as live.
#[tokio::test(start_paused = true)]
async fn dead_sidecar_is_unused_within_5_s() {
    let passed = dead_sidecar_removal_time(REMOVAL_LIMIT).await;
    println!("dead: unused after {passed:?}");
    assert!(passed <= REMOVAL_LIMIT + Duration::from_millis(50), "{passed:?}");
}

/// Shows that the test above fails if entries ignore that a sidecar stopped reporting.
#[tokio::test(start_paused = true)]
async fn dead_sidecar_stays_in_use_without_silence_limit() {
    let passed = dead_sidecar_removal_time(Duration::from_secs(60)).await;
    println!("dead: unused after {passed:?} with a silence limit of 60 s");
    assert!(passed > REMOVAL_LIMIT * 2);
}

/// Guards against a replacement that stays unused because its predecessor was leaving.
#[tokio::test(start_paused = true)]
async fn replaced_sidecar_is_used_again() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    let instance = InstanceName::try_from("side-5").unwrap();
    fleet.side(5).status.send_modify(|status| status.state = EndpointState::Leaving);
    wait_until_unused(&fleet, 5).await;
    fleet.start_side(5);
    sleep(REMOVAL_LIMIT).await;
    assert!(count_entries_using(&fleet, &instance) >= 3);
}

/// Guards against a new entry that has no endpoints until sidecars report to it. Sidecars learn of
/// a new entry late, so that the entry must probe them.
#[tokio::test(start_paused = true)]
async fn new_entry_finds_endpoints_by_probes() {
    let fleet = started_fleet(MembershipOptions::default()).await;
    fleet.start_entry(4);
    sleep(REMOVAL_LIMIT).await;
    let view = fleet.entry(4).membership.view();
    let live = view.sides.values().filter(|side| side.state == MemberState::Live).count();
    println!("new entry: {live} endpoints after {REMOVAL_LIMIT:?}");
    assert!(live >= 5);
}
