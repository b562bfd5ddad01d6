//! Simulates bookings under seeded schedules of faults, and checks two guarantees of
//! `docs/PROMISES.md`: a "not run" reply is true (P3), and a booking runs at most once (P4).

#![expect(clippy::print_stdout, reason = "prints the counts of a search")]

mod checks;
mod log;
mod simulation;

use checks::ScheduleReport;
use simulation::{InjectedBug, simulate};

/// Number of schedules that a test simulates by default.
const SCHEDULE_COUNT: u64 = 3_000;

/// Number of schedules of a longer search, from `BOOKING_SCHEDULES`. Such a search also counts the
/// schedules in which each injected bug causes a violation.
fn long_search_count() -> Option<u64> {
    std::env::var("BOOKING_SCHEDULES").ok().and_then(|number| number.parse().ok())
}

/// Guards against a second run of a key, a run after a "not run" reply, a false "not run" or "ran",
/// and two different answers, under faults of the log, the network, entries and sidecars.
#[test]
fn schedules_with_faults_keep_the_guarantees() {
    let schedules = long_search_count().unwrap_or(SCHEDULE_COUNT);
    let mut totals = [0; 6];
    for seed in 0..schedules {
        let report = simulate(seed, None, true);
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
    // Otherwise an implementation that refuses every request would pass.
    assert!(answered > unknown && not_run > 0 && ran > 0 && runs > 0);
}

/// Guards against requests that fail without any fault.
#[test]
fn schedules_without_faults_answer_every_request() {
    for seed in 0..200 {
        let report = simulate(seed, None, false);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        let refused = report.not_run + report.ran;
        assert_eq!(refused, 0, "seed {seed}");
        assert_eq!(report.unknown, report.expired, "seed {seed}");
        assert_eq!(report.answered + report.expired, report.requests, "seed {seed}");
    }
}

/// Guards against checks that find nothing: each injected bug must cause a violation.
#[test]
fn schedules_detect_every_injected_bug() {
    let bugs = [
        InjectedBug::TakeOverUnsealed,
        InjectedBug::DispatchUnread,
        InjectedBug::NotRunUnread,
        InjectedBug::SkipWindow,
        InjectedBug::ForgetSeals,
        InjectedBug::LostIsNotRun,
        InjectedBug::IgnoreClaimAge,
        InjectedBug::IgnoreKeyAge,
        InjectedBug::IgnoreFence,
    ];
    for bug in bugs {
        let violated = |seed: &u64| !simulate(*seed, Some(bug), true).violations.is_empty();
        match long_search_count() {
            Some(schedules) => {
                let count = (0..schedules).filter(violated).count();
                println!("flaw={bug:?} schedules={schedules} violated={count}");
                assert!(count > 0, "{bug:?} was not detected");
            }
            None => {
                let first = (0..SCHEDULE_COUNT).find(violated);
                println!("flaw={bug:?} first_seed={first:?}");
                assert!(first.is_some(), "{bug:?} was not detected");
            }
        }
    }
}
