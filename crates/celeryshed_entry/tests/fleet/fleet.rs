//! Entries and sidecars as tasks, a fake platform, and a simulated network of two regions that can
//! be disconnected.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ClockSource, ConfigRevision, InstanceName, LogOffset, ProcessIncarnation,
    RecordId, RegionName, ServiceName,
};
use celeryshed_entry::configuration::{
    self as entry, ConfigurationClient, ConfigurationOptions, PeerError, ProcessIdentity,
};
use celeryshed_entry::membership::{
    MembershipHandle, MembershipOptions, ProbeClient, spawn_membership,
};
use celeryshed_platform::fakes::{FakeList, FakeLog};
use celeryshed_platform::{ListClient, LogClient, PlatformError};
use celeryshed_side::configuration::{
    self as side, EndpointStatus, EntryClient, EntryError, ReportOptions, SideIdentity,
};
use celeryshed_wire::{
    ConfigurationChange, ConfigurationEntry, ConfigurationRecord, ConfigurationReply,
    EndpointReport, EndpointState, InstanceRole, InstanceState, ListedInstance, ReadReply,
    ReportReply, RevisionExchange, ServiceKind, ServiceSpec, encode,
};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

pub(crate) const STREAM: &str = "configuration";

/// Region of the platform, that is, of the log and the instance list.
const HOME: &str = "puget";
const AWAY: &str = "inland";

/// Round-trip time between any two processes.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// Interval between process starts. It doesn't divide the period of polls and reports, 2 s, so that
/// no two processes run in step.
const START_PAUSE: Duration = Duration::from_millis(97);

#[derive(Clone)]
pub(crate) struct EntryNode {
    identity: ProcessIdentity,
    region: &'static str,
    pub(crate) configuration: entry::ConfigurationHandle,
    pub(crate) membership: MembershipHandle,
}

#[derive(Clone)]
pub(crate) struct SideNode {
    region: &'static str,
    incarnation: ProcessIncarnation,
    pub(crate) configuration: side::ConfigurationHandle,
    pub(crate) status: watch::Sender<EndpointStatus>,
}

#[derive(Default)]
struct NetworkState {
    entries: BTreeMap<String, EntryNode>,
    sides: BTreeMap<String, SideNode>,
    disconnected: bool,
}

/// Network client of one process.
#[derive(Clone)]
struct NetworkClient {
    state: Arc<Mutex<NetworkState>>,
    region: &'static str,
    log: FakeLog,
    list: FakeList,
}

impl NetworkClient {
    fn reaches(&self, region: &str) -> bool {
        !self.state.lock().unwrap().disconnected || self.region == region
    }

    async fn entry(&self, address: &str) -> Option<EntryNode> {
        sleep(ROUND_TRIP).await;
        let node = self.state.lock().unwrap().entries.get(address).cloned();
        node.filter(|node| self.reaches(node.region))
    }

    async fn side(&self, address: &str) -> Option<SideNode> {
        sleep(ROUND_TRIP).await;
        let node = self.state.lock().unwrap().sides.get(address).cloned();
        node.filter(|node| self.reaches(node.region))
    }

    fn check_platform(&self) -> Result<(), PlatformError> {
        if self.reaches(HOME) {
            return Ok(());
        }
        let (target, reason) = ("platform".to_owned(), "disconnected".to_owned());
        Err(PlatformError::Unreachable { target, reason })
    }
}

fn peer_error(address: &str) -> PeerError {
    PeerError { address: address.to_owned(), reason: "unreachable".to_owned() }
}

fn entry_error(address: &str) -> EntryError {
    EntryError { address: address.to_owned(), reason: "unreachable".to_owned() }
}

