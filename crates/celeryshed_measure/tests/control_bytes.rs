//! Checks the size of periodic control messages against the control budget of an instance.
//!
//! The bounds follow from the design: an instance may spend 3 KB/s on control at the target size
//! (410 entries, 600 sidecars), divided among the messages by [`BudgetShare`]. They don't follow
//! from measured sizes. Bytes are those of the TCP payload, including HTTP headers, in both
//! directions.

use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, ConfigRevision, ContentDigest, InstanceName, LogOffset, ProcessIncarnation,
    RegionName, ServiceName,
};
use celeryshed_entry::configuration::{ConfigurationClient, HttpConfigurationClient};
use celeryshed_entry::membership::{HttpProbeClient, ProbeClient};
use celeryshed_measure::fleet::{DeploymentPlan, RunningFleet};
use celeryshed_measure::slopes::ByteRelay;
use celeryshed_platform::{HttpLogClient, HttpTimeouts, LogClient};
use celeryshed_side::configuration::{EntryClient, HttpEntryClient};
use celeryshed_wire::{EndpointReport, EndpointState, LoadReport, RevisionExchange};

/// Bytes per second that an instance may spend on control.
const BUDGET_BYTES_PER_S: f64 = 3_000.0;

/// Reports per second that an entry receives at the target size: each of 600 sidecars sends 3
/// reports every 2 s, distributed over 410 entries.
const REPORTS_PER_S: f64 = 600.0 * 3.0 / 2.0 / 410.0;

/// Probes per second that an entry sends.
const PROBES_PER_S: f64 = 0.5;

/// Configuration polls per second of an entry.
const POLLS_PER_S: f64 = 0.5;

/// Revision exchanges per second of an entry while the log is unavailable: the entry starts 2
/// and answers 2 every 2 s.
const EXCHANGES_PER_S: f64 = 2.0;

/// Fractions of the budget. The remaining 27% covers the instance list and the complete
/// configurations that are sent after configuration changes.
struct BudgetShare;

impl BudgetShare {
    const REPORTS: f64 = 0.32;
    const PROBES: f64 = 0.08;
    const POLLS: f64 = 0.08;
    /// Revisions are exchanged instead of polling the log. Exchanges may take more than polls
    /// because, on average, the instance list doesn't use all of the remaining budget.
    const EXCHANGES: f64 = 0.25;
}

fn parse_name<T: TryFrom<&'static str>>(text: &'static str) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(text).unwrap()
}

/// Starts one entry and the sidecar of a service without an engine.
async fn launch_fleet() -> RunningFleet {
    let mut plan = DeploymentPlan::hinokage();
    plan.entries = 1;
    plan.endpoints.retain(|endpoints| endpoints.service.as_str() == "proof-room");
    RunningFleet::launch(&plan).await.unwrap()
}

fn revision_exchange() -> RevisionExchange {
    RevisionExchange {
        instance: parse_name::<InstanceName>("entry-410"),
        incarnation: ProcessIncarnation::random(),
        revision: Some(ConfigRevision(1)),
    }
}

/// A report whose names and numbers are as long as at the target size.
fn endpoint_report() -> EndpointReport {
    EndpointReport {
        instance: parse_name::<InstanceName>("copywriter-600"),
        incarnation: ProcessIncarnation::random(),
        address: "10.128.200.100:8080".to_owned(),
        zone: parse_name::<AvailabilityZone>("kagoshima-a"),
        region: parse_name::<RegionName>("kagoshima"),
        service: parse_name::<ServiceName>("copywriter"),
        state: EndpointState::Serving,
        live_version: Some(ContentDigest::of(b"version")),
        load: LoadReport {
            slots: 16,
            running: 16,
            waiting: 300,
            queued_prompt_tokens: 100_000,
            tokens_per_s: 3_400,
        },
        prefixes: Vec::new(),
        revision: Some(ConfigRevision(400_000)),
    }
}

async fn launch_relay(address: impl ToString) -> ByteRelay {
    ByteRelay::launch(address.to_string().parse().unwrap()).await.unwrap()
}

/// Bytes of one call through a relay that no other call uses. Connections are not encrypted, so a
/// new connection adds no payload bytes.
macro_rules! call_bytes {
    ($relay:expr, $call:expr) => {{
        $call.await.unwrap();
        $relay.count().total() as f64
    }};
}

/// Guards against reports that exceed their share of an entry's control budget.
#[tokio::test(flavor = "multi_thread")]
async fn one_report_fits_its_share() {
    let fleet = launch_fleet().await;
    let relay = launch_relay(fleet.entries[0].address).await;
    let client = HttpEntryClient::try_new(Duration::from_secs(10)).unwrap();
    let (address, report) = (relay.address().to_string(), endpoint_report());
    let bytes = call_bytes!(relay, client.report(&address, &report));
    assert!(
        bytes * REPORTS_PER_S <= BUDGET_BYTES_PER_S * BudgetShare::REPORTS,
        "a report takes {bytes} bytes"
    );
}

/// Guards against probes that exceed their share of an entry's control budget.
#[tokio::test(flavor = "multi_thread")]
async fn one_probe_fits_its_share() {
    let fleet = launch_fleet().await;
    let relay = launch_relay(fleet.endpoints[0].address).await;
    let client = HttpProbeClient::try_new(Duration::from_secs(10)).unwrap();
    let (address, exchange) = (relay.address().to_string(), revision_exchange());
    let bytes = call_bytes!(relay, client.probe(&address, "127.0.0.1:9", &exchange));
    assert!(
        bytes * PROBES_PER_S <= BUDGET_BYTES_PER_S * BudgetShare::PROBES,
        "a probe takes {bytes} bytes"
    );
}

/// Guards against polls of an unchanged log that exceed their share of the control budget.
#[tokio::test(flavor = "multi_thread")]
async fn one_poll_fits_its_share() {
    let fleet = launch_fleet().await;
    let relay = launch_relay(fleet.platform.log.address()).await;
    let url = format!("http://{}", relay.address());
    let client = HttpLogClient::try_new(&url, HttpTimeouts::for_calls()).unwrap();
    let bytes = call_bytes!(relay, client.read("configuration", LogOffset(1_000_000), 500));
    assert!(
        bytes * POLLS_PER_S <= BUDGET_BYTES_PER_S * BudgetShare::POLLS,
        "a poll takes {bytes} bytes"
    );
}

/// Guards against exchanges of an unchanged revision that exceed their share of the control budget.
#[tokio::test(flavor = "multi_thread")]
async fn one_exchange_fits_its_share() {
    let fleet = launch_fleet().await;
    let relay = launch_relay(fleet.entries[0].address).await;
    let client = HttpConfigurationClient::try_new(Duration::from_secs(10)).unwrap();
    let (address, mut exchange) = (relay.address().to_string(), revision_exchange());
    exchange.revision = Some(ConfigRevision(u64::MAX));
    let bytes = call_bytes!(relay, client.exchange(&address, &exchange));
    assert!(
        bytes * EXCHANGES_PER_S <= BUDGET_BYTES_PER_S * BudgetShare::EXCHANGES,
        "an exchange: {bytes} bytes"
    );
}
