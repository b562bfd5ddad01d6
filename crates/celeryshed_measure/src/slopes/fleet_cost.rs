//! Measures fleets of processes in a steady state, to check the costs predicted from single roles.

use tokio::time::sleep;

use super::bench::{MeasuredRole, RoleReading, SlopeBench};
use super::entry::CLAIM_PARTITIONS;
use super::options::SlopeOptions;
use super::requests::launch_service;
use super::side::plain_endpoint;
use super::table::SlopeTable;
use crate::fleet::Result;

/// Time for all roles to read the instance list and to start reporting.
const WARM_UP: std::time::Duration = std::time::Duration::from_secs(10);

/// Measures idle fleets of several sizes, without callers' requests.
pub(super) async fn measure_fleet(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    for (entries, sides) in options.fleet_sizes.clone() {
        measure_fleet_size(options, entries, sides, table).await?;
    }
    Ok(())
}

async fn measure_fleet_size(
    options: &SlopeOptions,
    entry_count: usize,
    side_count: usize,
    table: &mut SlopeTable,
) -> Result<()> {
    let service = launch_service().await?;
    let bench = SlopeBench::launch(options).await?;
    let mut listed = Vec::new();
    let (mut entry_relays, mut side_relays) = (Vec::new(), Vec::new());
    for number in 0..entry_count {
        let relays = bench.launch_relays(&format!("entry-{number}")).await?;
        listed.push(relays.listed(None)?);
        entry_relays.push(relays);
    }
    for number in 0..side_count {
        let relays = bench.launch_relays(&format!("order-desk-{number}")).await?;
        listed.push(relays.listed(Some("order-desk"))?);
        side_relays.push(relays);
    }
    bench.set_listed(listed);
    let (mut entries, mut sides) = (Vec::new(), Vec::new());
    for relays in entry_relays {
        entries.push(bench.start_entry(relays, CLAIM_PARTITIONS)?);
    }
    for entry in &entries {
        bench.wait_ready(entry).await?;
    }
    for relays in side_relays {
        sides.push(bench.start_side(relays, &plain_endpoint(service.address()))?);
    }
    for side in &sides {
        bench.wait_ready(side).await?;
    }
    sleep(WARM_UP).await;
    let before = (read_all(&entries)?, read_all(&sides)?);
    let counts = bench.log.control().counts();
    sleep(options.window * 2).await;
    let used = (read_since(&entries, &before.0)?, read_since(&sides, &before.1)?);
    let after = bench.log.control().counts();
    let seconds = (options.window * 2).as_secs_f64();
    let (entry, side) = (MeanUsage::of(&used.0, seconds), MeanUsage::of(&used.1, seconds));
    let sides_per_entry = side_count as f64 / entry_count as f64;
    let values = [
        ("entry_cpu_s_per_s", entry.cpu),
        ("entry_resident_bytes", entry.resident),
        ("entry_reports_bytes_per_s", entry.inbound),
        ("entry_probe_bytes_per_s", side.inbound * sides_per_entry),
        ("entry_log_bytes_per_s", entry.log),
        ("side_cpu_s_per_s", side.cpu),
        ("side_resident_bytes", side.resident),
        ("side_reports_bytes_per_s", entry.inbound / sides_per_entry),
        ("side_probe_bytes_per_s", side.inbound),
        ("log_reads_per_s", (after.reads - counts.reads) as f64 / seconds),
        ("log_appends_per_s", (after.appends - counts.appends) as f64 / seconds),
    ];
    table.add("fleet", ("processes", (entry_count + side_count) as f64), &values);
    Ok(())
}

/// Mean usage of one role: processor seconds per second, resident bytes, and bytes per second in
/// both directions.
struct MeanUsage {
    cpu: f64,
    resident: f64,
    inbound: f64,
    log: f64,
}

impl MeanUsage {
    fn of(readings: &[RoleReading], seconds: f64) -> Self {
        let mean = |value: fn(&RoleReading) -> f64| {
            readings.iter().map(value).sum::<f64>() / readings.len() as f64
        };
        Self {
            cpu: mean(|reading| reading.cpu_s) / seconds,
            resident: mean(|reading| reading.resident_bytes as f64),
            inbound: mean(|reading| reading.inbound.total() as f64) / seconds,
            log: mean(|reading| reading.log.total() as f64) / seconds,
        }
    }
}

fn read_all(roles: &[MeasuredRole]) -> Result<Vec<RoleReading>> {
    roles.iter().map(MeasuredRole::read).collect()
}

fn read_since(roles: &[MeasuredRole], before: &[RoleReading]) -> Result<Vec<RoleReading>> {
    roles.iter().zip(before).map(|(role, before)| role.read_since(before)).collect()
}
