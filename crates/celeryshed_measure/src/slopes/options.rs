//! Options of the measurement.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use celeryshed_base::common_derives;

common_derives! { value:
    /// A part of the measurement.
    #[derive(Copy)]
    pub enum SlopePart {
        /// Reports of simulated sidecars to an entry.
        EntryReports,
        /// Start of an entry with a long list.
        EntryStart,
        /// Revision exchanges and fetches of the whole state.
        Exchange,
        /// Changes that an entry reads from the log.
        EntryChanges,
        /// Reads of claim partitions.
        PartitionReads,
        /// Completions, plain calls and bookings through an entry and a sidecar.
        Requests,
        /// Reports of a sidecar to several entries.
        SideEntries,
        /// Probes of a sidecar.
        SideProbes,
        /// Chunks that a sidecar fetches, holds and serves.
        SideChunks,
        /// Steady states of whole fleets.
        Fleet,
    }
}

impl SlopePart {
    /// All parts.
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

    /// Its name on the command line and in lines of the result.
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

/// A name that no part has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is not a part: accepted are {}", SlopePart::ALL.map(SlopePart::name).join(", "))]
pub struct SlopePartError {
    /// The rejected name.
    pub name: String,
}

impl FromStr for SlopePart {
    type Err = SlopePartError;

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

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct SlopeOptions {
    /// The `celeryshedd` binary; a release build, otherwise its processor time says nothing.
    pub daemon: PathBuf,
    /// How long a steady state is observed. Reports come every 2 s and `/proc` counts processor
    /// time in steps of 10 ms, so that a window of several seconds is needed.
    pub window: Duration,
    /// How often each size is measured; the fit's standard error shows the spread.
    pub repeats: u32,
    /// Parts to run.
    pub parts: Vec<SlopePart>,
    /// Sizes of the fleet as (entries, sidecars), each a process.
    pub fleet_sizes: Vec<(usize, usize)>,
}

impl SlopeOptions {
    /// Options for the binary at `daemon`.
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