#[async_trait]
impl ConfigurationClient for NetworkClient {
    async fn exchange(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError> {
        let node = self.entry(address).await.ok_or_else(|| peer_error(address))?;
        Ok(node.configuration.reply(exchange))
    }

    async fn exchange_with_side(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, PeerError> {
        let node = self.side(address).await.ok_or_else(|| peer_error(address))?;
        Ok(node.configuration.reply(exchange))
    }
}

#[async_trait]
impl ProbeClient for NetworkClient {
    async fn probe(
        &self,
        address: &str,
        entry: &str,
        _exchange: &RevisionExchange,
    ) -> Result<EndpointReport, PeerError> {
        let node = self.side(address).await.ok_or_else(|| peer_error(address))?;
        node.configuration.record_sender(entry);
        Ok(node.configuration.report())
    }

    async fn notify_leaving(
        &self,
        address: &str,
        instance: &InstanceName,
    ) -> Result<(), PeerError> {
        let node = self.side(address).await.ok_or_else(|| peer_error(address))?;
        let own = node.configuration.mark_leaving(instance.as_str()).await;
        if own { Ok(()) } else { Err(peer_error(address)) }
    }
}

#[async_trait]
impl EntryClient for NetworkClient {
    async fn report(
        &self,
        address: &str,
        report: &EndpointReport,
    ) -> Result<ReportReply, EntryError> {
        let node = self.entry(address).await.ok_or_else(|| entry_error(address))?;
        node.configuration.record_side_revision(&report.address, report.revision);
        node.membership.report(report.clone()).await;
        let revision = node.configuration.revision();
        Ok(ReportReply { incarnation: node.identity.incarnation, revision })
    }

    async fn fetch(
        &self,
        address: &str,
        exchange: &RevisionExchange,
    ) -> Result<ConfigurationReply, EntryError> {
        let node = self.entry(address).await.ok_or_else(|| entry_error(address))?;
        Ok(node.configuration.reply(exchange))
    }
}

#[async_trait]
impl LogClient for NetworkClient {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<LogOffset, PlatformError> {
        self.check_platform()?;
        self.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: u32,
    ) -> Result<ReadReply, PlatformError> {
        self.check_platform()?;
        self.log.read(stream, from, limit).await
    }
}

#[async_trait]
impl ListClient for NetworkClient {
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        self.check_platform()?;
        self.list.instances().await
    }
}

/// A simulated fleet and its platform.
pub(crate) struct Fleet {
    pub(crate) log: FakeLog,
    pub(crate) list: FakeList,
    clock: ClockSource,
    network: Arc<Mutex<NetworkState>>,
    options: ConfigurationOptions,
    members: MembershipOptions,
    entries: usize,
    sides: usize,
}

impl Fleet {
    /// Starts a fleet with half of the entries and half of the sidecars in each region.
    pub(crate) async fn start(
        entries: usize,
        sides: usize,
        options: ConfigurationOptions,
        members: MembershipOptions,
    ) -> Self {
        let fleet = Self::empty(entries, sides, options, members);
        fleet.start_all().await;
        fleet
    }

    /// Creates a fleet whose processes are in the instance list but not started.
    pub(crate) fn empty(
        entries: usize,
        sides: usize,
        options: ConfigurationOptions,
        members: MembershipOptions,
    ) -> Self {
        let clock = ClockSource::start();
        let (log, list) = (FakeLog::new(clock), FakeList::new(clock));
        let network = Arc::default();
        let fleet = Self { log, list, clock, network, options, members, entries, sides };
        fleet.publish_list(|_| InstanceState::Live);
        fleet
    }

    /// Starts all processes one after another. Processes that poll at the same time would all read
    /// a change at once, so that a missing exchange between them would go unnoticed.
    pub(crate) async fn start_all(&self) {
        for number in 0..self.entries {
            self.start_entry(number);
            sleep(START_PAUSE).await;
        }
        for number in 0..self.sides {
            self.start_side(number);
            sleep(START_PAUSE).await;
        }
    }

    /// Publishes the instance list; `state` maps the name of an instance to its state.
    pub(crate) fn publish_list(&self, state: impl Fn(&str) -> InstanceState) {
        let entries = (0..self.entries).map(|n| (format!("entry-{n}"), InstanceRole::Entry, n));
        let sides = (0..self.sides).map(|n| (format!("side-{n}"), InstanceRole::Side, n));
        let listed = entries.chain(sides).map(|(name, role, number)| ListedInstance {
            state: state(&name),
            instance: InstanceName::try_from(name.as_str()).unwrap(),
            role,
            address: name,
            zone: AvailabilityZone::try_from("zone").unwrap(),
            region: RegionName::try_from(region_of(number)).unwrap(),
            service: Some(ServiceName::try_from("drafter").unwrap()),
        });
        self.list.set_instances(listed.collect());
    }

    fn client(&self, region: &'static str) -> NetworkClient {
        let (log, list) = (self.log.clone(), self.list.clone());
        NetworkClient { state: Arc::clone(&self.network), region, log, list }
    }

    /// Starts or replaces an entry.
    pub(crate) fn start_entry(&self, number: usize) {
        let region = region_of(number);
        let client = Arc::new(self.client(region));
        let address = format!("entry-{number}");
        let identity = ProcessIdentity {
            instance: InstanceName::try_from(address.as_str()).unwrap(),
            incarnation: ProcessIncarnation::random(),
            address: address.clone(),
        };
        let (list, sides) = (Arc::clone(&client), Arc::clone(&client));
        let membership =
            spawn_membership(identity.clone(), self.members, self.clock, list, sides).unwrap();
        let clients = entry::ConfigurationClients {
            log: Arc::clone(&client) as Arc<dyn LogClient>,
            peers: client,
            members: membership.subscribe_view(),
            crashes: None,
        };
        let configuration =
            entry::spawn_configuration(identity.clone(), self.options, clients).unwrap();
        let node = EntryNode { identity, region, configuration, membership };
        self.network.lock().unwrap().entries.insert(address, node);
    }

