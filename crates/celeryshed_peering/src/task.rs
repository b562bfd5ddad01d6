//! The task that owns the control records. It reads them from the store, or from peers if the store
//! can't be reached, decodes new ones and sends them to its receiver as events.

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, LogPosition, MonoTime, StoreEra, common_derives};
use celeryshed_dispatch::{
    DirectoryRecord, EndpointId, EndpointState, ListedEndpoint, MAX_REMOVED_ENDPOINTS,
    RoutingSnapshot,
};
use celeryshed_observe::EventLine;
use celeryshed_process::{TaskClass, TaskGroup};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::admission::{Admission, NewestValues};
use crate::fetch::{ControlQuery, ControlReply, ControlScope, fetch_control};
use crate::log::{ControlLog, ControlPosition, is_unread};
use crate::recency::{AgeReading, RECENCY_TICK, ReadRecency, RecordAge};
use crate::record::{ControlBatch, ControlRecord, ControlStream, OperatorRecord};
use crate::renewals::RegistrationRenewals;
use crate::restored::{EndpointAdvance, RepeatedRegistration, SeenRegistrations};
use crate::services::ServiceCatalog;
use crate::store::{
    ControlStore, DecodeError, ReadOutcome, ReadProgress, RecordDecoder, StoreError,
};

/// Time that the store may wait for a new operator record before it replies to a read.
const OPERATOR_POLL_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time that a process whose operator records are older than a peer's waits for its own read of the
/// store, before it fetches them from the peer.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(150);
/// Time after the start of a process with [`ControlScope::Weights`] until it reads the operators'
/// records from the store, unless a peer has sent them before.
const OPERATOR_FALLBACK_DELAY: Duration = Duration::from_secs(4);
/// Pause after a failed fetch from a peer.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Most unusable registrations that are logged until one of them is usable or removed.
const MAX_UNUSABLE_ENDPOINTS: usize = 64;

common_derives! { value:
    /// How a process reads the store.
    #[derive(Copy)]
    pub struct ControlSettings {
        /// Which records the process needs. With [`ControlScope::Everything`], it keeps reading
        /// both streams. With [`ControlScope::Weights`], it reads the list of endpoints once at
        /// the start and the operators' records only if no peer sends them; all later records
        /// come from peers.
        pub scope: ControlScope,
        /// Pause between two reads of the list of endpoints.
        pub endpoints_interval: Duration,
        /// Age of the list of endpoints beyond which a newer one is fetched from a peer.
        pub endpoints_max_age: Duration,
        /// Time between two renewals of an endpoint's registration; `None` if it isn't known.
        pub renewal_interval: Option<Duration>,
    }
}

/// A new control record, or the result of a call to the store.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A configuration with a higher revision than the previous one.
    Configuration(Arc<RoutingSnapshot>),
    /// A version of a model was declared.
    ModelVersion {
        /// Name of the model.
        model: String,
        /// The declared version.
        version: u64,
        /// Whether the record was among the first ones that the process read, in which case the
        /// version may have been declared long ago.
        initial: bool,
        /// Time since the declaration.
        age: AgeReading,
    },
    /// An endpoint was added to the list, changed or removed.
    Endpoint(DirectoryRecord),
    /// A call to the store failed.
    StoreFailed,
    /// A call to the store succeeded.
    StoreAnswered,
    /// Endpoints renewed their registrations while calls to the store failed: the store was
    /// available to them, and those whose removal the preceding events tell have left.
    RegistrationsRenewed,
    /// The store was restored from a copy, which may lack records that were read before.
    StoreRestored,
}

/// The position that a peer told.
#[derive(Clone, Debug)]
struct PeerPosition {
    peer: String,
    position: ControlPosition,
}

/// Messages to the control task.
enum ControlInput {
    Batch {
        stream: ControlStream,
        batch: ControlBatch,
        /// When the read was sent.
        sent_at: MonoTime,
    },
    /// The poll for operators' records is pending, and no part of its answer has arrived.
    PollPending {
        /// When the poll was sent.
        sent_at: MonoTime,
        /// When it was seen pending.
        pending_at: MonoTime,
    },
    PeerReply {
        reply: ControlReply,
        /// When the query was sent.
        sent_at: MonoTime,
    },
    /// A fetch from a peer failed or turned out to be unnecessary.
    NoPeerReply,
    StoreFailed {
        stream: ControlStream,
        error: StoreError,
        /// When the read was sent.
        sent_at: MonoTime,
    },
    PeerPosition(PeerPosition),
    Query {
        query: ControlQuery,
        reply: oneshot::Sender<Bytes>,
    },
}

/// Gives access to the control task.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    inputs: mpsc::UnboundedSender<ControlInput>,
    position: watch::Receiver<ControlPosition>,
    scope: ControlScope,
    clock: ClockSource,
}

impl ControlHandle {
    /// Reports the position of a peer; if this process is behind, it may fetch records from there.
    pub fn report_peer_position(&self, peer: &str, position: ControlPosition) {
        if position.operator > self.position().operator
            || position.endpoints > self.position().endpoints
        {
            let peer = peer.to_owned();
            let input = ControlInput::PeerPosition(PeerPosition { peer, position });
            // The task ends only with the process.
            let _ = self.inputs.send(input);
        }
    }

