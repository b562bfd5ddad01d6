//! Options of the configuration task.

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{InstanceName, ProcessIncarnation, common_derives};
use celeryshed_wire::CrashNotice;
use tokio::sync::{mpsc, watch};

common_derives! { value:
    /// An option that is out of range.
    #[derive(thiserror::Error)]
    #[error("option {option} is {value:?}; accepted is {accepted}")]
    pub struct OptionsError {
        /// Name of the option.
        pub option: &'static str,
        /// The rejected value.
        pub value: Duration,
        /// Range of accepted values, with units.
        pub accepted: &'static str,
    }

    /// Identity of this process, as sent to other processes.
    pub struct ProcessIdentity {
        /// Name of the instance, from its settings.
        pub instance: InstanceName,
        /// Random id of this run of the process; a restart gets another one.
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
        /// Pause between reads of the log; 50 ms to 5 s, 2 s by default.
        pub poll_interval: Duration,
        /// Age below which the log removes no record; 16 poll intervals or more, 24 h by default.
        pub log_retention: Duration,
        /// Timeout of a call to the log or a peer; 50 ms to 5 s, 1 s by default.
        pub call_timeout: Duration,
        /// Random peers asked at each poll while the log can't be read; 2 by default, 0 disables
        /// exchanges.
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
    /// Returns an error for the first option that is out of range.
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
        // Snapshots are due at a quarter of the retention, which must span several polls.
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

/// Channels for the crash notices that revision exchanges carry.
#[derive(Clone, Debug)]
pub struct CrashExchange {
    /// Notices of the last hour, sent to peers that know no revision yet.
    pub known: watch::Receiver<Arc<Vec<CrashNotice>>>,
    /// Receives the notices that peers send.
    pub learned: mpsc::Sender<Vec<CrashNotice>>,
}
