//! Starts a sidecar on loopback with an in-memory store, engine and origin.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{AvailabilityZone, ConfigRevision, LogOffset, ModelName, ServiceName};
use celeryshed_dispatch::{
    EndpointState, EngineProfile, ListedEndpoint, OriginProfile, RoutingSnapshot, ServiceProfile,
    VersionDeadlines,
};
use celeryshed_peering::{
    ControlBatch, ControlRecord, ControlScope, ControlSettings, ControlStore, ControlStream,
    DecodeError, OperatorRecord, ReadOutcome, RecordDecoder, StoreError,
};
use celeryshed_stager::{
    EngineReport, RawManifest, ReloadReply, SidecarProcess, SidecarSettings, WeightError,
    WeightPlatform,
};
use sha2::{Digest, Sha256};
use tokio::time::sleep;

pub(crate) const MODEL: &str = "letters";
pub(crate) const PIECES: u32 = 8;

/// Last byte of the next loopback address; each sidecar of the test process gets its own address.
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

pub(crate) fn piece_bytes(version: u64, piece: u32) -> Bytes {
    Bytes::from(format!("{MODEL} {version} {piece} ").repeat(100))
}

/// An engine with its staged pieces, and an origin that delivers every piece.
#[derive(Default)]
pub(crate) struct FakeWeights {
    pub(crate) staged: Mutex<BTreeMap<u32, Bytes>>,
    pub(crate) loaded: Mutex<BTreeMap<String, u64>>,
    /// Pieces that the origin was asked for, in the order of the requests.
    pub(crate) fetched: Mutex<Vec<u32>>,
}

impl FakeWeights {
    /// An engine that serves version `loaded` and stores the pieces `staged`.
    pub(crate) fn new(loaded: u64, staged: impl IntoIterator<Item = (u32, Bytes)>) -> Arc<Self> {
        Arc::new(Self {
            staged: Mutex::new(staged.into_iter().collect()),
            loaded: Mutex::new(BTreeMap::from([(MODEL.to_owned(), loaded)])),
            fetched: Mutex::default(),
        })
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

impl WeightPlatform for FakeWeights {
    async fn endpoint_report(&self) -> Result<EngineReport, WeightError> {
        let models = self.loaded.lock().unwrap().clone();
        Ok(EngineReport { models, busy: false, queued: 0 })
    }

    async fn staged_pieces(&self, _model: &str) -> Result<BTreeSet<u32>, WeightError> {
        Ok(self.staged.lock().unwrap().keys().copied().collect())
    }

    async fn read_piece(&self, _model: &str, piece: u32) -> Result<Option<Bytes>, WeightError> {
        Ok(self.staged.lock().unwrap().get(&piece).cloned())
    }

    async fn write_piece(&self, _model: &str, piece: u32, bytes: Bytes) -> Result<(), WeightError> {
        self.staged.lock().unwrap().insert(piece, bytes);
        Ok(())
    }

    async fn load(&self, model: &str, version: u64) -> Result<ReloadReply, WeightError> {
        let staged = self.staged.lock().unwrap();
        let complete =
            (0..PIECES).all(|piece| staged.get(&piece) == Some(&piece_bytes(version, piece)));
        assert!(complete, "load ordered before all pieces of version {version} were staged");
        self.loaded.lock().unwrap().insert(model.to_owned(), version);
        Ok(ReloadReply::Started)
    }

    async fn origin_manifest(
        &self,
        _address: &str,
        _model: &str,
        version: u64,
    ) -> Result<RawManifest, WeightError> {
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
    ) -> Result<Bytes, WeightError> {
        self.fetched.lock().unwrap().push(piece);
        Ok(piece_bytes(version, piece))
    }
}

/// A store with records that were all written before the sidecar started.
pub(crate) struct FakeStore {
    version: u64,
    endpoint: String,
}

impl FakeStore {
    fn batch(&self, stream: ControlStream) -> ControlBatch {
        let keys: &[&str] = match stream {
            ControlStream::Operator => &["configuration", "version"],
            ControlStream::Endpoints => &["i-1"],
        };
        let records = keys.iter().enumerate().map(|(offset, key)| ControlRecord {
            key: (*key).to_owned(),
            offset: LogOffset(offset as u64),
            value: Some(Bytes::new()),
        });
        let end = LogOffset(keys.len() as u64);
        ControlBatch { records: records.collect(), end, is_snapshot: true }
    }
}

impl ControlStore for FakeStore {
    async fn newest(&self, stream: ControlStream) -> Result<ControlBatch, StoreError> {
        Ok(self.batch(stream))
    }

    async fn read(
        &self,
        stream: ControlStream,
        _from: LogOffset,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        sleep(wait).await;
        Ok(ReadOutcome::Records(self.batch(stream)))
    }
}

impl RecordDecoder for FakeStore {
    fn operator(&self, key: &str, _value: &[u8]) -> Result<OperatorRecord, DecodeError> {
        if key == "version" {
            let (model, version) = (MODEL.to_owned(), self.version);
            return Ok(OperatorRecord::ModelVersion { model, version });
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

    fn endpoint(&self, _key: &str, _value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        Ok(ListedEndpoint {
            service: service("writer"),
            address: self.endpoint.clone(),
            zone: AvailabilityZone::try_from("north-a").unwrap(),
            slots: 4,
            state: EndpointState::Ready,
            models: BTreeMap::new(),
            started_at_ms: 1,
        })
    }
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).unwrap()
}

/// Starts a sidecar whose store declares `version`, and returns the address of its peer socket.
pub(crate) fn start_sidecar(weights: &Arc<FakeWeights>, version: u64) -> SocketAddr {
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = format!("127.{}.{}.{}", 1 + pid % 250, 1 + (pid / 250) % 250, host);
    let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
    let settings = SidecarSettings {
        name: "side-1".to_owned(),
        peer_address: address(18092),
        metrics_address: address(18093),
        endpoint: format!("{ip}:18094"),
        service: service("writer"),
        zone: AvailabilityZone::try_from("north-a").unwrap(),
        regions: BTreeMap::new(),
        versions: VersionDeadlines {
            after_declaration: Duration::from_secs(8),
            after_start: Duration::from_secs(2),
        },
        piece_memory_bytes: 1_000_000,
        link_bits_per_s: 0,
        control: ControlSettings {
            scope: ControlScope::Everything,
            endpoints_interval: Duration::from_millis(100),
            endpoints_max_age: Duration::from_millis(500),
        },
    };
    let store = Arc::new(FakeStore { version, endpoint: settings.endpoint.clone() });
    let weights = weights.clone();
    let peer_address = settings.peer_address;
    tokio::spawn(async move { SidecarProcess::run(settings, store.clone(), store, weights).await });
    peer_address
}
