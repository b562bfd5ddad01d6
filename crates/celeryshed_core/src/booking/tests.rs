//! Fault cases of the partition replica and the claim register.

use std::time::Duration;

use celeryshed_base::{
    ClaimId, ContentDigest, InstanceName, LogOffset, MonoTime, ProcessIncarnation, UnixMillis,
};

use super::*;

const WINDOW: Duration = Duration::from_secs(3600);
const INCARNATION: ProcessIncarnation = ProcessIncarnation::from_u128(9);

fn replica() -> PartitionReplica {
    PartitionReplica::new(ReplayOptions { window: WINDOW, retention: 2 * WINDOW })
}

fn booking() -> ContentDigest {
    ContentDigest::of(b"booking")
}

fn claim(id: u128) -> ClaimLogRecord {
    ClaimLogRecord::Claim(ClaimDetails {
        claim_id: ClaimId::from_u128(id),
        booking: booking(),
        spec: ClaimSpec {
            body_digest: ContentDigest::of(b"body"),
            side_instance: InstanceName::try_from("s1").unwrap(),
            side_incarnation: INCARNATION,
        },
    })
}

fn sealed(id: u128) -> ClaimLogRecord {
    ClaimLogRecord::Sealed(ClaimId::from_u128(id))
}

fn released(id: u128) -> ClaimLogRecord {
    ClaimLogRecord::Released(ClaimId::from_u128(id))
}

fn outcome(id: u128) -> ClaimLogRecord {
    ClaimLogRecord::Outcome(ClaimId::from_u128(id), OutcomeKind::Answer)
}

fn page(records: Vec<ClaimLogRecord>) -> ClaimLogPage {
    let end = LogOffset(records.len() as u64);
    let to_positioned = |(index, record)| PositionedClaimRecord {
        offset: LogOffset(index as u64),
        appended_at: UnixMillis(1_000_000 + index as u64),
        record: Some(record),
    };
    let records = records.into_iter().enumerate().map(to_positioned).collect();
    ClaimLogPage { records, oldest: LogOffset(0), end, log_now: UnixMillis(1_000_100) }
}

/// Guards against two claims of a booking in force, which would run the booking twice.
#[test]
fn a_booking_has_at_most_one_claim_in_force() {
    let cases: &[(&str, Vec<ClaimLogRecord>, Option<u128>)] = &[
        ("empty", vec![], None),
        ("first of two", vec![claim(1), claim(2)], Some(1)),
        ("a void claim stays void", vec![claim(1), claim(2), sealed(1)], None),
        ("next after a seal", vec![claim(1), sealed(1), claim(2)], Some(2)),
        ("next after a release", vec![claim(1), released(1), claim(2), claim(3)], Some(2)),
        ("repeated append", vec![claim(1), sealed(1), claim(1)], None),
        ("release before a delayed claim", vec![released(1), claim(1)], None),
        ("seal of a void claim", vec![claim(1), claim(2), sealed(2)], Some(1)),
        ("after an outcome", vec![claim(1), outcome(1), claim(2)], None),
        ("seal after an outcome", vec![claim(1), outcome(1), sealed(1), claim(2)], None),
    ];
    for (name, records, expected) in cases {
        let mut replica = replica();
        assert!(replica.apply(&page(records.clone())), "{name}");
        let booking_state = replica.booking_state(&booking());
        let in_force = booking_state.in_force().map(|claim| claim.claim_id);
        assert_eq!(in_force, expected.map(ClaimId::from_u128), "{name}");
    }
}

/// Guards against a replica that claims to cover a time although the log removed its records before
/// the end of the retention, unread.
#[test]
fn records_removed_too_early_end_coverage() {
    let mut replica = replica();
    replica.apply(&page(vec![claim(1)]));
    assert!(replica.covers(UnixMillis(0)));
    let later = UnixMillis(1_060_000);
    let gap =
        ClaimLogPage { records: vec![], oldest: LogOffset(5), end: LogOffset(5), log_now: later };
    assert!(replica.apply(&gap));
    assert!(!replica.covers(later));
    assert!(replica.covers(UnixMillis(later.0 + 60_000)));
}

/// Guards against a second run of a claim, and against a run after the claim was sealed.
#[test]
fn the_register_runs_a_claim_once() {
    let mut register = ClaimRegister::<u8>::new(INCARNATION, RegisterOptions::default());
    let (first, second) = (ClaimId::from_u128(1), ClaimId::from_u128(2));
    let now = MonoTime::ZERO;
    let unix = UnixMillis(50_000);
    let begin =
        |register: &mut ClaimRegister<u8>, id| register.begin(id, INCARNATION, unix, now, unix);
    assert_eq!(begin(&mut register, first), BeginVerdict::Run);
    assert_eq!(begin(&mut register, first), BeginVerdict::Running);
    assert_eq!(register.seal(first, INCARNATION, now), SealVerdict::Running);
    register.finish(first, RunOutcome::Answer(5), now);
    assert_eq!(begin(&mut register, first), BeginVerdict::Ran(5));
    assert_eq!(register.seal(first, INCARNATION, now), SealVerdict::Ran(5));
    register.mark_recorded(first, now);
    assert_eq!(register.seal(first, INCARNATION, now), SealVerdict::Recorded);
    assert_eq!(register.seal(second, INCARNATION, now), SealVerdict::Sealed);
    assert_eq!(begin(&mut register, second), BeginVerdict::Refused(BeginRefusal::Sealed));
}

/// Guards against running a sealed claim whose dispatch arrives after the register removed its id.
#[test]
fn an_old_claim_is_refused() {
    let options = RegisterOptions { window: WINDOW, max_claims: 10 };
    let mut register = ClaimRegister::<u8>::new(INCARNATION, options);
    let id = ClaimId::from_u128(1);
    assert_eq!(register.seal(id, INCARNATION, MonoTime::ZERO), SealVerdict::Sealed);
    let later = MonoTime::ZERO + 3 * WINDOW;
    let unix_later = UnixMillis(3 * WINDOW.as_millis() as u64);
    let verdict = register.begin(id, INCARNATION, UnixMillis(0), later, unix_later);
    assert_eq!(verdict, BeginVerdict::Refused(BeginRefusal::TooOld));
    assert!(register.is_empty());
}
