//! Tests of burn rates and their sliding windows.

use std::time::Duration;

use celeryshed_base::{MonoTime, TeamName};

use super::*;
use crate::admission::tests::check_property;

fn team_name() -> TeamName {
    TeamName::try_from("seeds").unwrap()
}

/// Guards against counting a request after its window passed, or dropping it from longer windows.
#[test]
fn requests_leave_shorter_windows_first() {
    let mut table = BurnTable::default();
    table.record(&team_name(), false, MonoTime::ZERO);
    let later = MonoTime(Duration::from_secs(301));
    table.record(&team_name(), true, later);
    let counts = BURN_WINDOWS.map(|window| table.count(&team_name(), window, later));
    assert_eq!(counts[0], WindowCount { total: 1, bad: 0 });
    assert_eq!(counts[1], WindowCount { total: 2, bad: 1 });
    assert_eq!(
        table.count(&team_name(), BURN_WINDOWS[3], MonoTime(Duration::from_secs(21_900))).bad,
        0
    );
}

/// Guards against wrong rates without requests, with an exceeded budget and at a 100% objective.
#[test]
fn burn_rate_and_budget_edge_cases() {
    let empty_count = WindowCount::default();
    assert_eq!((empty_count.burn_rate(9900), empty_count.budget_left(9900)), (0.0, 1.0));
    let count = WindowCount { total: 200, bad: 4 };
    assert!((count.burn_rate(9900) - 2.0).abs() < 1e-9);
    assert!((count.budget_left(9900) + 1.0).abs() < 1e-9);
    assert_eq!(count.burn_rate(10_000), f64::INFINITY);
}

/// Guards against a shorter window that counts more requests than a longer one.
#[test]
fn counts_grow_with_the_window() {
    fn property(records: Vec<(u16, bool)>) -> bool {
        let (mut table, mut now) = (BurnTable::default(), MonoTime::ZERO);
        for (pause, good) in &records {
            now = now + Duration::from_secs(u64::from(pause % 600));
            table.record(&team_name(), *good, now);
        }
        let totals = BURN_WINDOWS.map(|window| table.count(&team_name(), window, now).total);
        totals.is_sorted() && totals[3] <= records.len() as u64
    }
    check_property(property as fn(Vec<(u16, bool)>) -> bool);
}
