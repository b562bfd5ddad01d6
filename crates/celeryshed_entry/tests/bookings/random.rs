//! Tests bookings under random faults, with real tasks of entries and sidecars in paused time.

use std::time::Duration;

use celeryshed_wire::{BookingReply, RunStatus};
use futures::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::cluster::{ForwardFault, TestCluster};

const SEEDS: u64 = 150;
const ENTRIES: usize = 3;
const SIDES: usize = 2;
const ORDERS: u64 = 8;

/// Number of replies of each kind.
#[derive(Default)]
struct ReplyCounts {
    answered: u32,
    not_run: u32,
    /// Problems with the verdict "ran" or "unknown".
    other: u32,
}

fn seeded_rng(seed: u64, stream: u64) -> StdRng {
    StdRng::seed_from_u64(seed * (ORDERS + 1) + stream)
}

async fn inject_faults(cluster: &TestCluster, rng: &mut StdRng) {
    let faults = [
        ForwardFault::Unreachable,
        ForwardFault::LoseRequest,
        ForwardFault::LoseReply,
        ForwardFault::Hang,
    ];
    for _ in 0..40 {
        match rng.random_range(0..8) {
            0 => cluster.log.set_outage(true),
            1 => cluster.log.lose_next_replies(2),
            2 => cluster.log.lose_next_requests(2),
            3 => drop(cluster.replace_side(rng.random_range(0..SIDES))),
            4 | 5 => cluster.hide_sides(true),
            6 => cluster.set_run_time(Duration::from_millis(rng.random_range(1..4_000))),
            _ => cluster.fail_next_forward(faults[rng.random_range(0..faults.len())]),
        }
        sleep(Duration::from_millis(rng.random_range(0..2_500))).await;
        cluster.log.set_outage(false);
        cluster.hide_sides(false);
    }
}

/// Sends four requests with the same key, one after the other, and checks each reply.
async fn resend(cluster: &TestCluster, order: String, rng: &mut StdRng) -> ReplyCounts {
    let mut counts = ReplyCounts::default();
    sleep(Duration::from_millis(rng.random_range(0..30_000))).await;
    let mut booking = cluster.booking(&order);
    booking.deadline_ms = rng.random_range(1_000..15_000);
    for _ in 0..4 {
        let before = counts.not_run;
        match cluster.book(rng.random_range(0..ENTRIES), &booking).await {
            BookingReply::Answer { answer, .. } => {
                let expected = format!("{order} run 1");
                assert_eq!(answer.body.as_slice(), expected.as_bytes());
                counts.answered += 1;
            }
            BookingReply::Problem(problem) if problem.not_run == RunStatus::NotRun => {
                assert_eq!(cluster.runs(&order), 0, "{problem:?}");
                counts.not_run += 1;
            }
            BookingReply::Problem(problem) => {
                let ran = problem.not_run == RunStatus::Ran;
                assert!(!ran || cluster.runs(&order) == 1, "{problem:?}");
                counts.other += 1;
            }
        }
        assert!(cluster.runs(&order) <= 1, "{order}");
        sleep(Duration::from_millis(rng.random_range(0..2_000))).await;
        let reported_not_run = counts.not_run > before;
        assert!(!reported_not_run || cluster.runs(&order) == 0, "{order} ran after \"not run\"");
    }
    counts
}

/// Guards against a second run and a false "not run" or "ran", under log outages, lost messages,
/// replaced or hidden sidecars and failed forwards. Callers send one request at a time.
#[test]
fn random_faults_cause_no_second_run_or_false_verdict() {
    let mut total = ReplyCounts::default();
    for seed in 0..SEEDS {
        let builder = &mut tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().unwrap();
        println!("seed={seed}");
        let order_counts = runtime.block_on(async {
            let cluster = TestCluster::start(ENTRIES, SIDES).await;
            let mut rngs: Vec<_> = (0..ORDERS).map(|order| seeded_rng(seed, order)).collect();
            let orders = rngs.iter_mut().enumerate();
            let resends = orders.map(|(order, rng)| resend(&cluster, order.to_string(), rng));
            let mut faults = seeded_rng(seed, ORDERS);
            tokio::join!(join_all(resends), inject_faults(&cluster, &mut faults)).0
        });
        for ReplyCounts { answered, not_run, other } in order_counts {
            total.answered += answered;
            total.not_run += not_run;
            total.other += other;
        }
    }
    let ReplyCounts { answered, not_run, other } = total;
    println!("answered={answered} not_run={not_run} other={other}");
    assert!(answered > other && not_run > 0, "{answered} {not_run} {other}");
}
