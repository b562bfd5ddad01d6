//! Starts sidecars and an entry inside the test process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use celeryshed_base::*;
use celeryshed_core::configuration::*;
use celeryshed_core::membership::{EntryMember, MemberState, MembershipView, SideMember};
use celeryshed_entry::completions::{self, BookingGate, CompletionInputs, CompletionOptions};
use celeryshed_platform::fakes::FakeLog;
use celeryshed_server::{ServerOptions, launch_server};
use celeryshed_side::attempts::{self, AttemptInputs, AttemptOptions, EndpointTarget};
use celeryshed_side::claims::{ClaimHandle, ClaimOptions, spawn_claims};
use celeryshed_wire::*;
use tokio::sync::watch;

/// A running server.
pub(crate) struct Served {
    pub(crate) address: String,
    pub(crate) ended: tokio::task::JoinHandle<()>,
}

/// Serves `routes` on a free loopback port until `drained` completes.
pub(crate) async fn serve<T: Send + Sync + Clone + 'static>(
    state: T,
    routes: Vec<rocket::Route>,
    drained: impl Future<Output = ()> + Send + 'static,
) -> Served {
    let listen = "127.0.0.1:0".parse().unwrap();
    let rocket = rocket::build().manage(state).mount("/", routes);
    let server = launch_server(ServerOptions::new(listen), rocket).await.unwrap();
    let address = server.address().to_string();
    let ended = tokio::spawn(async move {
        drained.await;
        server.stop().await;
    });
    Served { address, ended }
}

/// Starts a claim register that appends its outcomes to an in-memory log.
fn start_claims() -> ClaimHandle {
    let clock = ClockSource::start();
    let log = Arc::new(FakeLog::new(clock));
    spawn_claims(log, clock, ProcessIncarnation::random(), ClaimOptions::default())
}

/// Answers each booking with status 201 and its key as the body.
pub(crate) struct FakeBookings;

#[async_trait]
impl BookingGate for FakeBookings {
    async fn book(&self, booking: BookingForward) -> BookingReply {
        let body = serde_bytes::ByteBuf::from(booking.key.into_bytes());
        let answer = ServiceAnswer { status: 201, content_type: None, body };
        BookingReply::Answer { answer, replayed: false }
    }
}

pub(crate) const KEY: &str = "key-of-seeds";

pub(crate) fn version(number: u8) -> ContentDigest {
    ContentDigest::of(&[number])
}

fn service(kind: EndpointKind) -> ServiceDefinition {
    ServiceDefinition {
        kind,
        endpoints: 2,
        slots_per_endpoint: 4,
        tokens_per_endpoint: TokenRate(1000),
        version: None,
    }
}

/// Services `copywriter` (engines) and `order-desk` (plain), and the contract of team `seeds`.
pub(crate) fn configuration() -> ConfigurationState {
    let name = |text: &str| ServiceName::try_from(text).unwrap();
    let contract = TeamContract {
        api_key_hash: ContentDigest::of(KEY.as_bytes()),
        service: name("copywriter"),
        token_rate: TokenRate(1000),
        requests_in_progress: 8,
        burst: TokenCount(10_000),
        displaces: Default::default(),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Refuse,
        retry_budget_percent: 10,
        first_token: Duration::from_millis(500),
        objective_basis_points: 9900,
    };
    ConfigurationState {
        revision: ConfigRevision(1),
        services: BTreeMap::from([
            (name("copywriter"), service(EndpointKind::Engine)),
            (name("order-desk"), service(EndpointKind::Plain)),
        ]),
        contracts: BTreeMap::from([(TeamName::try_from("seeds").unwrap(), contract)]),
        ..Default::default()
    }
}

/// A running sidecar.
pub(crate) struct RigSide {
    pub(crate) handle: attempts::AttemptsHandle,
    pub(crate) served: Served,
    pub(crate) drain: watch::Sender<attempts::DrainState>,
    pub(crate) service: ServiceName,
    /// View of the entries that the sidecar notifies of crashes.
    pub(crate) entries: watch::Sender<Arc<MembershipView>>,
}

