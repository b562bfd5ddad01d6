//! Tests of admission.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{
    AttemptId, ContentDigest, MonoTime, RequestId, ServiceName, TeamName, TokenCount, TokenRate,
};
use quickcheck::{Gen, QuickCheck, Testable};

use super::*;
use crate::configuration::{ConfigurationState, ScarcityPolicy, TeamContract};

/// Checks a property with a random seed, or that of `QUICKCHECK_SEED`; a failure shows the seed.
#[expect(clippy::print_stdout, reason = "a failed test shows its output")]
pub(crate) fn seeded(property: impl Testable) {
    let given = std::env::var("QUICKCHECK_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = given.unwrap_or_else(rand::random);
    println!("QUICKCHECK_SEED={seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(100, seed)).quickcheck(property);
}

fn name(text: &str) -> TeamName {
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
        displaces: BTreeSet::from([name("press")]),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Refuse,
        retry_budget_percent: 10,
        first_token: Duration::from_millis(420),
        objective_basis_points: 9900,
    }
}

fn state() -> ConfigurationState {
    let mut state = ConfigurationState::default();
    state.contracts.insert(name("seeds"), contract(100, 4));
    state.contracts.insert(name("press"), contract(100, 4));
    state.contracts.insert(name("trays"), contract(100, 4));
    state
}

fn slot(id: u128, team: &str, class: SlotClass, resumable: bool) -> SlotRequest {
    let (attempt_id, team) = (AttemptId::from_u128(id), name(team));
    SlotRequest { attempt_id, team, class, resumable, suspect: false }
}

/// Guards the order of displacement: lowest class, youngest first, never a booking, a plain call,
/// or a team that the contract doesn't name.
#[test]
fn displaces_only_what_the_contract_names() {
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
        table.request(slot(1, victim, victim_class, resumable), Some(&state()));
        let decision = table.request(slot(2, team, class, true), Some(&state()));
        let expected = match displaced {
            true => SlotDecision::Displaced { victim: AttemptId::from_u128(1) },
            false => SlotDecision::Busy,
        };
        assert_eq!(decision, expected, "{victim} {victim_class:?} by {team} {class:?}");
    }
}

/// Guards cancellations that arrive before their attempt, and attempts that arrive twice.
#[test]
fn refuses_cancelled_and_repeated_attempts() {
    let mut table = SlotTable::new(4);
    assert!(!table.cancel(AttemptId::from_u128(1)));
    let request = |id| slot(id, "seeds", SlotClass::Contracted, true);
    assert_eq!(table.request(request(1), None), SlotDecision::Cancelled);
    assert_eq!(table.request(request(2), None), SlotDecision::Granted);
    assert_eq!(table.request(request(2), None), SlotDecision::Duplicate);
    assert!(table.cancel(AttemptId::from_u128(2)));
}

/// Guards the limit of one suspect per endpoint.
#[test]
fn runs_one_suspect_at_a_time() {
    let mut table = SlotTable::new(4);
    let suspect =
        |id| SlotRequest { suspect: true, ..slot(id, "seeds", SlotClass::Contracted, true) };
    assert_eq!(table.request(suspect(1), None), SlotDecision::Granted);
    assert_eq!(table.request(suspect(2), None), SlotDecision::SuspectRuns);
    table.release(&AttemptId::from_u128(1));
    assert_eq!(table.request(suspect(3), None), SlotDecision::Granted);
}

/// Guards uncontracted work against starvation: with capacity free it is admitted and gets slots.
#[test]
fn uncontracted_work_uses_free_slots() {
    let mut table = SlotTable::new(16);
    let granted = (0..16).filter(|id| {
        let request = slot(*id, "uncontracted", SlotClass::BestEffort, true);
        table.request(request, Some(&state())) == SlotDecision::Granted
    });
    assert_eq!(granted.count(), 15);
}

/// Guards the stated bound on requests in progress over entries with the same view.
#[test]
fn shares_stay_within_the_bound() {
    fn property(entries: u8, reserved: u16) -> bool {
        let (entries, reserved) = (u32::from(entries).max(1), u32::from(reserved % 500).max(1));
        let contract = contract(1_000_000, reserved);
        let admitted_by_one = |_| {
            let mut limits = TeamLimits::default();
            let admit = |_: &u32| {
                let grant = limits.admit(&name("seeds"), Some(&contract), 1, entries, at(0));
                grant.class == SlotClass::Contracted
            };
            (0..reserved + 1).filter(admit).count() as f64
        };
        let sum: f64 = (0..entries.min(3)).map(admitted_by_one).sum::<f64>() * f64::from(entries)
            / f64::from(entries.min(3));
        let (reserved, entries) = (f64::from(reserved), f64::from(entries));
        sum <= reserved + (reserved * entries).sqrt() + entries
    }
    seeded(property as fn(u8, u16) -> bool);
}

/// Guards the rate: over any time an entry admits its share and at most one request more.
#[test]
fn tokens_stay_within_the_share() {
    fn property(entries: u8, pauses_ms: Vec<u16>) -> bool {
        let entries = u32::from(entries % 8) + 1;
        let contract = contract(1000, 1000);
        let (mut limits, mut now, mut admitted) = (TeamLimits::default(), 0, 0);
        for pause in pauses_ms {
            now += u64::from(pause);
            let grant = limits.admit(&name("seeds"), Some(&contract), 50, entries, at(now));
            admitted += grant.charged_tokens;
            limits.end(&name("seeds"), grant, 50);
        }
        let share = (1000 + 1000 * now / 1000) / u64::from(entries);
        admitted <= share + 50
    }
    seeded(property as fn(u8, Vec<u16>) -> bool);
}

