//! Bookings of press runs: each idempotency key is sent several times and to several entries.

use std::net::SocketAddr;

use celeryshed_base::common_derives;
use futures::future::join_all;
use serde_json::Value;
use uuid::Uuid;

use super::caller::DemoCaller;

/// Number of booked press runs, each with its own idempotency key.
const PRESS_RUNS: usize = 24;

common_derives! { value:
    /// Totals of the bookings as seen by their callers.
    #[derive(Default)]
    pub(super) struct BookingTally {
        /// Idempotency keys sent.
        pub(super) keys: u64,
        /// Requests sent, including repeated ones.
        pub(super) requests: u64,
        /// Keys whose requests all succeeded with the same answer.
        pub(super) consistent: u64,
        /// Requests without an answer of status 200.
        pub(super) failed: u64,
        /// The answers and problems of each key that is not consistent.
        pub(super) examples: Vec<String>,
    }
}

/// Books press runs: sends each key to every entry concurrently, then once more to one entry.
pub(super) async fn run_bookings(caller: &DemoCaller, entries: &[SocketAddr]) -> BookingTally {
    let keys = (0..PRESS_RUNS).map(|number| book_key(caller, entries, number));
    let mut tally = BookingTally::default();
    for replies in join_all(keys).await {
        tally.keys += 1;
        tally.requests += replies.requests;
        tally.failed += replies.failed;
        tally.consistent += u64::from(replies.failed == 0 && replies.answers.len() == 1);
        if replies.failed > 0 || replies.answers.len() != 1 {
            tally.examples.push(format!("{:?} {:?}", replies.answers, replies.problems));
        }
    }
    tally
}

/// Replies to the requests of one key.
#[derive(Default)]
struct KeyReplies {
    requests: u64,
    failed: u64,
    /// Distinct answers of status 200.
    answers: Vec<Value>,
    problems: Vec<String>,
}

impl KeyReplies {
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

async fn book_key(caller: &DemoCaller, entries: &[SocketAddr], number: usize) -> KeyReplies {
    let key = Uuid::now_v7().to_string();
    let order = format!("press run {number}, key {key}");
    let mut replies = KeyReplies::default();
    let concurrent = entries.iter().map(|entry| caller.book(*entry, &key, &order));
    for reply in join_all(concurrent).await {
        replies.add(reply);
    }
    let entry = entries[number % entries.len()];
    replies.add(caller.book(entry, &key, &order).await);
    replies
}
