//! Tests of admission control.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{
    AttemptId, ContentDigest, MonoTime, RequestId, ServiceName, TeamName, TokenCount, TokenRate,
};
use quickcheck::{Gen, QuickCheck, Testable};

use super::*;
use crate::configuration::{ConfigurationState, ScarcityPolicy, TeamContract};

/// Checks a property with the seed in `QUICKCHECK_SEED`, or a random one, which a failure prints.
#[expect(clippy::print_stdout, reason = "a failed test shows its output")]
pub(crate) fn check_property(property: impl Testable) {
    let configured = std::env::var("QUICKCHECK_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = configured.unwrap_or_else(rand::random);
    println!("QUICKCHECK_SEED={seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(100, seed)).quickcheck(property);
}

fn team_name(text: &str) -> TeamName {
    TeamName::try_from(text).unwrap()
}

fn at(milliseconds: u64) -> MonoTime {
    MonoTime(Duration::from_millis(milliseconds))
}

fn contract(token_rate: u64, requests: u32) -> TeamContract {
    TeamContract {
        api_key_hash: ContentDigest::of(b"key"),
        service: ServiceName::try_from("copywriter").unwrap(),
        token_rate: TokenRate(token_rate),
        requests_in_progress: requests,
        burst: TokenCount(token_rate),
        displaces: BTreeSet::from([team_name("press")]),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Refuse,
        retry_budget_percent: 10,
        first_token: Duration::from_millis(420),
        objective_basis_points: 9900,
    }
}

fn state() -> ConfigurationState {
    let mut state = ConfigurationState::default();
    state.contracts.insert(team_name("seeds"), contract(100, 4));
    state.contracts.insert(team_name("press"), contract(100, 4));
    state.contracts.insert(team_name("trays"), contract(100, 4));
    state
}

fn slot_request(id: u128, team: &str, class: SlotClass, resumable: bool) -> SlotRequest {
    let (attempt_id, team) = (AttemptId::from_u128(id), team_name(team));
    SlotRequest { attempt_id, team, class, resumable, suspect: false }
}

/// Guards against displacing bookings, work that can't be resumed, and work of teams that the
/// contract doesn't name.
#[test]
fn displaces_only_work_that_the_contract_permits() {
    use SlotClass::{BestEffort, Booking, Contracted};
    let cases = [
        ("uncontracted", BestEffort, true, "seeds", Contracted, true),
        ("press", BestEffort, true, "seeds", Contracted, true),
        ("trays", BestEffort, true, "seeds", Contracted, false),
        ("press", Contracted, true, "seeds", Contracted, false),
        ("uncontracted", BestEffort, false, "seeds", Contracted, false),
        ("uncontracted", Booking, true, "seeds", Booking, false),
        ("uncontracted", BestEffort, true, "uncontracted", BestEffort, false),
        ("seeds", BestEffort, true, "seeds", Contracted, true),
    ];
    for (victim, victim_class, resumable, team, class, displaced) in cases {
        let mut table = SlotTable::new(1);
        table.request(slot_request(1, victim, victim_class, resumable), Some(&state()));
        let decision = table.request(slot_request(2, team, class, true), Some(&state()));
        let expected = match displaced {
            true => SlotDecision::Displaced { victim: AttemptId::from_u128(1) },
            false => SlotDecision::Busy,
        };
        assert_eq!(decision, expected, "{victim} {victim_class:?} by {team} {class:?}");
    }
}

/// Guards against running an attempt twice, or after its cancellation arrived first.
#[test]
fn refuses_cancelled_and_repeated_attempts() {
    let mut table = SlotTable::new(4);
    assert!(!table.cancel(AttemptId::from_u128(1)));
    let request = |id| slot_request(id, "seeds", SlotClass::Contracted, true);
    assert_eq!(table.request(request(1), None), SlotDecision::Cancelled);
    assert_eq!(table.request(request(2), None), SlotDecision::Granted);
    assert_eq!(table.request(request(2), None), SlotDecision::Duplicate);
    assert!(table.cancel(AttemptId::from_u128(2)));
}

/// Guards against two suspects on one endpoint, where a crash would not show which one caused it.
#[test]
fn runs_one_suspect_at_a_time() {
    let mut table = SlotTable::new(4);
    let suspect = |id| SlotRequest {
        suspect: true,
        ..slot_request(id, "seeds", SlotClass::Contracted, true)
    };
    assert_eq!(table.request(suspect(1), None), SlotDecision::Granted);
    assert_eq!(table.request(suspect(2), None), SlotDecision::SuspectRuns);
    table.release(&AttemptId::from_u128(1));
    assert_eq!(table.request(suspect(3), None), SlotDecision::Granted);
}

/// Guards against starvation of uncontracted work: it gets all free slots except the headroom.
#[test]
fn uncontracted_work_uses_free_slots() {
    let mut table = SlotTable::new(16);
    let granted = (0..16).filter(|id| {
        let request = slot_request(*id, "uncontracted", SlotClass::BestEffort, true);
        table.request(request, Some(&state())) == SlotDecision::Granted
    });
    assert_eq!(granted.count(), 15);
}

/// Guards against entries that together admit more requests in progress than documented, when all
/// of them see the same number of entries.
#[test]
fn requests_in_progress_stay_within_the_bound() {
    fn property(entries: u8, reserved: u16) -> bool {
        let (entries, reserved) = (u32::from(entries).max(1), u32::from(reserved % 500).max(1));
        let contract = contract(1_000_000, reserved);
        let admitted_by_entry = |_| {
            let mut limits = TeamLimits::default();
            let admit = |_: &u32| {
                let grant = limits.admit(&team_name("seeds"), Some(&contract), 1, entries, at(0));
                grant.class == SlotClass::Contracted
            };
            (0..reserved + 1).filter(admit).count() as f64
        };
        let sum: f64 = (0..entries.min(3)).map(admitted_by_entry).sum::<f64>() * f64::from(entries)
            / f64::from(entries.min(3));
        let (reserved, entries) = (f64::from(reserved), f64::from(entries));
        sum <= reserved + (reserved * entries).sqrt() + entries
    }
    check_property(property as fn(u8, u16) -> bool);
}

/// Guards against an entry that exceeds its token share by more than one request.
#[test]
fn tokens_stay_within_the_share() {
    fn property(entries: u8, pauses_ms: Vec<u16>) -> bool {
        let entries = u32::from(entries % 8) + 1;
        let contract = contract(1000, 1000);
        let (mut limits, mut now, mut admitted) = (TeamLimits::default(), 0, 0);
        for pause in pauses_ms {
            now += u64::from(pause);
            let grant = limits.admit(&team_name("seeds"), Some(&contract), 50, entries, at(now));
            admitted += grant.charged_tokens;
            limits.end(&team_name("seeds"), grant, 50);
        }
        let share = (1000 + 1000 * now / 1000) / u64::from(entries);
        admitted <= share + 50
    }
    check_property(property as fn(u8, Vec<u16>) -> bool);
}

/// Guards against retries that multiply load: at 10%, they stay within a tenth of the requests plus
/// the initial three.
#[test]
fn retries_stay_within_the_budget() {
    fn property(steps: Vec<bool>) -> bool {
        let mut budgets = RetryBudgets::default();
        let (mut requests, mut retries) = (0, 0);
        for is_request in steps {
            if is_request {
                budgets.request(&team_name("seeds"), Some((10, 100)));
                requests += 1;
            } else if budgets.try_withdraw(&team_name("seeds")) {
                retries += 1;
            }
        }
        retries * 10 <= requests + 30
    }
    check_property(property as fn(Vec<bool>) -> bool);
}

/// Guards against more running attempts than slots, as when a displaced attempt keeps its slot.
#[test]
fn slots_are_never_exceeded() {
    fn property(requests: Vec<(u8, u8, bool)>) -> bool {
        let mut table = SlotTable::new(5);
        requests.into_iter().enumerate().all(|(id, (team, class, release))| {
            let team = ["seeds", "press", "trays", "uncontracted"][usize::from(team % 4)];
            let class = [SlotClass::BestEffort, SlotClass::Contracted, SlotClass::Booking]
                [usize::from(class % 3)];
            let request = slot_request(id as u128, team, class, class != SlotClass::Booking);
            table.request(request, Some(&state()));
            if release {
                table.release(&AttemptId::from_u128(id as u128));
            }
            table.load().running <= 5
        })
    }
    check_property(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

/// Guards against exceeding [`admitted_share_bounds`] when each of 3 entries counts 2 or 4 entries.
#[test]
fn token_shares_of_disagreeing_entries_stay_within_the_bounds() {
    let contract = contract(3000, 1000);
    let admitted = |counted_entries: u32| {
        let mut limits = TeamLimits::default();
        let grants = (0..10_000).map(|step| {
            let grant =
                limits.admit(&team_name("seeds"), Some(&contract), 10, counted_entries, at(step));
            limits.end(&team_name("seeds"), grant, 10);
            grant.charged_tokens
        });
        grants.sum::<u64>() as f64
    };
    // Over 10 s the contract permits 11 s of its rate, because the burst adds one second.
    let contracted_tokens = 11.0 * 3000.0;
    let (least, most) = admitted_share_bounds(3, 1, 1);
    assert!(3.0 * admitted(2) <= most * contracted_tokens + 30.0, "{}", 3.0 * admitted(2));
    assert!(3.0 * admitted(4) >= least * contracted_tokens - 30.0, "{}", 3.0 * admitted(4));
}

fn queue_item(id: u128, team: &str, class: SlotClass, deadline: u64) -> QueueItem {
    let (request_id, team) = (RequestId::from_u128(id), team_name(team));
    QueueItem { request_id, team, class, deadline: at(deadline), resumed: false }
}

/// Guards against a team that delays others, and against a wrong order of classes and resumed
/// requests.
#[test]
fn teams_take_turns() {
    let mut queue = WaitQueue::default();
    for (id, team) in [(1, "press"), (2, "press"), (3, "press"), (4, "trays")] {
        queue.push(queue_item(id, team, SlotClass::BestEffort, 9000), at(0)).unwrap();
    }
    queue.push(queue_item(5, "press", SlotClass::Contracted, 9000), at(0)).unwrap();
    let resumed =
        QueueItem { resumed: true, ..queue_item(6, "press", SlotClass::BestEffort, 9000) };
    queue.push(resumed, at(0)).unwrap();
    let mut order = Vec::new();
    while let Some(next) = queue.next_candidates(1).first().copied() {
        queue.take(&next, at(1));
        order.push(next.0.as_u128());
    }
    assert_eq!(order, [5, 6, 4, 1, 2, 3]);
}

/// Guards against queueing requests that can't meet their deadline: at 100 ms per turn, the 30th
/// request would miss a deadline of 1 s.
#[test]
fn refuses_requests_that_would_wait_too_long() {
    let mut queue = WaitQueue::default();
    for id in 0..32 {
        queue.push(queue_item(id, "press", SlotClass::BestEffort, 60_000), at(0)).unwrap();
    }
    for turn in 1..4 {
        let next = queue.next_candidates(1)[0];
        queue.take(&next, at(turn * 100));
    }
    let late = queue.push(queue_item(90, "press", SlotClass::BestEffort, 1300), at(300));
    assert!(matches!(late, Err(QueueRefusal::TooLate { expected }) if expected.as_millis() > 2000));
    assert_eq!(queue.push(queue_item(91, "trays", SlotClass::BestEffort, 1300), at(300)), Ok(None));
    assert_eq!(queue.expire(at(1300)).len(), 1);
}

/// Guards against a queue above its limit, and against teams with many requests that keep out teams
/// with few.
#[test]
fn a_full_queue_evicts_from_the_largest_team() {
    let mut queue = WaitQueue::new(QueueOptions { length: 4 });
    for id in 0..4 {
        queue.push(queue_item(id, "press", SlotClass::BestEffort, 9000), at(0)).unwrap();
    }
    let own = queue.push(queue_item(4, "press", SlotClass::BestEffort, 9000), at(0));
    assert_eq!(own, Err(QueueRefusal::Full));
    let other = queue.push(queue_item(5, "trays", SlotClass::BestEffort, 9000), at(0)).unwrap();
    assert_eq!(other.map(|item| item.request_id), Some(RequestId::from_u128(3)));
    assert_eq!(queue.len(), 4);
}
