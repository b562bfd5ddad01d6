//! The interface to the endpoint and to the origin of weights.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::common_derives;

use crate::piece_check::PieceCheck;

/// Largest manifest that is received, in bytes; room for more than ten thousand pieces.
pub const MAX_MANIFEST_BYTES: usize = 1024 * 1024;

/// Why a call to an endpoint or an origin failed.
#[derive(Debug, thiserror::Error)]
pub enum WeightError {
    /// The address was not reached, or its reply was incomplete or malformed.
    #[error("{action} at {address} failed: {detail}")]
    CallFailed {
        /// Purpose of the call, as the subject of a sentence, such as "the manifest".
        action: &'static str,
        /// Address that was called, as `IP:PORT`.
        address: String,
        /// Text of the underlying error.
        detail: String,
    },
    /// There was no complete reply in time: the endpoint or origin may be sound and go on later.
    #[error("{action} at {address} was not complete within {limit:?}")]
    TimedOut {
        /// Purpose of the call, as the subject of a sentence, such as "the manifest".
        action: &'static str,
        /// Address that was called, as `IP:PORT`.
        address: String,
        /// Limit that was exceeded.
        limit: Duration,
    },
    /// The reply was larger than it should be.
    #[error("{action} at {address} has more than {limit} bytes")]
    TooLarge {
        /// Purpose of the call, as the subject of a sentence, such as "the manifest".
        action: &'static str,
        /// Address that was called, as `IP:PORT`.
        address: String,
        /// Limit that was exceeded.
        limit: usize,
    },
    /// The endpoint or origin replied with an unexpected status.
    #[error("{action} at {address} was refused with status {status}")]
    Refused {
        /// Purpose of the call, as the subject of a sentence, such as "the manifest".
        action: &'static str,
        /// Address that was called, as `IP:PORT`.
        address: String,
        /// HTTP status of the reply.
        status: u16,
    },
}

impl WeightError {
    /// Whether there was no reply in time, which says nothing of the state of what was called.
    pub(crate) fn is_timeout(&self) -> bool {
        match self {
            Self::TimedOut { .. } => true,
            Self::CallFailed { .. } | Self::TooLarge { .. } | Self::Refused { .. } => false,
        }
    }
}

/// Result of a platform call.
pub(crate) type Result<T> = std::result::Result<T, WeightError>;

common_derives! { value:
    /// The state that the endpoint reports.
    #[derive(Default)]
    pub struct EngineReport {
        /// Loaded version of each whole model; adapters are not listed.
        pub models: BTreeMap<String, u64>,
        /// Whether an order, such as a load, is in progress; entries send no requests meanwhile.
        pub busy: bool,
        /// Number of requests that were accepted and have not started.
        pub queued: u32,
        /// When the endpoint started, in Unix milliseconds; `None` if it doesn't say.
        pub started_at_ms: Option<u64>,
        /// Number of orders that the endpoint has accepted since its start; `None` if it doesn't
        /// say.
        pub seq_no: Option<u64>,
        /// Layers that the endpoint holds; `None` if it holds none or doesn't say.
        pub layers: Option<LayerRange>,
    }

    /// Consecutive layers of a model.
    #[derive(Copy)]
    pub struct LayerRange {
        /// The first layer.
        pub from: u32,
        /// The layer after the last one.
        pub to: u32,
    }

    /// Reply of the endpoint to a load order.
    #[derive(Copy)]
    pub enum ReloadReply {
        /// The load starts.
        Started,
        /// The endpoint serves the version already.
        InForce,
        /// The endpoint can't carry out the order in its present state.
        Conflict,
        /// The order was not sent, since the check of the pieces had expired.
        CheckExpired,
    }

    /// An order to load the stored pieces of a model.
    pub struct LoadOrder<'m> {
        /// The model whose pieces are loaded.
        pub model: &'m str,
        /// The version that the pieces belong to.
        pub version: u64,
        /// The layers to hold from then on; `None` for all. Layers of the same version that the
        /// endpoint holds already are kept, not loaded again.
        pub layers: Option<LayerRange>,
        /// The [`EngineReport::seq_no`] that the endpoint must have to accept the order; `None` if
        /// it doesn't report any.
        pub expected_seq_no: Option<u64>,
    }

    /// A manifest as received, not yet checked.
    pub struct RawManifest {
        /// Version of the weights that the digests belong to.
        pub version: u64,
        /// SHA-256 digests of the pieces in hexadecimal, in the order of their numbers.
        pub digests: Vec<String>,
    }
}

/// Calls to the endpoint of this sidecar, and to an origin.
pub trait WeightPlatform: Send + Sync + 'static {
    /// Queries the state of the endpoint.
    fn endpoint_report(&self) -> impl Future<Output = Result<EngineReport>> + Send;

    /// Numbers of the pieces that are stored at the endpoint; empty if it stores none of the model.
    fn staged_pieces(&self, model: &str) -> impl Future<Output = Result<BTreeSet<u32>>> + Send;

    /// Reads a piece of at most `max_bytes` from the endpoint; `None` if it is not stored there.
    fn read_piece(
        &self,
        model: &str,
        piece: u32,
        max_bytes: usize,
    ) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Stores a piece at the endpoint, in place of an earlier piece of the same number.
    fn write_piece(
        &self,
        model: &str,
        piece: u32,
        bytes: Bytes,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Orders the endpoint to load its stored pieces after the requests in progress.
    ///
    /// The order must not be sent once `check` has expired. Implementations ask it directly before
    /// they send, after all that may take time, such as opening a connection.
    fn load(
        &self,
        order: &LoadOrder<'_>,
        check: &PieceCheck,
    ) -> impl Future<Output = Result<ReloadReply>> + Send;

    /// Fetches the manifest of a version from the origin at `address`.
    fn origin_manifest(
        &self,
        address: &str,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<RawManifest>> + Send;

    /// Fetches a piece of at most `max_bytes` from the origin at `address`.
    fn origin_piece(
        &self,
        address: &str,
        model: &str,
        version: u64,
        piece: u32,
        max_bytes: usize,
    ) -> impl Future<Output = Result<Bytes>> + Send;
}
