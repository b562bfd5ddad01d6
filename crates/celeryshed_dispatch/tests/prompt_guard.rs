//! Tests of the guard against parts of prompts that crash endpoints: a small fleet with several
//! entries, and single rules.

mod support;

use std::collections::BTreeSet;

use celeryshed_base::MonoTime;
use celeryshed_dispatch::*;
use support::*;

const ENTRIES: usize = 5;
const ENDPOINTS: usize = 14;
const STEP_MS: u64 = 10;
/// Time for which an endpoint that crashed is gone.
const DOWN_MS: u64 = 3000;
const SHARED: PartId = PartId(1);
const CRASHING: [PartId; 2] = [PartId(0xdead), PartId(0xbeef)];
/// Time after the fifth crash from which requests with a crashing part may no longer be sent.
const STABLE_MS: u64 = 3000;

/// A small random number generator, so that a failed seed can be repeated.
struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below
    }
}

struct Flight {
    entry: usize,
    endpoint: usize,
    parts: Vec<PromptPart>,
    begins_at: u64,
    ends_at: u64,
    attempt: u32,
    answer_reported: bool,
}

#[derive(Clone, Copy)]
struct DayPlan {
    guarded: bool,
    /// Percentage of requests with a crashing part.
    share: u64,
    /// Whether the second crashing part comes 6 s after the first one.
    second_part: bool,
    /// Whether requests with the first crashing part are answered at first.
    answered_before: bool,
    /// When an entry restarts and forgets everything.
    entry_restart_at: Option<u64>,
}

const PLAN: DayPlan = DayPlan {
    guarded: true,
    share: 5,
    second_part: false,
    answered_before: false,
    entry_restart_at: None,
};

#[derive(Debug, Default)]
struct DayResult {
    crashes: Vec<u64>,
    sends_after_bound: u32,
    /// Sound requests and those that began at the first attempt: before the first crash, and from
    /// twice the stable time after the fifth one.
    sound_before: (u32, u32),
    sound_after: (u32, u32),
    /// Blocked parts at the end of the day, at any entry.
    blocked: BTreeSet<PartId>,
}

fn prompt(ids: &[PartId]) -> Vec<PromptPart> {
    let numbered = ids.iter().zip(0_u8..);
    numbered.map(|(id, position)| PromptPart { id: *id, position }).collect()
}

fn is_crashing(parts: &[PromptPart], now: u64, plan: &DayPlan) -> bool {
    (!plan.answered_before || now >= 3000) && parts.iter().any(|part| CRASHING.contains(&part.id))
}

struct Day {
    plan: DayPlan,
    random: Random,
    guards: Vec<PromptGuard>,
    /// When each endpoint is back; its number of starts is part of its id.
    endpoints: Vec<(u64, u32)>,
    flights: Vec<Flight>,
    confirmations: Vec<(u64, usize, EndpointId)>,
    mail: Vec<(u64, usize, GuardReport)>,
    result: DayResult,
}

impl Day {
    fn play(seed: u64, plan: DayPlan) -> DayResult {
        let mut day = Self {
            plan,
            random: Random(seed * 7919 + 1),
            guards: vec![PromptGuard::default(); ENTRIES],
            endpoints: vec![(0, 0); ENDPOINTS],
            flights: Vec::new(),
            confirmations: Vec::new(),
            mail: Vec::new(),
            result: DayResult::default(),
        };
        for step in 0..2600 {
            day.step(step * STEP_MS);
        }
        day.result.blocked = day.guards.iter().flat_map(PromptGuard::blocked_parts).collect();
        day.result
    }

    fn id(&self, endpoint: usize) -> EndpointId {
        EndpointId::from(format!("e{endpoint}-{}", self.endpoints[endpoint].1).as_str())
    }

    fn step(&mut self, now: u64) {
        if self.plan.entry_restart_at == Some(now) {
            self.guards[0] = PromptGuard::default();
        }
        self.deliver(now);
        self.advance(now);
        self.report(now);
        self.arrive(now);
    }

