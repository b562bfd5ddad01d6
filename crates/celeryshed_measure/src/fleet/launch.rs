//! Start of a fleet and control of its members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ByteCount, InstanceName, ServiceName, TokenRate};
use celeryshed_core::configuration::{ChangeKind, ChangeOutcome, EndpointKind, ServiceDefinition};
use celeryshed_entry::role::EntryRole;
use celeryshed_operate::publish::{ConfigurationPublisher, PublishOptions};
use celeryshed_platform::{HttpLogClient, HttpTimeouts};
use celeryshed_settings::{
    EndpointSettings, EntrySettings, InstanceSettings, PlatformSettings, SideSettings,
    WeightSettings,
};
use celeryshed_side::role::SideRole;
use celeryshed_standin::engine::{EngineControl, EngineOptions, RawEngineOptions, RunningEngine};
use celeryshed_standin::platform::{
    BlobOptions, ListOptions, LogOptions, RawBlobOptions, RawListOptions, RunningBlobs,
    RunningList, RunningLog,
};
use celeryshed_standin::service::{
    RawServiceOptions, RunningService, ServiceControl, ServiceOptions,
};
use celeryshed_wire::{InstanceRole, InstanceState, ListedInstance};

use super::deployment::{DeploymentPlan, EndpointPlan, ZonePlan};
use super::error::{FleetError, Result, start_error};
use super::ports::PortReservation;
use super::runtime::RoleRuntime;

/// Worker threads in the runtime of one role.
const ROLE_WORKERS: usize = 1;

/// Bytes per second of the store and the origin, which are not meant to limit the fleet.
const BLOB_BYTES_PER_S: u64 = 1 << 30;

/// Requests per second that the store and the origin accept.
const BLOB_REQUESTS_PER_S: u32 = 10_000;

/// Capacity of an instance's link on loopback, in Mbit/s.
const LINK_MBIT_PER_S: u64 = 10_000;

/// Time limit of a request in a fleet.
const MAX_REQUEST: Duration = Duration::from_secs(120);

/// Stand-ins for the services of the platform.
pub struct FleetPlatform {
    /// Stores the configuration and the booking claims.
    pub log: RunningLog,
    /// Lists the running instances.
    pub list: RunningList,
    /// Stores model weights within a region.
    pub store: RunningBlobs,
    /// Stores the weights of all published model versions.
    pub origin: RunningBlobs,
}

/// An entry, which runs until it is drained.
pub struct FleetEntry {
    /// Instance name: `entry-1` and up.
    pub name: InstanceName,
    /// Loopback address of the HTTP server.
    pub address: SocketAddr,
    /// `None` after a drain.
    role: Option<EntryRole>,
    runtime: RoleRuntime,
}

/// Reads the counts of an endpoint's stand-in and sets its faults.
#[derive(Clone)]
pub enum EndpointControl {
    /// The endpoint is an engine.
    Engine(EngineControl),
    /// The endpoint is a plain service.
    Plain(ServiceControl),
}

/// An endpoint and its sidecar.
pub struct FleetEndpoint {
    /// Instance name of the sidecar: the service and a number from 1.
    pub name: InstanceName,
    /// Service that the endpoint runs.
    pub service: ServiceName,
    /// Loopback address of the sidecar's HTTP server.
    pub address: SocketAddr,
    /// Control of the endpoint's stand-in; the counts stay readable after a kill.
    pub control: EndpointControl,
    /// The sidecar and the runtime that it shares with the stand-in; `None` after a kill.
    running: Option<(SideRole, RoleRuntime)>,
}

/// A running fleet.
pub struct RunningFleet {
    /// Platform stand-ins.
    pub platform: FleetPlatform,
    /// Entries, including drained ones.
    pub entries: Vec<FleetEntry>,
    /// Endpoints with their sidecars, including killed ones.
    pub endpoints: Vec<FleetEndpoint>,
    publisher: ConfigurationPublisher,
    runtime: RoleRuntime,
}

impl FleetEntry {
    /// Drains the entry and waits until it has stopped; does nothing after an earlier drain.
    pub async fn drain(&mut self) -> Result<()> {
        match self.role.take() {
            Some(role) => self.runtime.run(role.drain()).await,
            None => Ok(()),
        }
    }
}

impl FleetEndpoint {
    /// Kills the sidecar together with its endpoint.
    pub fn kill(&mut self) {
        self.running = None;
    }

    /// Whether the sidecar and its endpoint have not been killed.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }
}

impl RunningFleet {
    /// Starts the stand-ins and the roles, then publishes the service definitions.
    pub async fn launch(plan: &DeploymentPlan) -> Result<Self> {
        let runtime = RoleRuntime::start(2)?;
        let list_lag = plan.list_lag;
        let platform = runtime.run(async move { launch_platform(list_lag).await }).await??;
        let mut fleet = Self {
            publisher: publisher(&platform)?,
            platform,
            entries: Vec::new(),
            endpoints: Vec::new(),
            runtime,
        };
        fleet.launch_roles(plan).await?;
        for endpoints in &plan.endpoints {
            fleet
                .publish(ChangeKind::PutService(
                    endpoints.service.clone(),
                    service_definition(endpoints),
                ))
                .await?;
        }
        Ok(fleet)
    }