    /// Position up to which this process has read the records.
    pub fn position(&self) -> ControlPosition {
        *self.position.borrow()
    }

    /// Receiver that is notified when the position of this process changes.
    pub fn watch_position(&self) -> watch::Receiver<ControlPosition> {
        self.position.clone()
    }

    /// Encoded [`ControlReply`] to a peer's query; none if the control task has ended.
    pub async fn answer_query(&self, query: ControlQuery) -> Option<Bytes> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(ControlInput::Query { query, reply }).ok()?;
        answer.await.ok()
    }

    /// Whether the process has read any operator record.
    pub fn has_operator_records(&self) -> bool {
        !self.position().operator.is_start()
    }

    /// Fetches the records that this process lacks from a peer whose position may be unknown.
    pub async fn fetch_from(&self, peer: &str) {
        let query = ControlQuery {
            position: self.position(),
            scope: self.scope,
            with_ages: true,
            with_eras: true,
        };
        let input = fetch_input(peer, query, self.clock).await;
        // The task ends only with the process.
        let _ = self.inputs.send(input);
    }
}

/// Starts the control task and the readers of the store as `tasks` of the role. The receiver yields
/// the events.
pub fn start_control<S: ControlStore, D: RecordDecoder>(
    tasks: &TaskGroup,
    store: Arc<S>,
    decoder: Arc<D>,
    settings: ControlSettings,
) -> (ControlHandle, mpsc::UnboundedReceiver<ControlEvent>) {
    start_control_with_clock(tasks, ClockSource::start(), store, decoder, settings)
}

/// Starts the control task like [`start_control`], on a given clock.
pub fn start_control_with_clock<S: ControlStore, D: RecordDecoder>(
    tasks: &TaskGroup,
    clock: ClockSource,
    store: Arc<S>,
    decoder: Arc<D>,
    settings: ControlSettings,
) -> (ControlHandle, mpsc::UnboundedReceiver<ControlEvent>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let (events, event_stream) = mpsc::unbounded_channel();
    let (position, position_watch) = watch::channel(ControlPosition::default());
    let poll_doubt = Arc::new(PollDoubt::default());
    let (era, _) = watch::channel(StoreEra::default());
    for stream in [ControlStream::Operator, ControlStream::Endpoints] {
        let reader = StoreReader {
            stream,
            store: store.clone(),
            settings,
            inputs: inputs.clone(),
            position: position_watch.clone(),
            clock,
            poll_doubt: poll_doubt.clone(),
            era: era.clone(),
        };
        let (name, class) = match (stream, settings.scope) {
            (ControlStream::Operator, ControlScope::Everything) => {
                ("operator_reader", TaskClass::Essential)
            }
            (ControlStream::Operator, ControlScope::Weights) => {
                ("operator_reader", TaskClass::Finite)
            }
            (ControlStream::Endpoints, ControlScope::Everything) => {
                ("endpoints_reader", TaskClass::Essential)
            }
            (ControlStream::Endpoints, ControlScope::Weights) => {
                ("endpoints_reader", TaskClass::Finite)
            }
        };
        tasks.start(name, class, reader.run());
    }
    let task = ControlTask {
        log: ControlLog::default(),
        decoder,
        settings,
        events,
        position,
        inputs: inputs.clone(),
        endpoints: BTreeMap::new(),
        services: None,
        revision: None,
        newest_values: NewestValues::default(),
        list_reading: None,
        store_failing: false,
        fetching: false,
        pending_peer: None,
        clock,
        recency: ReadRecency::new(clock.now(), settings.endpoints_interval),
        version_ages: BTreeMap::new(),
        poll_doubt,
        renewals: RegistrationRenewals::new(settings.renewal_interval),
        seen: SeenRegistrations::new(&settings),
        unusable_endpoints: BTreeSet::new(),
    };
    tasks.start("control", TaskClass::Essential, task.run(received));
    let scope = settings.scope;
    (ControlHandle { inputs, position: position_watch, scope, clock }, event_stream)
}

/// The services that sidecars get instead of the configuration.
struct KnownServices {
    /// Key of the configuration's record; none if a peer sent the services.
    key: Option<String>,
    /// Position of the record with which the services last changed.
    changed_at: LogPosition,
    catalog: ServiceCatalog,
}

/// When a list of endpoints was read: so long before a time of this process, which may be before its
/// start.
#[derive(Clone, Copy, Debug)]
struct ListReading {
    at: MonoTime,
    age_then: Duration,
}

impl ListReading {
    fn new(at: MonoTime, age_then: Duration) -> Self {
        Self { at, age_then }
    }

    fn age(self, now: MonoTime) -> Duration {
        self.age_then + (now - self.at)
    }
}

/// Where records come from, and what is known of the ages of declared versions among them.
enum RecordSource {
    Store {
        /// Age of any record.
        age: RecordAge,
        /// When that was its age.
        read_at: MonoTime,
    },
    Peer {
        /// When the reply was handled.
        read_at: MonoTime,
        /// Ages by the record's key; none if the peer's build doesn't tell them.
        ages: Option<BTreeMap<String, RecordAge>>,
        /// Time since the peer was asked.
        delay: Duration,
        /// Age by the reads of this process itself.
        own: RecordAge,
    },
}

