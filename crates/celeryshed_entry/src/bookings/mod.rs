//! Bookings at an entry: reads the claim log, serves or forwards bookings, dispatches claims.
//!
//! One [`PartitionTask`](partition) per claim stream owns the replica of its records and groups
//! appends; one driver per request owns its claim procedure. [`BookingHandle::book`] serves a
//! booking whose partition this entry reads and forwards others; the log decides either way.

mod driver;
mod edges;
mod handle;
mod http;
mod options;
mod partition;
mod problem;
mod route;
mod sides;
mod tasks;

pub use edges::{EntryForward, ForwardFailure, SideDispatch};
pub use handle::BookingHandle;
pub use http::{HttpEntryForward, HttpSideDispatch};
pub use options::{BookingOptions, BookingSettings, OptionsError};
pub use problem::booking_problem;
pub use route::booking_routes;
pub use tasks::{BookingEdges, start_bookings};
