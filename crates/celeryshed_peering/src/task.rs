//! The task that owns the control records: it reads the store, or peers where the store can't be
//! reached, decodes what is new and passes it on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{LogOffset, common_derives};
use celeryshed_dispatch::{DirectoryRecord, EndpointId, ListedEndpoint, RoutingSnapshot};
use celeryshed_observe::EventLine;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::log::{ControlLog, ControlPosition};
use crate::record::{ControlBatch, ControlRecord, ControlStream, OperatorRecord};
use crate::relay::{ControlScope, RelayAnswer, RelayQuery, fetch_control};
use crate::services::ServicesNotice;
use crate::store::{ControlStore, ReadOutcome, RecordDecoder, StoreError};

/// Time that the store may hold a read of operators' records without news.
const OPERATOR_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Time that a process behind its peers waits for its own read before it asks one of them.
const RELAY_DELAY: Duration = Duration::from_millis(150);
/// Time after its start in which a process that doesn't follow the operators' records waits for a
/// peer to tell them, before it reads them itself.
const OPERATOR_FALLBACK: Duration = Duration::from_secs(4);
/// Pause between two requests to peers.
const RELAY_PAUSE: Duration = Duration::from_millis(250);

common_derives! { value:
    /// How a process reads the store.
    #[derive(Copy)]
    pub struct ControlSettings {
        /// What the process follows. With everything, both streams are read all the time. With
        /// weights only, the list of endpoints is read once at the start, the operators' records
        /// when no peer tells them, and peers tell all news.
        pub scope: ControlScope,
        /// Time between two reads of the list of endpoints.
        pub endpoints_interval: Duration,
        /// Age of the list of endpoints from which peers are asked for a newer one.
        pub endpoints_max_age: Duration,
    }

    /// What became known.
    pub enum ControlEvent {
        /// A configuration is in force.
        Configuration(Arc<RoutingSnapshot>),
        /// A version of a model was declared.
        ModelVersion {
            /// The model.
            model: String,
            /// The version.
            version: u64,
            /// Whether it was among the first records that the process read, so that it may have
            /// been declared long ago.
            initial: bool,
        },
        /// A record of the list of endpoints.
        Endpoint(DirectoryRecord),
        /// A call to the store failed.
        StoreFailed,
        /// A call to the store succeeded.
        StoreAnswered,
    }
}

/// Input of the task.
enum ControlInput {
    Batch { stream: ControlStream, batch: ControlBatch },
    Relayed(RelayAnswer),
    RelayFailed,
    StoreFailed { stream: ControlStream, error: StoreError },
    PeerPosition { peer: String, position: ControlPosition },
    Request { query: RelayQuery, reply: oneshot::Sender<Bytes> },
}

/// Sends to the control task.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    inputs: mpsc::UnboundedSender<ControlInput>,
    position: watch::Receiver<ControlPosition>,
    scope: ControlScope,
}

impl ControlHandle {
    /// A peer said up to where it knows the records.
    pub fn report_peer_position(&self, peer: &str, position: ControlPosition) {
        if position.operator > self.position().operator
            || position.endpoints > self.position().endpoints
        {
            let input = ControlInput::PeerPosition { peer: peer.to_owned(), position };
            // The task ends only with the process.
            let _ = self.inputs.send(input);
        }
    }

    /// Up to where this process knows the records.
    pub fn position(&self) -> ControlPosition {
        *self.position.borrow()
    }

    /// Follows up to where this process knows the records.
    pub fn watch_position(&self) -> watch::Receiver<ControlPosition> {
        self.position.clone()
    }

    /// The encoded records that a peer lacks.
    pub async fn answer_query(&self, query: RelayQuery) -> Option<Bytes> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(ControlInput::Request { query, reply }).ok()?;
        answer.await.ok()
    }

    /// Whether records of operators are known.
    pub fn has_operator_records(&self) -> bool {
        self.position().operator > LogOffset::default()
    }

    /// Asks a peer for what this process lacks, whatever the peer said of its position.
    pub async fn fetch_from(&self, peer: &str) {
        let query = RelayQuery { position: self.position(), scope: self.scope };
        let input = relayed(peer, query).await;
        // The task ends only with the process.
        let _ = self.inputs.send(input);
    }
}

