//! Parts that measure one entry.

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
use super::lines::SlopeTable;
use super::options::SlopeOptions;
use super::requests::{contract_change, service_change};
use crate::fleet::{Result, start_error};

/// Partitions of the claim log by default.
pub(super) const PARTITIONS: u32 = 16;

/// Longest call of a simulated peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between the reports of one simulated sidecar; a quarter of the real one, so that few tasks
/// cause many reports.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Time for connections and caches to settle before a window.
const WARM_UP: Duration = Duration::from_secs(3);

/// An address on which nothing listens: instances that are only listed.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";

/// Reports of simulated sidecars.
pub(super) async fn measure_reports(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    for sidecars in [0, 25, 50, 100, 200] {
        let bench = SlopeBench::launch(options).await?;
        let seat = bench.seat("entry-1").await?;
        let mut listed = vec![seat.listed(None)?];
        for number in 0..sidecars {
            listed.push(listed_instance(&side_name(number), CLOSED_ADDRESS, Some("copywriter"))?);
        }
        bench.list_only(listed);
        let entry = bench.start_entry(seat, PARTITIONS)?;
        bench.wait_ready(&entry).await?;
        let answered = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for number in 0..sidecars {
            let report = endpoint_report(&side_name(number))?;
            // Reports in step would leave a whole round in flight at the end of a window.
            let delay = REPORT_PAUSE * number / sidecars;
            let answered = Arc::clone(&answered);
            tasks.spawn(send_reports(entry.seat.address(), report, delay, answered));
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
    let mut ticks = interval(REPORT_PAUSE);
    loop {
        ticks.tick().await;
        if client.report(&address, &report).await.is_ok() {
            answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Start of an entry with a list of many instances.
pub(super) async fn measure_start(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    for instances in [10u32, 250, 500, 750, 1_010] {
        let bench = SlopeBench::launch(options).await?;
        let seat = bench.seat("entry-0").await?;
        let mut listed = vec![seat.listed(None)?];
        let entries = instances * 410 / 1_010;
        for number in 1..instances {
            let (name, service) = match number < entries {
                true => (format!("entry-{number}"), None),
                false => (side_name(number), Some("copywriter")),
            };
            listed.push(listed_instance(&name, CLOSED_ADDRESS, service)?);
        }
        bench.list_only(listed);
        let entry = bench.start_entry(seat, PARTITIONS)?;
        bench.wait_ready(&entry).await?;
        sleep(WARM_UP).await;
        let used = entry.read()?;
        let values = [
            ("cpu_s", used.cpu_s),
            ("resident_bytes", used.resident_bytes as f64),
            ("list_bytes", used.list.total() as f64 / used_reads(&bench)),
        ];
        table.add("entry_start", ("instances", f64::from(instances)), &values);
    }
    Ok(())
}

fn used_reads(bench: &SlopeBench) -> f64 {
    bench.list.control().counts().reads.max(1) as f64
}

/// Revision exchanges with a peer: without news, and with the whole state.
pub(super) async fn measure_exchange(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let mut bench = SlopeBench::launch(options).await?;
    let seat = bench.seat("entry-1").await?;
    bench.list_only(vec![seat.listed(None)?]);
    let entry = bench.start_entry(seat, PARTITIONS)?;
    bench.wait_ready(&entry).await?;
    let peers = HttpConfigurationClient::try_new(CALL_TIMEOUT).map_err(start_error("a peer"))?;
    let address = entry.seat.address();
    bench.publish(service_change("copywriter", true)?).await?;
    let mut contracts = 0;
    for target in [0, 25, 50, 100, 200] {
        while contracts < target {
            contracts += 1;
            bench.publish(contract_change(&format!("team-{contracts}"), contracts)?).await?;
        }
        sleep(WARM_UP).await;
        let exchange = exchange(None)?;
        let before = entry.read()?;
        let calls = 100;
        for _ in 0..calls {
            peers.exchange(&address, &exchange).await.map_err(start_error("an exchange"))?;
        }
        let used = entry.read_since(&before)?;
        let values = [
            ("cpu_s", used.cpu_s / f64::from(calls)),
            ("out_bytes", used.inbound.to_caller as f64 / f64::from(calls)),
        ];
        table.add("state_fetch", ("contracts", f64::from(contracts)), &values);
    }
    // One revision for the service and one for each contract.
    let same = exchange(Some(u64::from(contracts) + 1))?;
    for calls in [0u32, 250, 500, 1_000] {
        let before = entry.read()?;
        for _ in 0..calls {
            peers.exchange(&address, &same).await.map_err(start_error("an exchange"))?;
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

fn exchange(revision: Option<u64>) -> Result<RevisionExchange> {
    Ok(RevisionExchange {
        instance: InstanceName::try_from("entry-2").map_err(start_error("a peer"))?,
        incarnation: ProcessIncarnation::random(),
        revision: revision.map(celeryshed_base::ConfigRevision),
    })
}

/// Configuration changes that an entry reads from the log, on top of 100 contracts.
pub(super) async fn measure_changes(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let mut bench = SlopeBench::launch(options).await?;
    bench.publish(service_change("copywriter", true)?).await?;
    for number in 1..=100 {
        bench.publish(contract_change(&format!("team-{number}"), number)?).await?;
    }
    let seat = bench.seat("entry-1").await?;
    bench.list_only(vec![seat.listed(None)?]);
    let entry = bench.start_entry(seat, PARTITIONS)?;
    bench.wait_ready(&entry).await?;
    sleep(WARM_UP).await;
    for changes in [0u32, 50, 100, 200] {
        let before = entry.read()?;
        for number in 0..changes {
            bench.publish(contract_change("team-1", number)?).await?;
        }
        // The last change is read by the next poll.
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

/// Reads of claim partitions without bookings; a lone entry reads all of them.
pub(super) async fn measure_partitions(
    options: &SlopeOptions,
    table: &mut SlopeTable,
) -> Result<()> {
    for partitions in [1u32, 64, 128, 256] {
        let bench = SlopeBench::launch(options).await?;
        let seat = bench.seat("entry-1").await?;
        bench.list_only(vec![seat.listed(None)?]);
        let entry = bench.start_entry(seat, partitions)?;
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