/// Starts a sidecar for the endpoint at `address`, with `live` as its live version.
pub(crate) async fn start_side(
    kind: EndpointKind,
    address: &str,
    live: Option<ContentDigest>,
) -> RigSide {
    let url = format!("http://{address}");
    let (service, target) = match kind {
        EndpointKind::Engine => ("copywriter", EndpointTarget::Engine(url)),
        EndpointKind::Plain => ("order-desk", EndpointTarget::Plain(url)),
    };
    let service = ServiceName::try_from(service).unwrap();
    let instance = InstanceName::try_from("side").unwrap();
    let (drain, drain_watch) = watch::channel(attempts::DrainState::Serving);
    let live_version = watch::channel(live).1;
    let (entries, members) = watch::channel(Arc::new(MembershipView::default()));
    let inputs = AttemptInputs {
        options: AttemptOptions::new(instance, service.clone(), target, 4),
        configuration: watch::channel(Some(Arc::new(configuration()))).1,
        live_version,
        drain: drain_watch,
        claims: start_claims(),
        members: members.clone(),
        log: Arc::new(FakeLog::new(ClockSource::start())),
    };
    let handle = attempts::spawn(inputs).unwrap();
    let (idle, mut draining) = (handle.clone(), drain.subscribe());
    let drained = async move {
        let _ = draining.wait_for(|state| *state == attempts::DrainState::Draining).await;
        idle.wait_until_idle().await;
    };
    let served = serve(handle.clone(), attempts::routes(), drained).await;
    RigSide { handle, served, drain, service, entries }
}

/// A running entry.
pub(crate) struct RigEntry {
    pub(crate) handle: completions::CompletionsHandle,
    pub(crate) served: Served,
    pub(crate) drain: watch::Sender<completions::DrainState>,
}

impl RigEntry {
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.served.address)
    }
}

/// The membership view of an entry. The first sidecar is in its zone and the others are in another
/// region, so that the entry prefers the first.
pub(crate) fn view_of(sides: &[&RigSide]) -> MembershipView {
    let mut view = MembershipView::default();
    for (position, side) in sides.iter().enumerate() {
        let member = SideMember {
            address: side.served.address.clone(),
            incarnation: None,
            zone: AvailabilityZone::try_from(format!("zone-{position}")).unwrap(),
            region: RegionName::try_from(format!("region-{}", position.min(1))).unwrap(),
            service: side.service.clone(),
            state: MemberState::Live,
        };
        view.sides.insert(InstanceName::try_from(format!("side-{position}")).unwrap(), member);
    }
    view
}

fn entries_view(address: &str) -> MembershipView {
    let member = EntryMember {
        address: address.to_owned(),
        zone: AvailabilityZone::try_from("zone-0").unwrap(),
        region: RegionName::try_from("region-0").unwrap(),
    };
    let instance = InstanceName::try_from("entry").unwrap();
    MembershipView { entries: BTreeMap::from([(instance, member)]), ..MembershipView::default() }
}

/// Starts an entry whose view has `sides`; `change` adjusts its options.
pub(crate) async fn start_entry(
    sides: &[&RigSide],
    change: impl FnOnce(&mut CompletionOptions),
) -> RigEntry {
    let (drain, drain_watch) = watch::channel(completions::DrainState::Serving);
    let members = watch::channel(Arc::new(view_of(sides))).1;
    let mut options = CompletionOptions::new(
        InstanceName::try_from("entry").unwrap(),
        AvailabilityZone::try_from("zone-0").unwrap(),
        RegionName::try_from("region-0").unwrap(),
    );
    change(&mut options);
    let inputs = CompletionInputs {
        options,
        configuration: watch::channel(Some(Arc::new(configuration()))).1,
        members,
        drain: drain_watch,
        sides: Arc::new(completions::HttpSideClient::default()),
        bookings: Arc::new(FakeBookings),
        log: Arc::new(FakeLog::new(ClockSource::start())),
    };
    let handle = completions::spawn(inputs).unwrap();
    let (idle, mut draining) = (handle.clone(), drain.subscribe());
    let drained = async move {
        let _ = draining.wait_for(|state| *state == completions::DrainState::Draining).await;
        idle.wait_until_idle().await;
    };
    let served = serve(handle.clone(), completions::routes(), drained).await;
    for side in sides {
        side.entries.send_replace(Arc::new(entries_view(&served.address)));
    }
    RigEntry { handle, served, drain }
}
