//! Entries of another writer in the list of engines: they name a service that nobody configured, at
//! the addresses of engines that go on.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::plain_fleet::{PlainFleet, RequestKind};
use crate::Verdict;

const CALM: Duration = Duration::from_secs(8);
const RECOVERY: Duration = Duration::from_secs(12);
const POWER_OFF: Duration = Duration::from_millis(1400);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = PlainFleet::start(folder, RequestKind::Lookup)?;
    let journal = fleet.journal.clone();
    let started = Instant::now();
    sleep(CALM);
    if has_trouble {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        for (number, engine) in fleet.engines.iter().enumerate() {
            let record = format!(
                "{{\"service\":\"inventory\",\"address\":\"{}\",\"zone\":\"puget-a\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"seq_no\":1,\"born\":{now}}}",
                engine.address
            );
            fleet.store.write("keyed.servers", &format!("agent-{number}"), &record);
            journal.note(format!("another writer adds servers/agent-{number}: {record}"));
        }
    }
    let trouble_at = Instant::now();
    sleep(Duration::from_secs(3));
    let fault_at = Instant::now();
    let (sent, served) = fleet.count(started, fault_at);
    let (sent_since, served_since) = fleet.count(trouble_at, fault_at);
    journal.note(format!("before the final fault, {served} of {sent} requests were served"));
    journal.note(format!("of them, {served_since} of {sent_since} in the last 3 s"));
    journal.note("the entry loses power");
    fleet.entry.restart(POWER_OFF)?;
    journal.note("the entry starts again");
    sleep(RECOVERY);
    let from = Instant::now();
    sleep(Duration::from_secs(10));
    let (later_sent, later_served) = fleet.count(from, Instant::now());
    fleet.end_clients();
    let summary = format!(
        "{later_served} of {later_sent} requests served from 12 s after the restart on, {served} of \
         {sent} before it"
    );
    journal.note(&summary);
    println!("{summary}");
    if served * 4 < sent || later_sent == 0 {
        return Err(io::Error::other("too few requests were served before the final fault"));
    }
    Ok(if later_served * 4 < later_sent { Verdict::Broken } else { Verdict::Held })
}
