//! Beliefs about a load order that must not outlive a newer version, a repair or a restart.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use celeryshed_peering::SidecarStatus;
use support::{
    FakeWeights, OrderFault, PIECES, observe_statuses, piece_bytes, start_listed_sidecar,
    start_sidecar,
};
use tokio::time::{sleep, timeout};

/// Age of the state that an engine reports.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Longest time in which a load is done again.
const RELOAD_TIME: Duration = Duration::from_secs(5);
/// Longer than the time after which a load in progress is ordered again.
const LONG_LOAD_TIME: Duration = Duration::from_secs(9);

/// Checks for `time` that entries aren't told to send requests to an engine with damaged layers, and
/// returns the last status message.
async fn watch_engine(weights: &FakeWeights, sidecar: SocketAddr, time: Duration) -> SidecarStatus {
    let mut last = None;
    observe_statuses(sidecar, time, |status| {
        let is_sound = !weights.is_spoilt() && weights.is_whole();
        assert!(!status.accepting || is_sound, "open with damaged or missing layers: {status:?}");
        last = Some(status);
    })
    .await;
    last.expect("no status was received")
}

async fn wait_ordered(weights: &FakeWeights, version: u64) {
    let ordered = async {
        while !weights.ordered.lock().unwrap().contains(&version) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(8), ordered).await.expect("the load is ordered");
}

/// Guards against an engine that stays closed because of a doubtful load that a newer version has
/// replaced.
#[tokio::test]
async fn newer_version_ends_the_doubt_about_an_older_one() {
    let weights = FakeWeights::new(1, []);
    weights.disturb_orders([OrderFault::Paused { is_damaged: false }]);
    weights.hold_loads.store(true, Ordering::Relaxed);
    weights.lose_report_after.store(3, Ordering::Relaxed);
    let (sidecar, store) = start_listed_sidecar(&weights, &[2], |_own| Vec::new());
    wait_ordered(&weights, 2).await;
    sleep(LONG_LOAD_TIME).await;
    store.declare(3);
    // Version 3 is complete when the load of version 2 ends.
    sleep(Duration::from_secs(2)).await;
    weights.hold_loads.store(false, Ordering::Relaxed);
    wait_ordered(&weights, 3).await;
    let status = watch_engine(&weights, sidecar, RELOAD_TIME).await;
    assert!(status.accepting, "{status:?}");
}

/// Guards against an old order that is accepted after a newer version was loaded, because it named no
/// precondition.
#[tokio::test]
async fn old_order_is_void_after_a_newer_version() {
    let weights = FakeWeights::new(1, []);
    weights.disturb_orders([OrderFault::Held]);
    let (sidecar, store) = start_listed_sidecar(&weights, &[2], |_own| Vec::new());
    weights.wait_held_order().await;
    weights.wait_loaded(2).await;
    store.declare(3);
    weights.wait_loaded(3).await;
    weights.deliver_orders();
    watch_engine(&weights, sidecar, Duration::from_secs(2)).await;
    assert_eq!(*weights.ordered.lock().unwrap(), [2, 3]);
}

/// Guards against a load that counts as valid because its damaged piece was repaired between the
/// acceptance and the read-back.
#[tokio::test]
async fn load_whose_pieces_were_repaired_afterwards_is_replaced() {
    let weights = FakeWeights::new(1, []);
    weights.disturb_orders([OrderFault::Held]);
    let sidecar = start_sidecar(&weights, 2);
    weights.wait_held_order().await;
    weights.damage_piece(3);
    weights.deliver_on_read.store(true, Ordering::Relaxed);
    weights.wait_loaded(2).await;
    assert_ne!(weights.spoilt_layers.load(Ordering::Relaxed), 0, "nothing damaged was loaded");
    assert!(watch_engine(&weights, sidecar, RELOAD_TIME).await.accepting);
}

/// Guards against pieces of a newer version in the stage while an order waits for longer than reports
/// take to show it.
#[tokio::test]
async fn stage_stays_reserved_while_an_order_waits() {
    let weights = FakeWeights::new(1, []);
    let lost = [OrderFault::Dropped, OrderFault::Dropped, OrderFault::Dropped];
    weights.disturb_orders([OrderFault::Held].into_iter().chain(lost));
    let (sidecar, store) = start_listed_sidecar(&weights, &[2], |_own| Vec::new());
    weights.wait_held_order().await;
    store.declare(3);
    sleep(Duration::from_millis(1300)).await;
    let is_newer =
        |piece| weights.staged.lock().unwrap().get(&piece) == Some(&piece_bytes(3, piece));
    assert!(!(0..PIECES).any(is_newer), "a piece of the newer version was stored");
    weights.deliver_orders();
    assert!(watch_engine(&weights, sidecar, RELOAD_TIME).await.accepting);
}

