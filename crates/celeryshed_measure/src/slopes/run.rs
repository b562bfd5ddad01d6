//! Runs the parts of the slopes measurement.

use super::options::{SlopeOptions, SlopePart};
use super::table::SlopeTable;
use super::{entry, fleet_cost, requests, side};
use crate::fleet::Result;

/// Runs the selected parts `repeats` times and returns all samples.
///
/// `progress` receives a line after each part.
pub async fn run_slopes(options: &SlopeOptions, progress: impl Fn(&str)) -> Result<SlopeTable> {
    let mut table = SlopeTable::default();
    for repeat in 1..=options.repeats {
        for part in &options.parts {
            run_part(*part, options, &mut table).await?;
            progress(&format!("part={} repeat={repeat} state=measured", part.name()));
        }
    }
    Ok(table)
}

async fn run_part(part: SlopePart, options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    match part {
        SlopePart::EntryReports => entry::measure_reports(options, table).await,
        SlopePart::EntryStart => entry::measure_start(options, table).await,
        SlopePart::Exchange => entry::measure_exchange(options, table).await,
        SlopePart::EntryChanges => entry::measure_changes(options, table).await,
        SlopePart::PartitionReads => entry::measure_partitions(options, table).await,
        SlopePart::Requests => requests::measure_requests(options, table).await,
        SlopePart::SideEntries => side::measure_entries(options, table).await,
        SlopePart::SideProbes => side::measure_probes(options, table).await,
        SlopePart::SideChunks => side::measure_chunks(options, table).await,
        SlopePart::Fleet => fleet_cost::measure_fleet(options, table).await,
    }
}
