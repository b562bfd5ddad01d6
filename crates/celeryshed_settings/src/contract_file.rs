//! Contract files, in which operators define services, contracts and selected versions.

use std::collections::BTreeSet;
use std::path::Path;

use celeryshed_base::{TeamName, TokenCount, TokenRate, common_derives};
use celeryshed_core::configuration::{
    ChangeKind, EndpointKind, ScarcityPolicy, ServiceDefinition, TeamContract, UNCONTRACTED,
};

use crate::error::Result;
use crate::reader::{SectionReader, SettingsReader};

common_derives! { value:
    /// Checked content of a contract file.
    pub struct ContractFile {
        /// Configuration changes, in the order of publication.
        pub changes: Vec<ChangeKind>,
    }
}

impl ContractFile {
    /// Reads and checks a file.
    pub fn load(file: &Path) -> Result<Self> {
        Self::read(SettingsReader::load(file)?)
    }

    /// Checks a parsed file.
    ///
    /// ```
    /// use celeryshed_settings::{ContractFile, SettingsReader};
    /// use std::path::Path;
    /// let text = "[service proof-room]\nkind = plain\nendpoints = 1\nslots_per_endpoint = 4\n";
    /// let reader = SettingsReader::parse(Path::new("contracts.ini"), text).unwrap();
    /// assert_eq!(ContractFile::read(reader).unwrap().changes.len(), 1);
    /// ```
    pub fn read(reader: SettingsReader) -> Result<Self> {
        let mut changes = Vec::new();
        for (name, section) in reader.named_sections("remove") {
            let team = checked_name(&section, &name);
            changes.extend(team.map(ChangeKind::RemoveContract));
        }
        for (name, section) in reader.named_sections("service") {
            changes.extend(read_service(&section, &name));
        }
        for (name, section) in reader.named_sections("contract") {
            changes.extend(read_contract(&section, &name));
        }
        for (name, section) in reader.named_sections("select") {
            let service = checked_name(&section, &name);
            let version = section.required_checked("version");
            if let (Some(service), Some(version)) = (service, version) {
                changes.push(ChangeKind::SelectVersion(service, version));
            }
        }
        reader.finish()?;
        Ok(Self { changes })
    }
}

fn checked_name<T>(section: &SectionReader<'_>, name: &str) -> Option<T>
where
    T: for<'v> TryFrom<&'v str, Error = celeryshed_base::NameError>,
{
    match T::try_from(name) {
        Ok(checked) => Some(checked),
        Err(error) => {
            section.add_error("", Some(name), &error.to_string());
            None
        }
    }
}

fn read_service(section: &SectionReader<'_>, name: &str) -> Option<ChangeKind> {
    let service = checked_name(section, name);
    let kinds = [("engine", EndpointKind::Engine), ("plain", EndpointKind::Plain)];
    let kind = section.choice("kind", &kinds, EndpointKind::Engine);
    let endpoints = section.required_integer("endpoints", 1..=100_000);
    let slots = section.required_integer("slots_per_endpoint", 1..=4_096);
    let tokens = section.integer("tokens_per_s_per_endpoint", 0..=10_000_000, 0);
    if kind == EndpointKind::Engine && tokens == 0 {
        section.add_error("tokens_per_s_per_endpoint", Some("0"), "at least 1 for kind = engine");
    }
    let definition = ServiceDefinition {
        kind,
        endpoints: endpoints? as u32,
        slots_per_endpoint: slots? as u32,
        tokens_per_endpoint: TokenRate(tokens),
        version: None,
    };
    Some(ChangeKind::PutService(service?, definition))
}

fn read_contract(section: &SectionReader<'_>, name: &str) -> Option<ChangeKind> {
    let team = checked_name(section, name);
    let api_key_hash = section.required_checked("api_key_hash");
    let service = section.required_checked("service");
    let token_rate = section.required_integer("tokens_per_s", 0..=100_000_000);
    let requests = section.required_integer("requests_in_progress", 1..=1_000_000);
    let burst = section.integer("burst_tokens", 0..=1_000_000_000, 0);
    let (displaces, displaces_uncontracted) = read_displaces(section);
    let scarcity = read_scarcity(section);
    let retry_budget_percent = section.integer("retry_budget_percent", 0..=100, 10) as u32;
    let first_token = section.millis("first_token_ms", 1..=3_600_000, 420);
    let objective_basis_points = read_objective(section);
    let contract = TeamContract {
        api_key_hash: api_key_hash?,
        service: service?,
        token_rate: TokenRate(token_rate?),
        requests_in_progress: requests? as u32,
        burst: TokenCount(burst),
        displaces,
        displaces_uncontracted,
        scarcity: scarcity?,
        retry_budget_percent,
        first_token,
        objective_basis_points,
    };
    Some(ChangeKind::PutContract(team?, contract))
}

fn read_displaces(section: &SectionReader<'_>) -> (BTreeSet<TeamName>, bool) {
    let mut teams = BTreeSet::new();
    let mut uncontracted = false;
    for name in section.list("displaces") {
        if name == UNCONTRACTED {
            uncontracted = true;
            continue;
        }
        match TeamName::try_from(name) {
            Ok(team) => drop(teams.insert(team)),
            Err(error) => section.add_error("displaces", Some(name), &error.to_string()),
        }
    }
    (teams, uncontracted)
}

fn read_scarcity(section: &SectionReader<'_>) -> Option<ScarcityPolicy> {
    #[derive(Clone)]
    enum ScarcityKeyword {
        Wait,
        SmallerModel,
        Refuse,
    }
    let choices = [
        ("wait", ScarcityKeyword::Wait),
        ("smaller_model", ScarcityKeyword::SmallerModel),
        ("refuse", ScarcityKeyword::Refuse),
    ];
    let rule = section.choice("scarcity", &choices, ScarcityKeyword::Wait);
    let deadline = section.millis("deadline_ms", 1..=600_000, 5_000);
    match rule {
        ScarcityKeyword::Wait => Some(ScarcityPolicy::Wait(deadline)),
        ScarcityKeyword::SmallerModel => {
            Some(ScarcityPolicy::SmallerModel(section.required_checked("smaller_service")?))
        }
        ScarcityKeyword::Refuse => Some(ScarcityPolicy::Refuse),
    }
}

/// Reads a percentage, default 99, and rounds it to hundredths of a percent.
fn read_objective(section: &SectionReader<'_>) -> u32 {
    const ACCEPTED: &str = "a percentage from 50 to 99.99 with at most two decimals";
    let percent: f64 = section.with_default("objective_percent", ACCEPTED, 99.0);
    let hundredths = (percent * 100.0).round();
    if !(5_000.0..=9_999.0).contains(&hundredths) {
        section.add_error("objective_percent", section.raw("objective_percent"), ACCEPTED);
        return 9_900;
    }
    hundredths as u32
}
