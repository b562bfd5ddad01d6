//! Real entries and sidecars in one process, with an in-memory log and network.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ClockSource, InstanceName, LogOffset, ProcessIncarnation, RegionName,
    RequestId, ServiceName, TeamName, UnixMillis,
};
use celeryshed_core::booking::{BookingIdentity, DispatchResult, SealResult, partition_of};
use celeryshed_core::membership::{
    EntryMember, MemberState, MembershipView, SideMember, partition_readers,
};
use celeryshed_entry::bookings::{
    BookingHandle, BookingInputs, BookingOptions, BookingSettings, DispatchClient, ForwardClient,
    ForwardError, start_bookings,
};
use celeryshed_platform::fakes::FakeLog;
use celeryshed_platform::{LogClient, PlatformError};
use celeryshed_side::claims::{BeginReply, ClaimHandle, ClaimOptions, RunResult, spawn_claims};
use celeryshed_wire::{
    AttemptRequest, AttemptWork, BookingForward, BookingReply, CallWork, ProblemDetails, ReadReply,
    SealRequest, ServiceAnswer,
};
use tokio::sync::watch;

const START: UnixMillis = UnixMillis(1_800_000_000_000);

#[derive(Clone)]
struct TestSide {
    incarnation: ProcessIncarnation,
    claims: ClaimHandle,
}

/// A log whose reads time out when they return more than `max_read_records` records.
struct SlowLog(Arc<TestNetwork>);

#[async_trait]
impl LogClient for SlowLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<LogOffset, PlatformError> {
        self.0.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: u32,
    ) -> Result<ReadReply, PlatformError> {
        let reply = self.0.log.read(stream, from, limit).await?;
        if reply.entries.len() > self.0.max_read_records.load(Ordering::Relaxed) {
            let (target, reason) = ("slow log".to_owned(), "timeout".to_owned());
            return Err(PlatformError::ReplyLost { target, reason });
        }
        Ok(reply)
    }
}

/// Fault injected into a forwarded booking.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum ForwardFault {
    #[default]
    None,
    /// The connection is refused.
    Unreachable,
    /// The connection breaks before the entry receives the booking.
    LoseRequest,
    /// The connection breaks after the entry has served the booking.
    LoseReply,
    /// The entry neither serves the booking nor replies.
    Hang,
}

/// Clients of one entry, for the sidecars and the other entries of the network.
struct TestClients(Arc<TestNetwork>);

struct TestNetwork {
    log: FakeLog,
    clock: ClockSource,
    sides: Mutex<BTreeMap<String, TestSide>>,
    entries: Mutex<BTreeMap<String, BookingHandle>>,
    forward_fault: Mutex<ForwardFault>,
    run_time: Mutex<Duration>,
    answer_bytes: Mutex<usize>,
    next_key: AtomicU64,
    max_read_records: AtomicUsize,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl TestNetwork {
    fn side(&self, address: &str) -> Option<TestSide> {
        self.sides.lock().unwrap().get(address).cloned()
    }

    /// Waits for the end of a run; returns true when the sidecar is replaced before, which breaks
    /// the connection.
    async fn is_replaced_during(
        &self,
        address: &str,
        incarnation: ProcessIncarnation,
        run_time: Duration,
    ) -> bool {
        let end = tokio::time::Instant::now() + run_time;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if self.side(address).is_none_or(|side| side.incarnation != incarnation) {
                return true;
            }
        }
        false
    }

    fn answer(&self, call: &CallWork) -> ServiceAnswer {
        let order = String::from_utf8(call.body.to_vec()).unwrap();
        let mut runs = self.runs.lock().unwrap();
        let count = runs.entry(order.clone()).or_default();
        *count += 1;
        let mut body = format!("{order} run {count}").into_bytes();
        let size = body.len().max(*self.answer_bytes.lock().unwrap());
        body.resize(size, b' ');
        ServiceAnswer { status: 200, content_type: None, body: body.into() }
    }
}

