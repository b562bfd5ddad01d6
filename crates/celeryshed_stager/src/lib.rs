//! The sidecar program for small instances, which runs without rocket: stages and loads the
//! declared version of the weights at its endpoint, serves pieces to other sidecars, and reports to
//! the entries what the endpoint serves.
//!
//! [`SidecarProcess`] starts the tasks. [`WeightPlatform`] is the interface to the endpoint and to
//! the origin of weights.

mod endpoint_stage;
mod fetch;
mod fetch_task;
mod inventory_task;
mod load_doubt;
mod order_state;
mod piece_check;
mod piece_store;
mod pieces;
mod platform;
mod process;
mod settings;
mod stage_task;
mod status_task;
mod view;

pub use order_state::OrderState;
pub use piece_check::PieceCheck;
pub use platform::{
    EngineReport, LayerRange, LoadOrder, MAX_MANIFEST_BYTES, RawManifest, ReloadReply, WeightError,
    WeightPlatform,
};
pub use process::SidecarProcess;
pub use settings::SidecarSettings;
