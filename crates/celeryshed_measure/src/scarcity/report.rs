//! Figures of a run.

use std::collections::BTreeMap;
use std::fmt;

use celeryshed_base::TeamName;
use hdrhistogram::Histogram;

/// Upper bound of recorded times to the first token, in microseconds.
const MAX_FIRST_TOKEN_US: u64 = 600_000_000;

/// Figures of one team.
#[derive(Clone, Debug)]
pub struct TeamResult {
    /// Name of the team.
    pub team: TeamName,
    /// Whether it has a contract.
    pub contracted: bool,
    /// Calls of the team after the warm-up; a resent call counts once.
    pub calls: u64,
    /// Calls after the warm-up that got a complete answer.
    pub answered: u64,
    /// Tokens of complete answers per second.
    pub tokens_per_s: f64,
    /// Share of the requested tokens per second that was served, 0 to 1; requested tokens above the
    /// reserved rate are ignored.
    pub reserved_served: f64,
    /// Number of refusals by reason, for calls after the warm-up.
    pub refusals: BTreeMap<String, u64>,
    /// Attempts that lost their slot to a request that may displace them.
    pub displaced: u64,
    /// Prompt tokens that were processed again to continue displaced requests.
    pub wasted_tokens: u64,
    pub(super) first_tokens: Histogram<u64>,
}

impl TeamResult {
    pub(super) fn new(team: TeamName, contracted: bool) -> Self {
        Self {
            team,
            contracted,
            calls: 0,
            answered: 0,
            tokens_per_s: 0.0,
            reserved_served: 0.0,
            refusals: BTreeMap::new(),
            displaced: 0,
            wasted_tokens: 0,
            first_tokens: first_token_histogram(),
        }
    }

    /// Share of calls with a complete answer, 0 to 1; 1 without calls.
    pub fn goodput(&self) -> f64 {
        if self.calls == 0 { 1.0 } else { self.answered as f64 / self.calls as f64 }
    }

    /// Time to the first token at `percentile` (0 to 100), in milliseconds.
    pub fn first_token_ms(&self, percentile: f64) -> f64 {
        self.first_tokens.value_at_percentile(percentile) as f64 / 1000.0
    }
}

pub(super) fn first_token_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_FIRST_TOKEN_US, 3).expect("constant bounds are valid")
}

/// Figures of a run.
#[derive(Clone, Debug)]
pub struct ScarcityReport {
    /// Figures of each team, the team without a contract last.
    pub teams: Vec<TeamResult>,
    /// Attempts per dispatched request; continuations of interrupted streams aren't counted.
    pub amplification: f64,
    /// Tokens of complete answers per second, over all teams.
    pub tokens_per_s: f64,
    /// Highest `tokens_per_s` of several loads; set in scenario `overload` only.
    pub best_tokens_per_s: Option<f64>,
    pub(super) first_tokens: Histogram<u64>,
}

impl ScarcityReport {
    /// Lowest goodput of a contracted team, 0 to 1.
    pub fn lowest_contracted_goodput(&self) -> f64 {
        let contracted = self.teams.iter().filter(|result| result.contracted);
        contracted.map(TeamResult::goodput).fold(1.0, f64::min)
    }

    /// Goodput over all contracted teams together, 0 to 1.
    pub fn contracted_goodput(&self) -> f64 {
        let contracted = self.teams.iter().filter(|result| result.contracted);
        let (answered, calls) = contracted.fold((0, 0), |(answered, calls), result| {
            (answered + result.answered, calls + result.calls)
        });
        answered as f64 / calls.max(1) as f64
    }

    /// Time to the first token of contracted teams at `percentile` (0 to 100), in milliseconds.
    pub fn contracted_first_token_ms(&self, percentile: f64) -> f64 {
        self.first_tokens.value_at_percentile(percentile) as f64 / 1000.0
    }
}

impl fmt::Display for ScarcityReport {
    /// Writes one line of key=value pairs per team, then a summary line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for result in &self.teams {
            let refusals = result.refusals.iter().map(|(kind, count)| format!("{kind}:{count}"));
            let refusals: Vec<String> = refusals.collect();
            writeln!(
                f,
                "team={} contracted={} calls={} goodput={:.4} tokens_per_s={:.0} reserved_served={:.4} ttft_p50_ms={:.0} ttft_p95_ms={:.0} refusals={} displaced={} wasted_tokens={}",
                result.team,
                result.contracted,
                result.calls,
                result.goodput(),
                result.tokens_per_s,
                result.reserved_served,
                result.first_token_ms(50.0),
                result.first_token_ms(95.0),
                if refusals.is_empty() { "none".to_owned() } else { refusals.join(",") },
                result.displaced,
                result.wasted_tokens,
            )?;
        }
        write!(
            f,
            "summary contracted_goodput={:.4} lowest_contracted_goodput={:.4} contracted_ttft_p50_ms={:.0} contracted_ttft_p95_ms={:.0} amplification={:.3} tokens_per_s={:.0}",
            self.contracted_goodput(),
            self.lowest_contracted_goodput(),
            self.contracted_first_token_ms(50.0),
            self.contracted_first_token_ms(95.0),
            self.amplification,
            self.tokens_per_s,
        )?;
        match self.best_tokens_per_s {
            Some(best) => write!(
                f,
                " best_tokens_per_s={best:.0} share_of_best={:.3}",
                self.tokens_per_s / best
            ),
            None => Ok(()),
        }
    }
}
