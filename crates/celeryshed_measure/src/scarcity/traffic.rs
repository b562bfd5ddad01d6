//! Teams, their contracts and their requests.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshed_base::{
    ConfigRevision, ContentDigest, LogOffset, ServiceName, TeamName, TokenCount, TokenRate,
};
use celeryshed_core::configuration::{
    ConfigurationState, EndpointKind, ScarcityPolicy, ServiceDefinition, TeamContract,
};
use celeryshed_core::routing::{PromptPrefix, prompt_prefixes};
use rand::Rng;
use rand::rngs::StdRng;

use super::engine::{ENGINE_TOKENS_PER_S, SLOTS};

/// Number of engines, as in the present deployments.
pub(super) const ENGINES: usize = 15;

/// Number of availability zones, each with one entry.
pub(super) const ZONES: usize = 3;

/// Tokens per prefix block.
pub(super) const BLOCK_TOKENS: u64 = 16;

/// Prefix blocks that requests with the same template share (1,536 tokens).
const TEMPLATE_BLOCKS: u64 = 96;

/// Blocks of the part of a prompt that no other request shares.
const OWN_BLOCKS: u64 = 6;

/// Prompt templates per team.
const TEMPLATES_PER_TEAM: u64 = 16;

/// Range of the answer length; its mean of 100 tokens takes 2 s at 50 tokens/s.
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 40..=160;

/// Mean of [`ANSWER_TOKENS`].
const MEAN_ANSWER_TOKENS: f64 = 100.0;

/// Share of its reserved rate that a contracted team uses.
const USED_SHARE: f64 = 0.8;

/// Share of the capacity that each contracted team reserves: two large and eight small teams
/// with 46% in all.
const RESERVED_SHARES: [f64; 10] = [0.15, 0.15, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02];

/// A team of the experiment.
#[derive(Clone, Debug)]
pub(super) struct SimTeam {
    pub(super) name: TeamName,
    pub(super) contracted: bool,
    pub(super) reserved_tokens_per_s: f64,
    pub(super) requests_per_s: f64,
}

/// Prompt and answer length of a request.
#[derive(Clone, Debug)]
pub(super) struct SimPrompt {
    pub(super) prompt_tokens: u64,
    pub(super) blocks: Vec<u64>,
    pub(super) prefixes: Vec<PromptPrefix>,
    pub(super) max_tokens: u32,
}

/// Generated tokens per second of all engines at full load.
pub(super) fn capacity_tokens_per_s() -> f64 {
    (ENGINES as u64 * ENGINE_TOKENS_PER_S) as f64
}

/// Name of the service that all engines serve.
pub(super) fn service() -> ServiceName {
    ServiceName::try_from("copywriter").expect("constant name is valid")
}

/// The contracted teams, then one team without a contract whose load is `uncontracted_load` times the
/// capacity.
pub(super) fn teams(uncontracted_load: f64) -> Vec<SimTeam> {
    let contracted = RESERVED_SHARES.iter().enumerate().map(|(number, share)| {
        let kind = if *share > 0.1 { "large" } else { "small" };
        let reserved = share * capacity_tokens_per_s();
        SimTeam {
            name: team_name(&format!("{kind}-{number}")),
            contracted: true,
            reserved_tokens_per_s: reserved,
            requests_per_s: reserved * USED_SHARE / MEAN_ANSWER_TOKENS,
        }
    });
    let uncontracted = SimTeam {
        name: team_name("uncontracted"),
        contracted: false,
        reserved_tokens_per_s: 0.0,
        requests_per_s: uncontracted_load * capacity_tokens_per_s() / MEAN_ANSWER_TOKENS,
    };
    contracted.chain([uncontracted]).collect()
}

fn team_name(text: &str) -> TeamName {
    TeamName::try_from(text).expect("constant name is valid")
}

/// The configuration with the service and the teams' contracts.
pub(super) fn configuration(teams: &[SimTeam]) -> ConfigurationState {
    let definition = ServiceDefinition {
        kind: EndpointKind::Engine,
        endpoints: ENGINES as u32,
        slots_per_endpoint: SLOTS,
        tokens_per_endpoint: TokenRate(ENGINE_TOKENS_PER_S),
        version: None,
    };
    let contracted = teams.iter().filter(|team| team.contracted);
    let contracts = contracted.map(|team| (team.name.clone(), team_contract(team)));
    ConfigurationState {
        revision: ConfigRevision(1),
        folded_to: LogOffset(1),
        services: BTreeMap::from([(service(), definition)]),
        contracts: contracts.collect(),
        versions: BTreeMap::new(),
    }
}

/// Contract of a team: its reserved rate, 1.5 times the slots that this rate needs on average, and a
/// burst of ten seconds at this rate.
fn team_contract(team: &SimTeam) -> TeamContract {
    let rate = team.reserved_tokens_per_s;
    let stream_rate = (ENGINE_TOKENS_PER_S / u64::from(SLOTS)) as f64;
    TeamContract {
        api_key_hash: ContentDigest::of(team.name.as_str().as_bytes()),
        service: service(),
        token_rate: TokenRate(rate as u64),
        requests_in_progress: (rate / stream_rate * 1.5).ceil() as u32,
        burst: TokenCount((rate * 10.0) as u64),
        displaces: Default::default(),
        displaces_uncontracted: true,
        scarcity: ScarcityPolicy::Wait(Duration::from_secs(5)),
        retry_budget_percent: 10,
        first_token: Duration::from_millis(420),
        objective_basis_points: 9500,
    }
}

/// Returns a random prompt of a team; `number` makes the blocks after the template unique.
pub(super) fn draw_prompt(team: usize, number: u64, random: &mut StdRng) -> SimPrompt {
    let template = random.random_range(0..TEMPLATES_PER_TEAM);
    let template_prefix = (team as u64 + 1) << 48 | template << 40;
    let own_prefix = 1 << 63 | number << 8;
    let mut blocks: Vec<u64> = (0..TEMPLATE_BLOCKS).map(|block| template_prefix | block).collect();
    blocks.extend((0..OWN_BLOCKS).map(|block| own_prefix | block));
    SimPrompt {
        prompt_tokens: blocks.len() as u64 * BLOCK_TOKENS,
        prefixes: prompt_prefixes(&blocks, BLOCK_TOKENS),
        blocks,
        max_tokens: random.random_range(ANSWER_TOKENS),
    }
}

/// The last shared block of each template; sidecars report only these as cached.
pub(super) fn last_template_blocks(teams: usize) -> impl Iterator<Item = u64> {
    (0..teams as u64).flat_map(|team| {
        (0..TEMPLATES_PER_TEAM)
            .map(move |template| (team + 1) << 48 | template << 40 | (TEMPLATE_BLOCKS - 1))
    })
}

/// Time until the next request of a Poisson process.
pub(super) fn arrival_pause(requests_per_s: f64, random: &mut StdRng) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / requests_per_s)
}
