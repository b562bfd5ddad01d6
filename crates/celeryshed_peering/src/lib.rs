//! Control records (operators' records and the list of endpoints) that entries and sidecars read
//! from the platform's store or from a peer, and the datagrams that these processes exchange.
//!
//! A platform adapter implements [`ControlStore`] and [`RecordDecoder`]. [`ControlLog`] keeps the
//! newest record of each key and merges batches from any source in any order.

mod admission;
mod decode;
mod drop_log;
mod fetch;
mod log;
mod messages;
mod recency;
mod record;
mod renewals;
mod restored;
mod services;
mod socket;
mod store;
mod task;

pub use admission::{Admission, NewestValues};
pub use decode::decode_peer_bytes;
pub use drop_log::DropLog;
pub use fetch::{
    ControlQuery, ControlReply, ControlScope, FetchError, fetch_control, parse_control_query,
};
pub use log::{ControlLog, ControlPosition};
pub use messages::{
    CrashReport, EndpointCrash, EntryHeartbeat, EntryStatus, KeyedLoad, PeerMessage,
    PieceInventory, RequestCrashes, SidecarStatus, SuspectPart, VersionAge,
};
pub use recency::{AgeReading, RecordAge};
pub use record::{ControlBatch, ControlRecord, ControlStream, OperatorRecord};
pub use services::ServiceCatalog;
pub use socket::{MessageReader, PeerSocket, ReceivedMessage};
pub use store::{ControlStore, DecodeError, ReadOutcome, ReadProgress, RecordDecoder, StoreError};
pub use task::{
    ControlEvent, ControlHandle, ControlSettings, start_control, start_control_with_clock,
};
