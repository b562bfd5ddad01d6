//! Bytes of the messages that each process exchanges all the time, against its budget.
//!
//! The bounds follow from the 3 KB/s that a node may spend on control at the target size (410
//! entries, 600 sidecars), split over the messages by [`Share`]; they don't follow from what was
//! measured. Bytes are those of the TCP payload, HTTP headers included, in both directions.

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

/// Bytes a second that a node may spend on control.
const BUDGET: f64 = 3_000.0;

/// Reports a second that an entry gets at the target size: 600 sidecars send 3 each every 2 s to
/// 410 entries.
const REPORTS_PER_S: f64 = 600.0 * 3.0 / 2.0 / 410.0;

/// Probes a second that an entry sends.
const PROBES_PER_S: f64 = 0.5;

/// Polls of the configuration a second.
const POLLS_PER_S: f64 = 0.5;

/// Exchanges a second that an entry starts and answers while the log is down: 2 of each every 2 s.
const EXCHANGES_PER_S: f64 = 2.0;

/// Parts of the budget; what is left, 27%, pays for the instance list and
/// for states served after changes.
struct Share;

impl Share {
    const REPORTS: f64 = 0.32;
    const PROBES: f64 = 0.08;
    const POLLS: f64 = 0.08;
    /// The exchange replaces polls and has the reserve that the list leaves on average.
    const EXCHANGES: f64 = 0.25;
}

fn name<T: TryFrom<&'static str>>(text: &'static str) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(text).unwrap()
}

/// One entry and one sidecar of a plain service.
async fn fleet() -> RunningFleet {
    let mut plan = DeploymentPlan::hinokage();
    plan.entries = 1;
    plan.endpoints.retain(|endpoints| endpoints.service.as_str() == "proof-room");
    RunningFleet::launch(&plan).await.unwrap()
}

fn exchange() -> RevisionExchange {
    RevisionExchange {
        instance: name::<InstanceName>("entry-410"),
        incarnation: ProcessIncarnation::random(),
        revision: Some(ConfigRevision(1)),
    }
}

/// A report with names and numbers as long as those of the target size.
fn report() -> EndpointReport {
    EndpointReport {
        instance: name::<InstanceName>("copywriter-600"),
        incarnation: ProcessIncarnation::random(),
        address: "10.128.200.100:8080".to_owned(),
        zone: name::<AvailabilityZone>("kagoshima-a"),
        region: name::<RegionName>("kagoshima"),
        service: name::<ServiceName>("copywriter"),
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

async fn relay(address: impl ToString) -> ByteRelay {
    ByteRelay::launch(address.to_string().parse().unwrap()).await.unwrap()
}

/// Bytes of one call through the relay, which nobody else uses. Connections are not encrypted, so
/// that a new one adds no bytes of payload.
macro_rules! call_bytes {
    ($relay:expr, $call:expr) => {{
        $call.await.unwrap();
        $relay.count().total() as f64
    }};
}

/// Guards against reports that take more than their share of an entry's budget.
#[tokio::test(flavor = "multi_thread")]
async fn one_report_fits_its_share() {
    let fleet = fleet().await;
    let relay = relay(fleet.entries[0].address).await;
    let client = HttpEntryClient::try_new(Duration::from_secs(10)).unwrap();
    let (address, report) = (relay.address().to_string(), report());
    let bytes = call_bytes!(relay, client.report(&address, &report));
    assert!(bytes * REPORTS_PER_S <= BUDGET * Share::REPORTS, "a report takes {bytes} bytes");
}

/// Guards against probes that take more than their share of an entry's budget.
#[tokio::test(flavor = "multi_thread")]
async fn one_probe_fits_its_share() {
    let fleet = fleet().await;
    let relay = relay(fleet.endpoints[0].address).await;
    let client = HttpProbeClient::try_new(Duration::from_secs(10)).unwrap();
    let (address, exchange) = (relay.address().to_string(), exchange());
    let bytes = call_bytes!(relay, client.probe(&address, "127.0.0.1:9", &exchange));
    assert!(bytes * PROBES_PER_S <= BUDGET * Share::PROBES, "a probe takes {bytes} bytes");
}

/// Guards against polls of the log without news that take more than their share.
#[tokio::test(flavor = "multi_thread")]
async fn one_poll_fits_its_share() {
    let fleet = fleet().await;
    let relay = relay(fleet.platform.log.address()).await;
    let url = format!("http://{}", relay.address());
    let client = HttpLogClient::try_new(&url, HttpTimeouts::for_calls()).unwrap();
    let bytes = call_bytes!(relay, client.read("configuration", LogOffset(1_000_000), 500));
    assert!(bytes * POLLS_PER_S <= BUDGET * Share::POLLS, "a poll takes {bytes} bytes");
}

/// Guards against revision exchanges without news that take more than their share.
#[tokio::test(flavor = "multi_thread")]
async fn one_exchange_fits_its_share() {
    let fleet = fleet().await;
    let relay = relay(fleet.entries[0].address).await;
    let client = HttpConfigurationClient::try_new(Duration::from_secs(10)).unwrap();
    let (address, mut exchange) = (relay.address().to_string(), exchange());
    exchange.revision = Some(ConfigRevision(u64::MAX));
    let bytes = call_bytes!(relay, client.exchange(&address, &exchange));
    assert!(bytes * EXCHANGES_PER_S <= BUDGET * Share::EXCHANGES, "an exchange: {bytes} bytes");
}
