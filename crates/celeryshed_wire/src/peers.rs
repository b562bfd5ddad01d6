//! Revision exchange between processes, and status queries of operators.

use std::collections::BTreeMap;

use celeryshed_base::{
    ConfigRevision, InstanceName, ProcessIncarnation, TeamName, UnixMillis, common_derives,
};

use crate::configuration::ConfigurationSnapshot;
use crate::crashes::CrashNotice;

common_derives! { wire:
    /// Tells a peer the sender's configuration revision.
    pub struct RevisionExchange {
        /// Instance of the sender.
        pub instance: InstanceName,
        /// Incarnation of the sender.
        pub incarnation: ProcessIncarnation,
        /// Revision of the sender; `None` until it has read a configuration.
        pub revision: Option<ConfigRevision>,
    }

    /// Reply to a [`RevisionExchange`].
    pub struct ConfigurationReply {
        /// Revision of the replier; `None` until it has read a configuration.
        pub revision: Option<ConfigRevision>,
        /// The replier's whole configuration; `None` when the sender's revision is the same or
        /// newer.
        pub snapshot: Option<ConfigurationSnapshot>,
        /// Crash notices of the last hour, for a sender that has just started.
        pub crashes: Vec<CrashNotice>,
    }

    /// State of a process, for operators.
    pub struct ProcessStatus {
        /// Name of the instance.
        pub instance: InstanceName,
        /// `entry` or `side`.
        pub role: String,
        /// Incarnation of the process.
        pub incarnation: ProcessIncarnation,
        /// Revision in force; `None` until the process has read a configuration.
        pub revision: Option<ConfigRevision>,
        /// Whether the process is draining.
        pub draining: bool,
        /// Number of requests in progress.
        pub in_progress: u32,
    }

    /// Request counts of one team in one time window.
    #[derive(Copy, Eq, Default)]
    pub struct BurnCount {
        /// Requests that count towards the objective.
        pub total: u64,
        /// Requests that missed the objective or failed.
        pub bad: u64,
    }

    /// Request counts of one entry, from which burn rates are calculated.
    pub struct BurnReply {
        /// Instance of the entry.
        pub instance: InstanceName,
        /// Time since which the entry has counted.
        pub counting_since: UnixMillis,
        /// Counts by team, then by window length in seconds.
        pub counts: BTreeMap<TeamName, BTreeMap<u64, BurnCount>>,
        /// Objective by team, in hundredths of a percent.
        pub objectives: BTreeMap<TeamName, u32>,
    }
}
