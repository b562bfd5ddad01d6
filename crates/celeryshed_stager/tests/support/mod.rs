//! Starts a sidecar on loopback with an in-memory store, engine and origin.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{
    AvailabilityZone, ConfigRevision, LogOffset, LogPosition, ModelName, ServiceName, StoreEra,
};
use celeryshed_dispatch::{
    EndpointState, EngineProfile, ListedEndpoint, OriginProfile, RoutingSnapshot, ServiceProfile,
    VersionDeadlines,
};
use celeryshed_peering::{
    ControlBatch, ControlPosition, ControlRecord, ControlScope, ControlSettings, ControlStore,
    ControlStream, DecodeError, EntryHeartbeat, OperatorRecord, PeerMessage, PeerSocket,
    ReadOutcome, RecordDecoder, SidecarStatus, StoreError,
};
use celeryshed_process::{ProcessSignals, RoleRunner};
use celeryshed_stager::{
    EngineReport, LayerRange, LoadOrder, PieceCheck, RawManifest, ReloadReply, SidecarProcess,
    SidecarSettings, WeightError, WeightPlatform,
};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

pub(crate) const MODEL: &str = "letters";
pub(crate) const PIECES: u32 = 8;
/// Layers of the model; each needs two pieces.
const LAYERS: u32 = 4;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a call to a silent engine fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that an engine may be silent before it counts as lost.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Length of a pause of the machine.
const PAUSE: Duration = Duration::from_secs(4);

/// Last byte of the next loopback address; each sidecar of the test process gets its own address.
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

pub(crate) fn piece_bytes(version: u64, piece: u32) -> Bytes {
    Bytes::from(format!("{MODEL} {version} {piece} ").repeat(100))
}

/// Pieces from the origin that the sidecar holds.
#[derive(Debug, Default)]
struct HeldPieces {
    count: AtomicUsize,
    peak: AtomicUsize,
}

/// A piece that counts as held until it is dropped.
struct HeldPiece {
    bytes: Bytes,
    held: Arc<HeldPieces>,
}

