//! The platform's interfaces: log service and instance list, MessagePack over HTTP.
//!
//! - `POST /log/<stream>`: [`AppendRequest`] in, [`AppendReply`] out; 429 above the append rate.
//! - `GET /log/<stream>?from=N&limit=K`: [`ReadReply`].
//! - `GET /instances`: [`ListReply`].
//! - Store and origin: `GET /blobs/<digest>`: raw bytes; 404 unknown, 429 with `Retry-After` above
//!   the rate. `PUT /blobs/<digest>` at the origin.

use celeryshed_base::{
    AvailabilityZone, InstanceName, LogOffset, RegionName, ServiceName, UnixMillis, common_derives,
};
use serde_bytes::ByteBuf;

common_derives! { wire:
    /// Records to append as one group.
    pub struct AppendRequest {
        /// The records.
        pub records: Vec<ByteBuf>,
    }

    /// Reply to an append.
    pub struct AppendReply {
        /// Offset of the first record; the others follow it.
        pub first_offset: LogOffset,
    }

    /// A record as the log keeps it.
    pub struct LogEntry {
        /// Its offset.
        pub offset: LogOffset,
        /// When the log took it.
        pub appended_at: UnixMillis,
        /// The record.
        pub payload: ByteBuf,
    }

    /// Reply to a read.
    pub struct ReadReply {
        /// Records from the asked offset on, in order.
        pub entries: Vec<LogEntry>,
        /// Offset of the oldest record still kept; equal to `end_offset` when none is.
        pub oldest_offset: LogOffset,
        /// Offset that the next record will get.
        pub end_offset: LogOffset,
        /// Time at the log, in milliseconds since 1970.
        pub now: UnixMillis,
    }

    /// Role of a listed instance.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum InstanceRole {
        /// Entry.
        Entry,
        /// Side process.
        Side,
    }

    /// State of a listed instance.
    #[derive(Copy, Eq)]
    pub enum InstanceState {
        /// Live.
        Live,
        /// Leaving.
        Leaving,
    }

    /// An instance of the list.
    pub struct ListedInstance {
        /// Its name.
        pub instance: InstanceName,
        /// Its role.
        pub role: InstanceRole,
        /// IP address and port of the system's process there.
        pub address: String,
        /// Its availability zone.
        pub zone: AvailabilityZone,
        /// Its region.
        pub region: RegionName,
        /// The service of its endpoint, for sidecars.
        pub service: Option<ServiceName>,
        /// Its state.
        pub state: InstanceState,
    }

    /// The list.
    pub struct ListReply {
        /// Instances.
        pub instances: Vec<ListedInstance>,
    }
}
