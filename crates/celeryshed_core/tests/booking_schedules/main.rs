//! Explores seeded schedules of bookings with faults and checks P3 and P4 on each.

#![expect(clippy::print_stdout, reason = "prints the figures of a search")]

mod checks;
mod log;
mod world;

use checks::ScheduleReport;
use world::{Flaw, explore};

/// Schedules of one test.
const SCHEDULES: u64 = 3_000;

/// Schedules of a longer search, which also counts the schedules that miss each mechanism.
fn search_length() -> Option<u64> {
    std::env::var("BOOKING_SCHEDULES").ok().and_then(|number| number.parse().ok())
}

/// Guards against a second run of a key, a run after "not run", a false "not run" or "ran", and
/// two different answers, under faults of log, network, entries and sidecars.
#[test]
fn schedules_with_faults_keep_the_promises() {
    let schedules = search_length().unwrap_or(SCHEDULES);
    let mut totals = [0; 6];
    for seed in 0..schedules {
        let report = explore(seed, None, true);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        let runs = (0..3).map(|key| report.run_count(key)).sum::<usize>() as u32;
        let ScheduleReport { answered, not_run, ran, unknown, overtaken, .. } = report;
        let counts = [answered, not_run, ran, unknown, overtaken, runs];
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
    }
    let [answered, not_run, ran, unknown, overtaken, runs] = totals;
    println!(
        "schedules={schedules} runs={runs} answered={answered} not_run={not_run} ran={ran} \
         unknown={unknown} overtaken={overtaken}"
    );
    // Without these the check would hold by refusing everything.
    assert!(answered > unknown && not_run > 0 && ran > 0 && runs > 0);
}

/// Guards against requests that fail although nothing is wrong.
#[test]
fn schedules_without_faults_answer_every_request() {
    for seed in 0..200 {
        let report = explore(seed, None, false);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        let refused = report.not_run + report.ran;
        assert_eq!(refused, 0, "seed {seed}");
        assert_eq!(report.unknown, report.expired, "seed {seed}");
        assert_eq!(report.answered + report.expired, report.requests, "seed {seed}");
    }
}

/// Guards against checks that notice nothing: each mechanism that is taken away must be missed.
#[test]
fn schedules_notice_a_missing_mechanism() {
    let flaws = [
        Flaw::TakeOverUnsealed,
        Flaw::DispatchUnread,
        Flaw::NotRunUnread,
        Flaw::SkipWindow,
        Flaw::ForgetSeals,
        Flaw::LostIsNotRun,
        Flaw::IgnoreClaimAge,
        Flaw::IgnoreKeyAge,
        Flaw::IgnoreFence,
    ];
    for flaw in flaws {
        let violated = |seed: &u64| !explore(*seed, Some(flaw), true).violations.is_empty();
        match search_length() {
            Some(schedules) => {
                let count = (0..schedules).filter(violated).count();
                println!("flaw={flaw:?} schedules={schedules} violated={count}");
                assert!(count > 0, "{flaw:?} went unnoticed");
            }
            None => {
                let first = (0..SCHEDULES).find(violated);
                println!("flaw={flaw:?} first_seed={first:?}");
                assert!(first.is_some(), "{flaw:?} went unnoticed");
            }
        }
    }
}
