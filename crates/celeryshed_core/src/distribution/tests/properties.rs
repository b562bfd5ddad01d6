//! Properties for random views of the membership.

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};

use super::fleet::{CoreFleet, digest, instance, plan, view};

/// Longest time that a spread may take under any of the faults here.
const LIMIT: Duration = Duration::from_secs(3600);

/// Sidecars that bit i of `mask` names, and `own`.
fn masked(count: usize, mask: u64, own: usize) -> Vec<usize> {
    (0..count).filter(|index| *index == own || mask >> index & 1 == 1).collect()
}

/// Guards against two sidecars that wait for each other because their views differ.
#[test]
fn no_pair_of_views_forms_a_cycle() {
    fn property(first: u64, second: u64, chunk: usize, one: usize, other: usize) -> TestResult {
        let count = 60;
        let (one, other) = (one % count, other % count);
        if one == other {
            return TestResult::discard();
        }
        let asks = |own: usize, mask: u64, target: usize| {
            let route = plan(own, &view(masked(count, mask, own))).route(&digest(chunk));
            route.near.iter().chain(&route.far).any(|name| *name == instance(target))
        };
        TestResult::from_bool(!(asks(one, first, other) && asks(other, second, one)))
    }
    QuickCheck::new().tests(2000).quickcheck(property as fn(_, _, _, _, _) -> _);
}

/// Guards against a child that its parent doesn't know of, and so never gets an offer.
#[test]
fn parents_and_children_agree_within_one_view() {
    fn property(chunk: usize, count: usize) -> bool {
        let count = 2 + count % 60;
        let all = view(0..count);
        (0..count).all(|child| {
            let route = plan(child, &all).route(&digest(chunk));
            let parent = route.near.first().or(route.far.first());
            parent.is_none_or(|parent| {
                let index = (0..count).find(|index| instance(*index) == *parent).unwrap();
                plan(index, &all).children(&digest(chunk)).contains(&instance(child))
            })
        })
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(_, _) -> _);
}

/// Guards against chunks that never arrive, and against origin bytes that grow with the number of
/// sidecars, whatever each of them believes about the others and whoever is dead.
#[test]
fn every_chunk_arrives_for_any_views_and_deaths() {
    fn property(masks: Vec<u64>, dead: usize, seed: u64) -> TestResult {
        let count = 24;
        if masks.is_empty() {
            return TestResult::discard();
        }
        // Two random masks together leave out a quarter of the others.
        let mask = |own: usize| masks[own % masks.len()] | masks[(own / 2) % masks.len()];
        let views: Vec<_> = (0..count).map(|own| view(masked(count, mask(own), own))).collect();
        let mut fleet = CoreFleet::new(&views, 12, seed);
        fleet.dead.insert(dead % count);
        let arrived = fleet.run(LIMIT);
        TestResult::from_bool(arrived && fleet.external_copies() < count as f64 / 2.0)
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(_, _, _) -> _);
}

/// Guards against more than one copy from the external source when all views agree.
#[test]
fn equal_views_fetch_one_copy() {
    let views = vec![view(0..45); 45];
    let mut fleet = CoreFleet::new(&views, 40, 1);
    assert!(fleet.run(LIMIT));
    assert_eq!(fleet.external_copies(), 1.0);
}
