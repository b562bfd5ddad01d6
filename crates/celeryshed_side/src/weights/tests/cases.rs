//! Fault cases: which sidecars get a version live, with which bytes, and how much the store sends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ByteCount, ContentDigest};
use celeryshed_core::configuration::ModelVersion;
use celeryshed_wire::MANIFEST_CHUNK_INDEX;
use tokio::time::sleep;

use super::fakes::{CHUNK_BYTES, FakeFleet, SenderFault, contents, instance, member};
use crate::weights::WeightsOptions;

/// Longest time until a version is live on all sidecars.
const LIVE_LIMIT: Duration = Duration::from_secs(120);

/// Sidecars in each of the three regions.
const REGION_SIZES: [usize; 3] = [9, 8, 8];

/// Bytes that the store has sent, in multiples of the size of `version`.
fn copies(fleet: &FakeFleet, version: &ModelVersion) -> f64 {
    fleet.store.sent() as f64 / version.size.0 as f64
}

/// Number of engines that received other bytes than the published ones.
fn wrong_engines(fleet: &FakeFleet, manifest: &ContentDigest, expected: &[Bytes]) -> usize {
    let wrong = fleet.sides.iter().filter(|side| {
        let chunks = side.engine.chunks.lock().unwrap();
        let mut own = chunks.iter().filter(|((digest, _), _)| digest == manifest);
        own.any(|((_, index), content)| match *index {
            MANIFEST_CHUNK_INDEX => ContentDigest::of(content) != *manifest,
            index => expected[index as usize] != *content,
        })
    });
    wrong.count()
}

/// Guards against stalled senders that stop the distribution in some trees only. The name of the
/// version changes the manifest, and so the trees of the manifest and of each chunk.
#[tokio::test(start_paused = true)]
async fn spread_survives_stalling_senders_in_any_tree() {
    let mut not_live = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "v1"] {
        let fleet = FakeFleet::start(&REGION_SIZES, |_| {});
        for index in [2, 12, 20] {
            let address = fleet.sides[index].address.clone();
            fleet.network.faults.lock().unwrap().insert(address, SenderFault::Stalls);
        }
        let chunks = contents(1, 40);
        let (name, version) = fleet.store.publish(name, &chunks);
        fleet.select(&(name.clone(), version.clone()));
        if !fleet.wait_live(0..25, version.manifest, LIVE_LIMIT).await {
            not_live.push(name.to_string());
        }
    }
    assert!(not_live.is_empty(), "not live everywhere within {LIVE_LIMIT:?}: {not_live:?}");
}

/// Guards against faulty senders that stop the distribution, deliver wrong bytes to an engine, or
/// make all other sidecars fetch from the store.
#[tokio::test(start_paused = true)]
async fn spread_survives_faulty_senders() {
    let table = [
        (None, 1.1),
        (Some(SenderFault::Corrupts), 1.5),
        (Some(SenderFault::Truncates), 1.5),
        (Some(SenderFault::Stalls), 1.5),
        (Some(SenderFault::Dead), 1.5),
    ];
    for (fault, max_copies) in table {
        let fleet = FakeFleet::start(&REGION_SIZES, |_| {});
        let faulty = [2, 12, 20];
        for index in faulty {
            let address = fleet.sides[index].address.clone();
            fault.map(|fault| fleet.network.faults.lock().unwrap().insert(address, fault));
        }
        let chunks = contents(1, 40);
        let (name, version) = fleet.store.publish("v1", &chunks);
        fleet.select(&(name, version.clone()));
        assert!(fleet.wait_live(0..25, version.manifest, LIVE_LIMIT).await, "{fault:?}");
        assert_eq!(wrong_engines(&fleet, &version.manifest, &chunks), 0, "{fault:?}");
        let copies = copies(&fleet, &version);
        assert!(copies <= max_copies, "fault={fault:?} copies={copies}");
    }
}

