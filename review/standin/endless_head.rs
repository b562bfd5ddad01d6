//! One of three engines answers with interim responses without end, which are no answer.
//!
//! The entry gets 0.19 of a core, as its settings say: it runs for 19 ms of each tenth of a second. The
//! engine sends no more than 120 MB/s over all connections, which is less than the entry's link.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::fleet::{Journal, Node, SIGCONT, SIGSTOP};
use crate::plain_fleet::{Ended, PlainFleet, RequestKind, TIME_LIMIT};
use crate::Verdict;

/// Time of each tenth of a second in which the entry runs.
const ALLOWANCE: Duration = Duration::from_millis(19);
const ALLOWANCE_PERIOD: Duration = Duration::from_millis(100);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after the route's timeout at which the rule expects an answer.
const SLACK: Duration = Duration::from_millis(500);
/// Least number of late requests with which the rule is broken.
const LATE_LIMIT: usize = 8;
const CALM: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_secs(20);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = PlainFleet::start(folder, RequestKind::Booking)?;
    let journal = fleet.journal.clone();
    let is_ending = AtomicBool::new(false);
    let trouble_at = scope(|threads| {
        threads.spawn(|| limit_processor(&fleet.entry, &is_ending));
        sleep(CALM);
        let trouble_at = Instant::now();
        let engine = &fleet.engines[0];
        if has_trouble {
            engine.is_faulty.store(true, Ordering::Relaxed);
            journal.note("engine i-0 sends interim responses without end from now on");
        }
        while trouble_at.elapsed() < TROUBLE {
            sleep(Duration::from_secs(1));
            let asked_at = Instant::now();
            let is_ready = fleet.entry.is_ready();
            let (elapsed, floods) =
                (asked_at.elapsed().as_millis(), engine.floods.load(Ordering::Relaxed));
            journal.note(format!("ready: {is_ready} after {elapsed} ms; open floods: {floods}"));
        }
        // The last requests end while the processor is still limited.
        sleep(TIME_LIMIT);
        is_ending.store(true, Ordering::Relaxed);
        trouble_at
    });
    fleet.end_clients();
    let arrivals: Vec<u64> =
        fleet.engines.iter().map(|engine| engine.arrivals.load(Ordering::Relaxed)).collect();
    journal.note(format!("arrivals at the engines: {arrivals:?}"));
    let results = fleet.results.lock().unwrap();
    Ok(judge(&journal, &results, trouble_at))
}

fn judge(journal: &Journal, results: &[Ended], trouble_at: Instant) -> Verdict {
    let before: Vec<&Ended> =
        results.iter().filter(|end| end.sent_at + TIME_LIMIT < trouble_at).collect();
    let in_trouble = trouble_at..trouble_at + TROUBLE;
    let later: Vec<&Ended> =
        results.iter().filter(|end| in_trouble.contains(&end.sent_at)).collect();
    let mut is_broken = false;
    for (name, ends) in [("before", before), ("after", later)] {
        let count = |time| ends.iter().filter(|end| end.is_unanswered_after(time)).count();
        let (unanswered, late) = (count(ROUTE_TIMEOUT), count(ROUTE_TIMEOUT + SLACK));
        let served = ends.iter().filter(|end| end.is_served).count();
        let summary = format!(
            "{name}: {} requests, {served} served, {unanswered} unanswered at the route's timeout, \
             {late} of them 0.5 s later",
            ends.len()
        );
        journal.note(&summary);
        println!("{summary}");
        is_broken |= late >= LATE_LIMIT && late * 2 > unanswered;
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Lets the entry run for its share of the processor only.
fn limit_processor(entry: &Node, is_ending: &AtomicBool) {
    while !is_ending.load(Ordering::Relaxed) {
        sleep(ALLOWANCE);
        entry.signal(SIGSTOP);
        sleep(ALLOWANCE_PERIOD - ALLOWANCE);
        entry.signal(SIGCONT);
    }
}