    /// Publishes a configuration change and waits for its verdict; a refused change is an error.
    pub async fn publish(&mut self, change: ChangeKind) -> Result<()> {
        let verdict = self.publisher.publish(change).await;
        let verdict = verdict.map_err(|error| FleetError::Publish(error.to_string()))?;
        match verdict.outcome {
            ChangeOutcome::Accepted(_) => Ok(()),
            ChangeOutcome::Refused(reason) => Err(FleetError::Publish(reason.to_string())),
        }
    }

    /// Runtime of the platform stand-ins.
    pub fn runtime(&self) -> &RoleRuntime {
        &self.runtime
    }

    async fn launch_roles(&mut self, plan: &DeploymentPlan) -> Result<()> {
        let endpoints: usize = plan.endpoints.iter().map(|endpoints| endpoints.count).sum();
        // Kept until every role listens at its port.
        let ports = PortReservation::reserve(plan.entries + endpoints)?;
        let mut addresses = ports.addresses()?.into_iter();
        let mut listed = Vec::new();
        let mut zones = plan.zones.iter().cycle();
        let mut entries = Vec::new();
        for (index, address) in addresses.by_ref().take(plan.entries).enumerate() {
            let zone = zones.next().ok_or_else(|| start_error("the fleet")("no zone"))?;
            let instance = instance_settings(&format!("entry-{}", index + 1), address, zone)?;
            listed.push(listed_instance(&instance, None));
            entries.push(instance);
        }
        let mut sides = Vec::new();
        for endpoints in &plan.endpoints {
            let zones = plan.zones.iter().cycle();
            let addresses = addresses.by_ref().take(endpoints.count);
            for ((index, address), zone) in addresses.enumerate().zip(zones) {
                let name = format!("{}-{}", endpoints.service, index + 1);
                let instance = instance_settings(&name, address, zone)?;
                listed.push(listed_instance(&instance, Some(&endpoints.service)));
                sides.push((instance, endpoints));
            }
        }
        self.platform.list.control().set_instances(listed);
        for instance in entries {
            let entry = launch_entry(plan, &self.platform, instance).await?;
            self.entries.push(entry);
        }
        for (instance, endpoints) in sides {
            let endpoint = launch_endpoint(plan, &self.platform, instance, endpoints).await?;
            self.endpoints.push(endpoint);
        }
        Ok(())
    }
}

async fn launch_platform(list_lag: Duration) -> Result<FleetPlatform> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let log =
        RunningLog::launch(LogOptions::default(), any_port).await.map_err(start_error("log"))?;
    let lag_ms = list_lag.as_millis() as u64;
    let raw = RawListOptions { lag_ms, ..RawListOptions::default() };
    let options = ListOptions::try_from(raw).map_err(start_error("list"))?;
    let list = RunningList::launch(options, any_port).await.map_err(start_error("list"))?;
    let origin = launch_blobs(RawBlobOptions::origin(), any_port).await?;
    let store = RawBlobOptions::store(Some(origin.address().to_string()));
    let store = launch_blobs(store, any_port).await?;
    Ok(FleetPlatform { log, list, store, origin })
}

async fn launch_blobs(raw: RawBlobOptions, any_port: SocketAddr) -> Result<RunningBlobs> {
    let bytes_per_s = BLOB_BYTES_PER_S;
    let raw = RawBlobOptions { bytes_per_s, requests_per_s: BLOB_REQUESTS_PER_S, ..raw };
    let options = BlobOptions::try_from(raw).map_err(start_error("store or origin"))?;
    RunningBlobs::launch(options, any_port).await.map_err(start_error("store or origin"))
}

fn publisher(platform: &FleetPlatform) -> Result<ConfigurationPublisher> {
    let url = format!("http://{}", platform.log.address());
    let log = HttpLogClient::try_new(&url, HttpTimeouts::for_calls())
        .map_err(start_error("publisher"))?;
    let options = PublishOptions { pause: Duration::from_millis(100), ..PublishOptions::default() };
    Ok(ConfigurationPublisher::new(Arc::new(log), options))
}

fn service_definition(endpoints: &EndpointPlan) -> ServiceDefinition {
    ServiceDefinition {
        kind: endpoints.kind,
        endpoints: endpoints.count as u32,
        slots_per_endpoint: endpoints.slots,
        tokens_per_endpoint: TokenRate(endpoints.tokens_per_s.into()),
        version: None,
    }
}