/// Guards against engines that receive unverified bytes. The second run, without verification,
/// proves that the check finds wrong bytes.
#[tokio::test(start_paused = true)]
async fn only_verified_bytes_reach_engines() {
    let mut wrong_counts = Vec::new();
    for skip in [false, true] {
        let fleet = FakeFleet::start(&REGION_SIZES, |options| options.skip_verification = skip);
        let address = fleet.sides[2].address.clone();
        fleet.network.faults.lock().unwrap().insert(address, SenderFault::Corrupts);
        *fleet.store.corrupts_first.lock().unwrap() = !skip;
        let chunks = contents(1, 40);
        let version = fleet.store.publish("v1", &chunks);
        fleet.select(&version);
        fleet.wait_live(0..25, version.1.manifest, LIVE_LIMIT).await;
        wrong_counts.push(wrong_engines(&fleet, &version.1.manifest, &chunks));
    }
    assert_eq!(wrong_counts[0], 0, "wrong_counts={wrong_counts:?}");
    assert!(wrong_counts[1] > 0, "wrong_counts={wrong_counts:?}");
}

/// Guards against sidecars that all fetch from the store after its outage, and against a version
/// that is live before.
#[tokio::test(start_paused = true)]
async fn store_sends_few_copies_after_a_long_outage() {
    let fleet = FakeFleet::start(&REGION_SIZES, |_| {});
    *fleet.store.down.lock().unwrap() = true;
    let version = fleet.store.publish("v1", &contents(1, 40));
    fleet.select(&version);
    assert!(!fleet.wait_live([0], version.1.manifest, Duration::from_secs(600)).await);
    *fleet.store.down.lock().unwrap() = false;
    assert!(fleet.wait_live(0..25, version.1.manifest, LIVE_LIMIT).await);
    let copies = copies(&fleet, &version.1);
    assert!(copies <= 1.2, "copies={copies}");
}

/// Guards against a second fetch of chunks that both versions have, and against an older version
/// that replaces a newer one.
#[tokio::test(start_paused = true)]
async fn newer_version_replaces_one_in_transfer() {
    let fleet = FakeFleet::start(&REGION_SIZES, |_| {});
    let old = contents(1, 40);
    let new = [&old[..30], &contents(99, 10)[..]].concat();
    let first = fleet.store.publish("v1", &old);
    let second = fleet.store.publish("v2", &new);
    fleet.select(&first);
    sleep(Duration::from_millis(60)).await;
    fleet.select(&second);
    assert!(fleet.wait_live(0..25, second.1.manifest, LIVE_LIMIT).await);
    assert_eq!(wrong_engines(&fleet, &second.1.manifest, &new), 0);
    let max_sent = 50 * u64::from(CHUNK_BYTES) * 11 / 10 + 10_000;
    assert!(fleet.store.sent() <= max_sent, "sent={}", fleet.store.sent());
}

/// Guards against a new instance that joins during a distribution and never gets the version, or
/// fetches it from the store.
#[tokio::test(start_paused = true)]
async fn instance_joins_during_a_distribution() {
    let mut fleet = FakeFleet::start(&REGION_SIZES, |_| {});
    let version = fleet.store.publish("v1", &contents(1, 40));
    fleet.select(&version);
    sleep(Duration::from_millis(100)).await;
    let joining = member(25, 1);
    fleet.view.sides.insert(instance(25), joining.clone());
    fleet.start_side(&instance(25), &joining, &|_: &mut WeightsOptions| {});
    for side in &fleet.sides {
        side.members.send_replace(Arc::new(fleet.view.clone()));
    }
    assert!(fleet.wait_live(0..26, version.1.manifest, LIVE_LIMIT).await);
    let copies = copies(&fleet, &version.1);
    assert!(copies <= 1.2, "copies={copies}");
}

