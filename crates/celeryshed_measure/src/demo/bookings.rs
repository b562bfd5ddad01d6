//! Press runs with resends of the same key through several entries.

use std::net::SocketAddr;

use celeryshed_base::common_derives;
use futures::future::join_all;
use serde_json::Value;
use uuid::Uuid;

use super::caller::DemoCaller;

/// Press runs that are booked.
const PRESS_RUNS: usize = 24;

common_derives! { value:
    /// What the bookings came to, as their callers saw it.
    #[derive(Default)]
    pub(super) struct BookingTally {
        /// Keys.
        pub(super) keys: u64,
        /// Requests, resends included.
        pub(super) requests: u64,
        /// Keys for which each request got the same answer.
        pub(super) agreed: u64,
        /// Requests that were refused or failed.
        pub(super) failed: u64,
        /// Examples of what went wrong.
        pub(super) examples: Vec<String>,
    }
}

/// Books press runs: each key is sent to every entry at once and then once more.
pub(super) async fn run_bookings(caller: &DemoCaller, entries: &[SocketAddr]) -> BookingTally {
    let runs = (0..PRESS_RUNS).map(|number| book_run(caller, entries, number));
    let mut tally = BookingTally::default();
    for run in join_all(runs).await {
        tally.keys += 1;
        tally.requests += run.requests;
        tally.failed += run.failed;
        tally.agreed += u64::from(run.failed == 0 && run.answers.len() == 1);
        if run.failed > 0 || run.answers.len() != 1 {
            tally.examples.push(format!("{:?} {:?}", run.answers, run.problems));
        }
    }
    tally
}

#[derive(Default)]
struct PressRun {
    requests: u64,
    failed: u64,
    /// Different answers.
    answers: Vec<Value>,
    problems: Vec<String>,
}

impl PressRun {
    fn add(&mut self, reply: reqwest::Result<(u16, Value)>) {
        self.requests += 1;
        match reply {
            Ok((200, answer)) => {
                if !self.answers.contains(&answer) {
                    self.answers.push(answer);
                }
            }
            Ok((status, problem)) => {
                self.failed += 1;
                self.problems.push(format!("{status} {problem}"));
            }
            Err(error) => {
                self.failed += 1;
                self.problems.push(error.to_string());
            }
        }
    }
}

async fn book_run(caller: &DemoCaller, entries: &[SocketAddr], number: usize) -> PressRun {
    let key = Uuid::now_v7().to_string();
    let order = format!("press run {number}, key {key}");
    let mut run = PressRun::default();
    let at_once = entries.iter().map(|entry| caller.book(*entry, &key, &order));
    for reply in join_all(at_once).await {
        run.add(reply);
    }
    let entry = entries[number % entries.len()];
    run.add(caller.book(entry, &key, &order).await);
    run
}