    fn arrive(&mut self, now: u64) {
        for _ in 0..1 + self.random.next(2) {
            let own_part = PartId(10 + self.random.next(25));
            let crashes = now >= 2000 && self.random.next(100) < self.plan.share;
            let mut ids = vec![SHARED];
            if crashes {
                let second = self.plan.second_part && now >= 8000;
                ids.push(CRASHING[usize::from(second)]);
            }
            ids.push(own_part);
            // Now and then a part that is seldom used.
            if self.random.next(3) == 0 {
                ids.push(PartId(1000 + self.random.next(400)));
            }
            let entry = self.random.next(ENTRIES as u64) as usize;
            self.send(now, entry, prompt(&ids), 0);
        }
    }

    fn send(&mut self, now: u64, entry: usize, parts: Vec<PromptPart>, attempt: u32) {
        let is_sound = !parts.iter().any(|part| CRASHING.contains(&part.id));
        if attempt == 0
            && is_sound
            && let Some(counts) = self.sound_counts(now)
        {
            counts.0 += 1;
        }
        if self.plan.guarded && self.guards[entry].refuses(at(now), &parts, entry == 0) {
            return;
        }
        let live: Vec<usize> =
            (0..ENDPOINTS).filter(|endpoint| self.endpoints[*endpoint].0 <= now).collect();
        if live.is_empty() {
            return;
        }
        let endpoint = live[self.random.next(live.len() as u64) as usize];
        if self.flights.iter().filter(|flight| flight.endpoint == endpoint).count() >= 30 {
            return;
        }
        if !is_sound && self.result.crashes.get(4).is_some_and(|fifth| now > fifth + STABLE_MS) {
            self.result.sends_after_bound += 1;
        }
        let begins_at = now + 60 + self.random.next(120);
        let ends_at = begins_at + 400 + self.random.next(900);
        let answer_reported = false;
        self.flights.push(Flight {
            entry,
            endpoint,
            parts,
            begins_at,
            ends_at,
            attempt,
            answer_reported,
        });
    }

    fn sound_counts(&mut self, now: u64) -> Option<&mut (u32, u32)> {
        if self.result.crashes.is_empty() {
            return Some(&mut self.result.sound_before);
        }
        let fifth = self.result.crashes.get(4).or(self.result.crashes.last());
        let is_after = fifth.is_some_and(|fifth| now > fifth + 2 * STABLE_MS);
        is_after.then_some(&mut self.result.sound_after)
    }

    fn advance(&mut self, now: u64) {
        if self.plan.guarded {
            let guards = &self.guards;
            self.flights.retain(|flight| {
                let mut blocked = guards[flight.entry].blocked_parts();
                now >= flight.begins_at
                    || !blocked.any(|id| flight.parts.iter().any(|part| part.id == id))
            });
        }
        let mut crashed = BTreeSet::new();
        for index in 0..self.flights.len() {
            let flight = &self.flights[index];
            let begins = now >= flight.begins_at && now < flight.begins_at + STEP_MS;
            if begins && is_crashing(&flight.parts, now, &self.plan) {
                crashed.insert(flight.endpoint);
                continue;
            }
            let is_sound = !flight.parts.iter().any(|part| CRASHING.contains(&part.id));
            if begins
                && is_sound
                && flight.attempt == 0
                && let Some(counts) = self.sound_counts(now)
            {
                counts.1 += 1;
            }
            let flight = &mut self.flights[index];
            if !flight.answer_reported && now >= flight.begins_at + 200 {
                flight.answer_reported = true;
                let guard = &mut self.guards[flight.entry];
                guard.record_answer(at(now), &flight.parts, at(flight.begins_at));
            }
        }
        for endpoint in crashed {
            self.crash(now, endpoint);
        }
        self.flights.retain(|flight| now < flight.ends_at);
    }

