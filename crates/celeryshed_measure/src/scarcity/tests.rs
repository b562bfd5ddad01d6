//! Tests of the experiment.

use std::time::Duration;

use celeryshed_core::routing::RoutingPolicy;

use super::*;

fn run(scenario: ScarcityScenario, policy: RoutingPolicy) -> ScarcityReport {
    let options = ScarcityOptions::new(1, scenario);
    run_scarcity(&ScarcityOptions { policy, duration: Duration::from_secs(60), ..options })
}

/// Guards the affinity to cached prefixes: round robin processes most prompts anew.
#[test]
fn prefixes_beat_round_robin() {
    let product = run(ScarcityScenario::Calm, RoutingPolicy::Expected);
    let turns = run(ScarcityScenario::Calm, RoutingPolicy::RoundRobin);
    let (with, without) =
        (product.contracted_first_token_ms(95.0), turns.contracted_first_token_ms(95.0));
    assert!(with * 1.5 <= without, "product {with} ms, round robin {without} ms");
}

/// Guards the reserved capacity while an availability zone is gone, and the bound on retries.
#[test]
fn contracts_hold_without_a_zone() {
    let report = run(ScarcityScenario::ZoneGone, RoutingPolicy::Expected);
    assert!(report.contracted_goodput() >= 0.99, "{report}");
    assert!(report.amplification <= 1.1, "{report}");
}

/// Guards the reproducibility of runs: a difference would mean a hidden source of randomness.
#[test]
fn a_seed_determines_a_run() {
    let lines = || {
        let options = ScarcityOptions::new(7, ScarcityScenario::HalfGone);
        let options = ScarcityOptions { duration: Duration::from_secs(35), ..options };
        run_scarcity(&options).to_string()
    };
    assert_eq!(lines(), lines());
}

/// Prints each scenario and policy, for the figures of the documentation.
#[test]
#[ignore = "takes minutes; run with --ignored --nocapture"]
#[expect(clippy::print_stdout, reason = "the figures are its result")]
fn print_all() {
    let mut threads = Vec::new();
    for scenario in ScarcityScenario::ALL {
        for seed in [1, 2] {
            let options = ScarcityOptions::new(seed, scenario);
            threads.push(std::thread::spawn(move || (seed, scenario, run_scarcity(&options))));
        }
    }
    for thread in threads {
        let (seed, scenario, report) = thread.join().unwrap();
        println!("scenario={} seed={seed}\n{report}", scenario.name());
    }
    for policy in ["product", "random", "round_robin", "least_load"] {
        let report = run(ScarcityScenario::Calm, RoutingPolicy::try_from(policy).unwrap());
        println!("policy={policy}\n{report}");
    }
}