#[async_trait]
impl DispatchClient for TestClients {
    async fn dispatch(
        &self,
        address: &str,
        request: AttemptRequest,
    ) -> DispatchResult<ServiceAnswer> {
        let Some(side) = self.0.side(address) else {
            return DispatchResult::NotRun { detail: "unreachable".into(), claim_only: false };
        };
        let AttemptWork::Call(call) = request.work else { panic!("a booking is a call") };
        match side.claims.begin(call.claim.clone().unwrap()).await {
            BeginReply::Run(permit) => {
                let answer = self.0.answer(&call);
                let run_time = *self.0.run_time.lock().unwrap();
                if self.0.is_replaced_during(address, side.incarnation, run_time).await {
                    std::mem::forget(permit);
                    return DispatchResult::Unknown;
                }
                permit.finish(RunResult::Answer(answer.clone()));
                DispatchResult::Answer(answer)
            }
            BeginReply::Ran(answer) => DispatchResult::Answer(answer),
            BeginReply::Unknown => DispatchResult::Unknown,
            BeginReply::Refused(refusal) => {
                DispatchResult::NotRun { detail: refusal.to_string(), claim_only: true }
            }
        }
    }

    async fn seal(&self, address: &str, request: SealRequest) -> SealResult<ServiceAnswer> {
        match self.0.side(address) {
            Some(side) => side.claims.seal(request).await.into(),
            None => SealResult::Unreachable,
        }
    }
}

#[async_trait]
impl ForwardClient for TestClients {
    async fn forward(
        &self,
        address: &str,
        booking: &BookingForward,
    ) -> Result<BookingReply, ForwardError> {
        let fault = std::mem::take(&mut *self.0.forward_fault.lock().unwrap());
        let failure = |reason: &str, maybe_received| {
            Err(ForwardError { address: address.into(), reason: reason.into(), maybe_received })
        };
        let handle = self.0.entries.lock().unwrap()[address].clone();
        match fault {
            ForwardFault::None => Ok(handle.serve(booking.clone()).await),
            ForwardFault::Unreachable => failure("connection refused", false),
            ForwardFault::LoseRequest => failure("connection cut", true),
            ForwardFault::LoseReply => {
                handle.serve(booking.clone()).await;
                failure("connection cut", true)
            }
            ForwardFault::Hang => std::future::pending().await,
        }
    }
}

pub(crate) struct TestCluster {
    pub(crate) log: FakeLog,
    network: Arc<TestNetwork>,
    view: MembershipView,
    members: watch::Sender<Arc<MembershipView>>,
}

impl TestCluster {
    pub(crate) async fn start(entries: usize, sides: usize) -> Self {
        let clock = ClockSource::start_at(START);
        let log = FakeLog::new(clock);
        log.set_latency(Duration::from_millis(3));
        let network = Arc::new(TestNetwork {
            log: log.clone(),
            clock,
            sides: Mutex::default(),
            entries: Mutex::default(),
            forward_fault: Mutex::default(),
            run_time: Mutex::new(Duration::from_millis(20)),
            answer_bytes: Mutex::default(),
            next_key: AtomicU64::default(),
            max_read_records: AtomicUsize::new(usize::MAX),
            runs: Mutex::default(),
        });
        let mut view = MembershipView::default();
        for index in 0..entries {
            view.entries.insert(instance("entry", index), entry_member(index));
        }
        let (members, receiver) = watch::channel(Arc::default());
        let mut cluster = Self { log, network, view, members };
        for index in 0..sides {
            cluster.start_side(index);
        }
        cluster.hide_sides(false);
        for index in 0..entries {
            let inputs = BookingInputs {
                log: Arc::new(SlowLog(cluster.network.clone())),
                sides: Arc::new(TestClients(cluster.network.clone())),
                entries: Arc::new(TestClients(cluster.network.clone())),
                clock,
                instance: instance("entry", index),
                members: receiver.clone(),
            };
            let options = BookingOptions::try_from(BookingSettings::default()).unwrap();
            let handle = start_bookings(inputs, options);
            let address = entry_member(index).address;
            cluster.network.entries.lock().unwrap().insert(address, handle);
        }
        cluster
    }

    fn start_side(&mut self, index: usize) {
        let incarnation = self.replace_side(index);
        let member = SideMember {
            address: side_address(index),
            incarnation: Some(incarnation),
            zone: AvailabilityZone::try_from("zone").unwrap(),
            region: RegionName::try_from("region").unwrap(),
            service: ServiceName::try_from("orders").unwrap(),
            state: MemberState::Live,
        };
        self.view.sides.insert(instance("side", index), member);
    }

