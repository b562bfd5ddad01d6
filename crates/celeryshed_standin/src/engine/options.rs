//! Options of the model engine.

use std::time::Duration;

use celeryshed_base::{ContentDigest, common_derives};

use crate::error::{Result, StandinError};

/// Tokens per second of an engine. At the target size, each engine generates 2,000,000 / 600 tokens
/// per second; the engines of the deployments are smaller.
const TOKENS_PER_S: u32 = 800;

/// Maximum tokens per second of one stream: one token every 20 ms, which is below the objective of
/// 26 ms.
const STREAM_TOKENS_PER_S: u32 = 50;

/// Prompt tokens processed per second. A prompt of 1,000 tokens takes 0.1 s, a quarter of the
/// objective for the first token.
const PREFILL_TOKENS_PER_S: u32 = 10_000;

/// Number of streams that can all run at [`STREAM_TOKENS_PER_S`] within [`TOKENS_PER_S`].
const SLOTS: u32 = 16;

/// Number of prefix blocks in the cache, of 16 tokens each.
const CACHE_BLOCKS: u32 = 4_096;

common_derives! { value:
    /// Options of an engine before validation.
    pub struct RawEngineOptions {
        /// Maximum number of running requests; positive, default 16.
        pub slots: u32,
        /// Number of waiting requests at which more are refused while all slots are taken; default
        /// 64.
        pub queue_limit: u32,
        /// Tokens per second, shared by the running streams; positive, default 800.
        pub tokens_per_s: u32,
        /// Maximum tokens per second of one stream; positive, default 50.
        pub stream_tokens_per_s: u32,
        /// Prompt tokens processed per second; cached tokens take no time. Positive, default
        /// 10,000.
        pub prefill_tokens_per_s: u32,
        /// Maximum number of prefix blocks in the cache; default 4,096.
        pub cache_blocks: u32,
        /// Time in milliseconds to load a verified version; default 500.
        pub load_ms: u64,
        /// Time in milliseconds to load an adapter; default 300.
        pub adapter_load_ms: u64,
        /// Maximum number of loaded adapters; positive, default 4.
        pub adapter_slots: u32,
        /// Age in milliseconds of the load in a load report; default 500.
        pub report_lag_ms: u64,
        /// Delay in milliseconds after which readers see a cache event; default 500.
        pub event_delay_ms: u64,
        /// Share of cache events that are lost, in thousandths; 0 to 1,000, default 50.
        pub event_loss_permille: u32,
        /// Whether a command is refused when an earlier command had a higher fence; default true.
        pub checks_fence: bool,
        /// Text in a prompt that crashes the engine; not empty, default `crash-engine`.
        pub crash_marker: String,
        /// Time in milliseconds until a crashed engine is back; default 3,000.
        pub restart_ms: u64,
        /// Delay of each call in milliseconds; default 0.
        pub latency_ms: u64,
        /// Version that is live after the launch, as the digest of its manifest in 64 hexadecimal
        /// digits. If absent, no version is live. After a crash, no version is live either.
        pub initial_version: Option<String>,
        /// Seed of the random choice of lost cache events; default 0.
        pub seed: u64,
    }

}

/// Validated options of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    pub(super) slots: usize,
    pub(super) queue_limit: usize,
    pub(super) tokens_per_s: f64,
    pub(super) stream_tokens_per_s: f64,
    pub(super) prefill_tokens_per_s: f64,
    pub(super) cache_blocks: usize,
    pub(super) load_time: Duration,
    pub(super) adapter_load_time: Duration,
    pub(super) adapter_slots: usize,
    pub(super) report_lag: Duration,
    pub(super) event_delay: Duration,
    pub(super) event_loss_permille: u32,
    pub(super) checks_fence: bool,
    pub(super) crash_marker: String,
    pub(super) restart_time: Duration,
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
        check_positive("slots", raw.slots)?;
        check_positive("tokens_per_s", raw.tokens_per_s)?;
        check_positive("stream_tokens_per_s", raw.stream_tokens_per_s)?;
        check_positive("prefill_tokens_per_s", raw.prefill_tokens_per_s)?;
        check_positive("adapter_slots", raw.adapter_slots)?;
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
    /// Converts all options except the initial version, which needs parsing.
    fn from_checked(raw: RawEngineOptions) -> Self {
        Self {
            slots: raw.slots as usize,
            queue_limit: raw.queue_limit as usize,
            tokens_per_s: raw.tokens_per_s.into(),
            stream_tokens_per_s: raw.stream_tokens_per_s.into(),
            prefill_tokens_per_s: raw.prefill_tokens_per_s.into(),
            cache_blocks: raw.cache_blocks as usize,
            load_time: Duration::from_millis(raw.load_ms),
            adapter_load_time: Duration::from_millis(raw.adapter_load_ms),
            adapter_slots: raw.adapter_slots as usize,
            report_lag: Duration::from_millis(raw.report_lag_ms),
            event_delay: Duration::from_millis(raw.event_delay_ms),
            event_loss_permille: raw.event_loss_permille,
            checks_fence: raw.checks_fence,
            crash_marker: raw.crash_marker,
            restart_time: Duration::from_millis(raw.restart_ms),
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

fn check_positive(key: &'static str, value: u32) -> Result<()> {
    if value == 0 { Err(StandinError::option(key, value, "1 or more")) } else { Ok(()) }
}

fn parse_version(value: &str) -> Result<ContentDigest> {
    let invalid = |_| StandinError::option("initial_version", value, "64 hexadecimal digits");
    ContentDigest::try_from(value).map_err(invalid)
}