impl RecordSource {
    /// Age of the declared version in a record. `initial` tells whether the record is among the first
    /// that the process reads.
    fn record_age(&self, record: &ControlRecord, initial: bool) -> RecordAge {
        match self {
            Self::Store { .. } if initial => RecordAge::Unknown,
            Self::Store { age, .. } => *age,
            Self::Peer { ages, delay, own, .. } => {
                let told = ages.as_ref().and_then(|ages| ages.get(&record.key));
                let told = told.map_or(RecordAge::Unknown, |age| age.delayed(*delay));
                // Reads of the restored store don't show records that the restore took back.
                let is_lost = record.position.advance() > 0;
                match (told, own) {
                    (RecordAge::Known(_), _) => told,
                    _ if initial || is_lost => told,
                    // Peers of builds that tell no ages take records for new, too.
                    (RecordAge::Unknown, RecordAge::Unknown) if ages.is_none() => {
                        RecordAge::Known(Duration::ZERO)
                    }
                    // Each limit holds by itself.
                    _ => match told.limit().into_iter().chain(own.limit()).min() {
                        Some(limit) => RecordAge::AtMost(limit),
                        None => RecordAge::Unknown,
                    },
                }
            }
        }
    }

    /// The time to which ages of records refer.
    fn read_at(&self) -> MonoTime {
        match self {
            Self::Store { read_at, .. } | Self::Peer { read_at, .. } => *read_at,
        }
    }

    /// The source as written to logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Store { .. } => "store",
            Self::Peer { .. } => "peer",
        }
    }
}

struct ControlTask<D> {
    log: ControlLog,
    decoder: Arc<D>,
    settings: ControlSettings,
    events: mpsc::UnboundedSender<ControlEvent>,
    position: watch::Sender<ControlPosition>,
    inputs: mpsc::UnboundedSender<ControlInput>,
    /// The endpoint last emitted for each key, with the position of its last change.
    endpoints: BTreeMap<String, (LogPosition, Option<ListedEndpoint>)>,
    services: Option<KnownServices>,
    revision: Option<celeryshed_base::ConfigRevision>,
    /// The newest configuration and declared versions.
    newest_values: NewestValues,
    /// When the read of the known list of endpoints was sent to the store, by this process or a peer.
    list_reading: Option<ListReading>,
    store_failing: bool,
    /// Whether a fetch from a peer is in progress.
    fetching: bool,
    /// The last peer that was ahead of this process during a fetch from another peer.
    pending_peer: Option<PeerPosition>,
    clock: ClockSource,
    recency: ReadRecency,
    /// Ages of declared versions by the record's key.
    version_ages: BTreeMap<String, AgeReading>,
    poll_doubt: Arc<PollDoubt>,
    renewals: RegistrationRenewals,
    seen: SeenRegistrations,
    /// Keys of the unusable registrations that were logged.
    unusable_endpoints: BTreeSet<String>,
}

impl<D: RecordDecoder> ControlTask<D> {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
        let mut ticks = interval(RECENCY_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let keeps_reading = self.settings.scope == ControlScope::Everything;
        loop {
            let received = tokio::select! {
                input = inputs.recv() => Some(input),
                _ = ticks.tick(), if keeps_reading => None,
            };
            // A pause has to be known before what happened since is handled.
            if keeps_reading {
                self.note_running();
            }
            let input = match received {
                Some(Some(input)) => input,
                Some(None) => return,
                None => continue,
            };
            match input {
                ControlInput::PollPending { sent_at, pending_at } => {
                    self.recency.record_pending(self.clock.now(), sent_at, pending_at);
                }
                ControlInput::Batch { stream, batch, sent_at } => {
                    self.store_answered();
                    let now = self.clock.now();
                    let mut is_renewed = false;
                    if stream == ControlStream::Endpoints {
                        self.keep_newer_list(now, ListReading::new(sent_at, Duration::ZERO));
                        self.renewals.record_answer(now, &batch);
                        self.seen.record_answer(now);
                        is_renewed = self.renewals.are_shown();
                    }
                    let age = self.recency.record_age(now);
                    let source = RecordSource::Store { age, read_at: now };
                    self.merge(stream, batch, &source);
                    self.recency.record_answer(now, stream, sent_at);
                    if stream == ControlStream::Endpoints {
                        self.apply_renewed(sent_at);
                    }
                    if is_renewed {
                        self.emit(ControlEvent::RegistrationsRenewed);
                    }
                }
                ControlInput::PeerReply { mut reply, sent_at } => {
                    self.fetching = false;
                    if let Some(catalog) = reply.take_services() {
                        self.apply_services(reply.position().operator, catalog);
                    }
                    let now = self.clock.now();
                    if let Some(age) = reply.list_age() {
                        self.keep_newer_list(now, ListReading::new(sent_at, age));
                    }
                    let source = RecordSource::Peer {
                        read_at: now,
                        ages: reply.version_ages(),
                        delay: now - sent_at,
                        own: self.recency.record_age(now),
                    };
                    for (stream, batch) in reply.into_batches() {
                        self.merge(stream, batch, &source);
                    }
                    if let Some(reading) = self.list_reading {
                        self.apply_renewed(now - reading.age(now));
                    }
                    self.fetch_from_pending_peer();
                }
                ControlInput::NoPeerReply => {
                    self.fetching = false;
                    self.fetch_from_pending_peer();
                }
                ControlInput::StoreFailed { stream, error, sent_at } => {
                    self.store_failed(stream, &error, sent_at)
                }
                ControlInput::PeerPosition(peer) => self.fetch_if_behind(peer),
                ControlInput::Query { query, reply } => {
                    // The peer may have disconnected.
                    let _ = reply.send(self.reply_to(query).encode());
                }
            }
        }
    }

