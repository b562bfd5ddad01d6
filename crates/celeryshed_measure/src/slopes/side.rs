//! Parts of the measurement that run a single sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshed_base::{InstanceName, ProcessIncarnation};
use celeryshed_entry::membership::{HttpProbeClient, ProbeClient};
use celeryshed_side::weights::{HttpPeerClient, PeerClient, PeerReply};
use celeryshed_standin::engine::{EngineOptions, RawEngineOptions, RunningEngine};
use celeryshed_wire::RevisionExchange;
use futures::StreamExt;
use tokio::time::{Instant, sleep};

use super::bench::{MeasuredRole, SlopeBench};
use super::entry::CLAIM_PARTITIONS;
use super::options::SlopeOptions;
use super::relay::RelayCount;
use super::requests::{launch_service, publish_version, service_change};
use super::settings::SideEndpoint;
use super::table::SlopeTable;
use crate::fleet::{FleetError, Result, start_error};

/// Size of a weight chunk, the default of the publish command.
const CHUNK_BYTES: usize = 1 << 20;

/// Time limit for a version to become live.
const LIVE_LIMIT: Duration = Duration::from_secs(30);

/// Time for roles to read the instance list and connect before a measurement.
const WARM_UP: Duration = Duration::from_secs(6);

/// Measures the reports of a sidecar to 1 to 8 entries. With up to 8 entries listed, a sidecar
/// reports to each of them.
pub(super) async fn measure_entries(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let service = launch_service().await?;
    for count in [1usize, 2, 4, 8] {
        let bench = SlopeBench::launch(options).await?;
        let side_relays = bench.launch_relays("order-desk-1").await?;
        let mut listed = vec![side_relays.listed(Some("order-desk"))?];
        let mut entry_relays = Vec::new();
        for number in 0..count {
            let relays = bench.launch_relays(&format!("entry-{number}")).await?;
            listed.push(relays.listed(None)?);
            entry_relays.push(relays);
        }
        bench.set_listed(listed);
        let mut entries = Vec::new();
        for relays in entry_relays {
            entries.push(bench.start_entry(relays, CLAIM_PARTITIONS)?);
        }
        for entry in &entries {
            bench.wait_ready(entry).await?;
        }
        let endpoint = plain_endpoint(service.address());
        let side = bench.start_side(side_relays, &endpoint)?;
        bench.wait_ready(&side).await?;
        sleep(WARM_UP).await;
        let (before, first) = (side.read()?, inbound_total(&entries)?);
        sleep(options.window * 2).await;
        let (used, last) = (side.read_since(&before)?, inbound_total(&entries)?);
        let seconds = (used.at - before.at).as_secs_f64();
        let reported = last.since(&first);
        let values = [
            ("cpu_s_per_s", used.cpu_s / seconds),
            ("resident_bytes", used.resident_bytes as f64),
            ("out_bytes_per_s", reported.to_target as f64 / seconds),
            ("in_bytes_per_s", reported.to_caller as f64 / seconds),
        ];
        table.add("side_entries", ("entries", count as f64), &values);
    }
    Ok(())
}

/// Settings of an endpoint that runs a plain service at `address`.
pub(super) fn plain_endpoint(address: SocketAddr) -> SideEndpoint {
    SideEndpoint { service: "order-desk".to_owned(), kind: "plain", address }
}

/// Sum of the counts of the inbound relays of all `roles`.
pub(super) fn inbound_total(roles: &[MeasuredRole]) -> Result<RelayCount> {
    let mut total = RelayCount::default();
    for role in roles {
        let count = role.read()?.inbound;
        total.to_target += count.to_target;
        total.to_caller += count.to_caller;
        total.connections += count.connections;
    }
    Ok(total)
}

