//! Identifiers, names, units and the clock, shared by the other packages of celeryshed.
//!
//! Raw text and integers from outside are converted to these checked types. Other packages don't
//! pass plain strings or integers where one of the types exists.

mod clock;
mod derives;
mod digest;
mod ids;
mod names;
mod position;
mod units;

pub use clock::{ClockSource, MonoTime, UnixMillis};
pub use digest::{ContentDigest, DigestError};
pub use ids::{AttemptId, ClaimId, ProcessIncarnation, RecordId, RequestId};
pub use names::{
    AdapterName, AvailabilityZone, InstanceName, LabelError, ModelName, NameError, RegionName,
    ServiceName, TeamLabel, TeamName, VersionName,
};
pub use position::{LogPosition, PositionError, StoreEra};
pub use units::{ByteCount, ConfigRevision, FenceNumber, LogOffset, TokenCount, TokenRate};
