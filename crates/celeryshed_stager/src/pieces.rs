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
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

use crate::piece_store::{PieceLocation, PieceStore};
use crate::platform::WeightPlatform;

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
                match self.platform.read_piece(&query.model, piece).await {
                    Ok(Some(bytes)) => bytes,
                    Ok(None) | Err(_) => return status(StatusCode::NOT_FOUND),
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

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