/// Starts a sidecar on a runtime of its own, which ends as a killed process does.
fn start_earlier_sidecar(weights: &Arc<FakeWeights>) -> tokio::runtime::Runtime {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let guard = runtime.enter();
    start_listed_sidecar(weights, &[2], |_own| Vec::new());
    drop(guard);
    runtime
}

/// An engine that stands still with the order of a sidecar that has ended, and the next process of that
/// sidecar, which knows of `version`.
async fn restart_beside_silent_engine(
    is_damaged: bool,
    version: u64,
) -> (Arc<FakeWeights>, SocketAddr) {
    let weights = FakeWeights::new(1, []);
    weights.disturb_orders([OrderFault::Held]);
    let earlier = start_earlier_sidecar(&weights);
    weights.wait_held_order().await;
    earlier.shutdown_background();
    weights.begin_silence();
    if is_damaged {
        weights.damage_piece(3);
    }
    let sidecar = start_sidecar(&weights, version);
    sleep(Duration::from_millis(500)).await;
    (weights, sidecar)
}

/// Guards against a load that is trusted because an earlier process of the sidecar has ordered it: the
/// order was accepted, with a damaged piece, after that process had ended.
#[tokio::test]
async fn load_that_an_earlier_process_ordered_is_checked() {
    for is_damaged in [true, false] {
        let (weights, sidecar) = restart_beside_silent_engine(is_damaged, 2).await;
        weights.hold_loads.store(true, Ordering::Relaxed);
        weights.deliver_orders();
        weights.end_silence();
        sleep(Duration::from_millis(1000)).await;
        weights.hold_loads.store(false, Ordering::Relaxed);
        let status = watch_engine(&weights, sidecar, RELOAD_TIME).await;
        assert!(status.accepting, "{status:?}");
    }
}

/// The same if the new process has repaired the damaged piece before it learns of the order, which voids
/// its own one: the pieces that it reads back are not those that were loaded.
#[tokio::test]
async fn load_of_an_earlier_process_isnt_judged_by_pieces_repaired_since() {
    let weights = FakeWeights::new(1, []);
    weights.disturb_orders([OrderFault::Held]);
    let earlier = start_earlier_sidecar(&weights);
    weights.wait_held_order().await;
    earlier.shutdown_background();
    weights.damage_piece(3);
    weights.deliver_on_read.store(true, Ordering::Relaxed);
    let sidecar = start_sidecar(&weights, 2);
    weights.wait_loaded(2).await;
    assert_ne!(weights.spoilt_layers.load(Ordering::Relaxed), 0, "nothing damaged was loaded");
    assert!(watch_engine(&weights, sidecar, RELOAD_TIME).await.accepting);
}

/// Guards against a load that is trusted because it has ended before the first report to a new process of
/// the sidecar, which began while the engine stood still.
#[tokio::test]
async fn load_that_ended_before_the_first_report_is_checked() {
    for is_damaged in [true, false] {
        let (weights, sidecar) = restart_beside_silent_engine(is_damaged, 2).await;
        weights.deliver_orders();
        weights.end_silence();
        let status = watch_engine(&weights, sidecar, RELOAD_TIME).await;
        assert!(status.accepting, "{status:?}");
    }
}

/// Guards against an engine that is opened by a report of its state before it accepted the order, when its
/// silence ended.
#[tokio::test]
async fn report_of_before_the_end_of_a_silence_is_not_trusted() {
    for is_damaged in [true, false] {
        let (weights, sidecar) = restart_beside_silent_engine(is_damaged, 1).await;
        weights.delay_reports(REPORT_DELAY);
        weights.deliver_orders();
        weights.end_silence();
        let status = watch_engine(&weights, sidecar, RELOAD_TIME).await;
        assert!(status.accepting, "{status:?}");
    }
}

/// Guards against a load that is trusted because it has ended before a new process of the sidecar began,
/// beside an engine that replies at once.
#[tokio::test]
async fn load_that_ended_before_a_restart_is_checked() {
    let weights = FakeWeights::new(1, []);
    weights.disturb_orders([OrderFault::Held]);
    let earlier = start_earlier_sidecar(&weights);
    weights.wait_held_order().await;
    earlier.shutdown_background();
    weights.damage_piece(3);
    weights.deliver_orders();
    let sidecar = start_sidecar(&weights, 2);
    let status = watch_engine(&weights, sidecar, RELOAD_TIME).await;
    assert!(status.accepting, "{status:?}");
}
