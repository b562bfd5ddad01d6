//! Settings and contract files: INI text in, checked types out.
//!
//! Every fault of a file is collected and names file, section, key, value and what is accepted;
//! unknown sections and keys are faults too.

mod contract_file;
mod entry_settings;
mod fault;
mod reader;
mod shared;
mod side_settings;
mod standin_settings;

pub use contract_file::ContractFile;
pub use entry_settings::EntrySettings;
pub use fault::{SettingsError, SettingsFault};
pub use reader::{SectionReader, SettingsReader};
pub use shared::{InstanceSettings, PlatformSettings};
pub use side_settings::{EndpointSettings, SideSettings, WeightGoal, WeightSettings};
pub use standin_settings::{
    BlobStandinSettings, EngineStandinSettings, ListStandinSettings, ListedInstanceSettings,
    LogStandinSettings, ServiceStandinSettings, StandinSettings,
};
