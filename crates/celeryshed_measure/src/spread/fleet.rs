//! The sidecars of the experiment.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{
    ByteCount, ClockSource, ContentDigest, InstanceName, NameError, ProcessIncarnation, RegionName,
    ServiceName,
};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_core::distribution::ExternalSource;
use celeryshed_core::membership::{MemberState, MembershipView, SideMember};
use celeryshed_side::weights::{
    HttpPeerClient, WeightsHandle, WeightsInputs, WeightsOptions, routes, spawn,
};
use rocket::config::{LogLevel, Shutdown};
use rocket::{Config, fairing::AdHoc};
use tokio::sync::{Semaphore, oneshot, watch};

use super::engine::{ReadyEngine, ReadyLog};
use super::links::LinkNetwork;
use super::options::{SpreadMeasureError, SpreadMeasureOptions, SpreadPlanKind};
use super::sources::{FaultPlan, ShapedOrigin, ShapedPeers};

/// Idle connections kept to one sidecar.
const IDLE_CONNECTIONS: usize = 4;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A running sidecar.
pub(super) struct FleetSide {
    pub(super) handle: WeightsHandle,
    pub(super) configuration: watch::Sender<Option<Arc<ConfigurationState>>>,
    /// Kept so that the task's input stays open.
    _members: watch::Sender<Arc<MembershipView>>,
}

/// What all sidecars share.
pub(super) struct FleetParts {
    pub(super) options: SpreadMeasureOptions,
    pub(super) network: Arc<LinkNetwork>,
    pub(super) faults: Arc<FaultPlan>,
    pub(super) blobs: Arc<BTreeMap<ContentDigest, bytes::Bytes>>,
    pub(super) service: ServiceName,
}

impl FleetParts {
    /// Starts all sidecars.
    pub(super) async fn start(&self) -> Result<Vec<FleetSide>, SpreadMeasureError> {
        let names = self.names().map_err(|error| start_error(0, &error))?;
        let mut addresses = Vec::new();
        for index in 0..names.len() {
            addresses.push(reserve_address(index)?);
        }
        let view = Arc::new(self.view(&names, &addresses).map_err(|e| start_error(0, &e))?);
        let index_of = addresses.iter().enumerate().map(|(i, address)| (address.to_string(), i));
        let index_of = Arc::new(index_of.collect::<BTreeMap<_, _>>());
        let client = reqwest::Client::builder()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build()
            .map_err(|error| start_error(0, &error))?;
        let uploads = self.side_options(0)?.uploads;
        let departures = names.iter().map(|_| Arc::new(Semaphore::new(uploads)));
        let departures = Arc::new(departures.collect::<Vec<_>>());
        let mut sides = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let (configuration, configuration_now) = watch::channel(None);
            let own_view = match self.options.plan {
                // A sidecar that knows no other one fetches everything from the external source.
                SpreadPlanKind::Origin => Arc::default(),
                SpreadPlanKind::Product | SpreadPlanKind::Tree => view.clone(),
            };
            let (members, members_now) = watch::channel(own_view);
            let peers = ShapedPeers {
                inner: HttpPeerClient::new(client.clone()),
                own: index,
                addresses: index_of.clone(),
                network: self.network.clone(),
                faults: self.faults.clone(),
                departures: departures.clone(),
            };
            let origin = ShapedOrigin {
                blobs: self.blobs.clone(),
                path: self.network.origin_to(index),
                own: index,
                faults: self.faults.clone(),
            };
            let inputs = WeightsInputs {
                instance: name.clone(),
                incarnation: ProcessIncarnation::from_u128(index as u128),
                region: self.region(index).map_err(|error| start_error(index, &error))?,
                service: self.service.clone(),
                configuration: configuration_now,
                members: members_now,
                peers: Arc::new(peers),
                external_sources: BTreeMap::from([(ExternalSource::Origin, Arc::new(origin) as _)]),
                log: Arc::new(ReadyLog),
                engine: Arc::new(ReadyEngine::default()),
                clock: ClockSource::start(),
            };
            let handle = spawn(inputs, self.side_options(index)?)
                .map_err(|error| start_error(index, &error))?;
            serve(index, addresses[index], handle.clone()).await?;
            sides.push(FleetSide { handle, configuration, _members: members });
        }
        Ok(sides)
    }

    fn side_options(&self, index: usize) -> Result<WeightsOptions, SpreadMeasureError> {
        let home = RegionName::try_from(self.options.regions()[0]);
        let home = home.map_err(|error| start_error(index, &error))?;
        let link = ByteCount(self.options.instance_rate() as u64);
        let mut options = WeightsOptions::new(home, link);
        options.goal = self.options.weighing();
        options.seed = self.options.seed ^ (index as u64) << 32;
        options.fetch.external_sources = vec![ExternalSource::Origin];
        options.fetch.external_bytes_per_s = Some(ByteCount(self.options.origin_rate() as u64));
        Ok(options)
    }

    fn names(&self) -> Result<Vec<InstanceName>, NameError> {
        let name = |index| InstanceName::try_from(format!("s{}-{index}", self.options.seed));
        (0..self.options.replicas).map(name).collect()
    }

    fn region(&self, index: usize) -> Result<RegionName, NameError> {
        RegionName::try_from(self.options.regions()[self.network.region_of(index)])
    }

    fn view(
        &self,
        names: &[InstanceName],
        addresses: &[SocketAddr],
    ) -> Result<MembershipView, NameError> {
        let mut view = MembershipView::default();
        for (index, name) in names.iter().enumerate() {
            let region = self.region(index)?;
            let side = SideMember {
                address: addresses[index].to_string(),
                incarnation: None,
                zone: format!("{region}-a").try_into()?,
                region,
                service: self.service.clone(),
                state: MemberState::Live,
            };
            view.sides.insert(name.clone(), side);
        }
        Ok(view)
    }
}

fn start_error(index: usize, error: &dyn std::fmt::Display) -> SpreadMeasureError {
    SpreadMeasureError::Start { index, reason: error.to_string() }
}

/// Finds a free port. Each sidecar has its own loopback address, because outgoing connections
/// take ports of 127.0.0.1 meanwhile.
fn reserve_address(index: usize) -> Result<SocketAddr, SpreadMeasureError> {
    let number = index as u32 + 1;
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(127, 77, 0, 0).to_bits() + number);
    let listener = std::net::TcpListener::bind((address, 0));
    let address = listener.and_then(|listener| listener.local_addr());
    address.map_err(|error| start_error(index, &error))
}

/// Serves the product's routes at `address`.
async fn serve(
    index: usize,
    address: SocketAddr,
    handle: WeightsHandle,
) -> Result<(), SpreadMeasureError> {
    let shutdown = Shutdown { ctrlc: false, grace: 0, mercy: 0, ..Shutdown::default() };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        shutdown,
        ..Config::default()
    };
    let (lifted, is_up) = oneshot::channel();
    let liftoff = AdHoc::on_liftoff("report", move |_| {
        Box::pin(async move {
            let _ = lifted.send(());
        })
    });
    let server = rocket::custom(config).mount("/", routes()).manage(handle).attach(liftoff);
    let running = tokio::spawn(async move { server.launch().await.map(drop) });
    if is_up.await.is_err() {
        let reason = match running.await {
            Ok(Err(error)) => error.to_string(),
            _ => "server ended".to_owned(),
        };
        return Err(SpreadMeasureError::Start { index, reason });
    }
    Ok(())
}
