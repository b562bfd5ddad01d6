//! Slopes: the marginal cost to a role of one more peer, report, request, change, booking or chunk.
//!
//! Each measured role runs in its own `celeryshedd` process, so that the processor time and the
//! memory in `/proc/<pid>` are those of the role alone. Every connection from or to a measured role
//! passes through a relay on loopback that counts the bytes of the TCP payload: HTTP headers and
//! bodies, without TCP and IP headers. Stand-ins replace the platform. Peers are either tasks of
//! the measuring process, which use the same HTTP clients as the roles, or further processes.

mod bench;
mod entry;
mod fit;
mod fleet_cost;
mod options;
mod process;
mod relay;
mod requests;
mod run;
mod settings;
mod side;
mod table;
mod target;

#[cfg(test)]
mod tests;

pub use fit::{FitError, LinearFit};
pub use options::{SlopeOptions, SlopePart, SlopePartError};
pub use process::ProcessUsage;
pub use relay::{ByteRelay, RelayCount};
pub use run::run_slopes;
pub use table::SlopeTable;
pub use target::{
    CONTROL_BYTES_PER_S, CONTROL_CORES, CapacityLine, ControlSum, TargetSize, TrafficClass,
    capacity_lines,
};