/// Starts the control task; events come out of the receiver.
pub fn start_control<S: ControlStore, D: RecordDecoder>(
    store: Arc<S>,
    decoder: Arc<D>,
    settings: ControlSettings,
) -> (ControlHandle, mpsc::UnboundedReceiver<ControlEvent>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let (events, event_stream) = mpsc::unbounded_channel();
    let (position, position_watch) = watch::channel(ControlPosition::default());
    let trouble = Arc::new(Notify::new());
    for stream in [ControlStream::Operator, ControlStream::Endpoints] {
        let reader = StoreReader {
            stream,
            store: store.clone(),
            settings,
            inputs: inputs.clone(),
            position: position_watch.clone(),
            trouble: trouble.clone(),
        };
        tokio::spawn(reader.run());
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
        endpoints_at: None,
        store_failing: false,
        relaying: false,
        postponed: None,
    };
    tokio::spawn(task.run(received));
    (ControlHandle { inputs, position: position_watch, scope: settings.scope }, event_stream)
}

/// What sidecars are told in place of the configuration.
struct KnownServices {
    /// Key of the configuration's record, if it was read here.
    key: Option<String>,
    /// Position of the record with which the services last changed.
    changed_at: LogOffset,
    notice: ServicesNotice,
}

struct ControlTask<D> {
    log: ControlLog,
    decoder: Arc<D>,
    settings: ControlSettings,
    events: mpsc::UnboundedSender<ControlEvent>,
    position: watch::Sender<ControlPosition>,
    inputs: mpsc::UnboundedSender<ControlInput>,
    /// The list of endpoints as it was last passed on, with the position of the last change.
    endpoints: BTreeMap<String, (LogOffset, Option<ListedEndpoint>)>,
    services: Option<KnownServices>,
    revision: Option<celeryshed_base::ConfigRevision>,
    endpoints_at: Option<Instant>,
    store_failing: bool,
    relaying: bool,
    /// The last peer that knew more while another one was asked.
    postponed: Option<(String, ControlPosition)>,
}

