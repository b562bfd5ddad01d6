//! The state that results from applying configuration records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    ByteCount, ConfigRevision, ContentDigest, LogOffset, ModelName, ServiceName, TeamName,
    TokenCount, TokenRate, VersionName, common_derives,
};

common_derives! { value:
    /// The accepted configuration.
    #[derive(Default)]
    pub struct ConfigurationState {
        /// Counts accepted changes; a restart raises it further.
        pub revision: ConfigRevision,
        /// All records below this offset are applied.
        pub folded_to: LogOffset,
        /// All defined services.
        pub services: BTreeMap<ServiceName, ServiceDefinition>,
        /// The contract of each team; a team has at most one.
        pub contracts: BTreeMap<TeamName, TeamContract>,
        /// All published model versions; they are never removed or changed.
        pub versions: BTreeMap<VersionName, ModelVersion>,
    }

    /// Definition of a service.
    pub struct ServiceDefinition {
        /// Kind of all endpoints of the service.
        pub kind: EndpointKind,
        /// Expected number of endpoints; 1 or more.
        pub endpoints: u32,
        /// Concurrent requests per endpoint; 1 or more.
        pub slots_per_endpoint: u32,
        /// Tokens per second that one endpoint generates; 0 for plain services.
        pub tokens_per_endpoint: TokenRate,
        /// The selected version; `None` before the first selection and for plain services.
        pub version: Option<VersionName>,
    }

    /// Kind of an endpoint.
    #[derive(Copy)]
    pub enum EndpointKind {
        /// Engine that runs a model version.
        Engine,
        /// Process without model weights.
        Plain,
    }

    /// A team's contract.
    pub struct TeamContract {
        /// blake3 hash of the API key.
        pub api_key_hash: ContentDigest,
        /// Service whose capacity the contract reserves.
        pub service: ServiceName,
        /// Reserved tokens per second; 1 or more for engines.
        pub token_rate: TokenRate,
        /// Reserved concurrent requests; 1 or more.
        pub requests_in_progress: u32,
        /// Tokens that the team may use at once on top of its rate.
        pub burst: TokenCount,
        /// Teams whose requests this team's requests may displace.
        pub displaces: BTreeSet<TeamName>,
        /// Whether this team's requests may displace requests without a contract.
        pub displaces_uncontracted: bool,
        /// What happens to a request when the service has no free capacity.
        pub scarcity: ScarcityPolicy,
        /// Retries allowed, in percent of the team's requests; 0 to 100.
        pub retry_budget_percent: u32,
        /// Time within which the first token is due; 1 ms or more with an objective.
        pub first_token: Duration,
        /// Share of requests whose first token must be in time, in hundredths of a percent; 0 means
        /// no objective, 9999 is the maximum.
        pub objective_basis_points: u32,
    }

    /// What happens to a request when the service has no free capacity.
    pub enum ScarcityPolicy {
        /// The request waits up to this long, 1 ms to 600 s.
        Wait(Duration),
        /// The request goes to this service, which runs a smaller model.
        SmallerModel(ServiceName),
        /// The request is refused immediately.
        Refuse,
    }

    /// A published model version.
    pub struct ModelVersion {
        /// Name of the model that this is a version of.
        pub model: ModelName,
        /// Digest of the manifest, which lists the chunks of the weights.
        pub manifest: ContentDigest,
        /// Size of the weights; 1 byte or more.
        pub size: ByteCount,
    }
}
