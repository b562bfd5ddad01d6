//! Tests of the quarantine table.

use std::time::Duration;

use celeryshed_base::{ContentDigest, MonoTime, RecordId};

use super::*;
use crate::admission::tests::check_property;

fn fingerprint(number: u8) -> ContentDigest {
    ContentDigest::of(&[number])
}

fn digests(numbers: &[u8]) -> Vec<ContentDigest> {
    numbers.iter().map(|number| fingerprint(*number)).collect()
}

fn notice(id: u128, in_flight: &[u8], suspects: &[u8], cleared: &[u8]) -> CrashObservation {
    CrashObservation {
        notice_id: RecordId::from_u128(id),
        in_flight: digests(in_flight),
        suspects: digests(suspects),
        cleared: digests(cleared),
    }
}

/// Replays a recorded trace; each line is a notice or an expected verdict.
#[test]
fn recorded_trace_gives_the_expected_verdicts() {
    let trace = include_str!("../../fixtures/quarantine/crashing_request.trace");
    let mut table = QuarantineTable::default();
    for (number, line) in trace.lines().enumerate().filter(|(_, line)| !line.starts_with('#')) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [seconds, kind, rest @ ..] = &fields[..] else { continue };
        let now = MonoTime(Duration::from_secs(seconds.parse().unwrap()));
        let list = |key: &str| -> Vec<u8> {
            let field = rest.iter().find_map(|field| field.strip_prefix(key));
            let numbers = field.unwrap_or_default().split(',').filter(|text| !text.is_empty());
            numbers.map(|text| text.parse().unwrap()).collect()
        };
        if *kind == "verdict" {
            let expected = match rest[1] {
                "clear" => FingerprintVerdict::Clear,
                "suspect" => FingerprintVerdict::Suspect,
                _ => FingerprintVerdict::Refused,
            };
            let found = table.verdict(&fingerprint(rest[0].parse().unwrap()), now);
            assert_eq!(found, expected, "line {}: {line}", number + 1);
        } else {
            let id = list("id=")[0];
            let observation =
                notice(u128::from(id), &list("in_flight="), &list("suspects="), &list("cleared="));
            table.observe(&observation, now);
        }
    }
}

/// Simulates four endpoints and six fingerprints; `BAD` crashes each endpoint that runs it.
///
/// `isolate_suspects` allows one suspect per endpoint; `apply_refusals` skips refused requests.
/// Returns the number of crashes and the number of harmless fingerprints refused at the end.
fn simulate_crashes(steps: &[u8], isolate_suspects: bool, apply_refusals: bool) -> (u32, usize) {
    const BAD: u8 = 0;
    let (mut table, mut crashes, mut endpoints) = (QuarantineTable::default(), 0, vec![vec![]; 4]);
    for (id, step) in steps.iter().enumerate() {
        let (request, endpoint) = (step % 6, usize::from(step / 6) % 4);
        let now = MonoTime(Duration::from_secs(id as u64));
        let running: &mut Vec<(u8, bool)> = &mut endpoints[endpoint];
        let suspect = match table.verdict(&fingerprint(request), now) {
            FingerprintVerdict::Refused if apply_refusals => continue,
            FingerprintVerdict::Refused => false,
            FingerprintVerdict::Suspect => true,
            FingerprintVerdict::Clear => false,
        };
        if isolate_suspects && suspect && running.iter().any(|(_, suspect)| *suspect) {
            continue;
        }
        running.push((request, suspect));
        if request == BAD {
            crashes += 1;
            let in_flight: Vec<u8> = running.iter().map(|(request, _)| *request).collect();
            let suspects = running.iter().filter(|(_, suspect)| *suspect);
            let suspects: Vec<u8> = suspects.map(|(request, _)| *request).collect();
            table.observe(&notice(id as u128, &in_flight, &suspects, &[]), now);
            running.clear();
        } else if running.len() > 2 {
            let (request, suspect) = running.remove(0);
            if suspect {
                table.observe(&notice(id as u128, &[], &[], &[request]), now);
            }
        }
    }
    let end = MonoTime(Duration::from_secs(steps.len() as u64));
    let refused = (1..6).filter(|request| {
        table.verdict(&fingerprint(*request), end) == FingerprintVerdict::Refused
    });
    (crashes, refused.count())
}

/// Guards against a request that crashes more than two endpoints, whichever requests run with it.
#[test]
fn a_request_crashes_at_most_two_endpoints() {
    fn property(steps: Vec<u8>) -> bool {
        simulate_crashes(&steps, true, true).0 <= 2
    }
    check_property(property as fn(Vec<u8>) -> bool);
    // Without refusals, each of the ten runs crashes an endpoint.
    assert_eq!(simulate_crashes(&[0; 10], true, true).0, 2);
    assert_eq!(simulate_crashes(&[0; 10], true, false).0, 10);
}

/// Guards against the refusal of a harmless request: when two suspects share an endpoint, a crash
/// caused by one gets both refused.
#[test]
fn isolated_suspects_are_not_refused_together() {
    // Requests 0 and 1 share an endpoint at both crashes; at the second crash both are suspects.
    let steps = [1, 0, 7, 6];
    assert_eq!(simulate_crashes(&steps, false, true), (2, 1));
    assert_eq!(simulate_crashes(&steps, true, true), (1, 0));
}

/// Guards against counting a crash twice when its notice arrives both directly and from the log.
#[test]
fn a_repeated_notice_is_ignored() {
    let mut table = QuarantineTable::default();
    table.observe(&notice(1, &[1], &[], &[]), MonoTime::ZERO);
    table.observe(&notice(1, &[1], &[], &[]), MonoTime::ZERO);
    assert_eq!(table.verdict(&fingerprint(1), MonoTime::ZERO), FingerprintVerdict::Suspect);
}
