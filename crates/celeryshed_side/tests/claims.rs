//! Tests of the claim task with paused time and the fake log.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClaimId, ClockSource, LogOffset, ProcessIncarnation, UnixMillis};
use celeryshed_core::booking::BeginRefusal;
use celeryshed_platform::fakes::FakeLog;
use celeryshed_side::claims::{
    BeginReply, ClaimHandle, ClaimOptions, RunPermit, RunResult, spawn_claims,
};
use celeryshed_wire::{
    ClaimOutcome, ClaimPermit, ClaimRecord, SealReply, SealRequest, ServiceAnswer, decode,
};

const INCARNATION: ProcessIncarnation = ProcessIncarnation::from_u128(1);
const START: UnixMillis = UnixMillis(1_800_000_000_000);

fn start() -> (FakeLog, ClaimHandle) {
    let clock = ClockSource::start_at(START);
    let log = FakeLog::new(clock);
    log.set_latency(Duration::from_millis(10));
    let claims = spawn_claims(Arc::new(log.clone()), clock, INCARNATION, ClaimOptions::default());
    (log, claims)
}

fn claim_permit(id: u128) -> ClaimPermit {
    ClaimPermit {
        claim_id: ClaimId::from_u128(id),
        partition: 3,
        offset: LogOffset(0),
        appended_at: START,
        side_incarnation: INCARNATION,
    }
}

async fn permit(claims: &ClaimHandle, id: u128) -> RunPermit {
    match claims.begin(claim_permit(id)).await {
        BeginReply::Run(permit) => permit,
        other => panic!("claim {id}: {other:?}"),
    }
}

async fn seal(claims: &ClaimHandle, id: u128) -> SealReply {
    let claim_id = ClaimId::from_u128(id);
    claims.seal(SealRequest { claim_id, side_incarnation: INCARNATION }).await
}

fn answer(size: usize) -> ServiceAnswer {
    ServiceAnswer { status: 201, content_type: None, body: vec![7; size].into() }
}

fn outcomes(log: &FakeLog) -> Vec<ClaimOutcome> {
    let records = log.entries("claims-3").into_iter().map(|entry| decode(&entry.payload).unwrap());
    let outcome = |record| match record {
        ClaimRecord::Outcome { outcome, .. } => outcome,
        other => panic!("{other:?}"),
    };
    records.map(outcome).collect()
}

/// Guards against losing an outcome because the log is down when the run ends.
#[tokio::test(start_paused = true)]
async fn an_outcome_is_recorded_after_an_outage() {
    let (log, claims) = start();
    log.set_outage(true);
    permit(&claims, 1).await.finish(RunResult::Answer(answer(5)));
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(seal(&claims, 1).await, SealReply::Ran(answer(5)));
    assert_eq!(claims.unrecorded(), 1);
    log.set_outage(false);
    claims.wait_recorded().await;
    assert_eq!(outcomes(&log), [ClaimOutcome::Answer(answer(5))]);
    assert_eq!(seal(&claims, 1).await, SealReply::Recorded);
}

/// Guards against treating an outcome as recorded although the append request was lost.
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_append_is_repeated() {
    let (log, claims) = start();
    log.lose_next_requests(1);
    permit(&claims, 1).await.finish(RunResult::Answer(answer(5)));
    claims.wait_recorded().await;
    assert_eq!(outcomes(&log), [ClaimOutcome::Answer(answer(5))]);
}

/// Guards against recording the wrong outcome for one of the ways in which a run can end: a dropped
/// permit, no answer, an answer of the largest recorded size, a larger answer, and no run.
#[tokio::test(start_paused = true)]
async fn each_result_is_recorded_as_its_outcome() {
    let (log, claims) = start();
    drop(permit(&claims, 1).await);
    claims.wait_recorded().await;
    permit(&claims, 2).await.finish(RunResult::Unknown);
    claims.wait_recorded().await;
    permit(&claims, 3).await.finish(RunResult::Answer(answer(64 * 1024)));
    claims.wait_recorded().await;
    permit(&claims, 4).await.finish(RunResult::Answer(answer(64 * 1024 + 1)));
    claims.wait_recorded().await;
    permit(&claims, 5).await.finish(RunResult::NotRun);
    claims.wait_recorded().await;
    let large = ClaimOutcome::AnswerNotKept { status: 201, size: 64 * 1024 + 1 };
    let kept = ClaimOutcome::Answer(answer(64 * 1024));
    let expected = [ClaimOutcome::Unknown, ClaimOutcome::Unknown, kept, large];
    assert_eq!(outcomes(&log), expected);
    assert_eq!(seal(&claims, 5).await, SealReply::Sealed);
    let again = claims.begin(claim_permit(5)).await;
    assert!(matches!(again, BeginReply::Refused(BeginRefusal::Sealed)), "{again:?}");
}

/// Guards against a second run of a claim that is running, and against a run of a claim that is
/// sealed or belongs to another incarnation.
#[tokio::test(start_paused = true)]
async fn a_claim_gets_one_permit() {
    let (_log, claims) = start();
    let _running = permit(&claims, 1).await;
    assert!(matches!(claims.begin(claim_permit(1)).await, BeginReply::Unknown));
    assert_eq!(seal(&claims, 1).await, SealReply::Running);
    assert_eq!(seal(&claims, 2).await, SealReply::Sealed);
    let late = claims.begin(claim_permit(2)).await;
    assert!(matches!(late, BeginReply::Refused(BeginRefusal::Sealed)), "{late:?}");
    let other = ClaimPermit { side_incarnation: ProcessIncarnation::random(), ..claim_permit(3) };
    let other = claims.begin(other).await;
    assert!(matches!(other, BeginReply::Refused(BeginRefusal::OtherIncarnation)), "{other:?}");
}

/// Guards against a separate append for each outcome, which would exceed the log's append rate.
#[tokio::test(start_paused = true)]
async fn outcomes_are_appended_in_groups() {
    let (log, claims) = start();
    for id in 1..=50 {
        permit(&claims, id).await.finish(RunResult::Answer(answer(5)));
    }
    claims.wait_recorded().await;
    assert_eq!(outcomes(&log).len(), 50);
    assert_eq!(log.counts().appends, 2);
}