impl HeldPiece {
    fn new(bytes: Bytes, held: &Arc<HeldPieces>) -> Self {
        let count = 1 + held.count.fetch_add(1, Ordering::Relaxed);
        held.peak.fetch_max(count, Ordering::Relaxed);
        Self { bytes, held: held.clone() }
    }
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldPiece {
    fn drop(&mut self) {
        self.held.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What happens to a load order.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OrderFault {
    /// The whole machine is paused before the engine accepts it, and a piece is damaged meanwhile.
    Paused { is_damaged: bool },
    /// The reply is lost. The engine accepts the order with [`FakeWeights::deliver_orders`].
    Held,
    /// The engine accepts it, but the reply is lost.
    ReplyLost,
    /// The order is lost.
    Dropped,
}

/// An order that the engine has received and not read yet.
struct HeldOrder {
    version: u64,
    layers: Option<LayerRange>,
    expected_seq_no: Option<u64>,
}

/// An engine with its staged pieces, and an origin that delivers every piece.
#[derive(Default)]
pub(crate) struct FakeWeights {
    pub(crate) staged: Mutex<BTreeMap<u32, Bytes>>,
    pub(crate) loaded: Mutex<BTreeMap<String, u64>>,
    /// Pieces that the origin was asked for, in the order of the requests.
    pub(crate) fetched: Mutex<Vec<u32>>,
    /// Versions whose load was ordered, in the order of the orders.
    pub(crate) ordered: Mutex<Vec<u64>>,
    /// Pieces that were stored at the engine, in the order of the calls.
    pub(crate) written: Mutex<Vec<u32>>,
    /// Whether the engine is starting and doesn't reply.
    is_starting: AtomicBool,
    /// Whether calls to the engine time out.
    is_silent: AtomicBool,
    /// Number of calls to read a piece that time out.
    silent_reads: AtomicU32,
    /// Number of calls to read a piece after which the machine is paused; zero for no pause.
    reads_until_pause: AtomicU32,
    /// Number of calls to the engine that timed out.
    pub(crate) timed_out: AtomicU32,
    /// When the engine started, in Unix milliseconds.
    started_at_ms: AtomicU64,
    /// Layers that the engine holds, with whether their pieces were valid when it took them.
    layers: Mutex<BTreeMap<u32, bool>>,
    /// Number of orders that the engine has accepted.
    seq_no: AtomicU64,
    /// Whether reports have neither the number of orders, nor layers, nor the time of the start.
    is_brief: AtomicBool,
    /// What happens to the next orders.
    order_faults: Mutex<VecDeque<OrderFault>>,
    held_orders: Mutex<Vec<HeldOrder>>,
    /// Whether loads that were accepted stay in progress.
    pub(crate) hold_loads: AtomicBool,
    /// Whether held orders are accepted as soon as a piece is read.
    pub(crate) deliver_on_read: AtomicBool,
    /// The version after whose load the next report is lost; zero for none.
    pub(crate) lose_report_after: AtomicU64,
    is_report_lost: AtomicBool,
    /// A report that is sent in place of newer ones.
    old_report: Mutex<Option<OldReport>>,
    /// A report that is sent in place of the true ones.
    odd_report: Mutex<Option<EngineReport>>,
    /// Number of layers that the engine took from damaged pieces.
    pub(crate) spoilt_layers: AtomicU32,
    /// Orders that the engine received, accepted or not.
    pub(crate) received: AtomicU32,
    /// Number of reports of the engine that panic.
    panicking_reports: AtomicU32,
    /// Number of pieces of the origin that panic.
    panicking_fetches: AtomicU32,
    /// Whether the origin doesn't reply.
    origin_held: AtomicBool,
    /// The oldest version that the origin still offers.
    oldest_offered: AtomicU64,
    /// Whether the origin sends wrong bytes as pieces, and each manifest only once.
    origin_corrupt: AtomicBool,
    /// Versions whose manifests the origin has sent.
    manifests: Mutex<BTreeSet<u64>>,
    held: Arc<HeldPieces>,
}

/// A report that is sent again until `time` after it was first sent.
#[derive(Debug)]
struct OldReport {
    report: EngineReport,
    first_sent_at: Option<Instant>,
    time: Duration,
}

/// Counts `left` down; panics unless it was zero.
fn panic_if_left(left: &AtomicU32) {
    let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
    assert!(taken.is_err(), "a panic that the test expects");
}

impl FakeWeights {
    /// An engine that serves version `loaded` and stores the pieces `staged`.
    pub(crate) fn new(loaded: u64, staged: impl IntoIterator<Item = (u32, Bytes)>) -> Arc<Self> {
        Arc::new(Self {
            staged: Mutex::new(staged.into_iter().collect()),
            loaded: Mutex::new(BTreeMap::from([(MODEL.to_owned(), loaded)])),
            layers: Mutex::new((0..LAYERS).map(|layer| (layer, true)).collect()),
            ..Self::default()
        })
    }

    /// An engine that doesn't reply before [`Self::finish_start`], and then serves nothing.
    pub(crate) fn starting() -> Arc<Self> {
        Arc::new(Self { is_starting: AtomicBool::new(true), ..Self::default() })
    }

    /// From now on the engine refuses each call.
    pub(crate) fn stop(&self) {
        self.is_starting.store(true, Ordering::Relaxed);
    }

    /// The next `count` queries of the engine's state panic.
    pub(crate) fn panic_in_reports(&self, count: u32) {
        self.panicking_reports.store(count, Ordering::Relaxed);
    }

    /// The next `count` fetches of pieces from the origin panic.
    pub(crate) fn panic_in_fetches(&self, count: u32) {
        self.panicking_fetches.store(count, Ordering::Relaxed);
    }

    pub(crate) fn finish_start(&self) {
        self.is_starting.store(false, Ordering::Relaxed);
    }

    /// From now on calls to the engine time out.
    pub(crate) fn begin_silence(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    /// The engine goes on as if it hadn't been silent.
    pub(crate) fn end_silence(&self) {
        self.is_silent.store(false, Ordering::Relaxed);
    }

    /// The next `count` calls to read a piece time out.
    pub(crate) fn delay_reads(&self, count: u32) {
        self.silent_reads.store(count, Ordering::Relaxed);
    }

    /// After `count` further calls to read a piece, piece 0 is damaged and the machine is paused for
    /// [`PAUSE`].
    pub(crate) fn pause_after_reads(&self, count: u32) {
        self.reads_until_pause.store(count, Ordering::Relaxed);
    }

    /// The engine holds these layers only, from valid pieces or not.
    pub(crate) fn hold_layers(&self, layers: LayerRange, is_valid: bool) {
        let layers = (layers.from..layers.to).map(|layer| (layer, is_valid));
        *self.layers.lock().unwrap() = layers.collect();
    }

    /// What happens to the next orders.
    pub(crate) fn disturb_orders(&self, faults: impl IntoIterator<Item = OrderFault>) {
        self.order_faults.lock().unwrap().extend(faults);
    }

    /// From now on reports have only what each engine reports.
    /// Reports the present state until `time` after the next report, whatever happens meanwhile.
    pub(crate) fn delay_reports(&self, time: Duration) {
        let report = EngineReport {
            models: self.loaded.lock().unwrap().clone(),
            started_at_ms: Some(self.started_at_ms.load(Ordering::Relaxed)),
            seq_no: Some(self.seq_no.load(Ordering::Relaxed)),
            ..EngineReport::default()
        };
        *self.old_report.lock().unwrap() = Some(OldReport { report, first_sent_at: None, time });
    }

    pub(crate) fn shorten_reports(&self) {
        self.is_brief.store(true, Ordering::Relaxed);
    }

    /// From now on the engine sends this report, or true ones again.
    pub(crate) fn set_odd_report(&self, report: Option<EngineReport>) {
        *self.odd_report.lock().unwrap() = report;
    }

    pub(crate) fn damage_piece(&self, piece: u32) {
        self.staged.lock().unwrap().insert(piece, Bytes::from_static(b"damaged"));
    }

    /// Waits until the engine has received an order that it hasn't read.
    pub(crate) async fn wait_held_order(&self) {
        for _ in 0..400 {
            if !self.held_orders.lock().unwrap().is_empty() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("no order has arrived");
    }

    /// The engine reads the orders that it has received.
    pub(crate) fn deliver_orders(&self) {
        for order in std::mem::take(&mut *self.held_orders.lock().unwrap()) {
            self.accept(&order);
        }
    }

    /// Most pieces from the origin that the sidecar has held at a time.
    pub(crate) fn most_held_pieces(&self) -> usize {
        self.held.peak.load(Ordering::Relaxed)
    }

    /// Whether the engine makes tokens with a layer that was taken from damaged pieces.
    pub(crate) fn is_spoilt(&self) -> bool {
        self.layers.lock().unwrap().values().any(|is_valid| !is_valid)
    }

    /// Whether the engine holds all layers.
    pub(crate) fn is_whole(&self) -> bool {
        self.layers.lock().unwrap().len() == LAYERS as usize
    }

    fn accept(&self, order: &HeldOrder) -> ReloadReply {
        let seq_no = self.seq_no.load(Ordering::Relaxed);
        if order.expected_seq_no.is_some_and(|expected| expected != seq_no) {
            return ReloadReply::Conflict;
        }
        let wanted = order.layers.unwrap_or(LayerRange { from: 0, to: LAYERS });
        if wanted.to > LAYERS {
            return ReloadReply::Conflict;
        }
        let mut loaded = self.loaded.lock().unwrap();
        let mut layers = self.layers.lock().unwrap();
        if loaded.get(MODEL) == Some(&order.version) {
            if layers.keys().copied().eq(wanted.from..wanted.to) {
                return ReloadReply::InForce;
            }
        } else {
            layers.clear();
        }
        layers.retain(|layer, _| (wanted.from..wanted.to).contains(layer));
        let staged = self.staged.lock().unwrap();
        let is_valid = |piece| staged.get(&piece) == Some(&piece_bytes(order.version, piece));
        let ratio = PIECES / LAYERS;
        for layer in wanted.from..wanted.to {
            let valid = (layer * ratio..(layer + 1) * ratio).all(is_valid);
            layers.entry(layer).or_insert_with(|| {
                self.spoilt_layers.fetch_add(u32::from(!valid), Ordering::Relaxed);
                valid
            });
        }
        loaded.insert(MODEL.to_owned(), order.version);
        if self.lose_report_after.load(Ordering::Relaxed) == order.version {
            self.is_report_lost.store(true, Ordering::Relaxed);
        }
        self.seq_no.fetch_add(1, Ordering::Relaxed);
        self.ordered.lock().unwrap().push(order.version);
        ReloadReply::Started
    }

    /// Damages a piece and moves the runtime's clock on, as a pause of the whole machine does.
    async fn pause_machine(&self) {
        self.damage_piece(0);
        self.suspend_machine().await;
    }

    async fn suspend_machine(&self) {
        tokio::time::pause();
        tokio::time::advance(PAUSE).await;
        tokio::time::resume();
    }

    /// The engine starts anew, and has lost what it had loaded and stored.
    pub(crate) fn restart(&self) {
        self.loaded.lock().unwrap().clear();
        self.staged.lock().unwrap().clear();
        self.layers.lock().unwrap().clear();
        self.seq_no.store(0, Ordering::Relaxed);
        self.held_orders.lock().unwrap().clear();
        self.started_at_ms.fetch_add(1, Ordering::Relaxed);
    }

    /// From now on the origin doesn't reply.
    pub(crate) fn hold_origin(&self) {
        self.origin_held.store(true, Ordering::Relaxed);
    }

    /// The origin replies again, and offers no version before `oldest`.
    pub(crate) fn release_origin(&self, oldest: u64) {
        self.oldest_offered.store(oldest, Ordering::Relaxed);
        self.origin_held.store(false, Ordering::Relaxed);
    }

    /// Whether the origin sends wrong bytes as pieces, and each manifest only once, from now on.
    pub(crate) fn set_origin_corrupt(&self, is_corrupt: bool) {
        self.origin_corrupt.store(is_corrupt, Ordering::Relaxed);
    }

    async fn check_replies(&self) -> Result<(), WeightError> {
        if self.is_silent.load(Ordering::Relaxed) {
            return Err(self.time_out().await);
        }
        match self.is_starting.load(Ordering::Relaxed) {
            true => Err(WeightError::Refused {
                action: "the engine",
                address: "fake".to_owned(),
                status: 503,
            }),
            false => Ok(()),
        }
    }

    async fn time_out(&self) -> WeightError {
        sleep(CALL_TIMEOUT).await;
        self.timed_out.fetch_add(1, Ordering::Relaxed);
        WeightError::TimedOut {
            action: "the engine",
            address: "fake".to_owned(),
            limit: CALL_TIMEOUT,
        }
    }

    async fn ask_origin(&self, version: u64) -> Result<(), WeightError> {
        while self.origin_held.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(20)).await;
        }
        if version >= self.oldest_offered.load(Ordering::Relaxed) {
            return Ok(());
        }
        Err(withdrawn())
    }

    /// Waits until the engine serves `version`; panics after 8 seconds.
    pub(crate) async fn wait_loaded(&self, version: u64) {
        for _ in 0..400 {
            if self.loaded.lock().unwrap().get(MODEL) == Some(&version) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("version {version} is not loaded");
    }
}

/// The reply of an origin that no longer offers a version.
fn withdrawn() -> WeightError {
    WeightError::Refused { action: "the origin", address: "fake".to_owned(), status: 410 }
}

impl WeightPlatform for FakeWeights {
    async fn endpoint_report(&self) -> Result<EngineReport, WeightError> {
        panic_if_left(&self.panicking_reports);
        self.check_replies().await?;
        if let Some(odd) = &*self.odd_report.lock().unwrap() {
            return Ok(odd.clone());
        }
        if let Some(old) = &mut *self.old_report.lock().unwrap() {
            let first_sent_at = *old.first_sent_at.get_or_insert_with(Instant::now);
            if first_sent_at.elapsed() < old.time {
                return Ok(old.report.clone());
            }
        }
        if self.is_report_lost.swap(false, Ordering::Relaxed) {
            return Err(self.time_out().await);
        }
        let busy =
            self.hold_loads.load(Ordering::Relaxed) && self.seq_no.load(Ordering::Relaxed) > 0;
        let mut models = self.loaded.lock().unwrap().clone();
        if busy {
            models.clear();
        }
        let brief = EngineReport { models, busy, ..EngineReport::default() };
        if self.is_brief.load(Ordering::Relaxed) {
            return Ok(brief);
        }
        let layers = self.layers.lock().unwrap();
        let ends = layers.keys().next().zip(layers.keys().next_back());
        Ok(EngineReport {
            started_at_ms: Some(self.started_at_ms.load(Ordering::Relaxed)),
            seq_no: Some(self.seq_no.load(Ordering::Relaxed)),
            layers: ends.map(|(first, last)| LayerRange { from: *first, to: last + 1 }),
            ..brief
        })
    }

    async fn staged_pieces(&self, _model: &str) -> Result<BTreeSet<u32>, WeightError> {
        Ok(self.staged.lock().unwrap().keys().copied().collect())
    }

    async fn read_piece(
        &self,
        _model: &str,
        piece: u32,
        _max_bytes: usize,
    ) -> Result<Option<Bytes>, WeightError> {
        let delayed = |count: u32| count.checked_sub(1);
        if self.silent_reads.fetch_update(Ordering::Relaxed, Ordering::Relaxed, delayed).is_ok() {
            return Err(self.time_out().await);
        }
        if self.deliver_on_read.load(Ordering::Relaxed) {
            self.deliver_orders();
        }
        let bytes = self.staged.lock().unwrap().get(&piece).cloned();
        let counted = |count: u32| count.checked_sub(1);
        let left =
            self.reads_until_pause.fetch_update(Ordering::Relaxed, Ordering::Relaxed, counted);
        if left == Ok(1) {
            self.pause_machine().await;
        }
        Ok(bytes)
    }

    async fn write_piece(&self, _model: &str, piece: u32, bytes: Bytes) -> Result<(), WeightError> {
        self.check_replies().await?;
        self.staged.lock().unwrap().insert(piece, Bytes::copy_from_slice(&bytes));
        self.written.lock().unwrap().push(piece);
        Ok(())
    }

    async fn load(
        &self,
        order: &LoadOrder<'_>,
        check: &PieceCheck,
    ) -> Result<ReloadReply, WeightError> {
        if !check.is_valid() {
            return Ok(ReloadReply::CheckExpired);
        }
        self.received.fetch_add(1, Ordering::Relaxed);
        let version = order.version;
        let held =
            HeldOrder { version, layers: order.layers, expected_seq_no: order.expected_seq_no };
        let fault = self.order_faults.lock().unwrap().pop_front();
        match fault {
            Some(OrderFault::Paused { is_damaged }) => {
                if is_damaged {
                    self.damage_piece(0);
                }
                self.suspend_machine().await;
                return Ok(self.accept(&held));
            }
            Some(OrderFault::Held) => {
                self.held_orders.lock().unwrap().push(held);
                return Err(self.time_out().await);
            }
            Some(OrderFault::ReplyLost) => {
                self.accept(&held);
                return Err(self.time_out().await);
            }
            Some(OrderFault::Dropped) => return Err(self.time_out().await),
            None => {}
        }
        let complete = {
            let staged = self.staged.lock().unwrap();
            (0..PIECES).all(|piece| staged.get(&piece) == Some(&piece_bytes(version, piece)))
        };
        assert!(complete, "load ordered before all pieces of version {version} were staged");
        Ok(self.accept(&held))
    }

    async fn origin_manifest(
        &self,
        _address: &str,
        _model: &str,
        version: u64,
    ) -> Result<RawManifest, WeightError> {
        self.ask_origin(version).await?;
        let is_repeated = !self.manifests.lock().unwrap().insert(version);
        if is_repeated && self.origin_corrupt.load(Ordering::Relaxed) {
            return Err(withdrawn());
        }
        let digest = |piece| {
            let digest = Sha256::digest(piece_bytes(version, piece));
            digest.iter().map(|byte| format!("{byte:02x}")).collect()
        };
        Ok(RawManifest { version, digests: (0..PIECES).map(digest).collect() })
    }

    async fn origin_piece(
        &self,
        _address: &str,
        _model: &str,
        version: u64,
        piece: u32,
        _max_bytes: usize,
    ) -> Result<Bytes, WeightError> {
        panic_if_left(&self.panicking_fetches);
        self.ask_origin(version).await?;
        self.fetched.lock().unwrap().push(piece);
        if self.origin_corrupt.load(Ordering::Relaxed) {
            return Ok(Bytes::from_static(b"corrupt"));
        }
        Ok(Bytes::from_owner(HeldPiece::new(piece_bytes(version, piece), &self.held)))
    }
}

/// Position of an offset before any restore of the store.
fn at(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::default(), LogOffset(offset)).unwrap()
}

/// A store with a configuration and a list of endpoints. The operator may declare further versions.
pub(crate) struct FakeStore {
    /// Declared versions, oldest first.
    declared: watch::Sender<Vec<u64>>,
    endpoints: Vec<String>,
}

impl FakeStore {
    /// Declares a further version.
    pub(crate) fn declare(&self, version: u64) {
        self.declared.send_modify(|declared| declared.push(version));
    }

    fn operator_records(&self) -> Vec<ControlRecord> {
        let configuration = ("configuration".to_owned(), Bytes::new());
        let declared = self.declared.borrow();
        let versions = declared.iter().map(|version| ("version".to_owned(), version.to_string()));
        let versions = versions.map(|(key, version)| (key, Bytes::from(version)));
        let records = std::iter::once(configuration).chain(versions).enumerate();
        let record = |(offset, (key, value))| ControlRecord {
            key,
            position: at(offset as u64),
            value: Some(value),
        };
        records.map(record).collect()
    }

    fn endpoint_records(&self) -> Vec<ControlRecord> {
        let records = self.endpoints.iter().enumerate().map(|(index, address)| ControlRecord {
            key: format!("i-{index}"),
            position: at(index as u64),
            value: Some(Bytes::from(address.clone())),
        });
        records.collect()
    }

    fn batch(&self, stream: ControlStream) -> ControlBatch {
        let records = match stream {
            ControlStream::Operator => self.operator_records(),
            ControlStream::Endpoints => self.endpoint_records(),
        };
        let end = at(records.len() as u64);
        ControlBatch { records, end, is_snapshot: true }
    }
}

impl ControlStore for FakeStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        let mut batch = self.batch(stream);
        if stream == ControlStream::Operator {
            // Only the newest record of each key is kept.
            let newest = batch.records.len() - 1;
            batch
                .records
                .retain(|record| record.position == at(0) || record.position == at(newest as u64));
        }
        Ok(batch)
    }

    async fn read(
        &self,
        stream: ControlStream,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        let mut declared = self.declared.subscribe();
        // A read without new records ends after the wait.
        let _ = timeout(wait, declared.wait_for(|all| all.len() as u64 >= from.offset().0)).await;
        let mut batch = self.batch(stream);
        batch.records.retain(|record| record.position >= from);
        batch.is_snapshot = false;
        Ok(ReadOutcome::Records(batch))
    }
}

impl RecordDecoder for FakeStore {
    fn operator(&self, key: &str, value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        if key == "version" {
            let version = std::str::from_utf8(value).unwrap().parse().unwrap();
            return Ok(OperatorRecord::ModelVersion { model: MODEL.to_owned(), version });
        }
        let mut snapshot = RoutingSnapshot { revision: ConfigRevision(1), ..Default::default() };
        let engine = Some(EngineProfile {
            slots: 4,
            step_us: 5000,
            step_per_request_us: 20,
            step_per_context_token_ns: 7,
            read_per_s: 30_000,
            read_per_kilopair_ns: 600,
            read_chunk: 2048,
            pass_steps: 6,
            mean_answer_tokens: 100,
            mean_prompt_tokens: 900,
            models: vec![ModelName::try_from(MODEL).unwrap()],
            piece_count: PIECES,
            piece_bytes: piece_bytes(1, 0).len() as u32,
        });
        let origin =
            Some(OriginProfile { address: "10.0.0.9:80".to_owned(), link_bits_per_s: 100_000_000 });
        snapshot.services.insert(service("writer"), ServiceProfile { engine, origin: None });
        snapshot.services.insert(service("weights"), ServiceProfile { engine: None, origin });
        Ok(OperatorRecord::Configuration(Box::new(snapshot)))
    }

