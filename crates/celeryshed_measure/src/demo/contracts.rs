//! Contracts of Hinokage's shape.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{ContentDigest, CustomerName, ServiceName, TokenCount, TokenRate};
use celeryshed_core::configuration::{ChangeKind, CustomerContract, ScarcityPolicy};

/// Customers, their services, and their shares: tokens a second and requests in progress. A few
/// are large; together they reserve less than the endpoints carry.
const CUSTOMERS: [(&str, &str, u64, u32); 10] = [
    ("ordering-portal", "copywriter", 2_000, 30),
    ("proof-checkers", "copywriter", 1_200, 20),
    ("home-centre-chains", "copywriter", 800, 12),
    ("kyushu-nurseries", "copywriter", 400, 8),
    ("sowing-guides", "copywriter", 200, 6),
    ("variety-blurbs", "copywriter", 200, 6),
    ("back-panel-translation", "copywriter", 100, 4),
    ("press-desk", "order-desk", 0, 12),
    ("reprint-desk", "order-desk", 0, 6),
    ("proof-archive", "proof-room", 0, 2),
];

/// The API key of a customer of the demo.
pub(super) fn api_key(customer: &str) -> String {
    format!("demo-{customer}")
}

/// The contracts as changes.
pub(super) fn contract_changes() -> Vec<ChangeKind> {
    CUSTOMERS
        .iter()
        .map(|(customer, service, tokens, requests)| {
            let contract = CustomerContract {
                api_key_hash: ContentDigest::of(api_key(customer).as_bytes()),
                service: ServiceName::try_from(*service).expect("a fixed valid name"),
                token_rate: TokenRate(*tokens),
                requests_in_progress: *requests,
                burst: TokenCount(tokens * 4),
                displaces: BTreeSet::new(),
                displaces_uncontracted: true,
                scarcity: ScarcityPolicy::Wait(Duration::from_secs(10)),
                retry_budget_percent: 10,
                first_token: Duration::from_millis(420),
                objective_basis_points: 9_900,
            };
            let customer = CustomerName::try_from(*customer).expect("a fixed valid name");
            ChangeKind::PutContract(customer, contract)
        })
        .collect()
}
