//! Bookings at an entry: reads the claim log, serves or forwards bookings, dispatches claims.
//!
//! One `PartitionTask` per partition of the claim log owns the replica of its records and groups
//! appends; one driver per request owns its claim procedure. [`BookingHandle::book`] serves a
//! booking whose partition this entry reads and forwards others. Which claim of a booking may run
//! is decided by the log, whichever entry serves the booking.

mod clients;
mod driver;
mod handle;
mod http;
mod options;
mod partition;
mod problem;
mod route;
mod sides;
mod task;

pub use clients::{DispatchClient, ForwardClient, ForwardError};
pub use handle::BookingHandle;
pub use http::{HttpDispatchClient, HttpForwardClient};
pub use options::{BookingOptions, BookingSettings, OptionsError};
pub use problem::booking_problem;
pub use route::booking_routes;
pub use task::{BookingInputs, start_bookings};
