//! Stand-ins of the platform: log service, instance list, weight store and origin.
//!
//! The platform's routes are documented in `celeryshed_wire`. The stand-ins have these routes in
//! addition:
//!
//! - Instance list: `POST /control/instances` with a JSON array of instances replaces the list.
//! - Weight store and origin: `PUT /control/blobs/<digest>` adds a blob, ignoring all faults and
//!   limits.

mod blob_pieces;
mod blob_state;
mod blobs;
mod list;
mod log;
mod log_state;
mod options;

pub use blob_state::{BlobCounts, BlobFaults};
pub use blobs::{BlobControl, RunningBlobs};
pub use list::{ListControl, ListCounts, ListFaults, RunningList};
pub use log::{LogControl, RunningLog};
pub use log_state::{LogCounts, LogFaults, LogRestore};
pub use options::{
    BlobOptions, ListOptions, LogOptions, RawBlobOptions, RawListOptions, RawLogOptions,
};
