//! Interfaces of the platform: log service, instance list and weight blobs, over HTTP.
//!
//! Bodies are MessagePack, except those of blobs.
//!
//! - `POST /log/<stream>`: [`AppendRequest`] in, [`AppendReply`] out; 429 above the append rate.
//! - `GET /log/<stream>?from=N&limit=K`: [`ReadReply`]. Beyond the end of the stream, the reply has
//!   no records and an `end_offset` below N.
//! - `GET /instances`: [`ListReply`].
//! - `GET /blobs/<digest>` at the weight store and the origin: raw bytes; 404 for an unknown
//!   digest,
//!   429 with `Retry-After` above the rate. `PUT /blobs/<digest>` at the origin only.

use celeryshed_base::{
    AvailabilityZone, InstanceName, LogOffset, RegionName, ServiceName, UnixMillis, common_derives,
};
use serde_bytes::ByteBuf;

common_derives! { wire:
    /// Records to append at consecutive offsets.
    pub struct AppendRequest {
        /// Payloads of the records, in order.
        pub records: Vec<ByteBuf>,
    }

    /// Reply to an append.
    pub struct AppendReply {
        /// Offset of the first appended record; the other records get the next offsets.
        pub first_offset: LogOffset,
    }

    /// A record stored in the log.
    pub struct LogEntry {
        /// Offset of the record.
        pub offset: LogOffset,
        /// Time of the append, by the log's clock.
        pub appended_at: UnixMillis,
        /// Bytes of the record.
        pub payload: ByteBuf,
    }

    /// Reply to a read.
    pub struct ReadReply {
        /// Records from the requested offset on, in order.
        pub entries: Vec<LogEntry>,
        /// Offset of the oldest retained record; `end_offset` when none is retained.
        pub oldest_offset: LogOffset,
        /// Offset that the next record will get.
        pub end_offset: LogOffset,
        /// Current time of the log's clock.
        pub now: UnixMillis,
        /// How often the log came back from an older copy of itself. Records that were appended
        /// after the copy are gone, and their offsets are assigned again. 0 if absent.
        #[serde(default)]
        pub era: u64,
    }

    /// Role of a listed instance.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum InstanceRole {
        /// Entry, which receives callers' requests.
        Entry,
        /// Sidecar of an endpoint.
        Side,
    }

    /// State of a listed instance.
    #[derive(Copy, Eq)]
    pub enum InstanceState {
        /// The instance is in use.
        Live,
        /// The instance is about to be removed.
        Leaving,
    }

    /// An instance in the instance list.
    pub struct ListedInstance {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Role of the entry or sidecar process on the instance.
        pub role: InstanceRole,
        /// IP address and port of that process.
        pub address: String,
        /// Availability zone of the instance.
        pub zone: AvailabilityZone,
        /// Region of the instance.
        pub region: RegionName,
        /// Service of the instance's endpoint; `None` for entries.
        pub service: Option<ServiceName>,
        /// State according to the platform.
        pub state: InstanceState,
    }

    /// Reply with the instance list.
    pub struct ListReply {
        /// All listed instances.
        pub instances: Vec<ListedInstance>,
    }
}
