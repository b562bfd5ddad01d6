//! Validation rules for changes.

use std::collections::BTreeSet;

use celeryshed_base::{ServiceName, TeamName, VersionName};

use super::change::{ChangeKind, UNCONTRACTED};
use super::state::{
    ConfigurationState, EndpointKind, ModelVersion, ScarcityPolicy, ServiceDefinition, TeamContract,
};
use super::verdict::RefusalReason;

/// Maximum of `deadline_ms`; equals the maximum age of a request (600 s).
const MAX_WAIT_MS: u64 = 600_000;

/// Maximum of `objective_basis_points`; 100% would leave no error budget.
const MAX_OBJECTIVE_BASIS_POINTS: u32 = 9_999;

type Result<T> = std::result::Result<T, RefusalReason>;

/// Returns the state after `change`, with the old revision, or why the change is refused.
pub(super) fn state_after(
    state: &ConfigurationState,
    change: &ChangeKind,
) -> Result<ConfigurationState> {
    let mut next = state.clone();
    match change {
        ChangeKind::PutService(service, definition) => put_service(&mut next, service, definition)?,
        ChangeKind::PutContract(team, contract) => put_contract(&mut next, team, contract)?,
        ChangeKind::RemoveContract(team) => remove_contract(&mut next, team)?,
        ChangeKind::PublishModel(version, model) => publish_model(&mut next, version, model)?,
        ChangeKind::SelectVersion(service, version) => select_version(&mut next, service, version)?,
    }
    if next == *state { Err(RefusalReason::NoChange) } else { Ok(next) }
}

fn put_service(
    state: &mut ConfigurationState,
    service: &ServiceName,
    definition: &ServiceDefinition,
) -> Result<()> {
    check_definition(definition)?;
    let mut definition = definition.clone();
    if let Some(version) = &definition.version {
        check_version(state, service, &definition, version)?;
    }
    if let Some(current) = state.services.get(service) {
        if current.kind != definition.kind {
            check_kind_unused(state, service)?;
        } else if definition.version.is_none() {
            definition.version.clone_from(&current.version);
        }
    }
    state.services.insert(service.clone(), definition);
    check_capacity(state, service)
}

fn put_contract(
    state: &mut ConfigurationState,
    team: &TeamName,
    contract: &TeamContract,
) -> Result<()> {
    check_contract(state, team, contract)?;
    check_scarcity(state, contract)?;
    check_displaced(state, team, contract)?;
    state.contracts.insert(team.clone(), contract.clone());
    check_capacity(state, &contract.service)
}

fn remove_contract(state: &mut ConfigurationState, team: &TeamName) -> Result<()> {
    if state.contracts.remove(team).is_none() {
        return Err(RefusalReason::UnknownTeam(team.clone()));
    }
    let by = state.contracts.iter().find(|(_, contract)| contract.displaces.contains(team));
    match by {
        Some((by, _)) => Err(RefusalReason::StillDisplaced { team: team.clone(), by: by.clone() }),
        None => Ok(()),
    }
}

fn publish_model(
    state: &mut ConfigurationState,
    version: &VersionName,
    model: &ModelVersion,
) -> Result<()> {
    check_positive("size_bytes", model.size.0)?;
    match state.versions.get(version) {
        Some(published) if published != model => Err(RefusalReason::VersionExists(version.clone())),
        _ => {
            state.versions.insert(version.clone(), model.clone());
            Ok(())
        }
    }
}

fn select_version(
    state: &mut ConfigurationState,
    service: &ServiceName,
    version: &VersionName,
) -> Result<()> {
    let definition = find_service(state, service)?;
    check_version(state, service, definition, version)?;
    if let Some(definition) = state.services.get_mut(service) {
        definition.version = Some(version.clone());
    }
    Ok(())
}

fn check_version(
    state: &ConfigurationState,
    service: &ServiceName,
    definition: &ServiceDefinition,
    version: &VersionName,
) -> Result<()> {
    match definition.kind {
        EndpointKind::Plain => Err(RefusalReason::PlainService(service.clone())),
        EndpointKind::Engine if state.versions.contains_key(version) => Ok(()),
        EndpointKind::Engine => Err(RefusalReason::UnknownVersion(version.clone())),
    }
}

fn check_definition(definition: &ServiceDefinition) -> Result<()> {
    check_positive("endpoints", definition.endpoints.into())?;
    check_positive("slots_per_endpoint", definition.slots_per_endpoint.into())?;
    let tokens = definition.tokens_per_endpoint.0;
    match definition.kind {
        EndpointKind::Engine => check_positive("tokens_per_s_per_endpoint", tokens),
        EndpointKind::Plain => {
            check_range("tokens_per_s_per_endpoint", tokens, tokens == 0, "0 for a plain service")
        }
    }
}

fn check_kind_unused(state: &ConfigurationState, service: &ServiceName) -> Result<()> {
    let refers_to_service = |contract: &TeamContract| {
        contract.service == *service || fallback_of(contract) == Some(service)
    };
    match state.contracts.iter().find(|(_, contract)| refers_to_service(contract)) {
        Some((team, _)) => {
            Err(RefusalReason::KindInUse { service: service.clone(), team: team.clone() })
        }
        None => Ok(()),
    }
}

