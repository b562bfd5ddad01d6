//! Part of the measurement that sends callers' requests through an entry and a sidecar.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    ByteCount, ContentDigest, ModelName, ServiceName, TeamName, TokenCount, TokenRate, VersionName,
};
use celeryshed_core::configuration::{
    ChangeKind, EndpointKind, ModelVersion, ScarcityPolicy, ServiceDefinition, TeamContract,
};
use celeryshed_standin::engine::{EngineOptions, RawEngineOptions, RunningEngine};
use celeryshed_standin::service::{RawServiceOptions, RunningService, ServiceOptions};
use celeryshed_wire::{WeightManifest, encode};
use futures::stream::{self, StreamExt};
use serde_json::json;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::bench::{MeasuredRole, RoleReading, SlopeBench};
use super::entry::CLAIM_PARTITIONS;
use super::options::SlopeOptions;
use super::settings::SideEndpoint;
use super::table::SlopeTable;
use crate::fleet::{FleetError, Result, start_error};

/// Concurrent requests.
const CONCURRENT_REQUESTS: usize = 8;

/// API key of the callers and name of their team.
const API_KEY: &str = "slopes";

/// Time limit for both endpoints together to serve a first request.
const SERVE_LIMIT: Duration = Duration::from_secs(20);

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// A streamed completion with at most `tokens` tokens.
    Completion { tokens: u32 },
    /// A call of a plain service without an idempotency key.
    Call,
    /// A call of a plain service with an idempotency key.
    Booking,
}

/// An entry, the sidecar of an engine and the sidecar of a plain service.
struct RequestBench {
    bench: SlopeBench,
    entry: MeasuredRole,
    engine_side: MeasuredRole,
    plain_side: MeasuredRole,
    _engine: RunningEngine,
    _service: RunningService,
}

/// Measures the cost of requests of each kind, and of generated tokens.
pub(super) async fn measure_requests(options: &SlopeOptions, table: &mut SlopeTable) -> Result<()> {
    let bench = RequestBench::launch(options).await?;
    bench.send_requests(20, RequestKind::Completion { tokens: 8 }).await?;
    bench.send_requests(20, RequestKind::Booking).await?;
    for requests in [0u32, 200, 400, 800] {
        let kind = RequestKind::Completion { tokens: 8 };
        bench.measure("completions", ("requests", requests), requests, kind, table).await?;
        bench.measure("calls", ("requests", requests), requests, RequestKind::Call, table).await?;
        let kind = RequestKind::Booking;
        bench.measure("bookings", ("requests", requests), requests, kind, table).await?;
    }
    for tokens in [1u32, 16, 64, 128] {
        let kind = RequestKind::Completion { tokens };
        bench.measure("tokens", ("tokens", 200 * tokens), 200, kind, table).await?;
    }
    Ok(())
}

impl RequestBench {
    async fn launch(options: &SlopeOptions) -> Result<Self> {
        let mut bench = SlopeBench::launch(options).await?;
        bench.publish(service_change("copywriter", true)?).await?;
        bench.publish(service_change("order-desk", false)?).await?;
        bench.publish(contract_change(API_KEY, 1)?).await?;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let raw = RawEngineOptions {
            slots: 64,
            tokens_per_s: 1_000_000,
            stream_tokens_per_s: 100_000,
            prefill_tokens_per_s: 1_000_000,
            load_ms: 1,
            ..RawEngineOptions::default()
        };
        let engine = EngineOptions::try_from(raw).map_err(start_error("engine"))?;
        let engine =
            RunningEngine::launch(engine, any_port).await.map_err(start_error("engine"))?;
        let service = launch_service().await?;
        let relays = (
            bench.launch_relays("entry-1").await?,
            bench.launch_relays("copywriter-1").await?,
            bench.launch_relays("order-desk-1").await?,
        );
        bench.set_listed(vec![
            relays.0.listed(None)?,
            relays.1.listed(Some("copywriter"))?,
            relays.2.listed(Some("order-desk"))?,
        ]);
        publish_version(&mut bench, "spring-1", 4, 64 << 10).await?;
        let endpoint = |service: &str, kind, address| SideEndpoint {
            service: service.to_owned(),
            kind,
            address,
        };
        let entry = bench.start_entry(relays.0, CLAIM_PARTITIONS)?;
        bench.wait_ready(&entry).await?;
        let engine_endpoint = endpoint("copywriter", "engine", engine.address());
        let plain_endpoint = endpoint("order-desk", "plain", service.address());
        let engine_side = bench.start_side(relays.1, &engine_endpoint)?;
        let plain_side = bench.start_side(relays.2, &plain_endpoint)?;
        let started =
            Self { bench, entry, engine_side, plain_side, _engine: engine, _service: service };
        started.wait_served().await?;
        Ok(started)
    }

