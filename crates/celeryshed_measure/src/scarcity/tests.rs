//! Tests of the experiment.

use std::time::Duration;

use celeryshed_core::routing::RoutingPolicy;

use super::*;

fn run(scenario: ScarcityScenario, policy: RoutingPolicy) -> ScarcityReport {
    let options = ScarcityOptions::new(1, scenario);
    run_scarcity(&ScarcityOptions { policy, duration: Duration::from_secs(60), ..options })
}

/// Guards routing by cached prefixes: if requests ignore the caches, as with round robin, most prompts
/// are processed from the start.
#[test]
fn prefix_routing_beats_round_robin() {
    let product = run(ScarcityScenario::Calm, RoutingPolicy::Expected);
    let round_robin = run(ScarcityScenario::Calm, RoutingPolicy::RoundRobin);
    let (product_ms, round_robin_ms) =
        (product.contracted_first_token_ms(95.0), round_robin.contracted_first_token_ms(95.0));
    assert!(
        product_ms * 1.5 <= round_robin_ms,
        "product {product_ms} ms, round robin {round_robin_ms} ms"
    );
}

/// Guards the reserved capacity of contracted teams after an availability zone fails, and the bound on
/// repeated attempts.
#[test]
fn contracts_are_served_after_zone_failure() {
    let report = run(ScarcityScenario::ZoneGone, RoutingPolicy::Expected);
    assert!(report.contracted_goodput() >= 0.99, "{report}");
    assert!(report.amplification <= 1.1, "{report}");
}

/// Guards reproducibility: two runs with the same seed differ only if some randomness isn't seeded.
#[test]
fn same_seed_gives_same_report() {
    let report_text = || {
        let options = ScarcityOptions::new(7, ScarcityScenario::HalfGone);
        let options = ScarcityOptions { duration: Duration::from_secs(35), ..options };
        run_scarcity(&options).to_string()
    };
    assert_eq!(report_text(), report_text());
}

/// Prints the reports of all scenarios, and of scenario `calm` with each policy, for the
/// documentation.
#[test]
#[ignore = "takes minutes; run with --ignored --nocapture"]
#[expect(clippy::print_stdout, reason = "printing the reports is the purpose of this test")]
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
