//! Tests of the experiment.

use super::*;

#[test]
#[allow(clippy::print_stderr, reason = "a run by hand prints")]
#[ignore = "prints every scenario; run by hand"]
fn print_all() {
    for scenario in ScarcityScenario::ALL {
        let report = run_scarcity(&ScarcityOptions::new(1, scenario));
        eprintln!("{}\n{report}\n", scenario.name());
    }
}
