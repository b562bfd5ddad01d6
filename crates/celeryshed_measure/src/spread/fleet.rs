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

/// Idle connections that the client keeps to one sidecar.
const IDLE_CONNECTIONS: usize = 4;

/// Time after which the client closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A running sidecar.
pub(super) struct FleetSide {
    pub(super) handle: WeightsHandle,
    pub(super) configuration: watch::Sender<Option<Arc<ConfigurationState>>>,
    /// Keeps the channel open from which the sidecar's task reads the membership.
    _members: watch::Sender<Arc<MembershipView>>,
}

/// Parts that all sidecars of a run share.
pub(super) struct FleetParts {
    pub(super) options: SpreadMeasureOptions,
    pub(super) network: Arc<LinkNetwork>,
    pub(super) faults: Arc<FaultPlan>,
    pub(super) blobs: Arc<BTreeMap<ContentDigest, bytes::Bytes>>,
    pub(super) service: ServiceName,
}

impl FleetParts {
    /// Starts all sidecars; a sidecar's index is its position in the result.
    pub(super) async fn start(&self) -> Result<Vec<FleetSide>, SpreadMeasureError> {
        let names = self.names().map_err(|error| start_error(0, &error))?;
        let mut addresses = Vec::new();
        for index in 0..names.len() {
            addresses.push(reserve_address(index)?);
        }
        let view = Arc::new(
            self.membership_view(&names, &addresses).map_err(|error| start_error(0, &error))?,
        );
        let indexes = addresses.iter().enumerate().map(|(i, address)| (address.to_string(), i));
        let indexes = Arc::new(indexes.collect::<BTreeMap<_, _>>());
        let client = reqwest::Client::builder()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build()
            .map_err(|error| start_error(0, &error))?;
        let uploads = self.side_options(0)?.uploads;
        let send_permits = names.iter().map(|_| Arc::new(Semaphore::new(uploads)));
        let send_permits = Arc::new(send_permits.collect::<Vec<_>>());
        let mut sides = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let (configuration, configuration_receiver) = watch::channel(None);
            let own_view = match self.options.plan {
                // With an empty membership a sidecar fetches all chunks from the external source.
                SpreadPlanKind::Origin => Arc::default(),
                SpreadPlanKind::Product | SpreadPlanKind::Tree => view.clone(),
            };
            let (members, members_receiver) = watch::channel(own_view);
            let peers = ShapedPeers {
                inner: HttpPeerClient::new(client.clone()),
                own_index: index,
                indexes: indexes.clone(),
                network: self.network.clone(),
                faults: self.faults.clone(),
                send_permits: send_permits.clone(),
            };
            let origin = ShapedOrigin {
                blobs: self.blobs.clone(),
                path: self.network.origin_to_instance(index),
                own_index: index,
                faults: self.faults.clone(),
            };
            let inputs = WeightsInputs {
                instance: name.clone(),
                incarnation: ProcessIncarnation::from_u128(index as u128),
                region: self.region(index).map_err(|error| start_error(index, &error))?,
                service: self.service.clone(),
                configuration: configuration_receiver,
                members: members_receiver,
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
        let link = ByteCount(self.options.instance_bytes_per_s() as u64);
        let mut options = WeightsOptions::new(home, link);
        options.goal = self.options.goal();
        options.seed = self.options.seed ^ (index as u64) << 32;
        options.fetch.external_sources = vec![ExternalSource::Origin];
        options.fetch.external_bytes_per_s =
            Some(ByteCount(self.options.origin_bytes_per_s() as u64));
        Ok(options)
    }

    fn names(&self) -> Result<Vec<InstanceName>, NameError> {
        let instance_name =
            |index| InstanceName::try_from(format!("s{}-{index}", self.options.seed));
        (0..self.options.replicas).map(instance_name).collect()
    }

    fn region(&self, index: usize) -> Result<RegionName, NameError> {
        RegionName::try_from(self.options.regions()[self.network.region_of(index)])
    }

    fn membership_view(
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

/// Finds a free port on the sidecar's own loopback address. On 127.0.0.1 an outgoing connection could
/// take the port before the sidecar's server binds it.
fn reserve_address(index: usize) -> Result<SocketAddr, SpreadMeasureError> {
    let number = index as u32 + 1;
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(127, 77, 0, 0).to_bits() + number);
    let listener = std::net::TcpListener::bind((address, 0));
    let address = listener.and_then(|listener| listener.local_addr());
    address.map_err(|error| start_error(index, &error))
}

/// Serves the sidecar's HTTP routes at `address`; returns when the server accepts connections.
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
    let (started_sender, started) = oneshot::channel();
    let liftoff = AdHoc::on_liftoff("report", move |_| {
        Box::pin(async move {
            let _ = started_sender.send(());
        })
    });
    let server = rocket::custom(config).mount("/", routes()).manage(handle).attach(liftoff);
    let running = tokio::spawn(async move { server.launch().await.map(drop) });
    if started.await.is_err() {
        let reason = match running.await {
            Ok(Err(error)) => error.to_string(),
            _ => "server ended during its start".to_owned(),
        };
        return Err(SpreadMeasureError::Start { index, reason });
    }
    Ok(())
}