/// Measures the answers of a sidecar to probes from an entry that it doesn't report to.
pub(super) async fn measure_probes(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let service = launch_service().await?;
    let bench = SlopeBench::launch(options).await?;
    let (side_relays, entry_relays) =
        (bench.launch_relays("order-desk-1").await?, bench.launch_relays("entry-1").await?);
    bench.set_listed(vec![side_relays.listed(Some("order-desk"))?, entry_relays.listed(None)?]);
    let _entry = bench.start_entry(entry_relays, CLAIM_PARTITIONS)?;
    let side = bench.start_side(side_relays, &plain_endpoint(service.address()))?;
    bench.wait_ready(&side).await?;
    let client = HttpProbeClient::try_new(Duration::from_secs(1)).map_err(start_error("a peer"))?;
    let exchange = RevisionExchange {
        instance: InstanceName::try_from("entry-2").map_err(start_error("a peer"))?,
        incarnation: ProcessIncarnation::random(),
        revision: None,
    };
    for probes in [0u32, 250, 500, 1_000] {
        let before = side.read()?;
        for _ in 0..probes {
            let reply = client.probe(&side.relays.address(), "127.0.0.1:9", &exchange).await;
            reply.map_err(start_error("a probe"))?;
        }
        let used = side.read_since(&before)?;
        let values = [
            ("cpu_s", used.cpu_s),
            ("in_bytes", used.inbound.to_target as f64),
            ("out_bytes", used.inbound.to_caller as f64),
        ];
        table.add("side_probes", ("probes", f64::from(probes)), &values);
    }
    Ok(())
}

/// Measures a sidecar that fetches chunks from the store, keeps them in memory and serves them to
/// another sidecar.
pub(super) async fn measure_chunks(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    for chunks in [4u32, 32, 64, 128] {
        let mut bench = SlopeBench::launch(options).await?;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let raw = RawEngineOptions { load_ms: 1, ..RawEngineOptions::default() };
        let engine = EngineOptions::try_from(raw).map_err(start_error("engine"))?;
        let engine =
            RunningEngine::launch(engine, any_port).await.map_err(start_error("engine"))?;
        let (side_relays, entry_relays) =
            (bench.launch_relays("copywriter-1").await?, bench.launch_relays("entry-1").await?);
        bench.set_listed(vec![side_relays.listed(Some("copywriter"))?, entry_relays.listed(None)?]);
        bench.publish(service_change("copywriter", true)?).await?;
        let entry = bench.start_entry(entry_relays, CLAIM_PARTITIONS)?;
        bench.wait_ready(&entry).await?;
        let service = "copywriter".to_owned();
        let endpoint = SideEndpoint { service, kind: "engine", address: engine.address() };
        let side = bench.start_side(side_relays, &endpoint)?;
        bench.wait_ready(&side).await?;
        let before = side.read()?;
        let (manifest, digests) =
            publish_version(&mut bench, "spring-1", chunks, CHUNK_BYTES).await?;
        let deadline = Instant::now() + LIVE_LIMIT;
        while engine.control().live() != Some(manifest) {
            if Instant::now() > deadline {
                let what = format!("a version of {chunks} chunks live");
                return Err(FleetError::Late { what, seconds: LIVE_LIMIT.as_secs() });
            }
            sleep(Duration::from_millis(50)).await;
        }
        let used = side.read_since(&before)?;
        let values = [
            ("fetch_cpu_s", used.cpu_s),
            ("fetched_bytes", used.store.total() as f64),
            ("resident_bytes", used.resident_bytes as f64),
        ];
        table.add("side_chunks", ("chunks", f64::from(chunks)), &values);
        let before = side.read()?;
        let client = reqwest::Client::builder().no_proxy().build();
        let peers = HttpPeerClient::new(client.map_err(start_error("a peer"))?);
        for digest in &digests {
            let wait = Duration::from_secs(1);
            let reply = peers.fetch_chunk(&side.relays.address(), digest, wait).await;
            let PeerReply::Held(mut body) = reply.map_err(start_error("a chunk"))? else {
                return Err(start_error("a chunk")("the sidecar doesn't have the chunk"));
            };
            while let Some(part) = body.next().await {
                part.map_err(start_error("a chunk"))?;
            }
        }
        let used = side.read_since(&before)?;
        let values = [
            ("serve_cpu_s", used.cpu_s),
            ("served_bytes", used.inbound.total() as f64),
            ("resident_after_serving_bytes", used.resident_bytes as f64),
        ];
        table.add("side_chunks", ("chunks", f64::from(chunks)), &values);
    }
    Ok(())
}
