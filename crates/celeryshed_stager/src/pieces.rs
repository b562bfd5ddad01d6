//! The pieces that are stored at the endpoint, and the server that passes them to other sidecars.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use celeryshed_base::{ClockSource, common_derives};
use celeryshed_dispatch::{StageManifest, UploadPacer};
use celeryshed_peering::{ControlHandle, parse_control_query};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

use crate::platform::WeightPlatform;

/// Path of requests for a piece.
const PIECE_PATH: &str = "/piece";
/// Path of requests for a manifest.
const MANIFEST_PATH: &str = "/manifest";

common_derives! { value:
    /// The weights that are stored at the endpoint.
    #[derive(Default)]
    pub(crate) struct StagedPieces {
        /// The manifest of the version that is being staged; none before the first one is fetched.
        pub(crate) manifest: Option<Arc<StageManifest>>,
        /// Pieces of that version that are stored and match the manifest.
        pub(crate) verified: BTreeSet<u32>,
        /// Loaded version of each model; all its pieces are stored unless another version is being
        /// staged.
        pub(crate) loaded: BTreeMap<String, u64>,
    }

    /// A request of another sidecar: for a piece, or for the manifest if `piece` is `None`.
    struct PieceQuery {
        model: String,
        version: u64,
        piece: Option<u32>,
    }
}

impl StagedPieces {
    fn is_staging(&self, query: &PieceQuery) -> bool {
        self.manifest.as_ref().is_some_and(|manifest| {
            manifest.model() == query.model && manifest.version() == query.version
        })
    }

    /// Whether pieces of the version that is being staged are missing.
    pub(crate) fn lacks_pieces(&self) -> bool {
        let manifest = self.manifest.as_ref();
        manifest.is_some_and(|manifest| self.verified.len() < manifest.piece_count() as usize)
    }

    fn can_serve(&self, query: &PieceQuery) -> bool {
        let Some(piece) = query.piece else { return self.is_staging(query) };
        if self.is_staging(query) {
            return self.verified.contains(&piece);
        }
        self.manifest.is_none() && self.loaded.get(&query.model) == Some(&query.version)
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
    pub(crate) staged: watch::Receiver<StagedPieces>,
    pub(crate) pacer: Mutex<UploadPacer>,
}

impl<P: WeightPlatform> PieceServer<P> {
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let target = request.uri().path_and_query().map_or("", |target| target.as_str());
        if let Some(query) = parse_control_query(target) {
            return match self.control.answer_query(query).await {
                Some(bytes) => Response::new(Full::new(bytes)),
                None => status(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        let Some(query) = parse_target(target) else { return status(StatusCode::NOT_FOUND) };
        let manifest = {
            let staged = self.staged.borrow();
            if !staged.can_serve(&query) {
                return status(StatusCode::NOT_FOUND);
            }
            staged.manifest.clone()
        };
        match (query.piece, manifest) {
            (Some(piece), _) => self.send_piece(&query.model, piece).await,
            (None, Some(manifest)) => match rmp_serde::to_vec(&manifest.hex_digests()) {
                Ok(bytes) => Response::new(Full::new(bytes.into())),
                Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
            },
            (None, None) => status(StatusCode::NOT_FOUND),
        }
    }

    async fn send_piece(&self, model: &str, piece: u32) -> Response<Full<Bytes>> {
        let Ok(Some(bytes)) = self.platform.read_piece(model, piece).await else {
            return status(StatusCode::NOT_FOUND);
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