    fn keep_newer_list(&mut self, now: MonoTime, reading: ListReading) {
        if self.list_reading.is_none_or(|known| reading.age(now) < known.age(now)) {
            self.list_reading = Some(reading);
        }
    }

    /// Records that the process runs, and has the pending poll sent again after a pause.
    fn note_running(&mut self) {
        if let Some(pause) = self.recency.record_tick(self.clock.now()) {
            self.poll_doubt.process_resumed.notify_one();
            EventLine::new("process_resumed").field("pause", format_args!("{pause:?}")).info();
        }
    }

    fn reply_to(&self, query: ControlQuery) -> ControlReply {
        if query.with_eras {
            return self.reply_by_era(query);
        }
        let end = self.log.position();
        let position = ControlPosition {
            operator: query.position.operator.in_era_of(end.operator),
            endpoints: query.position.endpoints.in_era_of(end.endpoints),
        };
        self.reply_by_era(ControlQuery { position, ..query }).without_eras()
    }

    fn reply_by_era(&self, query: ControlQuery) -> ControlReply {
        let position = query.position;
        let now = self.clock.now();
        let list_age = self.list_reading.map(|reading| reading.age(now));
        let reply = match (query.scope, &self.services) {
            (ControlScope::Weights, Some(known)) => {
                let end = self.log.position().operator;
                let changed = is_unread(known.changed_at, position.operator, end);
                let services = changed.then(|| known.catalog.clone());
                let key = known.key.as_deref();
                ControlReply::for_weights(&self.log, position, key, services)
            }
            (ControlScope::Weights, None) | (ControlScope::Everything, _) => {
                ControlReply::changed_since(&self.log, position)
            }
        };
        let reply = reply.with_list_age(list_age);
        if !query.with_ages {
            return reply;
        }
        let ages = self.version_ages.iter();
        reply.with_version_ages(ages.map(|(key, reading)| (key.clone(), reading.age())))
    }

    fn merge(&mut self, stream: ControlStream, batch: ControlBatch, source: &RecordSource) {
        // A peer without records replies with an empty batch. The first records that arrive after
        // such a batch may be old too, so the position decides and not the number of batches.
        let initial = self.log.position().operator.is_start();
        self.note_restore(batch.end.era(), source);
        if batch.is_snapshot && stream == ControlStream::Endpoints {
            self.seen.record_snapshot(&batch);
        }
        if stream == ControlStream::Endpoints {
            self.hold_left(&batch);
        }
        for record in self.log.merge(stream, batch) {
            match stream {
                ControlStream::Operator => match &record.value {
                    Some(value) => self.apply_operator_record(&record, value, initial, source),
                    None if record.position.is_before_era() => {
                        self.newest_values.admit(&mut self.log, &record, 0);
                        self.move_services(&record.key);
                    }
                    None => {}
                },
                ControlStream::Endpoints => self.apply_endpoint_record(record),
            }
        }
        for key in self.log.forget_removed(MAX_REMOVED_ENDPOINTS) {
            self.endpoints.remove(&key);
            self.seen.forget(&key);
        }
        self.position.send_replace(self.log.position());
    }

    /// Logs and counts a restore of the store that `era` shows for the first time.
    fn note_restore(&mut self, era: StoreEra, source: &RecordSource) {
        let held = self.log.position();
        let old = held.operator.era().max(held.endpoints.era());
        if era <= old || held == ControlPosition::default() {
            return;
        }
        metrics::counter!("celeryshed_store_restores_total").increment(1);
        EventLine::new("store_restored")
            .field("old", old)
            .field("new", era)
            .field("operator", held.operator)
            .field("endpoints", held.endpoints)
            .field("source", source.name())
            .warn();
        self.seen.record_restore(self.clock.now());
        self.emit(ControlEvent::StoreRestored);
    }

