//! Fetches manifests, the lists of piece digests, and pieces from other sidecars or the origin.

#[cfg(test)]
mod tests;

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::ClockSource;
use celeryshed_dispatch::{PieceFetch, PieceSource, StageManifest, manifest_sources};
use celeryshed_http::{CallLimits, HttpClient, HttpError};
use celeryshed_observe::EventLine;
use celeryshed_peering::decode_peer_bytes;
use hyper::{Method, StatusCode};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::pieces::{manifest_target, piece_target};
use crate::platform::{MAX_MANIFEST_BYTES, WeightPlatform};
use crate::settings::SidecarSettings;
use crate::view::{StageGoal, StageView};

/// Timeout of a request to another sidecar, for a manifest or a piece.
const PEER_TIMEOUT: Duration = Duration::from_millis(1600);
/// Rounds in which the first-ranked sidecars are asked for the manifest before the origin is.
const MANIFEST_ROUNDS: usize = 2;
/// Delay before each request to a first-ranked sidecar.
const PEER_REQUEST_DELAY: Duration = Duration::from_millis(50);
/// Delay before all sources are asked again after none had the manifest.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time without progress after which a newer version is collected instead.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a source delivered no usable piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchFailure {
    /// The request failed or was refused.
    Unavailable,
    /// The other sidecar doesn't have the piece, or nothing can be fetched there.
    Missing,
    /// The bytes don't match the digest in the manifest.
    Corrupt,
}

/// The bytes that a source sent, or why it sent none, with the detail that is logged.
type SourceResult = Result<Bytes, (FetchFailure, String)>;

/// Fetches the manifest and the pieces of one [`StageGoal`].
pub(crate) struct PieceFetcher<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) goal: StageGoal,
    pub(crate) settings: Arc<SidecarSettings>,
    pub(crate) clock: ClockSource,
    /// Lists the other sidecars; read again in each round, since they may be listed later.
    pub(crate) view: watch::Receiver<Arc<StageView>>,
}

impl<P: WeightPlatform> PieceFetcher<P> {
    /// Fetches the manifest, and retries until a source delivers it; `None` once a newer version is
    /// collected instead. The origin withdraws old versions, so it may never deliver this one.
    pub(crate) async fn manifest(&self) -> Option<StageManifest> {
        tokio::select! {
            manifest = self.search_manifest() => Some(manifest),
            () = self.wait_replaced() => None,
        }
    }

    /// Whether a newer version is collected instead of the goal.
    ///
    /// A version that was declared long enough before the newer one is finished first, since its own
    /// deadline still applies, unless it is `stalled`.
    pub(crate) fn is_replaced(&self, stalled: bool) -> bool {
        let Self { goal, settings, .. } = self;
        let newest = self.view.borrow().goal(settings).map(|newest| newest.target);
        let newer = newest.filter(|newest| newest.version != goal.target.version);
        newer.is_some_and(|newer| {
            stalled || !goal.target.is_worth_finishing(&newer, goal.origin_transfer)
        })
    }

