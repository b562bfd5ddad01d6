//! Serves pieces, manifests and control records to other sidecars.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use celeryshed_base::{ClockSource, common_derives};
use celeryshed_dispatch::UploadPacer;
use celeryshed_http::RequestBody;
use celeryshed_peering::{ControlHandle, parse_control_query};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;

use crate::piece_store::{PieceLocation, PieceStore};
use crate::platform::WeightPlatform;
use crate::settings::SidecarSettings;
use crate::view::StageView;

/// Path of requests for a piece.
const PIECE_PATH: &str = "/piece";
/// Path of requests for a manifest.
const MANIFEST_PATH: &str = "/manifest";

common_derives! { value:
    /// A request of another sidecar: for a piece, or for the manifest if `piece` is `None`.
    struct PieceQuery {
        model: String,
        version: u64,
        piece: Option<u32>,
    }
}

/// Path and query of a request for a piece.
pub(crate) fn piece_target(model: &str, version: u64, piece: u32) -> String {
    format!("{PIECE_PATH}?model={model}&version={version}&piece={piece}")
}

/// Path and query of a request for a manifest.
pub(crate) fn manifest_target(model: &str, version: u64) -> String {
    format!("{MANIFEST_PATH}?model={model}&version={version}")
}

/// Memory for pieces that are read from the endpoint for other sidecars, in bytes; a semaphore counts
/// them.
pub(crate) fn read_memory_bytes(settings: &SidecarSettings) -> usize {
    (settings.piece_memory_bytes / 2).min(Semaphore::MAX_PERMITS)
}

fn parse_target(target: &str) -> Option<PieceQuery> {
    let (path, query) = target.split_once('?')?;
    let values: BTreeMap<&str, &str> =
        query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let piece = match path {
        PIECE_PATH => Some(values.get("piece")?.parse().ok()?),
        MANIFEST_PATH => None,
        _ => return None,
    };
    let model = (*values.get("model")?).to_owned();
    Some(PieceQuery { model, version: values.get("version")?.parse().ok()?, piece })
}

/// Serves pieces, manifests and control records to other sidecars.
#[derive(Debug)]
pub(crate) struct PieceServer<P> {
    pub(crate) clock: ClockSource,
    pub(crate) control: ControlHandle,
    pub(crate) platform: Arc<P>,
    pub(crate) store: watch::Receiver<PieceStore>,
    pub(crate) pacer: Mutex<UploadPacer>,
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) view: watch::Receiver<Arc<StageView>>,
    /// A permit for each byte that pieces read from the endpoint may take until they are sent.
    pub(crate) read_memory: Arc<Semaphore>,
}

/// A piece that was read from the endpoint, and the memory that it takes.
struct ReadPiece {
    bytes: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReadPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<P: WeightPlatform> PieceServer<P> {
    pub(crate) async fn serve(&self, request: Request<RequestBody>) -> Response<Full<Bytes>> {
        let target = request.uri().path_and_query().map_or("", |target| target.as_str());
        if let Some(query) = parse_control_query(target) {
            return match self.control.answer_query(query).await {
                Some(bytes) => Response::new(Full::new(bytes)),
                None => status(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        let Some(query) = parse_target(target) else { return status(StatusCode::NOT_FOUND) };
        match query.piece {
            Some(piece) => self.send_piece(&query, piece).await,
            None => self.send_manifest(&query),
        }
    }

    fn send_manifest(&self, query: &PieceQuery) -> Response<Full<Bytes>> {
        let store = self.store.borrow();
        let manifest = store.manifest(query.version);
        let Some(manifest) = manifest.filter(|manifest| manifest.model() == query.model) else {
            return status(StatusCode::NOT_FOUND);
        };
        match rmp_serde::to_vec(&manifest.hex_digests()) {
            Ok(bytes) => Response::new(Full::new(bytes.into())),
            Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn send_piece(&self, query: &PieceQuery, piece: u32) -> Response<Full<Bytes>> {
        let location = self.store.borrow().locate(&query.model, query.version, piece);
        let bytes = match location {
            Some(PieceLocation::Memory(bytes)) => bytes,
            Some(PieceLocation::Endpoint) => {
                match self.read_from_endpoint(&query.model, piece).await {
                    Ok(bytes) => bytes,
                    Err(refusal) => return status(refusal),
                }
            }
            None => return status(StatusCode::NOT_FOUND),
        };
        let upload_delay = self.pacer.lock().await.schedule_upload(self.clock.now(), bytes.len());
        let Some(delay) = upload_delay else { return status(StatusCode::TOO_MANY_REQUESTS) };
        sleep(delay).await;
        Response::new(Full::new(bytes))
    }
}

impl<P: WeightPlatform> PieceServer<P> {
    /// Reads a piece from the endpoint; the status of the refusal if that can't be done.
    async fn read_from_endpoint(
        &self,
        model: &str,
        piece: u32,
    ) -> std::result::Result<Bytes, StatusCode> {
        let goal = self.view.borrow().goal(&self.settings);
        let max_bytes = goal.ok_or(StatusCode::NOT_FOUND)?.piece_bytes;
        // A piece above the limit is read while there is no other.
        let needed = max_bytes.min(read_memory_bytes(&self.settings));
        let permits = u32::try_from(needed).unwrap_or(u32::MAX);
        let memory = self.read_memory.clone().try_acquire_many_owned(permits);
        let memory = memory.map_err(|_| StatusCode::TOO_MANY_REQUESTS)?;
        match self.platform.read_piece(model, piece, max_bytes).await {
            Ok(Some(bytes)) => Ok(Bytes::from_owner(ReadPiece { bytes, _memory: memory })),
            Ok(None) => Err(StatusCode::NOT_FOUND),
            // The endpoint may still have the piece.
            Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