    fn apply_operator_record(
        &mut self,
        record: &ControlRecord,
        value: &Bytes,
        initial: bool,
        source: &RecordSource,
    ) {
        let decoder = &self.decoder;
        match decode_guarded(&record.key, || decoder.operator(&record.key, value)) {
            Ok(OperatorRecord::Configuration(snapshot)) => {
                let line = EventLine::new("configuration_read")
                    .field("revision", snapshot.revision)
                    .field("position", record.position);
                if self.revision.is_some_and(|revision| snapshot.revision <= revision) {
                    if self.revision == Some(snapshot.revision) {
                        line.field("outcome", "unchanged").info();
                    } else {
                        line.field("outcome", "older_than_in_force").warn();
                    }
                    self.newest_values.admit(&mut self.log, record, snapshot.revision.0);
                    self.move_services(&record.key);
                    return;
                }
                line.field("outcome", "in_force").info();
                self.revision = Some(snapshot.revision);
                self.newest_values.admit(&mut self.log, record, snapshot.revision.0);
                let catalog = ServiceCatalog::from(&*snapshot);
                self.set_services(Some(&record.key), record.position, catalog);
                self.emit(ControlEvent::Configuration(Arc::from(snapshot)));
            }
            Ok(OperatorRecord::ModelVersion { model, version }) => {
                if self.newest_values.admit(&mut self.log, record, version) != Admission::Newer {
                    EventLine::new("version_ignored")
                        .field("model", &model)
                        .field("version", version)
                        .field("position", record.position)
                        .info();
                    return;
                }
                let age = source.record_age(record, initial);
                let reading = AgeReading::new(self.clock, source.read_at(), age);
                self.version_ages.insert(record.key.clone(), reading);
                let evidence = self.recency.evidence(self.clock.now());
                EventLine::new("version_declared")
                    .field("model", &model)
                    .field("version", version)
                    .field("position", record.position)
                    .field("age", format_args!("{age:?}"))
                    .field("source", source.name())
                    .field("verified_before", format_args!("{:?}", evidence.verified_before))
                    .field("complete_before", format_args!("{:?}", evidence.complete_before))
                    .field("running_for", format_args!("{:?}", evidence.running_for))
                    .info();
                self.emit(ControlEvent::ModelVersion { model, version, initial, age: reading });
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                EventLine::new("record_unusable")
                    .field("position", record.position)
                    .field("error", error)
                    .warn();
            }
        }
    }

    /// Applies the services sent by a peer that has read the operators' records up to `position`.
    fn apply_services(&mut self, position: LogPosition, catalog: ServiceCatalog) {
        let revision = catalog.revision();
        if self.revision.is_some_and(|known| revision <= known) {
            return;
        }
        EventLine::new("services_learnt").field("revision", revision).info();
        self.revision = Some(revision);
        self.set_services(None, position, catalog.clone());
        self.emit(ControlEvent::Configuration(Arc::new(catalog.into())));
    }

    fn set_services(&mut self, key: Option<&str>, position: LogPosition, catalog: ServiceCatalog) {
        let same = self.services.as_ref().filter(|known| {
            // Peers may have read other services from the restored store since.
            let is_restored = known.changed_at.era() < position.era() || position.is_before_era();
            known.catalog.has_same_services(&catalog)
                && !is_restored
                && known.changed_at.advance() == 0
        });
        let changed_at = same.map_or(position, |known| known.changed_at);
        let key = key.map(str::to_owned);
        self.services = Some(KnownServices { key, changed_at, catalog });
    }

    /// Moves the known services to the position at which the log holds their configuration.
    fn move_services(&mut self, key: &str) {
        let mut records = self.log.records(ControlStream::Operator);
        let position = records.find(|record| record.key == key).map(|record| record.position);
        let of_record = |known: &&KnownServices| known.key.as_deref() == Some(key);
        let catalog = self.services.as_ref().filter(of_record).map(|known| known.catalog.clone());
        drop(records);
        if let (Some(position), Some(catalog)) = (position, catalog) {
            self.set_services(Some(key), position, catalog);
        }
    }

    fn apply_endpoint_record(&mut self, record: ControlRecord) {
        let endpoint = self.decode_endpoint(&record);
        let is_told_left = record.value.is_none()
            && record.position.advance() > 0
            && !record.position.is_before_era();
        if is_told_left {
            if self.seen.is_known_from_before(&record) {
                // The peer may have missed that the endpoint registered again.
                return;
            }
            let known = self.endpoints.get(&record.key).and_then(|(_, known)| known.clone());
            self.seen.is_repeated(&record, None);
            if let Some(known) = known {
                let position = record.position.with_advance(0);
                let value = self.seen.value(&record.key).cloned();
                let copied = ControlRecord { key: record.key.clone(), position, value };
                self.seen.hold_left(self.clock.now(), copied, known);
            }
            let changed_at = record.position;
            self.set_endpoint(record, None, changed_at);
        } else if self.seen.is_repeated(&record, endpoint.as_ref())
            && !self.is_same_endpoint(&record.key, endpoint.as_ref())
        {
            self.retain_known_endpoint(&record, endpoint.as_ref());
        } else {
            let changed_at = record.position;
            self.set_endpoint(record, endpoint, changed_at);
        }
    }

    /// Whether an endpoint's record tells what is known of it already.
    fn is_same_endpoint(&self, key: &str, endpoint: Option<&ListedEndpoint>) -> bool {
        let known = self.endpoints.get(key);
        known.is_some_and(|(_, known)| has_same_state(known.as_ref(), endpoint))
    }

