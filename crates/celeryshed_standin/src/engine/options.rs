//! Options of the engine's stand-in.

use std::time::Duration;

use celeryshed_base::{ContentDigest, common_derives};

use crate::error::{Result, StandinError};

/// At the target size an engine generates 2,000,000 / 600 tokens a second; the engines of the
/// deployments are smaller.
const TOKENS_PER_S: u32 = 800;

/// 50 tokens a second are 20 ms between tokens, below the objective of 26 ms.
const STREAM_TOKENS_PER_S: u32 = 50;

/// A prompt of 1,000 tokens takes 0.1 s, a quarter of the objective for the first token.
const PREFILL_TOKENS_PER_S: u32 = 10_000;

/// Slots at which the streams just reach their own cap.
const SLOTS: u32 = 16;

/// Prefix blocks in the cache: 4,096 blocks of 16 tokens.
const CACHE_BLOCKS: u32 = 4_096;

common_derives! { value:
    /// Unchecked options of an engine.
    pub struct RawEngineOptions {
        /// Requests that run at once.
        pub slots: u32,
        /// Requests that wait before more are refused.
        pub queue_limit: u32,
        /// Tokens a second, shared by the running streams.
        pub tokens_per_s: u32,
        /// Most tokens a second of one stream.
        pub stream_tokens_per_s: u32,
        /// Prompt tokens a second that are processed when they aren't cached.
        pub prefill_tokens_per_s: u32,
        /// Blocks of prompt prefixes that the cache holds.
        pub cache_blocks: u32,
        /// Time that a verified version takes to load, in milliseconds.
        pub load_ms: u64,
        /// Time that an adapter takes to load, in milliseconds.
        pub adapter_load_ms: u64,
        /// Adapters that are loaded at once.
        pub adapter_slots: u32,
        /// Age of the load that is reported, in milliseconds.
        pub report_lag_ms: u64,
        /// Delay of cache events, in milliseconds.
        pub event_delay_ms: u64,
        /// Share of cache events that are lost, in thousandths.
        pub event_loss_permille: u32,
        /// Whether commands with an older fence are refused.
        pub checks_fence: bool,
        /// Text in a prompt that crashes the engine.
        pub crash_marker: String,
        /// Time until the engine is back after a crash, in milliseconds.
        pub restart_ms: u64,
        /// Delay of each call in milliseconds.
        pub latency_ms: u64,
        /// Version that is live at the first start, as a manifest digest.
        pub initial_version: Option<String>,
        /// Seed of the choice of lost events.
        pub seed: u64,
    }

}

/// Checked options of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    pub(super) slots: usize,
    pub(super) queue_limit: usize,
    pub(super) tokens_per_s: f64,
    pub(super) stream_tokens_per_s: f64,
    pub(super) prefill_tokens_per_s: f64,
    pub(super) cache_blocks: usize,
    pub(super) load: Duration,
    pub(super) adapter_load: Duration,
    pub(super) adapter_slots: usize,
    pub(super) report_lag: Duration,
    pub(super) event_delay: Duration,
    pub(super) event_loss_permille: u32,
    pub(super) checks_fence: bool,
    pub(super) crash_marker: String,
    pub(super) restart: Duration,
    pub(super) latency: Duration,
    pub(super) initial_version: Option<ContentDigest>,
    pub(super) seed: u64,
}

impl Default for RawEngineOptions {
    fn default() -> Self {
        Self {
            slots: SLOTS,
            queue_limit: 64,
            tokens_per_s: TOKENS_PER_S,
            stream_tokens_per_s: STREAM_TOKENS_PER_S,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            cache_blocks: CACHE_BLOCKS,
            load_ms: 500,
            adapter_load_ms: 300,
            adapter_slots: 4,
            report_lag_ms: 500,
            event_delay_ms: 500,
            event_loss_permille: 50,
            checks_fence: true,
            crash_marker: "crash-engine".to_owned(),
            restart_ms: 3_000,
            latency_ms: 0,
            initial_version: None,
            seed: 0,
        }
    }
}

impl TryFrom<RawEngineOptions> for EngineOptions {
    type Error = StandinError;

    fn try_from(raw: RawEngineOptions) -> Result<Self> {
        positive("slots", raw.slots)?;
        positive("tokens_per_s", raw.tokens_per_s)?;
        positive("stream_tokens_per_s", raw.stream_tokens_per_s)?;
        positive("prefill_tokens_per_s", raw.prefill_tokens_per_s)?;
        positive("adapter_slots", raw.adapter_slots)?;
        if raw.event_loss_permille > 1000 {
            let value = raw.event_loss_permille;
            return Err(StandinError::option("event_loss_permille", value, "0 to 1000"));
        }
        if raw.crash_marker.is_empty() {
            return Err(StandinError::option("crash_marker", "", "1 or more characters"));
        }
        let initial_version = raw.initial_version.as_deref().map(parse_version).transpose()?;
        Ok(Self { initial_version, ..Self::from_checked(raw) })
    }
}

impl EngineOptions {
    /// Everything but the initial version.
    fn from_checked(raw: RawEngineOptions) -> Self {
        Self {
            slots: raw.slots as usize,
            queue_limit: raw.queue_limit as usize,
            tokens_per_s: raw.tokens_per_s.into(),
            stream_tokens_per_s: raw.stream_tokens_per_s.into(),
            prefill_tokens_per_s: raw.prefill_tokens_per_s.into(),
            cache_blocks: raw.cache_blocks as usize,
            load: Duration::from_millis(raw.load_ms),
            adapter_load: Duration::from_millis(raw.adapter_load_ms),
            adapter_slots: raw.adapter_slots as usize,
            report_lag: Duration::from_millis(raw.report_lag_ms),
            event_delay: Duration::from_millis(raw.event_delay_ms),
            event_loss_permille: raw.event_loss_permille,
            checks_fence: raw.checks_fence,
            crash_marker: raw.crash_marker,
            restart: Duration::from_millis(raw.restart_ms),
            latency: Duration::from_millis(raw.latency_ms),
            initial_version: None,
            seed: raw.seed,
        }
    }
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self::from_checked(RawEngineOptions::default())
    }
}

fn positive(key: &'static str, value: u32) -> Result<()> {
    if value == 0 { Err(StandinError::option(key, value, "1 or more")) } else { Ok(()) }
}

fn parse_version(value: &str) -> Result<ContentDigest> {
    let rejected = |_| StandinError::option("initial_version", value, "64 hexadecimal digits");
    ContentDigest::try_from(value).map_err(rejected)
}
