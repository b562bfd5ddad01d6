//! Loads near and beyond capacity, replayed over models of engines.

use std::time::Duration;

use super::*;

/// A fleet that runs in a moment: 24 engines behind 6 entries.
fn options(scenario: OverloadScenario, policy: PlacementPolicy) -> OverloadOptions {
    OverloadOptions {
        engines: 24,
        entries: 6,
        duration: Duration::from_secs(14),
        ..OverloadOptions::new(1, scenario, policy)
    }
}

fn served(options: &OverloadOptions) -> f64 {
    run_overload(options).served_worth()
}

/// Guards the exchange between entries: with messages every 280 ms, each entry sends its requests
/// where those of the others have just gone, and a tenth of the answers are late while engines load.
#[test]
fn fresh_loads_keep_answers_in_time_while_engines_load() {
    let fresh = options(OverloadScenario::Loading, PlacementPolicy::Product);
    let stale = OverloadOptions { load_interval: Duration::from_millis(280), ..fresh };
    let (fresh, stale) = (served(&fresh), served(&stale));
    assert!(fresh > 0.95, "fresh {fresh:.3}");
    assert!(stale < fresh - 0.02, "stale {stale:.3}, fresh {fresh:.3}");
}

/// Guards the decisions as a whole: no plain policy serves more.
#[test]
fn product_serves_more_than_plain_policies() {
    for scenario in [OverloadScenario::Burst, OverloadScenario::Halved, OverloadScenario::Loading] {
        let reports = PlacementPolicy::compare(&options(scenario, PlacementPolicy::Product));
        let (product, plain) = reports.split_first().expect("four reports");
        for other in plain {
            assert!(product.served_worth() > other.served_worth(), "{product}\n{other}");
        }
    }
}

/// Guards reproducibility: a difference would mean a hidden source of randomness.
#[test]
fn runs_repeat() {
    let options = options(OverloadScenario::Burst, PlacementPolicy::Product);
    assert_eq!(run_overload(&options), run_overload(&options));
}

#[test]
fn unknown_scenario_is_named() {
    let error = OverloadScenario::try_from("calm").unwrap_err();
    assert!(error.to_string().contains("\"calm\" is not known: accepted are steady"), "{error}");
}

#[test]
fn plot_is_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("burst.svg");
    let report = run_overload(&options(OverloadScenario::Burst, PlacementPolicy::Product));
    write_plot(&path, &[report]).expect("a plot");
    let text = std::fs::read_to_string(&path).expect("a file");
    assert!(text.contains("<svg") && text.contains("product"), "{}", &text[..200]);
    let missing = folder.path().join("none/burst.svg");
    assert!(write_plot(&missing, &[]).unwrap_err().to_string().contains("can't be written"));
}
