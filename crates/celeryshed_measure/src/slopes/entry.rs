//! Parts of the measurement that run a single entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, ContentDigest, InstanceName, ProcessIncarnation, RegionName, ServiceName,
};
use celeryshed_entry::configuration::{ConfigurationClient, HttpConfigurationClient};
use celeryshed_side::configuration::{EntryClient, HttpEntryClient};
use celeryshed_wire::{EndpointReport, EndpointState, LoadReport, RevisionExchange};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::bench::{SlopeBench, listed_instance};
use super::options::SlopeOptions;
use super::requests::{contract_change, service_change};
use super::table::SlopeTable;
use crate::fleet::{Result, start_error};

/// Default number of claim log partitions.
pub(super) const CLAIM_PARTITIONS: u32 = 16;

/// Timeout of one call of a simulated peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between the reports of one simulated sidecar. It is a quarter of the real interval, so
/// that few tasks send many reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for connections and caches to reach a steady state before a measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Address of instances that are listed but don't run; nothing listens on it.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";

/// Measures the cost to an entry of reports from simulated sidecars.
pub(super) async fn measure_reports(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    for sidecars in [0, 25, 50, 100, 200] {
        let bench = SlopeBench::launch(options).await?;
        let relays = bench.launch_relays("entry-1").await?;
        let mut listed = vec![relays.listed(None)?];
        for number in 0..sidecars {
            listed.push(listed_instance(&side_name(number), CLOSED_ADDRESS, Some("copywriter"))?);
        }
        bench.set_listed(listed);
        let entry = bench.start_entry(relays, CLAIM_PARTITIONS)?;
        bench.wait_ready(&entry).await?;
        let answered = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for number in 0..sidecars {
            let report = endpoint_report(&side_name(number))?;
            // Staggers the reports: simultaneous ones could all be in flight when the window ends.
            let delay = REPORT_INTERVAL * number / sidecars;
            let answered = Arc::clone(&answered);
            tasks.spawn(send_reports(entry.relays.address(), report, delay, answered));
        }
        sleep(WARM_UP).await;
        let (before, first) = (entry.read()?, answered.load(Ordering::Relaxed));
        sleep(options.window).await;
        let (used, last) = (entry.read_since(&before)?, answered.load(Ordering::Relaxed));
        let seconds = (used.at - before.at).as_secs_f64();
        let x = ("reports_per_s", (last - first) as f64 / seconds);
        let values = [
            ("cpu_s_per_s", used.cpu_s / seconds),
            ("in_bytes_per_s", used.inbound.to_target as f64 / seconds),
            ("out_bytes_per_s", used.inbound.to_caller as f64 / seconds),
        ];
        table.add("entry_reports", x, &values);
        let resident = [("resident_bytes", used.resident_bytes as f64)];
        table.add("entry_reports", ("sidecars", f64::from(sidecars)), &resident);
    }
    Ok(())
}

fn side_name(number: u32) -> String {
    format!("copywriter-{number}")
}

fn endpoint_report(name: &str) -> Result<EndpointReport> {
    Ok(EndpointReport {
        instance: InstanceName::try_from(name).map_err(start_error(name))?,
        incarnation: ProcessIncarnation::random(),
        address: CLOSED_ADDRESS.to_owned(),
        zone: AvailabilityZone::try_from("fukuoka-a").map_err(start_error(name))?,
        region: RegionName::try_from("fukuoka").map_err(start_error(name))?,
        service: ServiceName::try_from("copywriter").map_err(start_error(name))?,
        state: EndpointState::Serving,
        live_version: Some(ContentDigest::of(b"version")),
        load: LoadReport { slots: 8, running: 5, ..LoadReport::default() },
        prefixes: Vec::new(),
        revision: Some(celeryshed_base::ConfigRevision(1_000)),
    })
}

