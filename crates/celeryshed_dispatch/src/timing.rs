//! Estimates how long a batching engine takes for one more request.

use std::time::Duration;

use crate::load::PeerLoad;
use crate::routes::EngineProfile;

/// Assumed answer time of a plain service before the first measurement.
const DEFAULT_PLAIN_ANSWER_TIME: Duration = Duration::from_millis(20);

/// Estimates for the engines of one service; internal times are in microseconds.
///
/// An engine alternates between a chunk of prompt prefill and a pass, which is a fixed number of
/// decode steps for all running requests. The first token of a request therefore waits for the
/// prefill of the prompts ahead of it and for the passes in between. A request without a free slot
/// also waits until one becomes free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTiming {
    slots: u32,
    step_us: f64,
    step_per_request_us: f64,
    step_per_token_us: f64,
    prefill_token_us: f64,
    prefill_pair_us: f64,
    prefill_chunk: f64,
    pass_steps: f64,
    answer_tokens: f64,
    prompt_tokens: f64,
}

impl From<&EngineProfile> for EngineTiming {
    fn from(profile: &EngineProfile) -> Self {
        Self {
            slots: profile.slots,
            step_us: profile.step_us as f64,
            step_per_request_us: profile.step_per_request_us as f64,
            step_per_token_us: profile.step_per_context_token_ns as f64 / 1e3,
            prefill_token_us: 1e6 / profile.read_per_s.max(1) as f64,
            prefill_pair_us: profile.read_per_kilopair_ns as f64 / 1e6,
            prefill_chunk: f64::from(profile.read_chunk.max(1)),
            pass_steps: f64::from(profile.pass_steps.max(1)),
            answer_tokens: f64::from(profile.mean_answer_tokens),
            prompt_tokens: f64::from(profile.mean_prompt_tokens),
        }
    }
}

impl EngineTiming {
    /// Number of requests that an engine runs concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Expected time from placing a request on an engine with `load` to its first token.
    ///
    /// ```
    /// # use celeryshed_dispatch::{EngineProfile, EngineTiming, PeerLoad};
    /// # let profile = EngineProfile { slots: 16, step_us: 6730, step_per_request_us: 22,
    /// #     step_per_context_token_ns: 7, read_per_s: 30_600, read_per_kilopair_ns: 647,
    /// #     read_chunk: 2048, pass_steps: 6, mean_answer_tokens: 119, mean_prompt_tokens: 964,
    /// #     models: vec![], piece_count: 96,
    /// #     piece_bytes: 24_576 };
    /// let timing = EngineTiming::from(&profile);
    /// let idle = timing.first_token_time(PeerLoad::default(), 1000);
    /// let busy = timing.first_token_time(PeerLoad { running: 16, unread_tokens: 3000 }, 1000);
    /// assert!(idle < busy);
    /// ```
    pub fn first_token_time(&self, load: PeerLoad, prompt_tokens: u32) -> Duration {
        let decoding = f64::from(load.running.min(self.slots));
        let unread_tokens = f64::from(load.unread_tokens) + f64::from(prompt_tokens);
        let prefill_us = self.prefill_us(f64::from(prompt_tokens))
            + f64::from(load.unread_tokens) * self.prefill_token_us;
        let passes_us = if load.running == 0 {
            self.step_us
        } else {
            (unread_tokens / self.prefill_chunk).ceil().max(1.0) * self.pass_us(decoding)
                + self.step_us
        };
        micros(prefill_us + passes_us + self.slot_wait_us(load))
    }

    /// Expected time from the first to the last token of an answer at an engine with `running`
    /// other requests.
    ///
    /// `tokens` is the caller's estimate of the answer's length; the default is the mean length.
    pub fn answer_time(&self, running: u32, tokens: Option<u32>) -> Duration {
        let tokens = tokens.map_or(self.answer_tokens, f64::from);
        let passes = tokens / self.pass_steps;
        let decoding = f64::from(running.saturating_add(1).min(self.slots));
        micros(passes * self.pass_us(decoding))
    }

    /// Expected number of prompt tokens of `requests` that an engine has not started to read.
    pub(crate) fn unread_tokens(&self, requests: u32) -> u32 {
        (self.prompt_tokens * f64::from(requests)) as u32
    }

    /// Mean time between the ends of two requests at a full engine.
    pub fn slot_interval(&self) -> Duration {
        micros(self.request_us() / f64::from(self.slots.max(1)))
    }

    fn slot_wait_us(&self, load: PeerLoad) -> f64 {
        let ahead = load.running.saturating_add(1).saturating_sub(self.slots);
        f64::from(ahead) * self.request_us() / f64::from(self.slots.max(1))
    }

    fn request_us(&self) -> f64 {
        let decode_us = self.answer_tokens * self.pass_us(f64::from(self.slots)) / self.pass_steps;
        // The prefill of each new request interrupts the decoding of the others.
        decode_us + f64::from(self.slots) * self.prefill_us(self.prompt_tokens)
    }

    fn pass_us(&self, running: f64) -> f64 {
        let context = running * (self.prompt_tokens + self.answer_tokens / 2.0);
        self.pass_steps
            * (self.step_us + running * self.step_per_request_us + context * self.step_per_token_us)
    }

    fn prefill_us(&self, tokens: f64) -> f64 {
        tokens * self.prefill_token_us + tokens * tokens / 2.0 * self.prefill_pair_us
    }
}

/// Expected answer time at an endpoint of a plain service, which has no batching engine.
///
/// `mean_time` is the measured mean answer time; `None` before the first measurement.
pub(crate) fn plain_answer_time(
    load: PeerLoad,
    slots: u32,
    mean_time: Option<Duration>,
) -> Duration {
    let mean_time = mean_time.unwrap_or(DEFAULT_PLAIN_ANSWER_TIME);
    let ahead = load.running.saturating_add(1).saturating_sub(slots);
    mean_time + mean_time.mul_f64(f64::from(ahead) / f64::from(slots.max(1)))
}

fn micros(value: f64) -> Duration {
    Duration::from_micros(value.max(0.0) as u64)
}
