//! Records of stream `configuration`.

use std::collections::BTreeMap;

use celeryshed_base::{
    ConfigRevision, ContentDigest, LogOffset, ModelName, RecordId, ServiceName, TeamName,
    VersionName, common_derives,
};

common_derives! { wire:
    /// A record of stream `configuration`.
    pub enum ConfigurationEntry {
        /// A change that an operator asks for.
        Change(ConfigurationRecord),
        /// The state as of some offset.
        Snapshot(ConfigurationSnapshot),
        /// The state from which the replay goes on when no process can follow the log any more; in
        /// force when its `folded_to` is the offset that the record got.
        Restart(ConfigurationSnapshot),
    }

    /// A change, and the revision that it was made from.
    pub struct ConfigurationRecord {
        /// The operator's command finds its verdict by this id.
        pub record_id: RecordId,
        /// Revision that the operator saw.
        pub base_revision: ConfigRevision,
        /// The change.
        pub change: ConfigurationChange,
    }

    /// Kinds of changes.
    pub enum ConfigurationChange {
        /// Defines or replaces a service.
        PutService {
            /// The service.
            service: ServiceName,
            /// Its terms.
            terms: ServiceSpec,
        },
        /// Defines or replaces a team's contract.
        PutContract {
            /// The team.
            team: TeamName,
            /// Its terms.
            terms: ContractSpec,
        },
        /// Ends a team's contract.
        RemoveContract {
            /// The team.
            team: TeamName,
        },
        /// Makes a model version known.
        PublishModel {
            /// The version.
            version: VersionSpec,
        },
        /// Selects the version that a service runs, forward or back.
        SelectVersion {
            /// The service.
            service: ServiceName,
            /// A published version.
            version: VersionName,
        },
    }

    /// What a service is.
    pub struct ServiceSpec {
        /// Engine or plain service.
        pub kind: ServiceKind,
        /// Expected endpoints.
        pub endpoints: u32,
        /// Requests in progress that one endpoint carries.
        pub slots_per_endpoint: u32,
        /// Tokens a second that one endpoint generates; 0 for plain services.
        pub tokens_per_s_per_endpoint: u64,
        /// Selected version; `None` before the first selection and for plain services.
        pub version: Option<VersionName>,
    }

    /// Kinds of services.
    #[derive(Copy, Eq)]
    pub enum ServiceKind {
        /// Model engines.
        Engine,
        /// Plain service.
        Plain,
    }

    /// A team's contract.
    pub struct ContractSpec {
        /// blake3 hash of the API key.
        pub api_key_hash: ContentDigest,
        /// The service that the contract is for.
        pub service: ServiceName,
        /// Tokens a second held.
        pub tokens_per_s: u64,
        /// Requests in progress held.
        pub requests_in_progress: u32,
        /// Tokens that may be used at once above the rate.
        pub burst_tokens: u64,
        /// Teams that it may displace; `uncontracted` stands for work without a contract.
        pub displaces: Vec<String>,
        /// What happens when instances are scarce.
        pub scarcity: ScarcityRule,
        /// Retries in percent of requests.
        pub retry_budget_percent: u32,
        /// Objective for the first token, in milliseconds.
        pub first_token_ms: u64,
        /// Share of requests that must meet the objective, in hundredths of a percent.
        pub objective_basis_points: u32,
    }

    /// What happens to a request when instances are scarce.
    pub enum ScarcityRule {
        /// Waits up to this many milliseconds.
        Wait {
            /// Longest wait in milliseconds.
            deadline_ms: u64,
        },
        /// Uses another service that runs a smaller model.
        SmallerModel {
            /// That service.
            service: ServiceName,
        },
        /// Is refused at once.
        Refuse,
    }

    /// A version of a model.
    pub struct VersionSpec {
        /// The model.
        pub model: ModelName,
        /// The version.
        pub version: VersionName,
        /// Digest of its manifest.
        pub manifest: ContentDigest,
        /// Size of its weights in bytes.
        pub size_bytes: u64,
    }

    /// The whole accepted configuration as of some offset.
    pub struct ConfigurationSnapshot {
        /// Revision of the state.
        pub revision: ConfigRevision,
        /// Every record below this offset is folded in.
        pub folded_to: LogOffset,
        /// Services.
        pub services: BTreeMap<ServiceName, ServiceSpec>,
        /// Contracts.
        pub contracts: BTreeMap<TeamName, ContractSpec>,
        /// Published versions.
        pub versions: BTreeMap<VersionName, VersionSpec>,
    }
}