    fn crash(&mut self, now: u64, endpoint: usize) {
        let id = self.id(endpoint);
        self.result.crashes.push(now);
        self.endpoints[endpoint].0 = now + DOWN_MS;
        self.endpoints[endpoint].1 += 1;
        let (lost, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.endpoint == endpoint);
        self.flights = rest;
        for flight in lost {
            if now < flight.begins_at + 200 {
                self.guards[flight.entry].record_reset(at(now), &id, &flight.parts);
            }
            self.confirmations.push((now + 10, flight.entry, id.clone()));
            if flight.attempt == 0 && now < flight.begins_at + STEP_MS {
                self.send(now, flight.entry, flight.parts, 1);
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.confirmations)
            .into_iter()
            .partition(|(due_at, ..)| *due_at <= now);
        self.confirmations = rest;
        for (_, entry, id) in due {
            self.guards[entry].record_unreachable(at(now), &id);
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|(due_at, ..)| *due_at <= now);
        self.mail = rest;
        for (_, entry, report) in due {
            self.guards[entry].apply_report(at(now), &report);
        }
    }

    /// Reports news every 50 ms and everything every 700 ms; a tenth of the messages is lost.
    fn report(&mut self, now: u64) {
        for entry in 0..ENTRIES {
            let guard = &mut self.guards[entry];
            guard.take_events();
            let audience = PeerAudience::OwnRegion;
            let is_due =
                now.is_multiple_of(700) || now.is_multiple_of(50) && guard.has_news(audience);
            let Some(report) = is_due.then(|| guard.report(at(now), audience)).flatten() else {
                continue;
            };
            for receiver in (0..ENTRIES).filter(|receiver| *receiver != entry) {
                if self.random.next(10) > 0 {
                    self.mail.push((now + 10 + self.random.next(3) * 10, receiver, report.clone()));
                }
            }
        }
    }
}

fn check(seed: u64, plan: DayPlan) {
    let result = Day::play(seed, plan);
    let crashing = &CRASHING[..1 + usize::from(plan.second_part)];
    assert!(result.sends_after_bound <= 3 * crashing.len() as u32, "seed {seed}: {result:?}");
    assert!(
        served_ratio(result.sound_after) >= 0.5 * served_ratio(result.sound_before),
        "seed {seed}: {result:?}"
    );
    assert_eq!(result.blocked, crashing.iter().copied().collect(), "seed {seed}");
}

fn served_ratio((sent, begun): (u32, u32)) -> f64 {
    f64::from(begun) / f64::from(sent.max(1))
}

/// Guards against endpoints that crash one after the other on a part that requests share and
/// nothing else.
#[test]
fn crashing_part_is_blocked() {
    for seed in 1..=20 {
        for share in [2, 5, 10] {
            check(seed, DayPlan { share, ..PLAN });
        }
    }
}

/// The fleet of these tests loses its endpoints if the guard is not asked.
#[test]
fn unguarded_fleet_goes_on_crashing() {
    for seed in 1..=20 {
        let result = Day::play(seed, DayPlan { guarded: false, ..PLAN });
        assert!(result.sends_after_bound > 10, "seed {seed}: {result:?}");
        assert!(
            served_ratio(result.sound_after) < 0.5 * served_ratio(result.sound_before),
            "seed {seed}: {result:?}"
        );
    }
}

#[test]
fn second_crashing_part_is_blocked() {
    for seed in 1..=20 {
        let result = Day::play(seed, DayPlan { second_part: true, ..PLAN });
        assert_eq!(result.blocked, CRASHING.into_iter().collect(), "seed {seed}: {result:?}");
        assert!(result.crashes.len() < 20, "seed {seed}: {result:?}");
    }
}

#[test]
fn part_that_was_answered_before_is_blocked() {
    for seed in 1..=20 {
        check(seed, DayPlan { answered_before: true, ..PLAN });
    }
}

/// Guards against an entry that starts later and sends blocked requests.
#[test]
fn restarted_entry_learns_blocked_parts() {
    for seed in 1..=20 {
        check(seed, DayPlan { entry_restart_at: Some(9000), ..PLAN });
    }
}

/// Crashes an endpoint while requests with these parts are in flight.
fn crash(guard: &mut PromptGuard, now: MonoTime, id: &str, parts: &[PromptPart]) {
    guard.record_reset(now, &id.into(), parts);
    guard.record_unreachable(now + ms(10), &id.into());
}

fn blocked(guard: &PromptGuard) -> Vec<PartId> {
    guard.blocked_parts().collect()
}

/// Guards against a block because a fault of the platform ends many endpoints at once.
#[test]
fn simultaneous_crashes_count_once() {
    let mut guard = PromptGuard::default();
    for endpoint in 0..10 {
        crash(&mut guard, at(endpoint), &format!("e{endpoint}"), &prompt(&[SHARED, PartId(7)]));
    }
    assert!(blocked(&guard).is_empty());
}

#[test]
fn reset_of_reachable_endpoint_is_no_crash() {
    let mut guard = PromptGuard::default();
    for number in 0..10 {
        let id = EndpointId::from(format!("e{number}").as_str());
        guard.record_reset(at(number * 100), &id, &prompt(&[PartId(7)]));
        guard.record_unreachable(at(number * 100 + 1500), &id);
    }
    assert!(blocked(&guard).is_empty());
}

/// Guards against the block of a sound part that was beside the crashing one every time.
#[test]
fn block_ends_when_another_part_explains_the_crashes() {
    let mut guard = PromptGuard::default();
    let (sound, crashing) = (PartId(9), PartId(7));
    for number in 0..3 {
        crash(&mut guard, at(number * 100), &format!("e{number}"), &prompt(&[crashing, sound]));
    }
    assert_eq!(blocked(&guard), [sound]);
    crash(&mut guard, at(400), "e4", &prompt(&[crashing]));
    assert_eq!(blocked(&guard), [crashing]);
}

/// Guards against a block without end: one request is tried from time to time, at one entry only.
#[test]
fn blocked_part_is_tried_and_released() {
    let mut guard = PromptGuard::default();
    let parts = prompt(&[PartId(7)]);
    for number in 0..3 {
        crash(&mut guard, at(number * 100), &format!("e{number}"), &parts);
    }
    // The requests go on, so that the block outlasts its crashes.
    for second in 1..60 {
        assert!(guard.refuses(at(second * 1000), &parts, true));
        guard.report(at(second * 1000), PeerAudience::OwnRegion);
    }
    assert!(guard.refuses(at(61_000), &parts, false), "other entries try nothing");
    assert!(!guard.refuses(at(61_000), &parts, true));
    assert!(guard.refuses(at(61_010), &parts, true), "one request is tried");
    guard.record_answer(at(61_500), &parts, at(61_200));
    assert!(blocked(&guard).is_empty());
}

#[test]
fn block_ends_without_requests() {
    let mut guard = PromptGuard::default();
    let parts = prompt(&[PartId(7)]);
    for number in 0..3 {
        crash(&mut guard, at(number * 100), &format!("e{number}"), &parts);
    }
    guard.report(at(59_000), PeerAudience::OwnRegion);
    assert_eq!(blocked(&guard), [PartId(7)]);
    guard.report(at(62_000), PeerAudience::OwnRegion);
    assert!(blocked(&guard).is_empty());
}

/// Guards against an entry that starts long after the crashes and sends a blocked request, and
/// against reports that keep a block alive without requests.
#[test]
fn late_entry_learns_block_while_requests_arrive() {
    let mut guards = vec![PromptGuard::default(); 3];
    let parts = prompt(&[PartId(7)]);
    for number in 0..3 {
        crash(&mut guards[0], at(number * 100), &format!("e{number}"), &parts);
    }
    for second in 1..200 {
        let now = at(second * 1000);
        if second < 100 {
            assert!(guards[0].refuses(now, &parts, false), "{second}");
        }
        if second == 90 {
            guards[2] = PromptGuard::default();
        }
        for sender in 0..3 {
            let Some(report) = guards[sender].report(now, PeerAudience::OwnRegion) else {
                continue;
            };
            for receiver in (0..3).filter(|receiver| *receiver != sender) {
                guards[receiver].apply_report(now, &report);
            }
        }
        if second < 100 {
            assert_eq!(blocked(&guards[2]), [PartId(7)], "{second}");
        }
    }
    assert!(guards.iter().all(|guard| blocked(guard).is_empty()), "the block ends");
}

#[test]
fn malformed_lists_have_no_parts() {
    for list in ["", ",", ":", "a", "a:1,", "a:1,b", ":1,b:2", "a:x,b:2", "a:1,,b:2", "a:-1,b:1"] {
        assert!(shared_parts(list).is_empty(), "{list:?}");
    }
    let long = vec!["ab:1"; 1000].join(",");
    assert!(shared_parts(&long).len() <= 16);
    let not_hex = shared_parts("no hex:1,b:2");
    assert_eq!(not_hex.len(), 1);
}
