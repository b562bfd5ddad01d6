//! Finds the team that sends a request.

use celeryshed_base::{ContentDigest, TeamName};
use celeryshed_core::configuration::{ConfigurationState, TeamContract};

/// Team name of requests without an API key.
const UNCONTRACTED: &str = "uncontracted";

/// The team that sends a request; without a contract its requests are best effort.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestTeam {
    pub(super) name: TeamName,
    pub(super) contract: Option<TeamContract>,
}

/// The `Authorization` header holds no API key of a contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the API key belongs to no contract")]
pub(super) struct UnknownKey;

/// Finds the team by the API key in the `Authorization` header; a request without this header is
/// uncontracted.
pub(super) fn team_of(
    authorization: Option<&str>,
    state: &ConfigurationState,
) -> Result<RequestTeam, UnknownKey> {
    let Some(authorization) = authorization else {
        return Ok(uncontracted());
    };
    let key = authorization.strip_prefix("Bearer ").ok_or(UnknownKey)?;
    let hash = ContentDigest::of(key.trim().as_bytes());
    let mut contracts = state.contracts.iter();
    let found = contracts.find(|(_, contract)| contract.api_key_hash == hash);
    let (name, contract) = found.ok_or(UnknownKey)?;
    Ok(RequestTeam { name: name.clone(), contract: Some(contract.clone()) })
}

fn uncontracted() -> RequestTeam {
    let name = TeamName::try_from(UNCONTRACTED).expect("constant name is valid");
    RequestTeam { name, contract: None }
}
