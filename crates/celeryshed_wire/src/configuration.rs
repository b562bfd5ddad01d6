//! Records of stream `configuration`.

use std::collections::BTreeMap;

use celeryshed_base::{
    ConfigRevision, ContentDigest, LogOffset, ModelName, RecordId, ServiceName, TeamName,
    VersionName, common_derives,
};

common_derives! { wire:
    /// A record of stream `configuration`.
    pub enum ConfigurationEntry {
        /// A change requested by an operator.
        Change(ConfigurationRecord),
        /// The state up to `folded_to`.
        Snapshot(ConfigurationSnapshot),
        /// The state from which replay continues after records were lost to every process. Valid
        /// only when its `folded_to` equals the offset of this record.
        Restart(ConfigurationSnapshot),
    }

    /// A change and the revision that it is based on.
    pub struct ConfigurationRecord {
        /// Id by which the operator's command finds the result of the change.
        pub record_id: RecordId,
        /// Revision that the operator's command read before the change.
        pub base_revision: ConfigRevision,
        /// Requested change.
        pub change: ConfigurationChange,
    }

    /// Kinds of configuration changes.
    pub enum ConfigurationChange {
        /// Defines or replaces a service.
        PutService {
            /// Name of the service.
            service: ServiceName,
            /// Definition of the service.
            terms: ServiceSpec,
        },
        /// Defines or replaces a team's contract.
        PutContract {
            /// Name of the team.
            team: TeamName,
            /// Content of the contract.
            terms: ContractSpec,
        },
        /// Ends a team's contract.
        RemoveContract {
            /// Name of the team.
            team: TeamName,
        },
        /// Adds a model version that services can select.
        PublishModel {
            /// Model version with its manifest.
            version: VersionSpec,
        },
        /// Selects the version that a service runs, newer or older.
        SelectVersion {
            /// Name of the service.
            service: ServiceName,
            /// Name of a published version.
            version: VersionName,
        },
    }

    /// Definition of a service.
    pub struct ServiceSpec {
        /// Whether the endpoints are model engines.
        pub kind: ServiceKind,
        /// Expected number of endpoints.
        pub endpoints: u32,
        /// Requests that one endpoint runs at the same time.
        pub slots_per_endpoint: u32,
        /// Tokens per second that one endpoint generates; 0 for plain services.
        pub tokens_per_s_per_endpoint: u64,
        /// Selected version; `None` before the first selection and for plain services.
        pub version: Option<VersionName>,
    }

    /// Kinds of services.
    #[derive(Copy, Eq)]
    pub enum ServiceKind {
        /// Endpoints are model engines.
        Engine,
        /// Endpoints are plain HTTP services.
        Plain,
    }

    /// A team's contract.
    pub struct ContractSpec {
        /// blake3 hash of the API key.
        pub api_key_hash: ContentDigest,
        /// Service that the contract covers.
        pub service: ServiceName,
        /// Reserved tokens per second.
        pub tokens_per_s: u64,
        /// Reserved requests in progress.
        pub requests_in_progress: u32,
        /// Tokens that a burst may use above the reserved rate.
        pub burst_tokens: u64,
        /// Teams whose work this team's requests may displace; `uncontracted` stands for work
        /// without a contract.
        pub displaces: Vec<String>,
        /// What happens to the team's requests when instances are scarce.
        pub scarcity: ScarcityRule,
        /// Allowed retries, in percent of requests.
        pub retry_budget_percent: u32,
        /// Objective for the time to the first token, in milliseconds.
        pub first_token_ms: u64,
        /// Share of requests that must meet the objective, in hundredths of a percent.
        pub objective_basis_points: u32,
    }

    /// What happens to a request when instances are scarce.
    pub enum ScarcityRule {
        /// The request waits for an endpoint.
        Wait {
            /// Longest wait in milliseconds.
            deadline_ms: u64,
        },
        /// The request goes to another service that runs a smaller model.
        SmallerModel {
            /// Name of the other service.
            service: ServiceName,
        },
        /// The request is refused immediately.
        Refuse,
    }

    /// A version of a model.
    pub struct VersionSpec {
        /// Name of the model.
        pub model: ModelName,
        /// Name of the version.
        pub version: VersionName,
        /// Digest of the version's [`WeightManifest`](crate::WeightManifest).
        pub manifest: ContentDigest,
        /// Size of the version's weights in bytes.
        pub size_bytes: u64,
    }

    /// The whole accepted configuration up to an offset of the log.
    pub struct ConfigurationSnapshot {
        /// Revision of the state.
        pub revision: ConfigRevision,
        /// Offset after the last record that the state includes.
        pub folded_to: LogOffset,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// Contracts by team.
        pub contracts: BTreeMap<TeamName, ContractSpec>,
        /// Published versions by name.
        pub versions: BTreeMap<VersionName, VersionSpec>,
    }
}
