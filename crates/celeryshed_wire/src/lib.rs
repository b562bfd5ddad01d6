//! Wire types of every HTTP interface and log record, and their codecs.
//!
//! Entries and sidecars exchange MessagePack bodies ([`encode`], [`decode`]) and streams of
//! length-prefixed frames ([`FrameDecoder`]). The types are plain data and are validated only on
//! conversion to the types of `celeryshed_core`.

mod attempts;
mod bookings;
mod claim_convert;
mod claims;
mod codec;
mod configuration;
mod configuration_convert;
mod crashes;
mod digest_bytes;
mod engines;
mod fences;
mod membership_convert;
mod peers;
mod platform;
mod problem;
mod reports;
mod weights;

pub use attempts::{
    AttemptEvent, AttemptEventKind, AttemptFailure, AttemptRequest, AttemptWork, CallWork,
    CancelRequest, ClaimPermit, CompletionWork, FailureCause, PriorityClass, RunStatus,
    ServiceAnswer,
};
pub use bookings::{BookingForward, BookingReply, SealReply, SealRequest};
pub use claim_convert::AnswerMissing;
pub use claims::{ClaimOutcome, ClaimRecord};
pub use codec::{CodecError, FrameDecoder, MSGPACK, decode, encode, encode_compact, encode_frame};
pub use configuration::{
    ConfigurationChange, ConfigurationEntry, ConfigurationRecord, ConfigurationSnapshot,
    ContractSpec, ScarcityRule, ServiceKind, ServiceSpec, VersionSpec,
};
pub use crashes::CrashNotice;
pub use engines::{
    CompletionChunk, EngineCommand, EngineCommandFailure, EngineCommandKind, EngineCommandReply,
    EngineEvent, EngineLoad, EngineRequest, MANIFEST_CHUNK_INDEX, PREFIX_BLOCK_BYTES,
    prefix_hashes,
};
pub use fences::FenceRegistration;
pub use peers::{BurnCount, BurnReply, ConfigurationReply, ProcessStatus, RevisionExchange};
pub use platform::{
    AppendReply, AppendRequest, InstanceRole, InstanceState, ListReply, ListedInstance, LogEntry,
    ReadReply,
};
pub use problem::ProblemDetails;
pub use reports::{ENTRY_HEADER, EndpointReport, EndpointState, LoadReport, ReportReply};
pub use weights::WeightManifest;