/// Guards against a region that waits for chunks from a region that it can't reach.
#[tokio::test(start_paused = true)]
async fn disconnected_regions_fetch_one_copy_each() {
    let fleet = FakeFleet::start(&REGION_SIZES, |_| {});
    let cuts = [("r0", "r1"), ("r0", "r2"), ("r1", "r2")];
    let cuts = cuts.map(|(one, other)| (one.to_owned(), other.to_owned()));
    fleet.network.cuts.lock().unwrap().extend(cuts);
    let version = fleet.store.publish("v1", &contents(1, 40));
    fleet.select(&version);
    assert!(fleet.wait_live(0..25, version.1.manifest, LIVE_LIMIT).await);
    let copies = copies(&fleet, &version.1);
    assert!(copies <= 3.3, "copies={copies}");
}

/// Guards against copies from the store that grow with the number of sidecars if their views
/// differ. Here, the view of each sidecar lacks up to three sidecars.
#[tokio::test(start_paused = true)]
async fn store_sends_few_copies_when_views_differ() {
    let fleet = FakeFleet::start(&REGION_SIZES, |_| {});
    for (index, side) in fleet.sides.iter().enumerate() {
        let mut view = fleet.view.clone();
        for missing in [(index * 7 + 3) % 25, (index * 5 + 11) % 25, (index * 3 + 19) % 25] {
            view.sides.remove(&instance(missing));
        }
        side.members.send_replace(Arc::new(view));
    }
    let version = fleet.store.publish("v1", &contents(1, 40));
    fleet.select(&version);
    assert!(fleet.wait_live(0..25, version.1.manifest, LIVE_LIMIT).await);
    let copies = copies(&fleet, &version.1);
    assert!(copies <= 1.6, "copies={copies}");
}

/// Guards against loading a version above the memory limit, and against a rollback that fetches
/// chunks which are still held.
#[tokio::test(start_paused = true)]
async fn memory_limit_and_rollback() {
    let memory = 64 * u64::from(CHUNK_BYTES);
    let adjust = |options: &mut WeightsOptions| options.fetch.memory = ByteCount(memory);
    let fleet = FakeFleet::start(&[4], adjust);
    let first = fleet.store.publish("v1", &contents(1, 30));
    let second = fleet.store.publish("v2", &contents(99, 20));
    let large = fleet.store.publish("v3", &contents(7, 80));
    for version in [&first, &second] {
        fleet.select(version);
        assert!(fleet.wait_live(0..4, version.1.manifest, LIVE_LIMIT).await);
    }
    let before = fleet.store.sent();
    fleet.select(&first);
    assert!(fleet.wait_live(0..4, first.1.manifest, LIVE_LIMIT).await);
    fleet.select(&large);
    assert!(!fleet.wait_live([0], large.1.manifest, LIVE_LIMIT).await);
    assert_eq!(fleet.store.sent(), before);
}

/// Guards against commands without a fence number, and against an engine that gets no version after
/// its restart.
#[tokio::test(start_paused = true)]
async fn engine_is_commanded_with_a_fence_and_again_after_a_restart() {
    let fleet = FakeFleet::start(&[2], |_| {});
    *fleet.log.down.lock().unwrap() = true;
    let version = fleet.store.publish("v1", &contents(1, 5));
    let manifest = version.1.manifest;
    fleet.select(&version);
    assert!(!fleet.wait_live([0], manifest, LIVE_LIMIT).await);
    assert!(fleet.sides[0].engine.loads.lock().unwrap().is_empty());
    *fleet.log.down.lock().unwrap() = false;
    assert!(fleet.wait_live(0..2, manifest, LIVE_LIMIT).await);
    let mut live = fleet.sides[0].handle.live_version();
    fleet.sides[0].engine.restart();
    live.wait_for(Option::is_none).await.unwrap();
    assert!(fleet.wait_live([0], manifest, LIVE_LIMIT).await);
    let loads = fleet.sides[0].engine.loads.lock().unwrap().clone();
    assert_eq!(loads.len(), 2);
    assert!(
        loads
            .iter()
            .all(|(fence, loaded, chunks)| { (fence.0, *loaded, *chunks) == (7, manifest, 5) })
    );
}
