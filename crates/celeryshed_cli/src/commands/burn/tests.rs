//! Tests the calculations of the burn report: sums over entries, burn rates and budgets.

use celeryshed_base::{InstanceName, UnixMillis};

use super::*;

fn reply(instance: &str, total: u64, bad: u64) -> BurnReply {
    let team = TeamName::try_from("portal").expect("a name");
    BurnReply {
        instance: InstanceName::try_from(instance).expect("a name"),
        counting_since: UnixMillis(0),
        counts: BTreeMap::from([(team.clone(), BTreeMap::from([(300, BurnCount { total, bad })]))]),
        objectives: BTreeMap::from([(team, 9_900)]),
    }
}

#[test]
fn counts_of_entries_are_summed() {
    let rows = burn_rows(&[reply("e1", 600, 1), reply("e2", 400, 4)]);
    assert_eq!(rows[1], ["portal", "300", "1000", "5", "99.00", "0.50", "50.00"]);
}

#[test]
fn a_spent_budget_is_not_negative() {
    let rows = burn_rows(&[reply("e1", 100, 50)]);
    assert_eq!(rows[1][5..], ["50.00", "0.00"]);
}

#[test]
fn no_requests_give_a_burn_rate_of_zero() {
    let rows = burn_rows(&[reply("e1", 0, 0)]);
    assert_eq!(rows[1][5..], ["0.00", "100.00"]);
}