async fn send_reports(
    address: String,
    report: EndpointReport,
    delay: Duration,
    answered: Arc<AtomicU64>,
) {
    let Ok(client) = HttpEntryClient::try_new(CALL_TIMEOUT) else { return };
    sleep(delay).await;
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        if client.report(&address, &report).await.is_ok() {
            answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Measures the start of an entry with long instance lists.
pub(super) async fn measure_start(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    for instances in [10u32, 250, 500, 750, 1_010] {
        let bench = SlopeBench::launch(options).await?;
        let relays = bench.launch_relays("entry-0").await?;
        let mut listed = vec![relays.listed(None)?];
        // The same share of entries as at the target size.
        let entries = instances * 410 / 1_010;
        for number in 1..instances {
            let (name, service) = match number < entries {
                true => (format!("entry-{number}"), None),
                false => (side_name(number), Some("copywriter")),
            };
            listed.push(listed_instance(&name, CLOSED_ADDRESS, service)?);
        }
        bench.set_listed(listed);
        let entry = bench.start_entry(relays, CLAIM_PARTITIONS)?;
        bench.wait_ready(&entry).await?;
        sleep(WARM_UP).await;
        let used = entry.read()?;
        let values = [
            ("cpu_s", used.cpu_s),
            ("resident_bytes", used.resident_bytes as f64),
            ("list_bytes", used.list.total() as f64 / list_reads(&bench)),
        ];
        table.add("entry_start", ("instances", f64::from(instances)), &values);
    }
    Ok(())
}

/// Reads of the instance list since the start of the bench; 1 when there were none.
fn list_reads(bench: &SlopeBench) -> f64 {
    bench.list.control().counts().reads.max(1) as f64
}

/// Measures revision exchanges with a peer: unchanged ones, and ones that return the full state.
pub(super) async fn measure_exchange(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let mut bench = SlopeBench::launch(options).await?;
    let relays = bench.launch_relays("entry-1").await?;
    bench.set_listed(vec![relays.listed(None)?]);
    let entry = bench.start_entry(relays, CLAIM_PARTITIONS)?;
    bench.wait_ready(&entry).await?;
    let peers = HttpConfigurationClient::try_new(CALL_TIMEOUT).map_err(start_error("a peer"))?;
    let address = entry.relays.address();
    bench.publish(service_change("copywriter", true)?).await?;
    let mut contracts = 0;
    for target in [0, 25, 50, 100, 200] {
        while contracts < target {
            contracts += 1;
            bench.publish(contract_change(&format!("team-{contracts}"), contracts)?).await?;
        }
        sleep(WARM_UP).await;
        let full = revision_exchange(None)?;
        let before = entry.read()?;
        let calls = 100;
        for _ in 0..calls {
            peers.exchange(&address, &full).await.map_err(start_error("an exchange"))?;
        }
        let used = entry.read_since(&before)?;
        let values = [
            ("cpu_s", used.cpu_s / f64::from(calls)),
            ("out_bytes", used.inbound.to_caller as f64 / f64::from(calls)),
        ];
        table.add("state_fetch", ("contracts", f64::from(contracts)), &values);
    }
    // The service and each contract were published as one revision each.
    let unchanged = revision_exchange(Some(u64::from(contracts) + 1))?;
    for calls in [0u32, 250, 500, 1_000] {
        let before = entry.read()?;
        for _ in 0..calls {
            peers.exchange(&address, &unchanged).await.map_err(start_error("an exchange"))?;
        }
        let used = entry.read_since(&before)?;
        let values = [
            ("cpu_s", used.cpu_s),
            ("in_bytes", used.inbound.to_target as f64),
            ("out_bytes", used.inbound.to_caller as f64),
        ];
        table.add("revision_exchange", ("exchanges", f64::from(calls)), &values);
    }
    Ok(())
}

fn revision_exchange(revision: Option<u64>) -> Result<RevisionExchange> {
    Ok(RevisionExchange {
        instance: InstanceName::try_from("entry-2").map_err(start_error("a peer"))?,
        incarnation: ProcessIncarnation::random(),
        revision: revision.map(celeryshed_base::ConfigRevision),
    })
}

/// Measures the cost to an entry of reading configuration changes, with 100 contracts in force.
pub(super) async fn measure_changes(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let mut bench = SlopeBench::launch(options).await?;
    bench.publish(service_change("copywriter", true)?).await?;
    for number in 1..=100 {
        bench.publish(contract_change(&format!("team-{number}"), number)?).await?;
    }
    let relays = bench.launch_relays("entry-1").await?;
    bench.set_listed(vec![relays.listed(None)?]);
    let entry = bench.start_entry(relays, CLAIM_PARTITIONS)?;
    bench.wait_ready(&entry).await?;
    sleep(WARM_UP).await;
    for changes in [0u32, 50, 100, 200] {
        let before = entry.read()?;
        for number in 0..changes {
            bench.publish(contract_change("team-1", number)?).await?;
        }
        // Allows for the poll that reads the last change.
        sleep(Duration::from_secs(3)).await;
        let used = entry.read_since(&before)?;
        let seconds = (used.at - before.at).as_secs_f64();
        let values = [
            ("cpu_s", used.cpu_s),
            ("log_out_bytes", used.log.to_target as f64),
            ("log_in_bytes", used.log.to_caller as f64),
            ("seconds", seconds),
        ];
        table.add("entry_changes", ("changes", f64::from(changes)), &values);
    }
    Ok(())
}

/// Measures reads of idle claim partitions; a single entry reads all partitions.
pub(super) async fn measure_partitions(
    options: &SlopeOptions,
    table: &mut SlopeTable,
) -> Result<()> {
    for partitions in [1u32, 64, 128, 256] {
        let bench = SlopeBench::launch(options).await?;
        let relays = bench.launch_relays("entry-1").await?;
        bench.set_listed(vec![relays.listed(None)?]);
        let entry = bench.start_entry(relays, partitions)?;
        bench.wait_ready(&entry).await?;
        sleep(WARM_UP).await;
        let (before, first) = (entry.read()?, bench.log.control().counts().reads);
        sleep(options.window).await;
        let (used, last) = (entry.read_since(&before)?, bench.log.control().counts().reads);
        let seconds = (used.at - before.at).as_secs_f64();
        let x = ("reads_per_s", (last - first) as f64 / seconds);
        let values = [
            ("cpu_s_per_s", used.cpu_s / seconds),
            ("out_bytes_per_s", used.log.to_target as f64 / seconds),
            ("in_bytes_per_s", used.log.to_caller as f64 / seconds),
        ];
        table.add("partition_reads", x, &values);
    }
    Ok(())
}