    /// Waits until a newer version is collected instead of the goal, which has made no progress
    /// since the start of the wait.
    async fn wait_replaced(&self) {
        let stalled_at = self.clock.now() + STALL_TIMEOUT;
        let mut view = self.view.clone();
        loop {
            let stalled = self.clock.now() >= stalled_at;
            if self.is_replaced(stalled) {
                return;
            }
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return pending().await;
                    }
                }
                () = self.clock.sleep_until(stalled_at), if !stalled => {}
            }
        }
    }

    /// Asks all sources for the manifest until one delivers it.
    ///
    /// The sidecar that ranks first in its region asks the origin. The others ask the first two
    /// sidecars that rank before them, and the origin if neither has the manifest.
    async fn search_manifest(&self) -> StageManifest {
        let version = self.goal.target.version;
        loop {
            let view = self.view.borrow().clone();
            let peers = view.sidecar_peers(self.clock.now(), &self.settings, &self.goal);
            let region = self.settings.region_of(&self.settings.zone);
            let own = self.settings.peer_address.to_string();
            let first_ranked = manifest_sources(&own, &region, &peers, version);
            for address in std::iter::repeat_n(&first_ranked, MANIFEST_ROUNDS).flatten() {
                sleep(PEER_REQUEST_DELAY).await;
                if let Ok(manifest) = self.peer_manifest(address).await {
                    return manifest;
                }
            }
            match self.origin_manifest().await {
                Ok(manifest) => return manifest,
                Err(detail) => self.log_failure("manifest_failed", None, &detail),
            }
            for peer in &peers {
                if let Ok(manifest) = self.peer_manifest(&peer.address).await {
                    return manifest;
                }
            }
            sleep(MANIFEST_RETRY_DELAY).await;
        }
    }

    /// Fetches one piece from its source and checks it against the manifest.
    pub(crate) async fn piece(
        &self,
        manifest: &StageManifest,
        fetch: &PieceFetch,
    ) -> Result<Bytes, FetchFailure> {
        let outcome = match &fetch.source {
            PieceSource::Peer(address) => self.peer_piece(address, fetch.piece).await,
            PieceSource::Origin => self.origin_piece(fetch.piece).await,
        };
        match outcome {
            Ok(bytes) if manifest.verifies(fetch.piece, &bytes) => Ok(bytes),
            Ok(_) => {
                let detail =
                    format!("{:?} sent a piece that doesn't match its digest", fetch.source);
                self.log_failure("piece_corrupt", Some(fetch.piece), &detail);
                Err(FetchFailure::Corrupt)
            }
            Err((failure, detail)) => {
                self.log_failure("piece_failed", Some(fetch.piece), &detail);
                Err(failure)
            }
        }
    }

    async fn peer_manifest(&self, address: &str) -> Result<StageManifest, String> {
        let StageGoal { model, target, .. } = &self.goal;
        let limits = CallLimits::from(PEER_TIMEOUT).with_max_body(MAX_MANIFEST_BYTES);
        let path = manifest_target(model, target.version);
        let bytes = get_from_peer(address, &path, limits).await.map_err(|(_, detail)| detail)?;
        let digests: Vec<String> = decode_peer_bytes(&bytes).map_err(|error| error.to_string())?;
        StageManifest::parse(model, target.version, &digests).map_err(|error| error.to_string())
    }

    async fn origin_manifest(&self) -> Result<StageManifest, String> {
        let StageGoal { model, target, origin, .. } = &self.goal;
        let raw = self
            .platform
            .origin_manifest(origin, model, target.version)
            .await
            .map_err(|error| error.to_string())?;
        if raw.version != target.version {
            return Err(format!("the origin sent version {} instead", raw.version));
        }
        StageManifest::parse(model, target.version, &raw.digests).map_err(|error| error.to_string())
    }

    async fn peer_piece(&self, address: &str, piece: u32) -> SourceResult {
        let StageGoal { model, target, .. } = &self.goal;
        let limits = CallLimits::from(PEER_TIMEOUT).with_max_body(self.goal.piece_bytes);
        get_from_peer(address, &piece_target(model, target.version, piece), limits).await
    }

    async fn origin_piece(&self, piece: u32) -> SourceResult {
        let StageGoal { model, target, origin, .. } = &self.goal;
        let limit = self.goal.piece_bytes;
        let bytes = self.platform.origin_piece(origin, model, target.version, piece, limit).await;
        bytes.map_err(|error| (FetchFailure::Unavailable, error.to_string()))
    }

    fn log_failure(&self, event: &str, piece: Option<u32>, detail: &str) {
        let line = EventLine::new(event)
            .field("model", &self.goal.model)
            .field("version", self.goal.target.version);
        let line = match piece {
            Some(piece) => line.field("piece", piece),
            None => line,
        };
        line.field("detail", detail).info();
    }
}

async fn get_from_peer(address: &str, target: &str, limits: CallLimits) -> SourceResult {
    let client = HttpClient::new(address, "application/msgpack");
    let reply = client.call(Method::GET, target, Bytes::new(), limits).await.map_err(|error| {
        let failure = match error {
            HttpError::Connect { .. } => FetchFailure::Missing,
            _ => FetchFailure::Unavailable,
        };
        (failure, error.to_string())
    })?;
    let failure = match reply.status {
        StatusCode::OK => return Ok(reply.body),
        StatusCode::NOT_FOUND => FetchFailure::Missing,
        _ => FetchFailure::Unavailable,
    };
    Err((failure, format!("{address} answered with status {}", reply.status)))
}