    /// Starts another incarnation at the sidecar's address; the entries' view keeps the old one.
    pub(crate) fn replace_side(&self, index: usize) -> ProcessIncarnation {
        let incarnation = ProcessIncarnation::random();
        let log = Arc::new(self.network.log.clone());
        let claims = spawn_claims(log, self.network.clock, incarnation, ClaimOptions::default());
        let side = TestSide { incarnation, claims };
        self.network.sides.lock().unwrap().insert(side_address(index), side);
        incarnation
    }

    pub(crate) fn hide_sides(&self, hidden: bool) {
        let mut view = self.view.clone();
        if hidden {
            view.sides.clear();
        }
        self.members.send_replace(Arc::new(view));
    }

    /// Applies `fault` to the next forwarded booking.
    pub(crate) fn fail_next_forward(&self, fault: ForwardFault) {
        *self.network.forward_fault.lock().unwrap() = fault;
    }

    /// Makes reads that return more than `max_records` records time out.
    pub(crate) fn limit_reads(&self, max_records: usize) {
        self.network.max_read_records.store(max_records, Ordering::Relaxed);
    }

    pub(crate) fn set_run_time(&self, run_time: Duration) {
        *self.network.run_time.lock().unwrap() = run_time;
    }

    pub(crate) fn set_answer_bytes(&self, size: usize) {
        *self.network.answer_bytes.lock().unwrap() = size;
    }

    pub(crate) fn booking(&self, order: &str) -> BookingForward {
        let millis = u128::from(self.network.clock.unix_now().0);
        let serial = self.network.next_key.fetch_add(1, Ordering::Relaxed);
        let bits = (millis << 80) | (0x7 << 76) | (0x8 << 60) | u128::from(serial);
        let key = uuid::Uuid::from_u128(bits);
        BookingForward {
            request_id: RequestId::random(),
            team: TeamName::try_from("clinic").unwrap(),
            service: ServiceName::try_from("orders").unwrap(),
            key: key.to_string(),
            deadline_ms: 30_000,
            call: CallWork {
                method: "POST".into(),
                path: "kits".into(),
                content_type: None,
                body: order.as_bytes().to_vec().into(),
                idempotency_key: None,
                claim: None,
            },
        }
    }

    pub(crate) async fn book(&self, entry: usize, booking: &BookingForward) -> BookingReply {
        let address = entry_member(entry).address;
        let handle = self.network.entries.lock().unwrap()[&address].clone();
        handle.book(booking.clone()).await
    }

    /// Index of an entry that doesn't read the booking's partition.
    pub(crate) fn non_reader(&self, booking: &BookingForward) -> usize {
        let identity = BookingIdentity::try_from(booking).unwrap();
        let partition = partition_of(&identity.booking, 16.try_into().unwrap());
        let readers = partition_readers(partition, &self.view);
        (0..).find(|index| !readers.contains(&&instance("entry", *index))).unwrap()
    }

    pub(crate) fn runs(&self, order: &str) -> u32 {
        self.network.runs.lock().unwrap().get(order).copied().unwrap_or_default()
    }
}

/// A single entry without sidecars.
pub(crate) async fn start_entry() -> BookingHandle {
    let cluster = TestCluster::start(1, 0).await;
    let entries = cluster.network.entries.lock().unwrap();
    entries.values().next().unwrap().clone()
}

fn instance(kind: &str, index: usize) -> InstanceName {
    InstanceName::try_from(format!("{kind}-{index}")).unwrap()
}

fn side_address(index: usize) -> String {
    format!("127.0.0.1:{}", 9_000 + index)
}

fn entry_member(index: usize) -> EntryMember {
    EntryMember {
        address: format!("127.0.0.1:{}", 8_000 + index),
        zone: AvailabilityZone::try_from("zone").unwrap(),
        region: RegionName::try_from("region").unwrap(),
    }
}

/// The answer's text, and whether it was replayed.
pub(crate) fn answer_of(reply: &BookingReply) -> (String, bool) {
    match reply {
        BookingReply::Answer { answer, replayed } => {
            (String::from_utf8(answer.body.to_vec()).unwrap(), *replayed)
        }
        BookingReply::Problem(problem) => panic!("{problem:?}"),
    }
}

pub(crate) fn problem_of(reply: &BookingReply) -> ProblemDetails {
    match reply {
        BookingReply::Problem(problem) => problem.clone(),
        BookingReply::Answer { .. } => panic!("{reply:?}"),
    }
}
