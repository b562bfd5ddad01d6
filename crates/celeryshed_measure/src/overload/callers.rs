//! Callers: what they ask for, when, and when they come back.

use std::time::Duration;

use celeryshed_base::MonoTime;
use rand::Rng;
use rand::rngs::StdRng;

/// Time from a caller's first attempt to its first event within which an answer has its full value.
pub(super) const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Longest pause between two events of an answer that has its full value.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// Time that a caller waits in all.
pub(super) const TIME_LIMIT: Duration = Duration::from_secs(6);

/// Value of a late answer, as a part of the full one.
pub(super) const LATE_PART: f64 = 0.25;

/// One kind of request.
struct RequestClass {
    /// Arrivals relative to those of the other kinds.
    weight: f64,
    worth: f64,
    mean_prompt: f64,
    most_prompt: f64,
    mean_answer: f64,
    most_answer: f64,
}

/// The stream kinds of the two deployments.
const CLASSES: [RequestClass; 3] = [
    RequestClass {
        weight: 296.0,
        worth: 2.5,
        mean_prompt: 1280.0,
        most_prompt: 3880.0,
        mean_answer: 136.0,
        most_answer: 367.0,
    },
    RequestClass {
        weight: 205.0,
        worth: 2.2,
        mean_prompt: 795.0,
        most_prompt: 3330.0,
        mean_answer: 136.0,
        most_answer: 367.0,
    },
    RequestClass {
        weight: 251.0,
        worth: 1.3,
        mean_prompt: 620.0,
        most_prompt: 2640.0,
        mean_answer: 62.0,
        most_answer: 367.0,
    },
];

/// A request of a caller; it keeps its identity when the caller comes back.
#[derive(Clone, Debug)]
pub(super) struct SimRequest {
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
    /// The caller's own estimate of `answer_tokens`.
    pub(super) hint: u32,
    /// Value of an answer in time.
    pub(super) worth: f64,
    /// When the caller sent it first.
    pub(super) first_at: MonoTime,
    /// Whether the caller came back after a refusal.
    pub(super) caller_retry: bool,
    /// Index of the entry that has it.
    pub(super) entry: usize,
}

/// Draws a request that arrives at `now`.
pub(super) fn draw_request(now: MonoTime, entry: usize, random: &mut StdRng) -> SimRequest {
    let total: f64 = CLASSES.iter().map(|class| class.weight).sum();
    let mut rest = random.random_range(0.0..total);
    let mut chosen = &CLASSES[0];
    for class in &CLASSES {
        chosen = class;
        if rest < class.weight {
            break;
        }
        rest -= class.weight;
    }
    let prompt = exponential(chosen.mean_prompt, random).clamp(60.0, chosen.most_prompt);
    let answer = exponential(chosen.mean_answer, random).clamp(7.0, chosen.most_answer);
    let size = (prompt + 10.0 * answer) / (chosen.mean_prompt + 10.0 * chosen.mean_answer);
    SimRequest {
        prompt_tokens: prompt as u32,
        answer_tokens: answer as u32,
        hint: (answer * random.random_range(0.5..1.6)) as u32,
        worth: chosen.worth * (0.3 + 0.7 * size).min(4.0),
        first_at: now,
        caller_retry: false,
        entry,
    }
}

/// Time to the next arrival at a rate a second.
pub(super) fn pause(per_s: f64, random: &mut StdRng) -> Duration {
    Duration::from_secs_f64(exponential(1.0 / per_s, random))
}

fn exponential(mean: f64, random: &mut StdRng) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    -mean * uniform.ln()
}