fn check_contract(
    state: &ConfigurationState,
    team: &TeamName,
    contract: &TeamContract,
) -> Result<()> {
    if team.as_str() == UNCONTRACTED {
        return Err(RefusalReason::ReservedName(team.clone()));
    }
    let definition = find_service(state, &contract.service)?;
    let tokens = contract.token_rate.0;
    if definition.kind == EndpointKind::Engine {
        check_positive("tokens_per_s", tokens)?;
    }
    check_positive("requests_in_progress", contract.requests_in_progress.into())?;
    let retries = contract.retry_budget_percent;
    check_range("retry_budget_percent", retries.into(), retries <= 100, "0 to 100")?;
    check_objective(contract)?;
    let same_key = |(other, terms): &(&TeamName, &TeamContract)| {
        *other != team && terms.api_key_hash == contract.api_key_hash
    };
    match state.contracts.iter().find(same_key) {
        Some((other, _)) => Err(RefusalReason::KeyInUse(other.clone())),
        None => Ok(()),
    }
}

fn check_objective(contract: &TeamContract) -> Result<()> {
    let objective = contract.objective_basis_points;
    let allowed = objective <= MAX_OBJECTIVE_BASIS_POINTS;
    check_range("objective_basis_points", objective.into(), allowed, "0 (no objective) to 9999")?;
    if objective == 0 {
        return Ok(());
    }
    check_positive("first_token_ms", contract.first_token.as_millis() as u64)
}

fn check_scarcity(state: &ConfigurationState, contract: &TeamContract) -> Result<()> {
    match &contract.scarcity {
        ScarcityPolicy::Refuse => Ok(()),
        ScarcityPolicy::Wait(wait) => {
            let wait = wait.as_millis() as u64;
            check_range("deadline_ms", wait, (1..=MAX_WAIT_MS).contains(&wait), "1 to 600000")
        }
        ScarcityPolicy::SmallerModel(fallback) => {
            for service in [&contract.service, fallback] {
                if find_service(state, service)?.kind == EndpointKind::Plain {
                    return Err(RefusalReason::PlainService(service.clone()));
                }
            }
            check_fallback(state, &contract.service, fallback)
        }
    }
}

/// Refuses a fallback from which other contracts' fallbacks lead back to `service`.
///
/// The accepted contracts contain no cycle, so a new cycle must include this contract.
fn check_fallback(
    state: &ConfigurationState,
    service: &ServiceName,
    fallback_service: &ServiceName,
) -> Result<()> {
    let mut visited = BTreeSet::from([fallback_service]);
    let mut pending = vec![fallback_service];
    while let Some(current) = pending.pop() {
        if current == service {
            let (service, fallback) = (service.clone(), fallback_service.clone());
            return Err(RefusalReason::SmallerModelCycle { service, fallback });
        }
        let contracts = state.contracts.values().filter(|contract| contract.service == *current);
        pending.extend(contracts.filter_map(fallback_of).filter(|next| visited.insert(next)));
    }
    Ok(())
}

/// Refuses a contract that displaces an unknown team or, through other teams, its own team.
fn check_displaced(
    state: &ConfigurationState,
    team: &TeamName,
    contract: &TeamContract,
) -> Result<()> {
    for through in &contract.displaces {
        let mut visited = BTreeSet::from([through]);
        let mut pending = vec![through];
        while let Some(current) = pending.pop() {
            if current == team {
                let (team, through) = (team.clone(), through.clone());
                return Err(RefusalReason::DisplacementCycle { team, through });
            }
            let Some(displaced) = state.contracts.get(current) else {
                return Err(RefusalReason::UnknownTeam(current.clone()));
            };
            pending.extend(displaced.displaces.iter().filter(|next| visited.insert(next)));
        }
    }
    Ok(())
}

fn check_capacity(state: &ConfigurationState, service: &ServiceName) -> Result<()> {
    let definition = find_service(state, service)?;
    let contracts = || state.contracts.values().filter(|contract| contract.service == *service);
    let endpoints = u128::from(definition.endpoints);

    let reserved = contracts().map(|contract| u128::from(contract.token_rate.0)).sum();
    let capacity = endpoints * u128::from(definition.tokens_per_endpoint.0);
    if reserved > capacity {
        let service = service.clone();
        return Err(RefusalReason::TokensOvercommitted { service, reserved, capacity });
    }

    let reserved = contracts().map(|contract| u128::from(contract.requests_in_progress)).sum();
    let capacity = endpoints * u128::from(definition.slots_per_endpoint);
    if reserved > capacity {
        let service = service.clone();
        return Err(RefusalReason::RequestsOvercommitted { service, reserved, capacity });
    }
    Ok(())
}

fn fallback_of(contract: &TeamContract) -> Option<&ServiceName> {
    match &contract.scarcity {
        ScarcityPolicy::SmallerModel(service) => Some(service),
        ScarcityPolicy::Wait(_) | ScarcityPolicy::Refuse => None,
    }
}

fn find_service<'a>(
    state: &'a ConfigurationState,
    service: &ServiceName,
) -> Result<&'a ServiceDefinition> {
    state.services.get(service).ok_or_else(|| RefusalReason::UnknownService(service.clone()))
}

fn check_positive(field: &'static str, value: u64) -> Result<()> {
    check_range(field, value, value > 0, "1 or more")
}

fn check_range(
    field: &'static str,
    value: u64,
    allowed: bool,
    accepted: &'static str,
) -> Result<()> {
    if allowed { Ok(()) } else { Err(RefusalReason::OutOfRange { field, value, accepted }) }
}
