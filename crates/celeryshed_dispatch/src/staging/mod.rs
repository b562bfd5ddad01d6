//! Decisions of a sidecar on the weights of its endpoint: the source of each piece, the check of
//! each piece, and the time at which the endpoint loads them.

mod manifest;
mod pacer;
mod picker;
mod piece_set;
mod schedule;

pub use manifest::{ManifestError, StageManifest};
pub use pacer::UploadPacer;
pub use picker::{PieceFetch, PiecePicker, PieceSource, SidecarPeer, manifest_sources};
pub use piece_set::PieceSet;
pub use schedule::{ReloadSchedule, VersionTarget};
