//! Properties of the replica and the register over random records and calls.
//!
//! Each property prints its seed, which a failed test shows; `BOOKING_SEED` repeats it.

#![expect(clippy::print_stdout, reason = "prints the seed of a failed property")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    ClaimId, ContentDigest, InstanceName, LogOffset, MonoTime, ProcessIncarnation, UnixMillis,
};
use celeryshed_core::booking::*;
use quickcheck::{Gen, QuickCheck, Testable};

const INCARNATION: ProcessIncarnation = ProcessIncarnation::from_u128(1);
const WINDOW: Duration = Duration::from_secs(3600);
const MINUTE: Duration = Duration::from_secs(60);
const BOOKINGS: u8 = 2;

fn check(property: impl Testable) {
    let set = std::env::var("BOOKING_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = set.unwrap_or_else(|| ClaimId::random().0.as_u64_pair().0);
    println!("BOOKING_SEED={seed}");
    QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(60, seed)).quickcheck(property);
}

fn booking(number: u8) -> ContentDigest {
    ContentDigest::of(&[number % BOOKINGS])
}

/// A record from two random bytes; few claims and bookings, so that records meet.
fn record((kind, id): (u8, u8)) -> ClaimLogRecord {
    let claim_id = ClaimId::from_u128(u128::from(id % 8));
    match kind % 6 {
        0 | 1 => ClaimLogRecord::Claim(ClaimDetails {
            claim_id,
            booking: booking(id % 8),
            terms: ClaimSpec {
                body_digest: ContentDigest::of(b"body"),
                side_instance: InstanceName::try_from("side-1").unwrap(),
                side_incarnation: INCARNATION,
            },
        }),
        2 => ClaimLogRecord::Sealed(claim_id),
        3 => ClaimLogRecord::Released(claim_id),
        4 => ClaimLogRecord::Outcome(claim_id, OutcomeKind::Answer),
        _ => ClaimLogRecord::Fenced(booking(id)),
    }
}

fn stamped(bytes: &[(u8, u8)]) -> Vec<PositionedClaimRecord> {
    let stamp = |(offset, bytes): (usize, &(u8, u8))| PositionedClaimRecord {
        offset: LogOffset(offset as u64),
        appended_at: UnixMillis(1_000_000 + offset as u64),
        record: Some(record(*bytes)),
    };
    bytes.iter().enumerate().map(stamp).collect()
}

fn new_replica() -> PartitionReplica {
    PartitionReplica::new(ReplayOptions { window: WINDOW, retention: 2 * WINDOW })
}

fn apply(replica: &mut PartitionReplica, records: &[PositionedClaimRecord], end: usize) {
    let page = ClaimLogPage {
        records: records.to_vec(),
        oldest: LogOffset(0),
        end: LogOffset(end as u64),
        log_now: UnixMillis(1_010_000),
    };
    replica.apply(&page);
}

/// Guards against readers that disagree because they read the log in different pieces, and against
/// records that count twice when pieces overlap.
#[test]
fn pieces_fold_to_the_same_state() {
    fn property(bytes: Vec<(u8, u8)>, cuts: Vec<u8>) -> bool {
        let records = stamped(&bytes);
        let (mut whole, mut pieces) = (new_replica(), new_replica());
        apply(&mut whole, &records, records.len());
        for cut in cuts {
            let next = pieces.next_offset().0 as usize;
            let end = (next + usize::from(cut % 8)).min(records.len());
            let overlap = next.saturating_sub(usize::from(cut % 3));
            apply(&mut pieces, &records[overlap..end], records.len());
        }
        let next = pieces.next_offset().0 as usize;
        apply(&mut pieces, &records[next..], records.len());
        (0..BOOKINGS).all(|number| {
            whole.booking_state(&booking(number)) == pieces.booking_state(&booking(number))
        })
    }
    check(property as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
}

/// Guards against a claim that comes back into force, and against two in force.
#[test]
fn a_claim_is_in_force_at_most_once() {
    fn property(bytes: Vec<(u8, u8)>) -> bool {
        let mut replica = new_replica();
        let mut ended = BTreeSet::new();
        for record in stamped(&bytes) {
            apply(&mut replica, &[record], bytes.len());
            for number in 0..BOOKINGS {
                let claims = replica.booking_state(&booking(number)).claims;
                let (force, rest): (Vec<_>, Vec<_>) =
                    claims.iter().partition(|claim| claim.state == ClaimState::InForce);
                if force.len() > 1 || force.iter().any(|claim| ended.contains(&claim.claim_id)) {
                    return false;
                }
                ended.extend(rest.iter().map(|claim| claim.claim_id));
            }
        }
        true
    }
    check(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a second run of a claim, and against a run after its seal, at any time.
#[test]
fn a_register_runs_a_claim_once_and_never_after_its_seal() {
    fn property(calls: Vec<(u8, u8, u8)>) -> bool {
        let options = RegisterOptions { window: WINDOW, max_claims: 6 };
        let mut register = ClaimRegister::<u8>::new(INCARNATION, options);
        let (mut started, mut sealed) = (BTreeMap::new(), BTreeSet::new());
        let mut now = MonoTime::ZERO;
        for (kind, id, pause) in calls {
            // The last one ends the window of a claim, but not that of its key.
            let pauses = [0, 1, 600, 3_605];
            now = now + Duration::from_secs(pauses[usize::from(pause % 4)]);
            let claim_id = ClaimId::from_u128(u128::from(id % 8));
            let unix = UnixMillis(now.0.as_millis() as u64);
            match kind % 5 {
                0 | 1 => {
                    let verdict = register.begin(claim_id, INCARNATION, UnixMillis(0), now, unix);
                    let run = verdict == BeginVerdict::Run;
                    let again = run && started.insert(claim_id, now).is_some();
                    if again || (run && sealed.contains(&claim_id)) {
                        return false;
                    }
                }
                2 => {
                    let verdict = register.seal(claim_id, INCARNATION, now);
                    // Entries ask about a claim only while its key is within the window.
                    let asked = |start: &MonoTime| now - *start <= WINDOW + MINUTE;
                    let ran = started.get(&claim_id).is_some_and(asked);
                    if verdict == SealVerdict::Sealed {
                        if ran {
                            return false;
                        }
                        sealed.insert(claim_id);
                    }
                }
                3 => register.finish(claim_id, RunOutcome::Answer(id), now),
                _ => register.note_recorded(claim_id, now),
            }
        }
        true
    }
    check(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