fn instance_settings(name: &str, address: SocketAddr, zone: &ZonePlan) -> Result<InstanceSettings> {
    Ok(InstanceSettings {
        name: InstanceName::try_from(name).map_err(start_error("an instance"))?,
        zone: zone.zone.clone(),
        region: zone.region.clone(),
        listen: address,
        advertise: address,
    })
}

fn listed_instance(instance: &InstanceSettings, service: Option<&ServiceName>) -> ListedInstance {
    ListedInstance {
        instance: instance.name.clone(),
        role: if service.is_some() { InstanceRole::Side } else { InstanceRole::Entry },
        address: instance.advertise.to_string(),
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        service: service.cloned(),
        state: InstanceState::Live,
    }
}

fn platform_settings(platform: &FleetPlatform) -> PlatformSettings {
    PlatformSettings {
        log_url: format!("http://{}", platform.log.address()),
        list_url: format!("http://{}", platform.list.address()),
        store_url: format!("http://{}", platform.store.address()),
        origin_url: format!("http://{}", platform.origin.address()),
    }
}

async fn launch_entry(
    plan: &DeploymentPlan,
    platform: &FleetPlatform,
    instance: InstanceSettings,
) -> Result<FleetEntry> {
    let settings = EntrySettings {
        instance,
        platform: platform_settings(platform),
        poll_interval: plan.poll_interval,
        log_retention: Duration::from_secs(3_600),
        claim_partitions: 16,
        booking_window: Duration::from_secs(1_800),
        max_request: MAX_REQUEST,
        queue_limit: 256,
    };
    let (name, address) = (settings.instance.name.clone(), settings.instance.listen);
    let runtime = RoleRuntime::start(ROLE_WORKERS)?;
    let role = runtime.run(async move { EntryRole::launch(&settings).await }).await?;
    let role = Some(role.map_err(start_error(name.as_str()))?);
    Ok(FleetEntry { name, address, role, runtime })
}

async fn launch_endpoint(
    plan: &DeploymentPlan,
    platform: &FleetPlatform,
    instance: InstanceSettings,
    endpoints: &EndpointPlan,
) -> Result<FleetEndpoint> {
    let runtime = RoleRuntime::start(ROLE_WORKERS)?;
    let (name, address) = (instance.name.clone(), instance.listen);
    let (standin, control) = launch_standin(&runtime, &name, endpoints).await?;
    let settings = SideSettings {
        instance,
        platform: platform_settings(platform),
        endpoint: EndpointSettings {
            service: endpoints.service.clone(),
            kind: endpoints.kind,
            address: standin,
            slots: endpoints.slots,
            checks_fence: true,
        },
        weights: WeightSettings {
            weighing: plan.weight_goal,
            store_region: plan.zones.first().map(|zone| zone.region.clone()),
            link_mbit_per_s: LINK_MBIT_PER_S,
            chunk_memory_mib: ByteCount(1024).0,
            parallel_fetches: 4,
        },
        report_interval: plan.report_interval,
        max_request: MAX_REQUEST,
        booking_window: Duration::from_secs(1_800),
    };
    let role = runtime.run(async move { SideRole::launch(&settings).await }).await?;
    let role = role.map_err(start_error(name.as_str()))?;
    let running = Some((role, runtime));
    Ok(FleetEndpoint { name, service: endpoints.service.clone(), address, control, running })
}

async fn launch_standin(
    runtime: &RoleRuntime,
    name: &InstanceName,
    endpoints: &EndpointPlan,
) -> Result<(SocketAddr, EndpointControl)> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let failed = start_error(name.as_str());
    match endpoints.kind {
        EndpointKind::Engine => {
            let raw = RawEngineOptions {
                slots: endpoints.slots,
                tokens_per_s: endpoints.tokens_per_s,
                ..RawEngineOptions::default()
            };
            let options = EngineOptions::try_from(raw).map_err(&failed)?;
            let launched = runtime.run(RunningEngine::launch(options, any_port)).await?;
            let engine = launched.map_err(&failed)?;
            let (address, control) = (engine.address(), EndpointControl::Engine(engine.control()));
            keep_running(runtime, engine).await?;
            Ok((address, control))
        }
        EndpointKind::Plain => {
            let raw = RawServiceOptions { name: name.to_string(), ..RawServiceOptions::default() };
            let options = ServiceOptions::try_from(raw).map_err(&failed)?;
            let launched = runtime.run(RunningService::launch(options, any_port)).await?;
            let service = launched.map_err(&failed)?;
            let (address, control) = (service.address(), EndpointControl::Plain(service.control()));
            keep_running(runtime, service).await?;
            Ok((address, control))
        }
    }
}

/// Keeps a stand-in running until `runtime` shuts down.
async fn keep_running<T: Send + 'static>(runtime: &RoleRuntime, standin: T) -> Result<()> {
    runtime
        .run(async move {
            tokio::spawn(async move {
                std::future::pending::<()>().await;
                drop(standin);
            });
        })
        .await
}