impl<D: RecordDecoder> ControlTask<D> {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
        while let Some(input) = inputs.recv().await {
            match input {
                ControlInput::Batch { stream, batch } => {
                    self.store_answered();
                    self.merge(stream, batch);
                }
                ControlInput::Relayed(mut answer) => {
                    self.relaying = false;
                    if let Some(notice) = answer.take_services() {
                        self.adopt_services(answer.position().operator, notice);
                    }
                    for (stream, batch) in answer.into_batches() {
                        self.merge(stream, batch);
                    }
                    self.consider_postponed();
                }
                ControlInput::RelayFailed => {
                    self.relaying = false;
                    self.consider_postponed();
                }
                ControlInput::StoreFailed { stream, error } => self.store_failed(stream, &error),
                ControlInput::PeerPosition { peer, position } => self.consider(peer, position),
                ControlInput::Request { query, reply } => {
                    // The caller may have left.
                    let _ = reply.send(self.answer(query).encode());
                }
            }
        }
    }

    fn answer(&self, query: RelayQuery) -> RelayAnswer {
        let position = query.position;
        match (query.scope, &self.services) {
            (ControlScope::Weights, Some(known)) => {
                let news = known.changed_at >= position.operator;
                let services = news.then(|| known.notice.clone());
                let key = known.key.as_deref();
                RelayAnswer::for_weights(&self.log, position, key, services)
            }
            (ControlScope::Weights, None) | (ControlScope::Everything, _) => {
                RelayAnswer::since(&self.log, position)
            }
        }
    }

    fn merge(&mut self, stream: ControlStream, batch: ControlBatch) {
        if stream == ControlStream::Endpoints {
            self.endpoints_at = Some(Instant::now());
        }
        // A peer that knows nothing yet answers with an empty batch, after which the first records
        // are still of any age.
        let initial = self.log.position().operator == LogOffset::default();
        for record in self.log.merge(stream, batch) {
            match stream {
                ControlStream::Operator => self.adopt_operator(&record, initial),
                ControlStream::Endpoints => self.adopt_endpoint(record),
            }
        }
        self.position.send_replace(self.log.position());
    }

    fn adopt_operator(&mut self, record: &ControlRecord, initial: bool) {
        let Some(value) = &record.value else { return };
        match self.decoder.operator(&record.key, value) {
            Ok(OperatorRecord::Configuration(snapshot)) => {
                let line = EventLine::new("configuration_read")
                    .field("revision", snapshot.revision)
                    .field("offset", record.offset);
                if self.revision.is_some_and(|revision| snapshot.revision <= revision) {
                    line.field("outcome", "older_than_in_force").warn();
                    return;
                }
                line.field("outcome", "in_force").info();
                self.revision = Some(snapshot.revision);
                let notice = ServicesNotice::from(&*snapshot);
                self.note_services(Some(&record.key), record.offset, notice);
                self.emit(ControlEvent::Configuration(Arc::from(snapshot)));
            }
            Ok(OperatorRecord::ModelVersion { model, version }) => {
                EventLine::new("version_declared")
                    .field("model", &model)
                    .field("version", version)
                    .field("offset", record.offset)
                    .info();
                self.emit(ControlEvent::ModelVersion { model, version, initial });
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                EventLine::new("record_unusable")
                    .field("offset", record.offset)
                    .field("error", error)
                    .warn();
            }
        }
    }

    /// A peer told the services of the configuration that it knows at `offset`.
    fn adopt_services(&mut self, offset: LogOffset, notice: ServicesNotice) {
        let revision = notice.revision();
        if self.revision.is_some_and(|known| revision <= known) {
            return;
        }
        EventLine::new("services_learnt").field("revision", revision).info();
        self.revision = Some(revision);
        self.note_services(None, offset, notice.clone());
        self.emit(ControlEvent::Configuration(Arc::new(notice.into())));
    }

    fn note_services(&mut self, key: Option<&str>, offset: LogOffset, notice: ServicesNotice) {
        let same = self.services.as_ref().filter(|known| known.notice.matches(&notice));
        let changed_at = same.map_or(offset, |known| known.changed_at);
        let key = key.map(str::to_owned);
        self.services = Some(KnownServices { key, changed_at, notice });
    }

    fn adopt_endpoint(&mut self, record: ControlRecord) {
        let decoded =
            record.value.as_deref().map(|value| self.decoder.endpoint(&record.key, value));
        let endpoint = match decoded {
            Some(Ok(endpoint)) => Some(endpoint),
            Some(Err(error)) => {
                EventLine::new("record_unusable")
                    .field("offset", record.offset)
                    .field("error", error)
                    .warn();
                None
            }
            None => None,
        };
        let known = self.endpoints.get(&record.key);
        if let Some((changed_at, known)) = known
            && *known == endpoint
        {
            // Endpoints write the same again and again to show that they are there.
            self.log.note_change(ControlStream::Endpoints, &record.key, *changed_at);
            return;
        }
        self.endpoints.insert(record.key.clone(), (record.offset, endpoint.clone()));
        self.log.note_change(ControlStream::Endpoints, &record.key, record.offset);
        let id = EndpointId::from(record.key.as_str());
        self.emit(ControlEvent::Endpoint(DirectoryRecord { id, offset: record.offset, endpoint }));
    }

    fn store_answered(&mut self) {
        if std::mem::take(&mut self.store_failing) {
            EventLine::new("store_regained").info();
        }
        self.emit(ControlEvent::StoreAnswered);
    }

    fn store_failed(&mut self, stream: ControlStream, error: &StoreError) {
        if !std::mem::replace(&mut self.store_failing, true) {
            EventLine::new("store_lost")
                .field("stream", format_args!("{stream:?}"))
                .field("error", error)
                .warn();
        }
        self.emit(ControlEvent::StoreFailed);
    }

    fn consider_postponed(&mut self) {
        if let Some((peer, position)) = self.postponed.take() {
            self.consider(peer, position);
        }
    }

    /// Asks a peer that knows more, if the store's own answers don't arrive.
    fn consider(&mut self, peer: String, position: ControlPosition) {
        let known = self.log.position();
        let max_age = self.settings.endpoints_max_age;
        let stale = self.endpoints_at.is_none_or(|at| at.elapsed() > max_age);
        let behind =
            position.operator > known.operator || (position.endpoints > known.endpoints && stale);
        if !behind {
            return;
        }
        if std::mem::replace(&mut self.relaying, true) {
            self.postponed = Some((peer, position));
            return;
        }
        let inputs = self.inputs.clone();
        let scope = self.settings.scope;
        let mut latest = self.position.subscribe();
        tokio::spawn(async move {
            if scope == ControlScope::Everything && position.operator > known.operator {
                let arrives = latest.wait_for(|latest| latest.operator >= position.operator);
                if matches!(timeout(RELAY_DELAY, arrives).await, Ok(Ok(_))) {
                    let _ = inputs.send(ControlInput::RelayFailed);
                    return;
                }
            }
            let position = *latest.borrow();
            let input = relayed(&peer, RelayQuery { position, scope }).await;
            if matches!(input, ControlInput::RelayFailed) {
                sleep(RELAY_PAUSE).await;
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

/// What a peer answers to a query, as an input of the task.
async fn relayed(peer: &str, query: RelayQuery) -> ControlInput {
    match fetch_control(peer, query).await {
        Ok(answer) => ControlInput::Relayed(answer),
        Err(error) => {
            EventLine::new("relay_failed").field("peer", peer).field("error", error).warn();
            ControlInput::RelayFailed
        }
    }
}

/// Reads one stream of the store until the process ends.
struct StoreReader<S> {
    stream: ControlStream,
    store: Arc<S>,
    settings: ControlSettings,
    inputs: mpsc::UnboundedSender<ControlInput>,
    position: watch::Receiver<ControlPosition>,
    /// A read of the list of endpoints failed, so a long read may wait on a dead connection.
    trouble: Arc<Notify>,
}

impl<S: ControlStore> StoreReader<S> {
    async fn run(mut self) {
        let follows = self.settings.scope == ControlScope::Everything;
        if !follows && self.stream == ControlStream::Operator {
            let told = self.position.wait_for(|known| known.operator > LogOffset::default());
            if timeout(OPERATOR_FALLBACK, told).await.is_ok() {
                return;
            }
        }
        let mut position: Option<LogOffset> = None;
        loop {
            let outcome = match position {
                None => self.store.newest(self.stream).await.map(ReadOutcome::Records),
                Some(from) => {
                    let read = self.store.read(self.stream, from, read_wait(self.stream));
                    tokio::select! {
                        outcome = read => outcome,
                        () = self.trouble.notified(), if self.stream == ControlStream::Operator => {
                            sleep(FAILURE_PAUSE).await;
                            continue;
                        }
                    }
                }
            };
            let stream = self.stream;
            let input = match outcome {
                Ok(ReadOutcome::Records(batch)) => {
                    position = Some(batch.end);
                    ControlInput::Batch { stream, batch }
                }
                Ok(ReadOutcome::Truncated) => {
                    EventLine::new("store_truncated")
                        .field("stream", format_args!("{stream:?}"))
                        .info();
                    position = None;
                    continue;
                }
                Err(error) => {
                    if stream == ControlStream::Endpoints {
                        self.trouble.notify_one();
                    }
                    ControlInput::StoreFailed { stream, error }
                }
            };
            let failed = matches!(input, ControlInput::StoreFailed { .. });
            if self.inputs.send(input).is_err() || (!failed && !follows) {
                return;
            }
            if failed {
                sleep(FAILURE_PAUSE).await;
            } else if stream == ControlStream::Endpoints {
                sleep(self.settings.endpoints_interval).await;
            }
        }
    }
}

fn read_wait(stream: ControlStream) -> Duration {
    match stream {
        ControlStream::Operator => OPERATOR_WAIT,
        ControlStream::Endpoints => Duration::ZERO,
    }
}
