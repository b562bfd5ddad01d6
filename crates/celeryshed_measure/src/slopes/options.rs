//! Options and parts of the slopes measurement.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use celeryshed_base::common_derives;

common_derives! { value:
    /// A part of the slopes measurement, which can be run on its own.
    #[derive(Copy)]
    pub enum SlopePart {
        /// Cost to an entry of reports from simulated sidecars.
        EntryReports,
        /// Cost of starting an entry with a long instance list.
        EntryStart,
        /// Cost to an entry of revision exchanges and of serving its full configuration state.
        Exchange,
        /// Cost to an entry of reading configuration changes from the log.
        EntryChanges,
        /// Cost to an entry of reading idle claim partitions.
        PartitionReads,
        /// Cost to an entry and a sidecar of completions, plain calls and bookings.
        Requests,
        /// Cost to a sidecar of reporting to several entries.
        SideEntries,
        /// Cost to a sidecar of answering probes.
        SideProbes,
        /// Cost to a sidecar of fetching, storing and serving weight chunks.
        SideChunks,
        /// Usage of idle fleets of several sizes.
        Fleet,
    }
}

impl SlopePart {
    /// All parts, in the default running order.
    pub const ALL: [Self; 10] = [
        Self::EntryReports,
        Self::EntryStart,
        Self::Exchange,
        Self::EntryChanges,
        Self::PartitionReads,
        Self::Requests,
        Self::SideEntries,
        Self::SideProbes,
        Self::SideChunks,
        Self::Fleet,
    ];

    /// Name on the command line and in progress lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::EntryReports => "entry_reports",
            Self::EntryStart => "entry_start",
            Self::Exchange => "exchange",
            Self::EntryChanges => "entry_changes",
            Self::PartitionReads => "partition_reads",
            Self::Requests => "requests",
            Self::SideEntries => "side_entries",
            Self::SideProbes => "side_probes",
            Self::SideChunks => "side_chunks",
            Self::Fleet => "fleet",
        }
    }
}

/// A part name that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is not a part: accepted are {}", SlopePart::ALL.map(SlopePart::name).join(", "))]
pub struct SlopePartError {
    /// The rejected name.
    pub name: String,
}

impl FromStr for SlopePart {
    type Err = SlopePartError;

    /// Finds the part by its name on the command line.
    ///
    /// ```
    /// use celeryshed_measure::slopes::SlopePart;
    /// assert_eq!("fleet".parse(), Ok(SlopePart::Fleet));
    /// assert!("fleets".parse::<SlopePart>().is_err());
    /// ```
    fn from_str(name: &str) -> Result<Self, SlopePartError> {
        let part = Self::ALL.into_iter().find(|part| part.name() == name);
        part.ok_or_else(|| SlopePartError { name: name.to_owned() })
    }
}

/// Options of the slopes measurement.
#[derive(Clone, Debug)]
pub struct SlopeOptions {
    /// Path of the `celeryshedd` binary. Use a release build, as the processor time of a debug
    /// build is not representative.
    pub daemon: PathBuf,
    /// Observation time of a steady state; 6 s by default. Sidecars report every 2 s and `/proc`
    /// counts processor time in steps of 10 ms, so several seconds are needed.
    pub window: Duration,
    /// Number of measurements of each size; 2 by default. The standard error of the fit shows how
    /// much they differ.
    pub repeats: u32,
    /// Parts to run; all by default.
    pub parts: Vec<SlopePart>,
    /// Fleet sizes as (entries, sidecars). Each entry and each sidecar is a process.
    pub fleet_sizes: Vec<(usize, usize)>,
}

impl SlopeOptions {
    /// Default options for the `celeryshedd` binary at `daemon`.
    ///
    /// ```
    /// use celeryshed_measure::slopes::SlopeOptions;
    /// let options = SlopeOptions::new("target/release/celeryshedd".into());
    /// let processes = options.fleet_sizes.iter().map(|(entries, sides)| entries + sides);
    /// assert!(processes.max() < Some(200));
    /// ```
    pub fn new(daemon: PathBuf) -> Self {
        Self {
            daemon,
            window: Duration::from_secs(6),
            repeats: 2,
            parts: SlopePart::ALL.to_vec(),
            fleet_sizes: vec![(2, 4), (6, 9), (12, 18), (24, 36)],
        }
    }
}
