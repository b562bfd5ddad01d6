//! Options of the fetch scheduler.

use std::time::Duration;

use celeryshed_base::{ByteCount, common_derives};

use super::plan::ExternalSource;

/// Error for an option outside of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("distribution option {key} is {value}: accepted is {accepted}")]
pub struct OptionError {
    /// Settings key of the option.
    pub key: &'static str,
    /// The rejected value.
    pub value: String,
    /// Text that describes the accepted values.
    pub accepted: &'static str,
}

common_derives! { value:
    /// Measure that the distribution of weights optimizes.
    #[derive(Copy)]
    pub enum DistributionGoal {
        /// Time until the version is live everywhere: a sidecar whose ancestors fail waits
        /// only a short time before it asks outside of the tree.
        Time,
        /// Bytes fetched from the external sources: a sidecar whose ancestors fail waits longer,
        /// until another sidecar has probably fetched the chunk from outside of the tree.
        OriginBytes,
    }

    /// Options of the [`FetchScheduler`](super::FetchScheduler).
    pub struct FetchOptions {
        /// External sources in order of preference; default store, then origin.
        pub external_sources: Vec<ExternalSource>,
        /// Bytes per second that the external sources deliver. The first fetches of a version's
        /// chunks start at this rate, so that the first chunks are complete early and can be passed
        /// on. `None`, the default, starts them without delay.
        pub external_bytes_per_s: Option<ByteCount>,
        /// Maximum number of fetches in progress of offered chunks; default 4. A small number, so
        /// that each chunk is complete soon and doesn't occupy its sender while it waits for the
        /// link.
        pub parallel_fetches: usize,
        /// Maximum number of fetches in progress from external sources by the root of the home
        /// region; default 4.
        pub parallel_external: usize,
        /// Maximum number of long polls in progress, which find chunks without an offer; default
        /// 16.
        pub parallel_polls: usize,
        /// Time for which a sender without the chunk holds a long poll open; default 1 s.
        pub poll_wait: Duration,
        /// Time for which a reachable sender may not hold a chunk before the next ancestor is
        /// asked; default 5 s.
        pub pending_limit: Duration,
        /// Time for which the ancestors may not hold a chunk before a sidecar directly below the
        /// root asks outside of the tree; four times longer with each further level. Default 60 s.
        pub stuck_limit: Duration,
        /// Time that a configuration change takes to reach the other sidecars; default 5 s.
        pub propagation_time: Duration,
        /// Maximum random delay per position in the tree before a sidecar whose ancestors all fail
        /// asks outside of the tree; default 2 s.
        pub outside_delay: Duration,
        /// Maximum size of the chunks held and missing together; default 8 GiB.
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
            pending_limit: Duration::from_secs(5),
            stuck_limit: Duration::from_secs(60),
            propagation_time: Duration::from_secs(5),
            outside_delay: Duration::from_secs(2),
            memory: ByteCount(8 << 30),
        }
    }
}

impl FetchOptions {
    /// Checks that all options are within their ranges.
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
