//! Recorded traces with expected outcomes, and properties of random event sequences.

#![allow(clippy::print_stdout, reason = "seeds and figures are shown by --nocapture")]

mod log_simulation;

use std::path::PathBuf;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use log_simulation::LogSimulation;

/// Number of random event sequences per property.
const CASES: u64 = 2_000;

fn traces() -> Vec<(String, String)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("fixtures/configuration");
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let mut traces: Vec<_> = files
        .map(|path| {
            let name = path.file_stem().unwrap().to_string_lossy().into_owned();
            (name, std::fs::read_to_string(path).unwrap())
        })
        .collect();
    traces.sort();
    traces
}

fn failing_traces(skip_snapshot_checks: bool) -> Vec<String> {
    let failures = traces().into_iter().filter_map(|(name, trace)| {
        let mut simulation = LogSimulation::new(skip_snapshot_checks);
        simulation.replay(&trace).err().map(|error| format!("{name}: {error}"))
    });
    failures.collect()
}

/// Guards against wrong verdicts, lost or reverted changes and readers that can't continue, in each
/// recorded fault: late or lost replies, trimmed records, stale snapshots, replaced readers.
#[test]
fn traces_have_expected_outcomes() {
    assert!(traces().len() >= 9);
    assert_eq!(failing_traces(false), Vec::<String>::new());
}

/// Checks that the traces detect a replica that installs snapshots without validating them.
#[test]
fn traces_fail_without_snapshot_checks() {
    let failing = failing_traces(true);
    println!("{} of {} traces fail: {failing:#?}", failing.len(), traces().len());
    assert!(failing.iter().any(|failure| failure.starts_with("stale_snapshot")));
}

/// One random event. Names and numbers come from small ranges, so that events often refer to the
/// same reader, change or offset.
#[derive(Clone, Debug)]
struct RandomEvent(String);

impl Arbitrary for RandomEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: u32| u32::arbitrary(g) % limit;
        let (reader, other, number) = (below(4), below(4), below(30));
        Self(match below(14) {
            0 | 1 => {
                format!("change c{number} base=r{reader} service drafter engine {number} 8 500")
            }
            2 => {
                format!("change c{number} base=r{reader} contract u{other} tokens={}", number * 200)
            }
            3 => format!("change c{number} base={number} remove u{other}"),
            4 => format!("snapshot r{reader}"),
            5 => format!("capture r{reader} s{other}"),
            6 => format!("append-captured s{other}"),
            7 if number < 15 => format!("restart r{reader}"),
            7 if number < 22 => format!("capture-restart r{reader} t{other}"),
            7 => format!("append-restart t{other}"),
            8 => format!("trim {number}"),
            9 => format!("read r{reader} {}", 1 + number % 3),
            10 => format!("read r{reader}"),
            11 => format!("hold r{reader} h{other}"),
            12 => format!("deliver h{other}"),
            _ if number < 6 => format!("replace r{reader}"),
            _ => format!("adopt r{reader} from r{other}"),
        })
    }
}

fn check_events(events: &[RandomEvent], skip_snapshot_checks: bool) -> TestResult {
    let mut simulation = LogSimulation::new(skip_snapshot_checks);
    for RandomEvent(event) in events {
        if let Err(error) = simulation.apply_event(event) {
            return TestResult::error(format!("{event}: {error}"));
        }
    }
    TestResult::passed()
}

fn seeded_quickcheck(cases: u64) -> QuickCheck {
    let seed = std::env::var("CELERYSHED_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or_else(rand::random);
    println!("seed: CELERYSHED_SEED={seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(120, seed)).tests(cases)
}

/// Guards against a revision that decreases and against readers that disagree, in any order of
/// reads, late replies, snapshots (also stale ones), trims, restarts and exchanges with peers.
#[test]
fn readers_agree_and_revisions_never_decrease() {
    fn property(events: Vec<RandomEvent>) -> TestResult {
        check_events(&events, false)
    }
    seeded_quickcheck(CASES).quickcheck(property as fn(Vec<RandomEvent>) -> TestResult);
}

/// Checks that the property detects a replica that installs snapshots without validating them.
#[test]
fn property_fails_without_snapshot_checks() {
    fn property(events: Vec<RandomEvent>) -> TestResult {
        check_events(&events, true)
    }
    let result = seeded_quickcheck(CASES).quicktest(property as fn(Vec<RandomEvent>) -> TestResult);
    println!("{result:?}");
    assert!(result.is_err());
}
