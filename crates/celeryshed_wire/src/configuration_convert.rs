//! Conversions between configuration records and the checked types of the core.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{ByteCount, NameError, TeamName, TokenCount, TokenRate};
use celeryshed_core::configuration::{
    ChangeKind, ChangeRecord, ConfigurationLogPage, ConfigurationState, EndpointKind, LogRecord,
    ModelVersion, PositionedRecord, ScarcityPolicy, ServiceDefinition, TeamContract, UNCONTRACTED,
};

use crate::codec::decode;
use crate::configuration::{
    ConfigurationChange, ConfigurationEntry, ConfigurationRecord, ConfigurationSnapshot,
    ContractSpec, ScarcityRule, ServiceKind, ServiceSpec, VersionSpec,
};
use crate::platform::{LogEntry, ReadReply};

impl From<ServiceKind> for EndpointKind {
    fn from(kind: ServiceKind) -> Self {
        match kind {
            ServiceKind::Engine => Self::Engine,
            ServiceKind::Plain => Self::Plain,
        }
    }
}

impl From<EndpointKind> for ServiceKind {
    fn from(kind: EndpointKind) -> Self {
        match kind {
            EndpointKind::Engine => Self::Engine,
            EndpointKind::Plain => Self::Plain,
        }
    }
}

impl From<ServiceSpec> for ServiceDefinition {
    fn from(spec: ServiceSpec) -> Self {
        Self {
            kind: spec.kind.into(),
            endpoints: spec.endpoints,
            slots_per_endpoint: spec.slots_per_endpoint,
            tokens_per_endpoint: TokenRate(spec.tokens_per_s_per_endpoint),
            version: spec.version,
        }
    }
}

impl From<ServiceDefinition> for ServiceSpec {
    fn from(definition: ServiceDefinition) -> Self {
        Self {
            kind: definition.kind.into(),
            endpoints: definition.endpoints,
            slots_per_endpoint: definition.slots_per_endpoint,
            tokens_per_s_per_endpoint: definition.tokens_per_endpoint.0,
            version: definition.version,
        }
    }
}

impl From<ScarcityRule> for ScarcityPolicy {
    fn from(rule: ScarcityRule) -> Self {
        match rule {
            ScarcityRule::Wait { deadline_ms } => Self::Wait(Duration::from_millis(deadline_ms)),
            ScarcityRule::SmallerModel { service } => Self::SmallerModel(service),
            ScarcityRule::Refuse => Self::Refuse,
        }
    }
}

impl From<ScarcityPolicy> for ScarcityRule {
    fn from(policy: ScarcityPolicy) -> Self {
        match policy {
            ScarcityPolicy::Wait(wait) => Self::Wait { deadline_ms: wait.as_millis() as u64 },
            ScarcityPolicy::SmallerModel(service) => Self::SmallerModel { service },
            ScarcityPolicy::Refuse => Self::Refuse,
        }
    }
}

impl TryFrom<ContractSpec> for TeamContract {
    type Error = NameError;

    fn try_from(spec: ContractSpec) -> Result<Self, NameError> {
        let displaces_uncontracted = spec.displaces.iter().any(|name| name == UNCONTRACTED);
        let teams = spec.displaces.into_iter().filter(|name| name != UNCONTRACTED);
        let displaces: Result<BTreeSet<_>, _> = teams.map(TeamName::try_from).collect();
        Ok(Self {
            api_key_hash: spec.api_key_hash,
            service: spec.service,
            token_rate: TokenRate(spec.tokens_per_s),
            requests_in_progress: spec.requests_in_progress,
            burst: TokenCount(spec.burst_tokens),
            displaces: displaces?,
            displaces_uncontracted,
            scarcity: spec.scarcity.into(),
            retry_budget_percent: spec.retry_budget_percent,
            first_token: Duration::from_millis(spec.first_token_ms),
            objective_basis_points: spec.objective_basis_points,
        })
    }
}

impl From<TeamContract> for ContractSpec {
    fn from(contract: TeamContract) -> Self {
        let mut displaces: Vec<String> = contract.displaces.into_iter().map(String::from).collect();
        if contract.displaces_uncontracted {
            displaces.push(UNCONTRACTED.to_owned());
        }
        Self {
            api_key_hash: contract.api_key_hash,
            service: contract.service,
            tokens_per_s: contract.token_rate.0,
            requests_in_progress: contract.requests_in_progress,
            burst_tokens: contract.burst.0,
            displaces,
            scarcity: contract.scarcity.into(),
            retry_budget_percent: contract.retry_budget_percent,
            first_token_ms: contract.first_token.as_millis() as u64,
            objective_basis_points: contract.objective_basis_points,
        }
    }
}

impl From<VersionSpec> for ModelVersion {
    fn from(spec: VersionSpec) -> Self {
        Self { model: spec.model, manifest: spec.manifest, size: ByteCount(spec.size_bytes) }
    }
}

impl TryFrom<ConfigurationChange> for ChangeKind {
    type Error = NameError;

