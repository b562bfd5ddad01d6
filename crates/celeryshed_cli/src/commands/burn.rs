//! `celeryshed report burn`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::TeamName;
use celeryshed_wire::{BurnCount, BurnReply, decode};
use eyre::{Result, WrapErr};
use futures::future::join_all;

use super::output::{align, print};
use crate::args::ReportFormat;
use crate::run::ExitStatus;

/// Timeout of the request to one entry.
const BURN_TIMEOUT: Duration = Duration::from_secs(3);

/// Basis points in 100%.
const FULL_BASIS_POINTS: f64 = 10_000.0;

/// Prints the error-budget burn of each team over several windows; fails when an entry can't be
/// reached.
pub(crate) async fn report(entries: &[SocketAddr], format: ReportFormat) -> Result<ExitStatus> {
    let client = reqwest::Client::builder().no_proxy().timeout(BURN_TIMEOUT).build()?;
    let replies = join_all(entries.iter().map(|entry| fetch_burn(&client, *entry))).await;
    let mut collected = Vec::new();
    let mut missing = Vec::new();
    for (entry, reply) in entries.iter().zip(replies) {
        match reply {
            Ok(reply) => collected.push(reply),
            Err(error) => missing.push(format!("{entry}: {error:#}")),
        }
    }
    let rows = burn_rows(&collected);
    let mut text = match format {
        ReportFormat::Table => align(&rows),
        ReportFormat::Csv => rows.iter().map(|row| row.join(",") + "\n").collect(),
    };
    let comment_prefix = if format == ReportFormat::Csv { "# " } else { "" };
    for entry in &missing {
        text.push_str(&format!("{comment_prefix}not reached, its requests are missing: {entry}\n"));
    }
    print(&text)?;
    Ok(if missing.is_empty() { ExitStatus::Done } else { ExitStatus::Failed })
}

async fn fetch_burn(client: &reqwest::Client, entry: SocketAddr) -> Result<BurnReply> {
    let url = format!("http://{entry}/entry/v1/burn");
    let reply = client.get(&url).send().await.wrap_err("no reply")?.error_for_status()?;
    let body = reply.bytes().await.wrap_err("the reply was cut off")?;
    decode(&body).wrap_err("the reply is not a burn report")
}

/// Returns a header and one row for each team and window, summed over the entries.
fn burn_rows(replies: &[BurnReply]) -> Vec<Vec<String>> {
    let mut counts: BTreeMap<(&TeamName, u64), BurnCount> = BTreeMap::new();
    let mut objectives: BTreeMap<&TeamName, u32> = BTreeMap::new();
    for reply in replies {
        objectives.extend(reply.objectives.iter().map(|(name, objective)| (name, *objective)));
        for (team, windows) in &reply.counts {
            for (window, count) in windows {
                let sum = counts.entry((team, *window)).or_default();
                sum.total += count.total;
                sum.bad += count.bad;
            }
        }
    }
    let names = [
        "team",
        "window_s",
        "requests",
        "bad",
        "objective_percent",
        "burn_rate",
        "budget_left_percent",
    ];
    let mut rows = vec![names.map(str::to_owned).to_vec()];
    for ((team, window), count) in counts {
        rows.push(burn_row(team, window, count, objectives.get(team).copied()));
    }
    rows
}

/// Renders the row of a team and window. A burn rate of 1 uses up the error budget exactly within
/// the objective's period.
fn burn_row(team: &TeamName, window: u64, count: BurnCount, objective: Option<u32>) -> Vec<String> {
    let bad_share = if count.total == 0 { 0.0 } else { count.bad as f64 / count.total as f64 };
    let rate =
        objective.map(|objective| bad_share / (1.0 - f64::from(objective) / FULL_BASIS_POINTS));
    let show = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
    vec![
        team.to_string(),
        window.to_string(),
        count.total.to_string(),
        count.bad.to_string(),
        show(objective.map(|objective| f64::from(objective) / 100.0)),
        show(rate),
        show(rate.map(|rate| (100.0 - 100.0 * rate).max(0.0))),
    ]
}

#[cfg(test)]
mod tests;
