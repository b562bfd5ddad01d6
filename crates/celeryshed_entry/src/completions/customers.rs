//! Which customer sends a request.

use celeryshed_base::{ContentDigest, CustomerName};
use celeryshed_core::configuration::{ConfigurationState, CustomerContract};

/// Name of work without a contract.
const UNCONTRACTED: &str = "uncontracted";

/// The sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestCustomer {
    pub(super) name: CustomerName,
    pub(super) contract: Option<CustomerContract>,
}

/// The key belongs to no contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the API key belongs to no contract")]
pub(super) struct UnknownKey;

/// Finds the customer by the `Authorization` header; without one the work is uncontracted.
pub(super) fn customer_of(
    authorization: Option<&str>,
    state: &ConfigurationState,
) -> Result<RequestCustomer, UnknownKey> {
    let Some(authorization) = authorization else {
        return Ok(uncontracted());
    };
    let key = authorization.strip_prefix("Bearer ").ok_or(UnknownKey)?;
    let hash = ContentDigest::of(key.trim().as_bytes());
    let mut contracts = state.contracts.iter();
    let found = contracts.find(|(_, contract)| contract.api_key_hash == hash);
    let (name, contract) = found.ok_or(UnknownKey)?;
    Ok(RequestCustomer { name: name.clone(), contract: Some(contract.clone()) })
}

fn uncontracted() -> RequestCustomer {
    let name = CustomerName::try_from(UNCONTRACTED).expect("constant name is valid");
    RequestCustomer { name, contract: None }
}
