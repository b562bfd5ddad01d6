//! Options of the configuration task.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{InstanceName, ProcessIncarnation, common_derives};
use celeryshed_wire::CrashNotice;
use tokio::sync::{mpsc, watch};

common_derives! { value:
    /// An option outside of its range.
    #[derive(thiserror::Error)]
    #[error("option {option} is {value:?}; accepted is {accepted}")]
    pub struct OptionsError {
        /// The option.
        pub option: &'static str,
        /// Its value.
        pub value: Duration,
        /// What is accepted.
        pub accepted: &'static str,
    }

    /// Who this process is.
    pub struct ProcessIdentity {
        /// Its instance.
        pub instance: InstanceName,
        /// Its incarnation.
        pub incarnation: ProcessIncarnation,
        /// IP address and port at which other processes reach it.
        pub address: String,
    }

    /// Options of the configuration task.
    ///
    /// ```
    /// use celeryshed_entry::configuration::ConfigurationOptions;
    /// use std::time::Duration;
    /// let options = ConfigurationOptions::default();
    /// assert!(options.check().is_ok());
    /// assert!(ConfigurationOptions { poll_interval: Duration::ZERO, ..options }.check().is_err());
    /// ```
    #[derive(Copy)]
    pub struct ConfigurationOptions {
        /// Pause between reads of the log.
        pub poll_interval: Duration,
        /// How long the log keeps records.
        pub log_retention: Duration,
        /// Longest call to the log or a peer.
        pub call_timeout: Duration,
        /// Peers asked at a time while the log can't be read; 0 switches the exchange off.
        pub exchange_peers: usize,
    }
}

impl Default for ConfigurationOptions {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(2),
            log_retention: Duration::from_secs(86_400),
            call_timeout: Duration::from_secs(1),
            exchange_peers: 2,
        }
    }
}

impl ConfigurationOptions {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), OptionsError> {
        let polls = Duration::from_millis(50)..=Duration::from_secs(5);
        in_range(
            "poll_interval",
            self.poll_interval,
            polls.contains(&self.poll_interval),
            "50 ms to 5 s",
        )?;
        let calls = Duration::from_millis(50)..=Duration::from_secs(5);
        in_range(
            "call_timeout",
            self.call_timeout,
            calls.contains(&self.call_timeout),
            "50 ms to 5 s",
        )?;
        // A quarter of the retention must leave room for several polls.
        let long_enough = self.log_retention >= self.poll_interval * 16;
        in_range("log_retention", self.log_retention, long_enough, "16 poll intervals or more")
    }
}

fn in_range(
    option: &'static str,
    value: Duration,
    allowed: bool,
    accepted: &'static str,
) -> Result<(), OptionsError> {
    if allowed { Ok(()) } else { Err(OptionsError { option, value, accepted }) }
}

/// Crash notices that travel with revision exchanges.
#[derive(Clone, Debug)]
pub struct CrashExchange {
    /// Notices of the last hour, sent to peers that know no revision yet.
    pub known: watch::Receiver<Arc<Vec<CrashNotice>>>,
    /// Takes the notices that peers send.
    pub learned: mpsc::Sender<Vec<CrashNotice>>,
}