    fn try_from(change: ConfigurationChange) -> Result<Self, NameError> {
        Ok(match change {
            ConfigurationChange::PutService { service, terms } => {
                Self::PutService(service, terms.into())
            }
            ConfigurationChange::PutContract { team, terms } => {
                Self::PutContract(team, terms.try_into()?)
            }
            ConfigurationChange::RemoveContract { team } => Self::RemoveContract(team),
            ConfigurationChange::PublishModel { version } => {
                Self::PublishModel(version.version.clone(), version.into())
            }
            ConfigurationChange::SelectVersion { service, version } => {
                Self::SelectVersion(service, version)
            }
        })
    }
}

impl From<ChangeKind> for ConfigurationChange {
    fn from(change: ChangeKind) -> Self {
        match change {
            ChangeKind::PutService(service, definition) => {
                Self::PutService { service, terms: definition.into() }
            }
            ChangeKind::PutContract(team, contract) => {
                Self::PutContract { team, terms: contract.into() }
            }
            ChangeKind::RemoveContract(team) => Self::RemoveContract { team },
            ChangeKind::PublishModel(version, model) => Self::PublishModel {
                version: VersionSpec {
                    model: model.model,
                    version,
                    manifest: model.manifest,
                    size_bytes: model.size.0,
                },
            },
            ChangeKind::SelectVersion(service, version) => Self::SelectVersion { service, version },
        }
    }
}

impl TryFrom<ConfigurationRecord> for ChangeRecord {
    type Error = NameError;

    fn try_from(record: ConfigurationRecord) -> Result<Self, NameError> {
        Ok(Self {
            record_id: record.record_id,
            base_revision: record.base_revision,
            change: record.change.try_into()?,
        })
    }
}

impl From<ChangeRecord> for ConfigurationRecord {
    fn from(record: ChangeRecord) -> Self {
        Self {
            record_id: record.record_id,
            base_revision: record.base_revision,
            change: record.change.into(),
        }
    }
}

impl TryFrom<ConfigurationSnapshot> for ConfigurationState {
    type Error = NameError;

    fn try_from(snapshot: ConfigurationSnapshot) -> Result<Self, NameError> {
        let contracts = snapshot.contracts.into_iter();
        let contracts = contracts.map(|(team, spec)| Ok((team, spec.try_into()?)));
        let services = snapshot.services.into_iter();
        let versions = snapshot.versions.into_iter();
        Ok(Self {
            revision: snapshot.revision,
            folded_to: snapshot.folded_to,
            services: services.map(|(service, spec)| (service, spec.into())).collect(),
            contracts: contracts.collect::<Result<_, NameError>>()?,
            versions: versions.map(|(version, spec)| (version, spec.into())).collect(),
        })
    }
}

impl From<&ConfigurationState> for ConfigurationSnapshot {
    fn from(state: &ConfigurationState) -> Self {
        let state = state.clone();
        let versions = state.versions.into_iter().map(|(version, model)| {
            let spec = VersionSpec {
                model: model.model,
                version: version.clone(),
                manifest: model.manifest,
                size_bytes: model.size.0,
            };
            (version, spec)
        });
        Self {
            revision: state.revision,
            folded_to: state.folded_to,
            services: state
                .services
                .into_iter()
                .map(|(name, definition)| (name, definition.into()))
                .collect(),
            contracts: state
                .contracts
                .into_iter()
                .map(|(team, contract)| (team, contract.into()))
                .collect(),
            versions: versions.collect(),
        }
    }
}

impl From<ConfigurationEntry> for LogRecord {
    fn from(entry: ConfigurationEntry) -> Self {
        match entry {
            ConfigurationEntry::Change(record) => {
                let record_id = Some(record.record_id);
                match ChangeRecord::try_from(record) {
                    Ok(change) => Self::Change(change),
                    Err(error) => Self::Malformed { record_id, reason: error.to_string() },
                }
            }
            ConfigurationEntry::Snapshot(snapshot) => state_record(snapshot, Self::Snapshot),
            ConfigurationEntry::Restart(snapshot) => state_record(snapshot, Self::Restart),
        }
    }
}

fn state_record(
    snapshot: ConfigurationSnapshot,
    variant: fn(ConfigurationState) -> LogRecord,
) -> LogRecord {
    match ConfigurationState::try_from(snapshot) {
        Ok(state) => variant(state),
        Err(error) => LogRecord::Malformed { record_id: None, reason: error.to_string() },
    }
}

impl From<&LogEntry> for PositionedRecord {
    /// An undecodable payload becomes [`LogRecord::Malformed`], so that all readers treat it alike.
    fn from(entry: &LogEntry) -> Self {
        let record = match decode::<ConfigurationEntry>(&entry.payload) {
            Ok(record) => record.into(),
            Err(error) => LogRecord::Malformed { record_id: None, reason: error.to_string() },
        };
        Self { offset: entry.offset, appended_at: entry.appended_at, record }
    }
}

impl From<&ReadReply> for ConfigurationLogPage {
    fn from(reply: &ReadReply) -> Self {
        Self {
            oldest: reply.oldest_offset,
            end: reply.end_offset,
            records: reply.entries.iter().map(PositionedRecord::from).collect(),
        }
    }
}
