//! Contracts of the demo, modelled on those of Hinokage.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshed_base::{ContentDigest, ServiceName, TeamName, TokenCount, TokenRate};
use celeryshed_core::configuration::{ChangeKind, ScarcityPolicy, TeamContract};

/// Each contract: team, service, reserved tokens per second, requests in progress.
///
/// A few contracts are large. Their total stays below the capacity of the endpoints.
const TEAMS: [(&str, &str, u64, u32); 10] = [
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

/// API key of a team in the demo.
pub(super) fn api_key(team: &str) -> String {
    format!("demo-{team}")
}

/// Configuration changes that add all contracts.
pub(super) fn contract_changes() -> Vec<ChangeKind> {
    TEAMS
        .iter()
        .map(|(team, service, tokens, requests)| {
            let contract = TeamContract {
                api_key_hash: ContentDigest::of(api_key(team).as_bytes()),
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
            let team = TeamName::try_from(*team).expect("a fixed valid name");
            ChangeKind::PutContract(team, contract)
        })
        .collect()
}
