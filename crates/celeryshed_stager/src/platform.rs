//! The edge to the endpoint and to the origin of weights.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use celeryshed_base::common_derives;

/// A call that gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum WeightError {
    /// The call failed.
    #[error("{action} at {address} failed: {detail}")]
    Call {
        /// What was asked for.
        action: &'static str,
        /// Whom.
        address: String,
        /// The cause.
        detail: String,
    },
    /// The other side refused.
    #[error("{action} at {address} was refused with status {status}")]
    Refused {
        /// What was asked for.
        action: &'static str,
        /// Whom.
        address: String,
        /// The status.
        status: u16,
    },
}

/// Result of this module.
pub(crate) type Result<T> = std::result::Result<T, WeightError>;

common_derives! { value:
    /// The state of the endpoint.
    #[derive(Default)]
    pub struct EngineReport {
        /// Versions of whole models that are loaded.
        pub models: BTreeMap<String, u64>,
        /// Whether an order is being carried out.
        pub busy: bool,
        /// Requests that were accepted and have not begun.
        pub queued: u32,
    }

    /// How the endpoint took an order to load.
    #[derive(Copy)]
    pub enum ReloadReply {
        /// It begins.
        Started,
        /// The version is in force already.
        InForce,
        /// It doesn't fit the endpoint's state.
        Conflict,
    }

    /// A list of digests as it was received.
    pub struct RawManifest {
        /// The version that it is for.
        pub version: u64,
        /// SHA-256 digests in hexadecimal.
        pub digests: Vec<String>,
    }
}

/// Calls to the endpoint of this sidecar, and to an origin.
pub trait WeightPlatform: Send + Sync + 'static {
    /// The state of the endpoint.
    fn report(&self) -> impl Future<Output = Result<EngineReport>> + Send;

    /// Numbers of the pieces that lie at the endpoint.
    fn staged_pieces(&self, model: &str) -> impl Future<Output = Result<BTreeSet<u32>>> + Send;

    /// A piece that lies at the endpoint.
    fn read_piece(
        &self,
        model: &str,
        piece: u32,
    ) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Lays a piece down at the endpoint.
    fn write_piece(
        &self,
        model: &str,
        piece: u32,
        bytes: Bytes,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Orders the endpoint to load what lies there, after its work in progress.
    fn load(&self, model: &str, version: u64) -> impl Future<Output = Result<ReloadReply>> + Send;

    /// The digests of a version, from the origin at `address`.
    fn origin_manifest(
        &self,
        address: &str,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<RawManifest>> + Send;

    /// A piece of a version, from the origin at `address`.
    fn origin_piece(
        &self,
        address: &str,
        model: &str,
        version: u64,
        piece: u32,
    ) -> impl Future<Output = Result<Bytes>> + Send;
}
