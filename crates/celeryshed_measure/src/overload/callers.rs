//! Requests of callers: sizes, arrival times and the value of an answer.

use std::time::Duration;

use celeryshed_base::MonoTime;
use rand::Rng;
use rand::rngs::StdRng;

/// Longest time from a caller's first attempt to the first event of an answer of full value.
pub(super) const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Longest pause between two events of an answer of full value.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// Time after its first attempt at which a caller gives up.
pub(super) const TIME_LIMIT: Duration = Duration::from_secs(6);

/// Value of a late answer as a share of the full value.
pub(super) const LATE_VALUE_SHARE: f64 = 0.25;

/// Size and value of one class of requests.
struct RequestClass {
    /// Arrival rate relative to the other classes.
    weight: f64,
    /// Value of an answer of mean size.
    value: f64,
    mean_prompt_tokens: f64,
    max_prompt_tokens: f64,
    mean_answer_tokens: f64,
    max_answer_tokens: f64,
}

/// Classes of streamed requests in the two deployments.
const REQUEST_CLASSES: [RequestClass; 3] = [
    RequestClass {
        weight: 296.0,
        value: 2.5,
        mean_prompt_tokens: 1280.0,
        max_prompt_tokens: 3880.0,
        mean_answer_tokens: 136.0,
        max_answer_tokens: 367.0,
    },
    RequestClass {
        weight: 205.0,
        value: 2.2,
        mean_prompt_tokens: 795.0,
        max_prompt_tokens: 3330.0,
        mean_answer_tokens: 136.0,
        max_answer_tokens: 367.0,
    },
    RequestClass {
        weight: 251.0,
        value: 1.3,
        mean_prompt_tokens: 620.0,
        max_prompt_tokens: 2640.0,
        mean_answer_tokens: 62.0,
        max_answer_tokens: 367.0,
    },
];

/// A request of a caller; a retry of the caller is the same request.
#[derive(Clone, Debug)]
pub(super) struct SimRequest {
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
    /// The caller's own estimate of `answer_tokens`.
    pub(super) answer_tokens_hint: u32,
    /// Value of an answer that is in time.
    pub(super) full_value: f64,
    /// Time of the caller's first attempt.
    pub(super) first_at: MonoTime,
    /// Whether this is the caller's retry after a refusal.
    pub(super) caller_retry: bool,
    /// Index of the entry that handles the request.
    pub(super) entry: usize,
}

/// Returns a random request that arrives at `now`.
pub(super) fn draw_request(now: MonoTime, entry: usize, random: &mut StdRng) -> SimRequest {
    let total: f64 = REQUEST_CLASSES.iter().map(|class| class.weight).sum();
    let mut rest = random.random_range(0.0..total);
    let mut chosen = &REQUEST_CLASSES[0];
    for class in &REQUEST_CLASSES {
        chosen = class;
        if rest < class.weight {
            break;
        }
        rest -= class.weight;
    }
    let prompt =
        exponential(chosen.mean_prompt_tokens, random).clamp(60.0, chosen.max_prompt_tokens);
    let answer =
        exponential(chosen.mean_answer_tokens, random).clamp(7.0, chosen.max_answer_tokens);
    let size =
        (prompt + 10.0 * answer) / (chosen.mean_prompt_tokens + 10.0 * chosen.mean_answer_tokens);
    SimRequest {
        prompt_tokens: prompt as u32,
        answer_tokens: answer as u32,
        answer_tokens_hint: (answer * random.random_range(0.5..1.6)) as u32,
        full_value: chosen.value * (0.3 + 0.7 * size).min(4.0),
        first_at: now,
        caller_retry: false,
        entry,
    }
}

/// Time until the next request of a Poisson process.
pub(super) fn arrival_pause(requests_per_s: f64, random: &mut StdRng) -> Duration {
    Duration::from_secs_f64(exponential(1.0 / requests_per_s, random))
}

fn exponential(mean: f64, random: &mut StdRng) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    -mean * uniform.ln()
}
