//! Tests of the experiment.

use std::time::Duration;

use super::*;

/// A fleet small enough for tests: 24 engines behind 6 entries.
fn options(scenario: OverloadScenario, policy: PlacementPolicy) -> OverloadOptions {
    OverloadOptions {
        engines: 24,
        entries: 6,
        duration: Duration::from_secs(14),
        ..OverloadOptions::new(1, scenario, policy)
    }
}

fn served_value_share_of(options: &OverloadOptions) -> f64 {
    run_overload(options).served_value_share()
}

/// Guards the load exchange between entries: with reports every 280 ms, entries send requests to
/// engines that other entries have just filled, and a tenth of the answers are late while engines
/// load.
#[test]
fn frequent_load_reports_keep_answers_in_time_while_engines_load() {
    let fresh = options(OverloadScenario::Loading, PlacementPolicy::Product);
    let stale = OverloadOptions { load_interval: Duration::from_millis(280), ..fresh };
    let (fresh, stale) = (served_value_share_of(&fresh), served_value_share_of(&stale));
    assert!(fresh > 0.95, "fresh {fresh:.3}");
    assert!(stale < fresh - 0.02, "stale {stale:.3}, fresh {fresh:.3}");
}

/// Guards the dispatch decisions as a whole: no baseline policy serves more value.
#[test]
fn product_serves_more_than_baseline_policies() {
    for scenario in [OverloadScenario::Burst, OverloadScenario::Halved, OverloadScenario::Loading] {
        let reports = PlacementPolicy::compare(&options(scenario, PlacementPolicy::Product));
        let (product, baselines) = reports.split_first().expect("one report per policy");
        for baseline in baselines {
            assert!(
                product.served_value_share() > baseline.served_value_share(),
                "{product}\n{baseline}"
            );
        }
    }
}

/// Guards reproducibility: two runs with the same options differ only if some randomness isn't seeded.
#[test]
fn same_options_give_same_report() {
    let options = options(OverloadScenario::Burst, PlacementPolicy::Product);
    assert_eq!(run_overload(&options), run_overload(&options));
}

#[test]
fn unknown_scenario_is_rejected_by_name() {
    let error = OverloadScenario::try_from("calm").unwrap_err();
    assert!(error.to_string().contains("\"calm\" is not known: accepted are steady"), "{error}");
}

#[test]
fn plot_is_written() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("burst.svg");
    let report = run_overload(&options(OverloadScenario::Burst, PlacementPolicy::Product));
    write_plot(&path, &[report]).expect("the plot can be written");
    let text = std::fs::read_to_string(&path).expect("the plot can be read");
    assert!(text.contains("<svg") && text.contains("product"), "{}", &text[..200]);
    let missing = folder.path().join("none/burst.svg");
    assert!(write_plot(&missing, &[]).unwrap_err().to_string().contains("can't be written"));
}
