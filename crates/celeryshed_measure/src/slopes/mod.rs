//! Slopes: what one more peer, report, request, change, booking or chunk costs a role.
//!
//! Each measured role is a `celeryshedd` process of its own, so that the processor time and the
//! memory in `/proc/<pid>` belong to it alone. Every connection of a measured role, in either
//! direction, passes a relay on loopback that counts the bytes of the TCP payload: HTTP headers and
//! bodies, without TCP and IP headers. The platform is the stand-ins; peers are tasks of the
//! measuring process that use the roles' own clients, or further processes.

mod bench;
mod entry;
mod fit;
mod fleet_cost;
mod lines;
mod options;
mod process;
mod relay;
mod requests;
mod run;
mod settings;
mod side;
mod target;

#[cfg(test)]
mod tests;

pub use fit::{FitError, LinearFit};
pub use lines::SlopeTable;
pub use options::{SlopeOptions, SlopePart, SlopePartError};
pub use process::ProcessUse;
pub use relay::{ByteRelay, RelayCount};
pub use run::run_slopes;
pub use target::{
    CONTROL_BYTES_PER_S, CONTROL_CORE, CapacityLine, ControlSum, TargetSize, TrafficClass,
    capacity_lines,
};
