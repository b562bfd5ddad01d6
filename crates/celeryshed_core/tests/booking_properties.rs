//! Properties of the partition replica and the claim register under random records and calls.
//!
//! Each property prints its seed; `BOOKING_SEED` repeats a run.

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

fn check_property(property: impl Testable) {
    let configured = std::env::var("BOOKING_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = configured.unwrap_or_else(|| ClaimId::random().0.as_u64_pair().0);
    println!("BOOKING_SEED={seed}");
    QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(60, seed)).quickcheck(property);
}

fn booking(number: u8) -> ContentDigest {
    ContentDigest::of(&[number % BOOKINGS])
}

/// Makes a record from two random bytes, with few ids, so that records concern the same claims.
fn record((kind, id): (u8, u8)) -> ClaimLogRecord {
    let claim_id = ClaimId::from_u128(u128::from(id % 8));
    match kind % 6 {
        0 | 1 => ClaimLogRecord::Claim(ClaimDetails {
            claim_id,
            booking: booking(id % 8),
            spec: ClaimSpec {
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

fn positioned_records(bytes: &[(u8, u8)]) -> Vec<PositionedClaimRecord> {
    let to_positioned = |(offset, bytes): (usize, &(u8, u8))| PositionedClaimRecord {
        offset: LogOffset(offset as u64),
        appended_at: UnixMillis(1_000_000 + offset as u64),
        record: Some(record(*bytes)),
    };
    bytes.iter().enumerate().map(to_positioned).collect()
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

/// Guards against replicas that differ because they read the log in different pages, and against
/// records applied twice when pages overlap.
#[test]
fn page_boundaries_do_not_change_the_state() {
    fn property(bytes: Vec<(u8, u8)>, cuts: Vec<u8>) -> bool {
        let records = positioned_records(&bytes);
        let (mut whole, mut paged) = (new_replica(), new_replica());
        apply(&mut whole, &records, records.len());
        for cut in cuts {
            let next = paged.next_offset().0 as usize;
            let end = (next + usize::from(cut % 8)).min(records.len());
            let overlap = next.saturating_sub(usize::from(cut % 3));
            apply(&mut paged, &records[overlap..end], records.len());
        }
        let next = paged.next_offset().0 as usize;
        apply(&mut paged, &records[next..], records.len());
        (0..BOOKINGS).all(|number| {
            whole.booking_state(&booking(number)) == paged.booking_state(&booking(number))
        })
    }
    check_property(property as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
}

/// Guards against a claim that comes back into force, and against two claims in force.
#[test]
fn a_booking_has_one_claim_in_force_and_each_claim_only_once() {
    fn property(bytes: Vec<(u8, u8)>) -> bool {
        let mut replica = new_replica();
        let mut ended = BTreeSet::new();
        for record in positioned_records(&bytes) {
            apply(&mut replica, &[record], bytes.len());
            for number in 0..BOOKINGS {
                let claims = replica.booking_state(&booking(number)).claims;
                let (in_force, rest): (Vec<_>, Vec<_>) =
                    claims.iter().partition(|claim| claim.state == ClaimState::InForce);
                if in_force.len() > 1
                    || in_force.iter().any(|claim| ended.contains(&claim.claim_id))
                {
                    return false;
                }
                ended.extend(rest.iter().map(|claim| claim.claim_id));
            }
        }
        true
    }
    check_property(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a second run of a claim, and against a run after the claim was sealed, also when
/// the register has removed the claim's id in the meantime.
#[test]
fn a_register_runs_a_claim_once_and_never_after_its_seal() {
    fn property(calls: Vec<(u8, u8, u8)>) -> bool {
        let options = RegisterOptions { window: WINDOW, max_claims: 6 };
        let mut register = ClaimRegister::<u8>::new(INCARNATION, options);
        let (mut started, mut sealed) = (BTreeMap::new(), BTreeSet::new());
        let mut now = MonoTime::ZERO;
        for (kind, id, pause) in calls {
            // The longest pause exceeds the window after a claim's append, but not that of its key.
            let pauses = [0, 1, 600, 3_605];
            now = now + Duration::from_secs(pauses[usize::from(pause % 4)]);
            let claim_id = ClaimId::from_u128(u128::from(id % 8));
            let unix = UnixMillis(now.0.as_millis() as u64);
            match kind % 5 {
                0 | 1 => {
                    let verdict = register.begin(claim_id, INCARNATION, UnixMillis(0), now, unix);
                    let run = verdict == BeginVerdict::Run;
                    let repeated = run && started.insert(claim_id, now).is_some();
                    if repeated || (run && sealed.contains(&claim_id)) {
                        return false;
                    }
                }
                2 => {
                    let verdict = register.seal(claim_id, INCARNATION, now);
                    // Entries send seal requests only while the claim's key is within the window.
                    let within_window = |start: &MonoTime| now - *start <= WINDOW + MINUTE;
                    let ran = started.get(&claim_id).is_some_and(within_window);
                    if verdict == SealVerdict::Sealed {
                        if ran {
                            return false;
                        }
                        sealed.insert(claim_id);
                    }
                }
                3 => register.finish(claim_id, RunOutcome::Answer(id), now),
                _ => register.mark_recorded(claim_id, now),
            }
        }
        true
    }
    check_property(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