    /// Decodes the record of an endpoint; `None` if it has no value or an unusable one.
    fn decode_endpoint(&mut self, record: &ControlRecord) -> Option<ListedEndpoint> {
        let decode =
            |value| decode_guarded(&record.key, || self.decoder.endpoint(&record.key, value));
        let decoded = record.value.as_deref().map(decode);
        let Some(Err(error)) = decoded else {
            self.unusable_endpoints.remove(&record.key);
            return decoded?.ok();
        };
        metrics::counter!("celeryshed_registrations_unusable_total").increment(1);
        // Other writers may write as often as they like.
        if self.unusable_endpoints.len() < MAX_UNUSABLE_ENDPOINTS
            && self.unusable_endpoints.insert(record.key.clone())
        {
            EventLine::new("record_unusable")
                .field("position", record.position)
                .field("error", error)
                .warn();
        }
        None
    }

    /// Keeps what is known of an endpoint beyond its record in the restored store for peers.
    fn retain_known_endpoint(&mut self, record: &ControlRecord, copied: Option<&ListedEndpoint>) {
        let is_draining = |endpoint: &ListedEndpoint| endpoint.state == EndpointState::Draining;
        let (value, advance) = match self.endpoints.get(&record.key) {
            Some((_, None)) => (None, EndpointAdvance::Left),
            Some((_, Some(known))) if is_draining(known) && !copied.is_some_and(is_draining) => {
                (self.seen.value(&record.key).cloned(), EndpointAdvance::Draining)
            }
            Some((_, Some(_))) | None => return,
        };
        let advance = record.position.advance() + advance.number();
        self.log.retain_endpoint(&record.key, value, advance);
    }

    /// Holds the registrations of a batch back whose endpoints have left, as a peer has told before.
    fn hold_left(&mut self, batch: &ControlBatch) {
        for record in &batch.records {
            if !self.log.is_taken_back(record) {
                continue;
            }
            if let Some(endpoint) = self.decode_endpoint(record) {
                self.seen.hold_left(self.clock.now(), record.clone(), endpoint);
            }
        }
    }

    /// Applies the registrations of the restored store that have been renewed, as a list that was read
    /// at `read_at` shows.
    fn apply_renewed(&mut self, read_at: MonoTime) {
        let renewed = self.seen.take_renewed(read_at);
        if renewed.is_empty() {
            return;
        }
        for RepeatedRegistration { record, endpoint } in renewed {
            let known = self.endpoints.get(&record.key).and_then(|(_, known)| known.as_ref());
            if has_same_state(known, Some(&endpoint)) {
                continue;
            }
            let number = EndpointAdvance::Renewed.number();
            self.log.retain_endpoint(&record.key, record.value.clone(), number);
            let changed_at = record.position.with_advance(number);
            let record = ControlRecord { position: changed_at, ..record };
            self.set_endpoint(record, Some(endpoint), changed_at);
        }
        self.position.send_replace(self.log.position());
    }

    fn set_endpoint(
        &mut self,
        record: ControlRecord,
        endpoint: Option<ListedEndpoint>,
        position: LogPosition,
    ) {
        let is_unchanged = self.is_same_endpoint(&record.key, endpoint.as_ref());
        let changed_at = match self.endpoints.get(&record.key) {
            // Endpoints write an unchanged record at intervals to show that they are alive.
            Some((changed_at, _)) if is_unchanged && changed_at.era() == position.era() => {
                *changed_at
            }
            // After a restore, peers may hold a change that was taken back and that this process
            // has missed.
            _ => position,
        };
        self.log.set_changed_at(ControlStream::Endpoints, &record.key, changed_at);
        self.endpoints.insert(record.key.clone(), (changed_at, endpoint.clone()));
        if is_unchanged {
            return;
        }
        let id = EndpointId::from(record.key.as_str());
        self.emit(ControlEvent::Endpoint(DirectoryRecord {
            id,
            position: record.position,
            endpoint,
        }));
    }

    fn store_answered(&mut self) {
        if std::mem::take(&mut self.store_failing) {
            EventLine::new("store_regained").info();
        }
        self.emit(ControlEvent::StoreAnswered);
    }

    fn store_failed(&mut self, stream: ControlStream, error: &StoreError, sent_at: MonoTime) {
        let now = self.clock.now();
        if stream == ControlStream::Operator && now - sent_at >= OPERATOR_POLL_WAIT {
            self.recency.record_silent_poll();
        }
        self.recency.record_failure(now, error.into());
        self.renewals.record_failure(now, sent_at);
        if stream == ControlStream::Endpoints {
            self.seen.record_failure(sent_at);
        }
        if !std::mem::replace(&mut self.store_failing, true) {
            EventLine::new("store_lost")
                .field("stream", format_args!("{stream:?}"))
                .field("error", error)
                .warn();
        }
        self.emit(ControlEvent::StoreFailed);
    }

    fn fetch_from_pending_peer(&mut self) {
        if let Some(peer) = self.pending_peer.take() {
            self.fetch_if_behind(peer);
        }
    }

