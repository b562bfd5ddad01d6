//! Concurrent streams of several teams, compared with the tokens that the model version generates.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use celeryshed_base::{ContentDigest, common_derives};
use celeryshed_standin::engine::TokenScript;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::caller::{DemoCaller, StreamEnd};

/// Requested tokens per completion.
const STREAM_TOKENS: u32 = 40;

/// Concurrent callers of each team.
const CALLERS_PER_TEAM: usize = 4;

common_derives! { value:
    /// Number of streams by the way they ended.
    #[derive(Default)]
    pub(super) struct StreamTally {
        /// Complete answers that equal the tokens of their version.
        pub(super) whole: u64,
        /// Complete answers that differ from the tokens of their version.
        pub(super) mismatched: u64,
        /// Answers ended by an explicit error event.
        pub(super) errors: u64,
        /// Rejected requests whose problem body has `not_run` set to true.
        pub(super) refused: u64,
        /// Answers with neither an end marker nor an error event, failed requests, and rejections
        /// without `not_run`.
        pub(super) broken: u64,
        /// Versions that generated a complete answer.
        pub(super) versions: BTreeSet<ContentDigest>,
        /// Descriptions of the first failures, at most 3.
        pub(super) examples: Vec<String>,
    }
}

impl StreamTally {
    pub(super) fn total(&self) -> u64 {
        self.whole + self.mismatched + self.errors + self.refused + self.broken
    }

    pub(super) fn add(&mut self, prompt: &str, tokens: u32, end: StreamEnd) {
        match end {
            StreamEnd::Whole { version, text } => {
                self.versions.insert(version);
                if text == TokenScript::new(&version, None, prompt).answer(tokens) {
                    self.whole += 1;
                } else {
                    self.mismatched += 1;
                    self.add_example(format!("{prompt:?} was answered by {text:?}"));
                }
            }
            StreamEnd::Error { tokens, detail } => {
                self.errors += 1;
                self.add_example(format!("error after {tokens} tokens: {detail}"));
            }
            StreamEnd::Refused { status, not_run } => {
                self.refused += u64::from(not_run == Value::Bool(true));
                self.broken += u64::from(not_run != Value::Bool(true));
                self.add_example(format!("refused with {status}, not_run {not_run}"));
            }
            StreamEnd::Broken { reason } => {
                self.broken += 1;
                self.add_example(reason);
            }
        }
    }

    fn add_example(&mut self, example: String) {
        const MAX_EXAMPLES: usize = 3;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example);
        }
    }

    fn merge(&mut self, other: Self) {
        self.whole += other.whole;
        self.mismatched += other.mismatched;
        self.errors += other.errors;
        self.refused += other.refused;
        self.broken += other.broken;
        self.versions.extend(other.versions);
        other.examples.into_iter().for_each(|example| self.add_example(example));
    }
}

/// Sends streams for each team until `stop` is true; streams in progress run to their end.
pub(super) async fn run_streams(
    callers: Vec<DemoCaller>,
    entries: Vec<SocketAddr>,
    stop: watch::Receiver<bool>,
) -> StreamTally {
    let mut running = JoinSet::new();
    for (team, caller) in callers.into_iter().enumerate() {
        for index in 0..CALLERS_PER_TEAM {
            let entries = entries.clone();
            let prefix = format!("Sowing instructions {team}-{index}");
            running.spawn(run_caller(caller.clone(), entries, prefix, stop.clone()));
        }
    }
    let mut tally = StreamTally::default();
    while let Some(ended) = running.join_next().await {
        match ended {
            Ok(part) => tally.merge(part),
            Err(error) => tally.add_example(error.to_string()),
        }
    }
    tally
}

async fn run_caller(
    caller: DemoCaller,
    entries: Vec<SocketAddr>,
    prefix: String,
    stop: watch::Receiver<bool>,
) -> StreamTally {
    let mut tally = StreamTally::default();
    for (number, entry) in entries.iter().cycle().enumerate() {
        if *stop.borrow() {
            break;
        }
        let prompt = format!("{prefix} number {number}");
        let end = caller.stream(*entry, &prompt, STREAM_TOKENS).await;
        tally.add(&prompt, STREAM_TOKENS, end);
    }
    tally
}
