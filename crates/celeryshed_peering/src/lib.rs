//! What entries and sidecars know together: the operator's records and the list of endpoints, read
//! from the platform's store or from each other, and the datagrams that they exchange.
//!
//! [`ControlStore`] and [`RecordDecoder`] are the edges to a platform; [`ControlLog`] holds the
//! newest record of each key and merges what arrives, from wherever, in any order.

mod log;
mod messages;
mod record;
mod relay;
mod services;
mod socket;
mod store;
mod task;

pub use log::{ControlLog, ControlPosition};
pub use messages::{
    EntryHeartbeat, EntryStatus, KeyedLoad, PeerMessage, PieceInventory, RequestCrashes,
    SidecarStatus, VersionAge,
};
pub use record::{ControlBatch, ControlRecord, ControlStream, OperatorRecord};
pub use relay::{
    ControlScope, RelayAnswer, RelayError, RelayQuery, fetch_control, parse_relay_query,
};
pub use services::ServicesNotice;
pub use socket::PeerSocket;
pub use store::{ControlStore, DecodeError, ReadOutcome, RecordDecoder, StoreError};
pub use task::{ControlEvent, ControlHandle, ControlSettings, start_control};
