//! Recorded traces with stated outcomes, and properties over random interleavings.

#![allow(clippy::print_stdout, reason = "seeds and figures are shown by --nocapture")]

mod world;

use std::path::PathBuf;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use world::LogWorld;

/// Random cases of each property.
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

fn failing_traces(trust_any_snapshot: bool) -> Vec<String> {
    let failures = traces().into_iter().filter_map(|(name, trace)| {
        let mut world = LogWorld::new(trust_any_snapshot);
        world.replay(&trace).err().map(|error| format!("{name}: {error}"))
    });
    failures.collect()
}

/// Guards against each fault case of the traces: wrong verdicts, lost or reverted changes, readers
/// that can't go on.
#[test]
fn traces_have_their_stated_outcomes() {
    assert!(traces().len() >= 9);
    assert_eq!(failing_traces(false), Vec::<String>::new());
}

/// Shows that the traces notice a replica that takes any snapshot.
#[test]
fn traces_fail_when_any_snapshot_is_trusted() {
    let failing = failing_traces(true);
    println!("{} of {} traces fail: {failing:#?}", failing.len(), traces().len());
    assert!(failing.iter().any(|failure| failure.starts_with("stale_snapshot")));
}

/// One random event; names and numbers are drawn from small ranges so that they meet.
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

fn interleaving_holds(events: &[RandomEvent], trust_any_snapshot: bool) -> TestResult {
    let mut world = LogWorld::new(trust_any_snapshot);
    for RandomEvent(event) in events {
        if let Err(error) = world.step(event) {
            return TestResult::error(format!("{event}: {error}"));
        }
    }
    TestResult::passed()
}

fn seeded_check(cases: u64) -> QuickCheck {
    let seed = std::env::var("CELERYSHED_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or_else(rand::random);
    println!("seed: CELERYSHED_SEED={seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(120, seed)).tests(cases)
}

/// Guards against a revision that goes down and against readers that disagree, whatever the order
/// of reads, late replies, snapshots (stale ones too), trims, restarts and peer exchange.
#[test]
fn readers_agree_and_never_go_back() {
    fn holds(events: Vec<RandomEvent>) -> TestResult {
        interleaving_holds(&events, false)
    }
    seeded_check(CASES).quickcheck(holds as fn(Vec<RandomEvent>) -> TestResult);
}

/// Shows that the property notices a replica that takes any snapshot.
#[test]
fn property_fails_when_any_snapshot_is_trusted() {
    fn holds(events: Vec<RandomEvent>) -> TestResult {
        interleaving_holds(&events, true)
    }
    let found = seeded_check(CASES).quicktest(holds as fn(Vec<RandomEvent>) -> TestResult);
    println!("{found:?}");
    assert!(found.is_err());
}