    /// Starts or replaces a sidecar.
    pub(crate) fn start_side(&self, number: usize) {
        let region = region_of(number);
        let client = Arc::new(self.client(region));
        let address = format!("side-{number}");
        let incarnation = ProcessIncarnation::random();
        let identity = SideIdentity {
            instance: InstanceName::try_from(address.as_str()).unwrap(),
            incarnation,
            address: address.clone(),
            zone: AvailabilityZone::try_from("zone").unwrap(),
            region: RegionName::try_from(region).unwrap(),
            service: ServiceName::try_from("drafter").unwrap(),
        };
        let serving = EndpointStatus { state: EndpointState::Serving, ..EndpointStatus::default() };
        let (status, statuses) = watch::channel(serving);
        let clients = side::ConfigurationClients {
            list: Arc::clone(&client) as Arc<dyn ListClient>,
            entries: client,
            status: statuses,
        };
        let options = ReportOptions::default();
        let configuration =
            side::spawn_configuration(identity, options, self.clock, clients).unwrap();
        let node = SideNode { region, incarnation, configuration, status };
        self.network.lock().unwrap().sides.insert(address, node);
    }

    /// Removes a sidecar from the network without a leaving notice.
    pub(crate) fn kill_side(&self, number: usize) {
        self.network.lock().unwrap().sides.remove(&format!("side-{number}"));
    }

    pub(crate) fn side(&self, number: usize) -> SideNode {
        self.network.lock().unwrap().sides[&format!("side-{number}")].clone()
    }

    pub(crate) fn entry(&self, number: usize) -> EntryNode {
        self.network.lock().unwrap().entries[&format!("entry-{number}")].clone()
    }

    pub(crate) fn entries(&self) -> Vec<EntryNode> {
        self.network.lock().unwrap().entries.values().cloned().collect()
    }

    /// Disconnects or reconnects the two regions; the platform is in the region [`HOME`].
    pub(crate) fn set_disconnected(&self, disconnected: bool) {
        self.network.lock().unwrap().disconnected = disconnected;
    }

    /// Appends a change from revision `base` to `base + 1`.
    pub(crate) fn append_change(&self, base: u64) {
        let terms = ServiceSpec {
            kind: ServiceKind::Engine,
            endpoints: base as u32 + 1,
            slots_per_endpoint: 8,
            tokens_per_s_per_endpoint: 1_000,
            version: None,
        };
        let service = ServiceName::try_from("drafter").unwrap();
        let record = ConfigurationRecord {
            record_id: RecordId::random(),
            base_revision: ConfigRevision(base),
            change: ConfigurationChange::PutService { service, terms },
        };
        let payload = encode(&ConfigurationEntry::Change(record)).unwrap();
        self.log.insert(STREAM, vec![payload]);
    }

    /// Revisions of the processes in the region [`AWAY`], or in both regions.
    pub(crate) fn revisions(&self, away_only: bool) -> Vec<Option<u64>> {
        let network = self.network.lock().unwrap();
        let wanted = |region: &str| !away_only || region == AWAY;
        let entries = network.entries.values().filter(|node| wanted(node.region));
        let sides = network.sides.values().filter(|node| wanted(node.region));
        let entries = entries.map(|node| node.configuration.revision());
        let revisions = entries.chain(sides.map(|node| node.configuration.revision()));
        revisions.map(|revision| revision.map(|revision| revision.0)).collect()
    }

    /// Time until every process knows at least `revision`; `None` if this takes longer than `limit`.
    pub(crate) async fn wait_for_all(&self, revision: u64, limit: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() <= limit {
            if self.revisions(false).iter().all(|known| *known >= Some(revision)) {
                return Some(started.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Time until the first process knows `revision`.
    pub(crate) async fn wait_for_any(&self, revision: u64) -> Duration {
        let started = Instant::now();
        while !self.revisions(false).contains(&Some(revision)) {
            sleep(Duration::from_millis(1)).await;
        }
        started.elapsed()
    }
}

impl EntryNode {
    pub(crate) fn address(&self) -> String {
        self.identity.address.clone()
    }
}

impl SideNode {
    pub(crate) fn incarnation(&self) -> ProcessIncarnation {
        self.incarnation
    }
}

fn region_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) { HOME } else { AWAY }
}
