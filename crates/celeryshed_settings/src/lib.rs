//! Parses settings and contract files in INI format into checked types.
//!
//! All errors of a file are collected, including unknown sections and keys. Each error names the
//! file, the section, the key, the rejected value and the accepted values.

mod contract_file;
mod entry_settings;
mod error;
mod reader;
mod shared;
mod side_settings;
mod standin_settings;

pub use contract_file::ContractFile;
pub use entry_settings::EntrySettings;
pub use error::{InvalidSetting, SettingsError};
pub use reader::{SectionReader, SettingsReader};
pub use shared::{InstanceSettings, PlatformSettings};
pub use side_settings::{EndpointSettings, SideSettings, WeightGoal, WeightSettings};
pub use standin_settings::{
    BlobStandinSettings, EngineStandinSettings, ListStandinSettings, ListedInstanceSettings,
    LogStandinSettings, ServiceStandinSettings, StandinSettings,
};
