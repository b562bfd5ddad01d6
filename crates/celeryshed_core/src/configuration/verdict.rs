//! Verdicts on changes.

use celeryshed_base::{
    ConfigRevision, LogOffset, RecordId, ServiceName, TeamName, VersionName, common_derives,
};

common_derives! { value:
    /// The verdict on one change, the same at every reader of the log.
    pub struct ChangeVerdict {
        /// Id of the change's record; `None` when it could not be decoded.
        pub record_id: Option<RecordId>,
        /// Offset of the change's record.
        pub offset: LogOffset,
        /// Whether the change was accepted.
        pub outcome: ChangeOutcome,
    }

    /// Whether a change was accepted.
    pub enum ChangeOutcome {
        /// The change took effect and the configuration got this revision.
        Accepted(ConfigRevision),
        /// The configuration is unchanged.
        Refused(RefusalReason),
    }

    /// Why a change was refused.
    #[derive(thiserror::Error)]
    pub enum RefusalReason {
        /// The change is based on another revision than the current one.
        #[error("the change was made from revision {base}, the current revision is {current}")]
        StaleBase {
            /// Revision that the change is based on.
            base: ConfigRevision,
            /// Revision of the configuration when the change was read.
            current: ConfigRevision,
        },
        /// The record could not be decoded or validated.
        #[error("the record can't be read: {0}")]
        Malformed(String),
        /// Applying the change would leave the configuration as it is.
        #[error("the configuration already says so")]
        NoChange,
        /// No service has this name.
        #[error("service {0} does not exist")]
        UnknownService(ServiceName),
        /// No published version has this name.
        #[error("version {0} is not published")]
        UnknownVersion(VersionName),
        /// No contract exists for this team.
        #[error("team {0} has no contract")]
        UnknownTeam(TeamName),
        /// The team's name is [`UNCONTRACTED`](super::UNCONTRACTED).
        #[error("team name {0} is reserved for work without a contract")]
        ReservedName(TeamName),
        /// Another manifest, size or model is published under this version's name.
        #[error("version {0} is published with other weights; publish under a new name")]
        VersionExists(VersionName),
        /// The change selects a model version for a plain service, or uses one in a fallback.
        #[error("service {0} is a plain service and runs no model version")]
        PlainService(ServiceName),
        /// The kind of a service can't change while a contract refers to the service.
        #[error("service {service} can't change its kind while the contract of {team} names it")]
        KindInUse {
            /// Service whose kind would change.
            service: ServiceName,
            /// Team whose contract refers to the service, also as its fallback.
            team: TeamName,
        },
        /// Contracts would reserve more tokens per second than the service generates.
        #[error("contracts reserve {reserved} tokens/s of {service}, its endpoints generate {capacity}")]
        TokensOvercommitted {
            /// Service that the contracts reserve.
            service: ServiceName,
            /// Tokens per second, summed over the service's contracts.
            reserved: u128,
            /// Number of endpoints times tokens per second of one endpoint.
            capacity: u128,
        },
        /// Contracts would reserve more concurrent requests than the service has slots.
        #[error("contracts reserve {reserved} requests in progress of {service}, its endpoints carry {capacity}")]
        RequestsOvercommitted {
            /// Service that the contracts reserve.
            service: ServiceName,
            /// Concurrent requests, summed over the service's contracts.
            reserved: u128,
            /// Number of endpoints times slots of one endpoint.
            capacity: u128,
        },
        /// The team would be allowed to displace itself, directly or through other teams.
        #[error("team {team} would displace itself through {through}")]
        DisplacementCycle {
            /// Team of the refused contract.
            team: TeamName,
            /// Team in the contract's `displaces` list from which the cycle leads back.
            through: TeamName,
        },
        /// A contract can't be removed while another contract names its team in `displaces`.
        #[error("the contract of {by} names {team} as displaced; change that contract first")]
        StillDisplaced {
            /// Team whose contract would be removed.
            team: TeamName,
            /// Team whose contract names it in `displaces`.
            by: TeamName,
        },
        /// A chain of fallbacks would lead from a service back to itself.
        #[error("service {service} can't fall back to {fallback}, which falls back to {service}")]
        SmallerModelCycle {
            /// Service of the refused contract.
            service: ServiceName,
            /// Fallback that the refused contract names.
            fallback: ServiceName,
        },
        /// Another team has the same API key, so that their requests could not be told apart.
        #[error("the API key is already the key of team {0}")]
        KeyInUse(TeamName),
        /// A value is outside of its accepted range.
        #[error("{field} is {value}; accepted is {accepted}")]
        OutOfRange {
            /// Name of the field in the serialized change.
            field: &'static str,
            /// The rejected value.
            value: u64,
            /// Text that describes the accepted range.
            accepted: &'static str,
        },
    }
}