    /// Fetches records from a peer that is ahead, unless the store delivers them in time.
    fn fetch_if_behind(&mut self, sender: PeerPosition) {
        let position = sender.position;
        let known = self.log.position();
        let max_age = self.settings.endpoints_max_age;
        let now = self.clock.now();
        let stale = self.list_reading.is_none_or(|reading| reading.age(now) > max_age);
        // The store doesn't show what a peer knows beyond its copy.
        let is_advanced = position.endpoints.advance() > known.endpoints.advance();
        let behind = position.operator > known.operator
            || (position.endpoints > known.endpoints && (stale || is_advanced));
        if !behind {
            return;
        }
        if std::mem::replace(&mut self.fetching, true) {
            self.pending_peer = Some(sender);
            return;
        }
        let peer = sender.peer;
        let inputs = self.inputs.clone();
        let scope = self.settings.scope;
        let clock = self.clock;
        let mut latest = self.position.subscribe();
        tokio::spawn(async move {
            if scope == ControlScope::Everything && position.operator > known.operator {
                let arrival = latest.wait_for(|latest| latest.operator >= position.operator);
                if matches!(timeout(PEER_FETCH_DELAY, arrival).await, Ok(Ok(_))) {
                    let _ = inputs.send(ControlInput::NoPeerReply);
                    return;
                }
            }
            let position = *latest.borrow();
            let query = ControlQuery { position, scope, with_ages: true, with_eras: true };
            let input = fetch_input(&peer, query, clock).await;
            if matches!(input, ControlInput::NoPeerReply) {
                sleep(PEER_RETRY_PAUSE).await;
            }
            // The task ends only with the process.
            let _ = inputs.send(input);
        });
    }

    fn emit(&self, event: ControlEvent) {
        // The receiver ends only with the process.
        let _ = self.events.send(event);
    }
}

/// Calls a decoder, whose panic makes the record unusable. Each process would otherwise start anew at
/// the same record again and again.
fn decode_guarded<R>(
    key: &str,
    decode: impl FnOnce() -> Result<R, DecodeError>,
) -> Result<R, DecodeError> {
    let decoded = catch_unwind(AssertUnwindSafe(decode));
    decoded.unwrap_or_else(|_panic| {
        Err(DecodeError { key: key.to_owned(), detail: "its decoding panicked".to_owned() })
    })
}

/// Whether two registrations differ in their numbers at most.
fn has_same_state(one: Option<&ListedEndpoint>, other: Option<&ListedEndpoint>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => *one == ListedEndpoint { seq_no: one.seq_no, ..other.clone() },
        (one, other) => one == other,
    }
}

/// Sends a query to a peer and turns the result into an input of the control task.
async fn fetch_input(peer: &str, query: ControlQuery, clock: ClockSource) -> ControlInput {
    let sent_at = clock.now();
    match fetch_control(peer, query).await {
        Ok(reply) => ControlInput::PeerReply { reply, sent_at },
        Err(error) => {
            EventLine::new("relay_failed").field("peer", peer).field("error", error).warn();
            ControlInput::NoPeerReply
        }
    }
}

/// Events after which the pending read of the operators' records is cancelled and sent again.
#[derive(Debug, Default)]
struct PollDoubt {
    /// A read of the list of endpoints failed; the pending read may wait on a dead connection.
    list_failed: Notify,
    /// The process was paused; the answer to the pending read may have arrived meanwhile.
    process_resumed: Notify,
}

/// Reads one stream of the store: with [`ControlScope::Everything`] until the process ends, with
/// [`ControlScope::Weights`] until the first success.
struct StoreReader<S> {
    stream: ControlStream,
    store: Arc<S>,
    settings: ControlSettings,
    inputs: mpsc::UnboundedSender<ControlInput>,
    position: watch::Receiver<ControlPosition>,
    clock: ClockSource,
    poll_doubt: Arc<PollDoubt>,
    /// The latest era in an answer to either reader.
    era: watch::Sender<StoreEra>,
}

/// How a read of the store ended.
enum ReadEnd {
    Answered(Result<ReadOutcome, StoreError>),
    /// The answer may be lost, or may have waited for long; the read is sent again after a pause.
    Cancelled {
        pause: Duration,
    },
    /// The store was restored since, so the read may never be answered.
    Outdated,
}

