//! Options of the scheduler.

use std::time::Duration;

use celeryshed_base::{ByteCount, common_derives};

use super::plan::ExternalSource;

/// An option outside of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("spread option {key} is {value}: accepted is {accepted}")]
pub struct OptionError {
    /// The option.
    pub key: &'static str,
    /// The rejected value.
    pub value: String,
    /// What is accepted.
    pub accepted: &'static str,
}

common_derives! { value:
    /// Which measure the distribution prefers.
    #[derive(Copy)]
    pub enum DistributionGoal {
        /// Time until the version is live everywhere: a sidecar whose ancestors fail asks outside
        /// of the tree early.
        Time,
        /// Bytes fetched from the external sources: it waits until another one is likely to have
        /// done so.
        OriginBytes,
    }

    /// Options of the [`FetchScheduler`](super::FetchScheduler).
    pub struct FetchOptions {
        /// External sources, in order of preference.
        pub external_sources: Vec<ExternalSource>,
        /// Rate of the external sources; spaces the first fetches of the chunks, so that the first
        /// ones are whole early instead of all of them late. `None` when it isn't known.
        pub external_bytes_per_s: Option<ByteCount>,
        /// Fetches in progress of chunks that a sender has offered. Few, so that each is whole
        /// soon and doesn't wait for the link while it occupies its sender.
        pub parallel_fetches: usize,
        /// Fetches in progress from an external source by the first of a tree.
        pub parallel_external: usize,
        /// Other requests in progress: long polls, which find what no offer has told.
        pub parallel_polls: usize,
        /// How long a sender without the chunk holds a request open.
        pub poll_wait: Duration,
        /// How long a live sender may be without a chunk before the next ancestor is asked.
        pub patience: Duration,
        /// How long the first of a tree may be without a chunk before a sidecar below it asks
        /// outside of the tree; four times longer with each level.
        pub stuck_limit: Duration,
        /// Time that the configuration takes to be in force at the other sidecars.
        pub settle: Duration,
        /// Scale of the random delay, for each position in the order, before a sidecar whose
        /// ancestors all fail asks outside of the tree.
        pub outside_spacing: Duration,
        /// Most bytes of chunks held.
        pub memory: ByteCount,
    }
}

impl Default for FetchOptions {
    fn default() -> Self {
        Self {
            external_sources: vec![ExternalSource::Store, ExternalSource::Origin],
            external_bytes_per_s: None,
            parallel_fetches: 4,
            parallel_external: 4,
            parallel_polls: 16,
            poll_wait: Duration::from_secs(1),
            patience: Duration::from_secs(5),
            stuck_limit: Duration::from_secs(60),
            settle: Duration::from_secs(5),
            outside_spacing: Duration::from_secs(2),
            memory: ByteCount(8 << 30),
        }
    }
}

impl FetchOptions {
    /// Checks the ranges.
    ///
    /// ```
    /// use celeryshed_core::distribution::FetchOptions;
    /// assert!(FetchOptions::default().check().is_ok());
    /// let options = FetchOptions { parallel_fetches: 0, ..FetchOptions::default() };
    /// assert!(options.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), OptionError> {
        let reject = |key, value: String, accepted| Err(OptionError { key, value, accepted });
        if self.external_sources.is_empty() {
            return reject("outer", "empty".to_owned(), "store, origin or both");
        }
        let parallel = [
            ("parallel_fetches", self.parallel_fetches),
            ("parallel_outer", self.parallel_external),
            ("parallel_polls", self.parallel_polls),
        ];
        if let Some((key, value)) = parallel.into_iter().find(|(_, n)| !(1..=1024).contains(n)) {
            return reject(key, value.to_string(), "1 to 1024");
        }
        if self.poll_wait > Duration::from_secs(30) {
            return reject("poll_wait", format!("{:?}", self.poll_wait), "at most 30 s");
        }
        if self.memory.0 == 0 {
            return reject("memory", "0".to_owned(), "at least one byte");
        }
        if self.external_bytes_per_s == Some(ByteCount(0)) {
            return reject("outer_bytes_per_s", "0".to_owned(), "at least one byte a second");
        }
        Ok(())
    }
}