    /// Waits until the engine and the plain service have answered a request.
    async fn wait_served(&self) -> Result<()> {
        let deadline = Instant::now() + SERVE_LIMIT;
        for kind in [RequestKind::Completion { tokens: 1 }, RequestKind::Call] {
            while self.send_request(kind).await.is_err() {
                if Instant::now() > deadline {
                    let what = format!("an answer to {kind:?}");
                    return Err(FleetError::Late { what, seconds: SERVE_LIMIT.as_secs() });
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    async fn measure(
        &self,
        part: &str,
        x: (&str, u32),
        requests: u32,
        kind: RequestKind,
        table: &mut SlopeTable,
    ) -> Result<()> {
        let side = match kind {
            RequestKind::Completion { .. } => &self.engine_side,
            RequestKind::Call | RequestKind::Booking => &self.plain_side,
        };
        let before = (self.entry.read()?, side.read()?);
        let first = self.bench.log.control().counts();
        self.send_requests(requests, kind).await?;
        let entry = self.entry.read_since(&before.0)?;
        let side = side.read_since(&before.1)?;
        let last = self.bench.log.control().counts();
        // Traffic that doesn't depend on requests is not subtracted here: it becomes part of the
        // intercept of the fit.
        let mut values = request_values(&entry, &side).to_vec();
        values.push(("log_appends", (last.appends - first.appends) as f64));
        values.push(("log_records", (last.records - first.records) as f64));
        values.push(("log_reads", (last.reads - first.reads) as f64));
        values.push(("seconds", (entry.at - before.0.at).as_secs_f64()));
        table.add(part, (x.0, f64::from(x.1)), &values);
        Ok(())
    }

    async fn send_requests(&self, requests: u32, kind: RequestKind) -> Result<()> {
        let calls = (0..requests).map(|_| self.send_request(kind));
        let mut calls = stream::iter(calls).buffer_unordered(CONCURRENT_REQUESTS);
        while let Some(result) = calls.next().await {
            result?;
        }
        Ok(())
    }

    async fn send_request(&self, kind: RequestKind) -> Result<()> {
        let entry = self.entry.relays.address();
        let request = match kind {
            RequestKind::Completion { tokens } => {
                let prompt = "Write sowing instructions for a packet of carrots.";
                let body = json!({
                    "model": "copywriter", "prompt": prompt, "max_tokens": tokens, "stream": true,
                });
                self.bench.http.post(format!("http://{entry}/v1/completions")).json(&body)
            }
            RequestKind::Call | RequestKind::Booking => {
                let url = format!("http://{entry}/services/order-desk/press-runs");
                let request = self.bench.http.post(url).json(&json!({ "order": "1,000 packets" }));
                match kind {
                    RequestKind::Booking => {
                        request.header("Idempotency-Key", Uuid::now_v7().to_string())
                    }
                    RequestKind::Call | RequestKind::Completion { .. } => request,
                }
            }
        };
        let reply = request.bearer_auth(API_KEY).send().await.map_err(start_error("a request"))?;
        let status = reply.status();
        let body = reply.text().await.map_err(start_error("an answer"))?;
        match status.is_success() {
            true => Ok(()),
            false => Err(start_error("a request")(format!("{status}: {body}"))),
        }
    }
}

fn request_values(entry: &RoleReading, side: &RoleReading) -> [(&'static str, f64); 9] {
    [
        ("entry_cpu_s", entry.cpu_s),
        ("entry_resident_bytes", entry.resident_bytes as f64),
        ("entry_log_bytes", entry.log.total() as f64),
        ("caller_bytes", entry.inbound.total() as f64),
        ("side_cpu_s", side.cpu_s),
        ("side_resident_bytes", side.resident_bytes as f64),
        ("side_log_bytes", side.log.total() as f64),
        ("attempt_in_bytes", side.inbound.to_target as f64),
        ("attempt_out_bytes", side.inbound.to_caller as f64),
    ]
}

/// Starts a plain service that answers after 1 ms.
pub(super) async fn launch_service() -> Result<RunningService> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let raw = RawServiceOptions { latency_ms: 1, ..RawServiceOptions::default() };
    let options = ServiceOptions::try_from(raw).map_err(start_error("service"))?;
    RunningService::launch(options, any_port).await.map_err(start_error("service"))
}

/// The change that defines a service with enough capacity for all contracts of the measurement.
pub(super) fn service_change(name: &str, engine: bool) -> Result<ChangeKind> {
    let service = ServiceName::try_from(name).map_err(start_error(name))?;
    let definition = ServiceDefinition {
        kind: if engine { EndpointKind::Engine } else { EndpointKind::Plain },
        endpoints: 600,
        slots_per_endpoint: 64,
        tokens_per_endpoint: TokenRate(if engine { 3_400 } else { 0 }),
        version: None,
    };
    Ok(ChangeKind::PutService(service, definition))
}

/// The change that adds or replaces the contract of a team whose API key is its name.
///
/// A different `burst` makes the contract differ from the previous one.
pub(super) fn contract_change(team: &str, burst: u32) -> Result<ChangeKind> {
    let name = TeamName::try_from(team).map_err(start_error(team))?;
    let contract = TeamContract {
        api_key_hash: ContentDigest::of(team.as_bytes()),
        service: ServiceName::try_from("copywriter").map_err(start_error(team))?,
        token_rate: TokenRate(1_000),
        requests_in_progress: 16,
        burst: TokenCount(u64::from(burst)),
        displaces: BTreeSet::new(),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Wait(Duration::from_secs(10)),
        retry_budget_percent: 10,
        first_token: Duration::from_millis(420),
        objective_basis_points: 9_900,
    };
    Ok(ChangeKind::PutContract(name, contract))
}

/// Uploads a version of `chunks` different chunks to the origin and selects it for the engines.
///
/// Returns the digests of its manifest and of its chunks.
pub(super) async fn publish_version(
    bench: &mut SlopeBench,
    version: &str,
    chunks: u32,
    chunk_bytes: usize,
) -> Result<(ContentDigest, Vec<ContentDigest>)> {
    let origin = bench.origin.control();
    let model = ModelName::try_from("sowing").map_err(start_error("the model"))?;
    let name = VersionName::try_from(version).map_err(start_error("the version"))?;
    let insert = |number: u32| {
        let digest = ContentDigest::of_parts(&[version.as_bytes(), &number.to_be_bytes()]);
        origin.insert(Bytes::from(digest.as_bytes().repeat(chunk_bytes / 32)))
    };
    let digests: Vec<_> = (0..chunks).map(insert).collect();
    let total_bytes = u64::from(chunks) * chunk_bytes as u64;
    let manifest = WeightManifest {
        model: model.clone(),
        version: name.clone(),
        chunk_bytes: chunk_bytes as u32,
        total_bytes,
        chunks: digests.clone(),
    };
    let manifest = encode(&manifest).map_err(start_error("the manifest"))?;
    let manifest = origin.insert(manifest);
    let published = ModelVersion { model, manifest, size: ByteCount(total_bytes) };
    bench.publish(ChangeKind::PublishModel(name.clone(), published)).await?;
    let service = ServiceName::try_from("copywriter").map_err(start_error("the service"))?;
    bench.publish(ChangeKind::SelectVersion(service, name)).await?;
    Ok((manifest, digests))
}