impl<S: ControlStore> StoreReader<S> {
    /// Reads the records from the position `from` on, and tells the control task as long as the poll
    /// for operators' records is pending.
    async fn read(
        &self,
        from: LogPosition,
        wait: Duration,
        sent_at: MonoTime,
        latest_era: &mut watch::Receiver<StoreEra>,
    ) -> ReadEnd {
        let is_operator = self.stream == ControlStream::Operator;
        let is_poll =
            is_operator && self.settings.scope == ControlScope::Everything && !wait.is_zero();
        let progress = ReadProgress::default();
        let mut read = pin!(self.store.read_observed(self.stream, from, wait, &progress));
        let mut ticks = interval(RECENCY_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // The answer goes first: it is pending only if nothing of it can be processed.
                biased;
                outcome = &mut read => return ReadEnd::Answered(outcome),
                () = self.poll_doubt.list_failed.notified(), if is_operator => {
                    return ReadEnd::Cancelled { pause: STORE_RETRY_PAUSE };
                }
                // A read that doesn't wait, or whose answer has begun to arrive, goes on: cancelled at each
                // pause, it would never end at a process that is paused often.
                () = self.poll_doubt.process_resumed.notified(),
                    if is_poll && !progress.has_begun() =>
                {
                    return ReadEnd::Cancelled { pause: Duration::ZERO };
                }
                () = wait_for_era_after(latest_era, from.era()) => return ReadEnd::Outdated,
                _ = ticks.tick(), if is_poll && !progress.has_begun() => {
                    let pending_at = self.clock.now();
                    // The task ends only with the process.
                    let _ = self.inputs.send(ControlInput::PollPending { sent_at, pending_at });
                }
            }
        }
    }

    async fn run(mut self) {
        let keeps_reading = self.settings.scope == ControlScope::Everything;
        if !keeps_reading && self.stream == ControlStream::Operator {
            let arrival = self.position.wait_for(|known| !known.operator.is_start());
            if timeout(OPERATOR_FALLBACK_DELAY, arrival).await.is_ok() {
                return;
            }
        }
        let mut position: Option<LogPosition> = None;
        // After a failure, the first read doesn't wait for new records: its answer shows that none
        // is missing.
        let mut is_verifying = false;
        let mut latest_era = self.era.subscribe();
        // Whether the reader has started over and has read on from no snapshot since.
        let mut is_starting_over = false;
        let mut lower_eras = 0;
        loop {
            let wait = if is_verifying { Duration::ZERO } else { poll_wait(self.stream) };
            let sent_at = self.clock.now();
            let outcome = match position {
                None => self.store.newest(self.stream).await.map(ReadOutcome::Records),
                Some(from) => match self.read(from, wait, sent_at, &mut latest_era).await {
                    ReadEnd::Answered(outcome) => outcome,
                    ReadEnd::Cancelled { pause } => {
                        is_verifying = true;
                        sleep(pause).await;
                        continue;
                    }
                    ReadEnd::Outdated => {
                        position = None;
                        continue;
                    }
                },
            };
            let stream = self.stream;
            let input = match outcome {
                Ok(ReadOutcome::Records(batch))
                    if position.is_some_and(|from| from.era() != batch.end.era()) =>
                {
                    self.note_era(batch.end.era());
                    position = None;
                    pause_if_repeated(&mut is_starting_over).await;
                    continue;
                }
                Ok(ReadOutcome::Restored) => {
                    position = None;
                    pause_if_repeated(&mut is_starting_over).await;
                    continue;
                }
                Ok(ReadOutcome::Records(batch)) if batch.end.era() < *self.era.borrow() => {
                    // The answer was under way during the restore, unless more of them follow.
                    lower_eras += 1;
                    if lower_eras == 2 {
                        self.report_lower_era(batch.end.era());
                    }
                    position = None;
                    sleep(STORE_RETRY_PAUSE).await;
                    continue;
                }
                Ok(ReadOutcome::Records(batch)) => {
                    self.note_era(batch.end.era());
                    lower_eras = 0;
                    is_starting_over &= position.is_none();
                    position = Some(batch.end);
                    ControlInput::Batch { stream, batch, sent_at }
                }
                Ok(ReadOutcome::Truncated) => {
                    EventLine::new("store_truncated")
                        .field("stream", format_args!("{stream:?}"))
                        .info();
                    position = None;
                    pause_if_repeated(&mut is_starting_over).await;
                    continue;
                }
                Err(error) => {
                    if stream == ControlStream::Endpoints {
                        self.poll_doubt.list_failed.notify_one();
                    }
                    ControlInput::StoreFailed { stream, error, sent_at }
                }
            };
            let failed = matches!(input, ControlInput::StoreFailed { .. });
            is_verifying = failed;
            if self.inputs.send(input).is_err() || (!failed && !keeps_reading) {
                return;
            }
            if failed {
                sleep(STORE_RETRY_PAUSE).await;
            } else if stream == ControlStream::Endpoints {
                sleep(self.settings.endpoints_interval).await;
            }
        }
    }
}

impl<S> StoreReader<S> {
    /// Makes the other reader start over if its position is of an earlier era.
    fn note_era(&self, era: StoreEra) {
        self.era.send_if_modified(|latest| {
            let is_newer = era > *latest;
            *latest = era.max(*latest);
            is_newer
        });
    }

    /// Logs and counts answers of an era before the latest one, which can't be read on from.
    fn report_lower_era(&self, told: StoreEra) {
        metrics::counter!("celeryshed_store_era_reversals_total").increment(1);
        EventLine::new("store_era_reversed")
            .field("stream", format_args!("{:?}", self.stream))
            .field("known", *self.era.borrow())
            .field("told", told)
            .warn();
    }
}

/// Notes that a reader starts over, and pauses if it did so before without reading on.
async fn pause_if_repeated(is_starting_over: &mut bool) {
    if std::mem::replace(is_starting_over, true) {
        sleep(STORE_RETRY_PAUSE).await;
    }
}

/// Returns when an answer of the store has shown an era after `era`.
async fn wait_for_era_after(latest: &mut watch::Receiver<StoreEra>, era: StoreEra) {
    if latest.wait_for(|latest| *latest > era).await.is_err() {
        // The readers own the senders.
        std::future::pending().await
    }
}

fn poll_wait(stream: ControlStream) -> Duration {
    match stream {
        ControlStream::Operator => OPERATOR_POLL_WAIT,
        ControlStream::Endpoints => Duration::ZERO,
    }
}