/// Guards the amplification: retries never exceed a tenth of the requests and the first three.
#[test]
fn retries_stay_within_the_budget() {
    fn property(steps: Vec<bool>) -> bool {
        let mut budgets = RetryBudgets::default();
        let (mut requests, mut retries) = (0, 0);
        for is_request in steps {
            if is_request {
                budgets.request(&name("seeds"), Some((10, 100)));
                requests += 1;
            } else if budgets.try_withdraw(&name("seeds")) {
                retries += 1;
            }
        }
        retries * 10 <= requests + 30
    }
    seeded(property as fn(Vec<bool>) -> bool);
}

/// Guards the slots: never more attempts than slots, and a displaced one is gone.
#[test]
fn slots_are_never_exceeded() {
    fn property(requests: Vec<(u8, u8, bool)>) -> bool {
        let mut table = SlotTable::new(5);
        requests.into_iter().enumerate().all(|(id, (team, class, release))| {
            let team = ["seeds", "press", "trays", "uncontracted"][usize::from(team % 4)];
            let class = [SlotClass::BestEffort, SlotClass::Contracted, SlotClass::Booking]
                [usize::from(class % 3)];
            let request = slot(id as u128, team, class, class != SlotClass::Booking);
            table.request(request, Some(&state()));
            if release {
                table.release(&AttemptId::from_u128(id as u128));
            }
            table.load().running <= 5
        })
    }
    seeded(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

/// Guards the bound for differing views: entries that count 2 or 4 of 3 entries.
#[test]
fn differing_views_stay_within_the_bounds() {
    let contract = contract(3000, 1000);
    let admitted = |seen: u32| {
        let mut limits = TeamLimits::default();
        let grants = (0..10_000).map(|step| {
            let grant = limits.admit(&name("seeds"), Some(&contract), 10, seen, at(step));
            limits.end(&name("seeds"), grant, 10);
            grant.charged_tokens
        });
        grants.sum::<u64>() as f64
    };
    // The burst of one second counts as well: 11 s of the rate over 10 s.
    let whole = 11.0 * 3000.0;
    let (least, most) = admitted_share_bounds(3, 1, 1);
    assert!(3.0 * admitted(2) <= most * whole + 30.0, "{}", 3.0 * admitted(2));
    assert!(3.0 * admitted(4) >= least * whole - 30.0, "{}", 3.0 * admitted(4));
}

fn waiting(id: u128, team: &str, class: SlotClass, deadline: u64) -> QueueItem {
    let (request_id, team) = (RequestId::from_u128(id), name(team));
    QueueItem { request_id, team, class, deadline: at(deadline), resumes: false }
}

/// Guards the turns: higher classes first, then one request of each team after the other.
#[test]
fn teams_take_turns() {
    let mut queue = WaitQueue::default();
    for (id, team) in [(1, "press"), (2, "press"), (3, "press"), (4, "trays")] {
        queue.push(waiting(id, team, SlotClass::BestEffort, 9000), at(0)).unwrap();
    }
    queue.push(waiting(5, "press", SlotClass::Contracted, 9000), at(0)).unwrap();
    let resumed = QueueItem { resumes: true, ..waiting(6, "press", SlotClass::BestEffort, 9000) };
    queue.push(resumed, at(0)).unwrap();
    let mut order = Vec::new();
    while let Some(next) = queue.next_candidates(1).first().copied() {
        queue.take(&next, at(1));
        order.push(next.0.as_u128());
    }
    assert_eq!(order, [5, 6, 4, 1, 2, 3]);
}

/// Guards the early refusal: at 100 ms per turn the 30th request can't meet a deadline of 1 s.
#[test]
fn refuses_early_what_comes_too_late() {
    let mut queue = WaitQueue::default();
    for id in 0..32 {
        queue.push(waiting(id, "press", SlotClass::BestEffort, 60_000), at(0)).unwrap();
    }
    for turn in 1..4 {
        let next = queue.next_candidates(1)[0];
        queue.take(&next, at(turn * 100));
    }
    let late = queue.push(waiting(90, "press", SlotClass::BestEffort, 1300), at(300));
    assert!(matches!(late, Err(QueueRefusal::TooLate { expected }) if expected.as_millis() > 2000));
    assert_eq!(queue.push(waiting(91, "trays", SlotClass::BestEffort, 1300), at(300)), Ok(None));
    assert_eq!(queue.expire(at(1300)).len(), 1);
}

/// Guards the bound of the queue, and teams with few requests against those with many.
#[test]
fn a_full_queue_gives_up_the_largest_share() {
    let mut queue = WaitQueue::new(QueueOptions { length: 4 });
    for id in 0..4 {
        queue.push(waiting(id, "press", SlotClass::BestEffort, 9000), at(0)).unwrap();
    }
    let own = queue.push(waiting(4, "press", SlotClass::BestEffort, 9000), at(0));
    assert_eq!(own, Err(QueueRefusal::Full));
    let other = queue.push(waiting(5, "trays", SlotClass::BestEffort, 9000), at(0)).unwrap();
    assert_eq!(other.map(|item| item.request_id), Some(RequestId::from_u128(3)));
    assert_eq!(queue.len(), 4);
}
