//! The sidecar on thin instances: brings the weights of its endpoint up to the declared version,
//! passes pieces on to other sidecars, and tells the entries what the endpoint serves.
//!
//! [`SidecarProcess`] assembles the tasks. [`WeightPlatform`] is the edge to the endpoint and to
//! the origin of weights.

mod fetch;
mod inventory_task;
mod pieces;
mod platform;
mod process;
mod settings;
mod stage_task;
mod status_task;
mod view;

pub use platform::{EngineReport, RawManifest, ReloadReply, WeightError, WeightPlatform};
pub use process::{SidecarError, SidecarProcess};
pub use settings::SidecarSettings;
