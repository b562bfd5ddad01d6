//! Three versions are named while the origin of weights is gone.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::model_fleet::ModelFleet;
use crate::Verdict;

const ORIGIN_GONE: Duration = Duration::from_secs(6);
const VERSION_INTERVAL: Duration = Duration::from_secs(2);
const RECOVERY: Duration = Duration::from_secs(12);
const POWER_OFF: Duration = Duration::from_millis(1400);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = ModelFleet::start(folder)?;
    let journal = fleet.journal.clone();
    let started = Instant::now();
    sleep(Duration::from_secs(6));
    let gone_at = Instant::now();
    if has_trouble {
        fleet.origin.set_gone(true);
        journal.note("the origin is gone");
    }
    sleep(Duration::from_millis(200));
    for version in 2..=4 {
        if version > 2 {
            sleep(VERSION_INTERVAL);
        }
        fleet.name_version(version);
    }
    sleep((gone_at + ORIGIN_GONE).saturating_duration_since(Instant::now()));
    fleet.origin.set_gone(false);
    journal.note("the origin is there");
    sleep(Duration::from_secs(12));
    let fault_at = Instant::now();
    let (sent, served) = fleet.results.count(started, fault_at);
    journal.note(format!("before the final fault, {served} of {sent} requests were served"));
    journal.note("the entry loses power");
    fleet.entry.restart(POWER_OFF)?;
    let back_at = Instant::now();
    journal.note("the entry starts again");
    sleep(RECOVERY);
    let from = Instant::now();
    sleep(Duration::from_secs(15));
    let (later_sent, later_served) = fleet.results.count(from, Instant::now());
    fleet.record_logs("manifest_failed", 2);
    let seconds = back_at.elapsed().as_secs();
    let loaded: Vec<Option<u64>> = fleet.engines.iter().map(|engine| engine.loaded()).collect();
    let summary = format!(
        "{later_served} of {later_sent} requests served from 12 s after the restart on, {served} of \
         {sent} before; {seconds} s after it the engines have loaded {loaded:?}"
    );
    journal.note(&summary);
    println!("{summary}");
    if served * 4 < sent || later_sent == 0 {
        return Err(io::Error::other("too few requests were served before the final fault"));
    }
    Ok(if later_served * 4 < later_sent { Verdict::Broken } else { Verdict::Held })
}
