//! `celeryshed contract`.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_core::configuration::{
    ChangeKind, ChangeOutcome, ConfigurationState, EndpointKind, RefusalReason, ScarcityPolicy,
};
use celeryshed_operate::publish::{ConfigurationPublisher, PublishOptions};
use celeryshed_platform::{HttpLogClient, HttpTimeouts};
use celeryshed_settings::ContractFile;
use eyre::{Result, WrapErr, bail};

use super::output::{align, print};
use crate::args::LogArgs;
use crate::run::ExitStatus;

/// Creates a publisher for the log that the arguments name.
pub(crate) fn publisher(log: &LogArgs) -> Result<ConfigurationPublisher> {
    let client = HttpLogClient::try_new(&log.log_url, HttpTimeouts::for_calls());
    let client = client.wrap_err("--log-url is not accepted")?;
    let deadline = Duration::from_secs(log.timeout_s);
    let options = PublishOptions { deadline, ..PublishOptions::default() };
    Ok(ConfigurationPublisher::new(Arc::new(client), options))
}

/// Publishes the changes of a file in order and stops at the first refused one.
pub(crate) async fn publish(file: &Path, log: &LogArgs) -> Result<ExitStatus> {
    let changes = ContractFile::load(file)?.changes;
    if changes.is_empty() {
        bail!("{}: file contains no change; accepted: at least one section", file.display());
    }
    let mut publisher = publisher(log)?;
    for change in changes {
        let name = change_name(&change);
        if !publish_change(&mut publisher, change, &name).await? {
            return Ok(ExitStatus::Failed);
        }
    }
    Ok(ExitStatus::Done)
}

/// Publishes one change and prints its verdict; returns false if the change was refused.
pub(crate) async fn publish_change(
    publisher: &mut ConfigurationPublisher,
    change: ChangeKind,
    name: &str,
) -> Result<bool> {
    let verdict = publisher.publish(change).await.wrap_err_with(|| name.to_owned())?;
    let (line, may_continue) = match verdict.outcome {
        ChangeOutcome::Accepted(revision) => (format!("accepted as revision {revision}"), true),
        ChangeOutcome::Refused(RefusalReason::NoChange) => ("unchanged".to_owned(), true),
        ChangeOutcome::Refused(reason) => (format!("refused: {reason}"), false),
    };
    print(&format!("{name}: {line}\n"))?;
    Ok(may_continue)
}

fn change_name(change: &ChangeKind) -> String {
    match change {
        ChangeKind::PutService(service, _) => format!("service {service}"),
        ChangeKind::PutContract(team, _) => format!("contract {team}"),
        ChangeKind::RemoveContract(team) => format!("remove {team}"),
        ChangeKind::PublishModel(version, _) => format!("version {version}"),
        ChangeKind::SelectVersion(service, version) => format!("select {service} {version}"),
    }
}

/// Prints the configuration in force.
pub(crate) async fn show(log: &LogArgs) -> Result<ExitStatus> {
    let mut publisher = publisher(log)?;
    let state = publisher.catch_up().await?;
    print(&render(state))?;
    Ok(ExitStatus::Done)
}

fn render(state: &ConfigurationState) -> String {
    let mut text = format!("revision {}\n\n", state.revision);
    text.push_str(&align(&service_rows(state)));
    text.push('\n');
    text.push_str(&align(&contract_rows(state)));
    text.push('\n');
    text.push_str(&align(&version_rows(state)));
    text
}

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn service_rows(state: &ConfigurationState) -> Vec<Vec<String>> {
    let names = [
        "service",
        "kind",
        "endpoints",
        "slots",
        "tokens_per_s",
        "reserved_tokens_per_s",
        "version",
    ];
    let mut rows = vec![header(&names)];
    let mut reserved: BTreeMap<_, u64> = BTreeMap::new();
    for contract in state.contracts.values() {
        *reserved.entry(&contract.service).or_default() += contract.token_rate.0;
    }
    for (service, definition) in &state.services {
        let kind = match definition.kind {
            EndpointKind::Engine => "engine",
            EndpointKind::Plain => "plain",
        };
        let endpoints = u64::from(definition.endpoints);
        rows.push(vec![
            service.to_string(),
            kind.to_owned(),
            endpoints.to_string(),
            (endpoints * u64::from(definition.slots_per_endpoint)).to_string(),
            (endpoints * definition.tokens_per_endpoint.0).to_string(),
            reserved.get(service).copied().unwrap_or_default().to_string(),
            definition.version.as_ref().map_or("-".to_owned(), ToString::to_string),
        ]);
    }
    rows
}

fn contract_rows(state: &ConfigurationState) -> Vec<Vec<String>> {
    let names = ["team", "service", "tokens_per_s", "requests", "scarcity", "objective_percent"];
    let mut rows = vec![header(&names)];
    for (team, contract) in &state.contracts {
        let scarcity = match &contract.scarcity {
            ScarcityPolicy::Wait(deadline) => format!("wait {} ms", deadline.as_millis()),
            ScarcityPolicy::SmallerModel(service) => format!("smaller_model {service}"),
            ScarcityPolicy::Refuse => "refuse".to_owned(),
        };
        rows.push(vec![
            team.to_string(),
            contract.service.to_string(),
            contract.token_rate.to_string(),
            contract.requests_in_progress.to_string(),
            scarcity,
            format!("{:.2}", f64::from(contract.objective_basis_points) / 100.0),
        ]);
    }
    rows
}

fn version_rows(state: &ConfigurationState) -> Vec<Vec<String>> {
    let mut rows = vec![header(&["version", "model", "size_bytes", "manifest"])];
    for (name, version) in &state.versions {
        rows.push(vec![
            name.to_string(),
            version.model.to_string(),
            version.size.to_string(),
            version.manifest.to_string(),
        ]);
    }
    rows
}

/// Prints the hash of the API key on standard input; a key among the arguments would be visible in
/// process lists.
pub(crate) fn hash_key() -> Result<ExitStatus> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).wrap_err("standard input can't be read")?;
    let key = key.trim();
    if key.is_empty() {
        bail!("standard input is empty; accepted: one API key");
    }
    print(&format!("{}\n", ContentDigest::of(key.as_bytes())))?;
    Ok(ExitStatus::Done)
}