    /// The address of the endpoint, or address and loaded version with a space between.
    fn endpoint(&self, _key: &str, value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        let text = std::str::from_utf8(value).unwrap();
        let (address, version) = text.split_once(' ').unwrap_or((text, ""));
        let version = version.parse().ok().map(|version| (MODEL.to_owned(), version));
        Ok(ListedEndpoint {
            service: service("writer"),
            address: address.to_owned(),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 4,
            state: EndpointState::Ready,
            models: version.into_iter().collect(),
            started_at_ms: 1,
            seq_no: None,
        })
    }
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

/// The next loopback address for a sidecar of this test process.
fn next_ip() -> String {
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    format!("127.{}.{}.{}", 1 + pid % 250, 1 + (pid / 250) % 250, host)
}

/// Address of the endpoint beside the sidecar at `ip`.
fn endpoint_address(ip: &str) -> String {
    format!("{ip}:18094")
}

/// Memory for pieces; far more than the versions of the tests take.
const PIECE_MEMORY_BYTES: usize = 1_000_000;

/// Settings of a sidecar at a loopback address of its own.
pub(crate) fn sidecar_settings() -> SidecarSettings {
    let ip = next_ip();
    let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
    SidecarSettings {
        name: "side-1".to_owned(),
        peer_address: address(18092),
        metrics_address: address(18093),
        endpoint: endpoint_address(&ip),
        service: service("writer"),
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        regions: BTreeMap::new(),
        versions: VersionDeadlines {
            after_declaration: Duration::from_secs(8),
            after_start: Duration::from_secs(2),
        },
        memory_bytes: usize::MAX,
        piece_memory_bytes: PIECE_MEMORY_BYTES,
        link_bits_per_s: 0,
        endpoint_silence_limit: SILENCE_LIMIT,
        piece_check_lifetime: PAUSE / 2,
        load_reply_limit: PAUSE * 3 / 4,
        control: ControlSettings {
            scope: ControlScope::Everything,
            endpoints_interval: Duration::from_millis(100),
            endpoints_max_age: Duration::from_millis(500),
            renewal_interval: None,
        },
    }
}

/// Starts a sidecar whose store declares `version`, and returns the address of its peer socket.
pub(crate) fn start_sidecar(weights: &Arc<FakeWeights>, version: u64) -> SocketAddr {
    start_listed_sidecar(weights, &[version], |_own| Vec::new()).0
}

/// Starts a sidecar whose store has the versions `declared` and lists other endpoints. `others` gets the
/// address of the own endpoint, and returns those of the others.
pub(crate) fn start_listed_sidecar(
    weights: &Arc<FakeWeights>,
    declared: &[u64],
    others: impl Fn(&str) -> Vec<String>,
) -> (SocketAddr, Arc<FakeStore>) {
    start_limited_sidecar(weights, declared, others, PIECE_MEMORY_BYTES)
}

/// Like [`start_listed_sidecar`], with `piece_memory_bytes` for pieces.
pub(crate) fn start_limited_sidecar(
    weights: &Arc<FakeWeights>,
    declared: &[u64],
    others: impl Fn(&str) -> Vec<String>,
    piece_memory_bytes: usize,
) -> (SocketAddr, Arc<FakeStore>) {
    let settings = SidecarSettings { piece_memory_bytes, ..sidecar_settings() };
    let mut endpoints = others(&settings.endpoint);
    endpoints.push(settings.endpoint.clone());
    let (declared, _) = watch::channel(declared.to_vec());
    let store = Arc::new(FakeStore { declared, endpoints });
    let (weights, fake) = (weights.clone(), store.clone());
    let peer_address = settings.peer_address;
    let mut signals = ProcessSignals::install().unwrap();
    tokio::spawn(async move {
        SidecarProcess::run(settings, &mut signals, fake.clone(), fake, weights).await
    });
    (peer_address, store)
}

/// A store that has the versions `declared` and lists the own endpoint of a sidecar.
pub(crate) fn store_of(settings: &SidecarSettings, declared: &[u64]) -> Arc<FakeStore> {
    let (declared, _) = watch::channel(declared.to_vec());
    Arc::new(FakeStore { declared, endpoints: vec![settings.endpoint.clone()] })
}

/// Starts a sidecar whose store has the versions `declared`, in a thread of its own and as the program
/// does: it is started again when it ends by itself.
pub(crate) fn start_supervised_sidecar(
    weights: &Arc<FakeWeights>,
    declared: &[u64],
) -> (SocketAddr, Arc<FakeStore>) {
    let settings = sidecar_settings();
    let store = store_of(&settings, declared);
    let (weights, fake) = (weights.clone(), store.clone());
    let peer_address = settings.peer_address;
    let runner = RoleRunner::start().unwrap();
    thread::spawn(move || {
        let role = async |signals: &mut ProcessSignals| {
            let (store, decoder, weights) = (fake.clone(), fake.clone(), weights.clone());
            SidecarProcess::run(settings.clone(), signals, store, decoder, weights).await
        };
        runner.run(role).unwrap();
    });
    (peer_address, store)
}

/// The status messages that an entry receives within `time`, each passed to `observe` as it arrives.
pub(crate) async fn observe_statuses(
    sidecar: SocketAddr,
    time: Duration,
    mut observe: impl FnMut(SidecarStatus),
) {
    let entry = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let heartbeat = PeerMessage::Hello(EntryHeartbeat {
        entry: entry.address().unwrap().to_string(),
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        position: ControlPosition::default(),
        lifetime_ms: 30_000,
    });
    let end = Instant::now() + time;
    while Instant::now() < end {
        entry.send(&heartbeat, [sidecar.to_string()]);
        let pause = end.min(Instant::now() + HEARTBEAT_INTERVAL);
        while let Ok((message, _)) = timeout_at(pause, entry.receive()).await {
            if let PeerMessage::Status(status) = message {
                observe(status);
            }
        }
    }
}
