//! Blobs, faults and counters of the weight store or the origin.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, ContentDigest, common_derives};

use super::options::BlobOptions;
use crate::faults::{Outage, consume_fault};
use crate::limits::RateLimiter;

/// Bytes that the link sends without delay after an idle time. A small burst lets the rate limit
/// take effect in short tests too.
const LINK_BURST_BYTES: f64 = 64.0 * 1024.0;

common_derives! { record:
    /// Faults of the weight store or the origin; by default there are none.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct BlobFaults {
        /// Outage of all calls.
        pub outage: Outage,
        /// Delay added to `latency_ms` of the options for each call, in milliseconds.
        pub extra_latency_ms: u64,
        /// Bytes per second of the link; if absent, `bytes_per_s` of the options applies.
        pub bytes_per_s: Option<u64>,
        /// Number of upcoming fetches that are sent with one bit flipped.
        pub corrupt_next: u32,
        /// Number of upcoming fetches whose connection is closed after half of the body.
        pub cut_next: u32,
        /// Number of upcoming fetches that stall after half of the body.
        pub stall_next: u32,
        /// Blobs that are answered with 404 even if they are stored.
        pub missing: Vec<ContentDigest>,
    }

    /// Counters of the weight store or the origin since its launch.
    #[derive(Default)]
    pub struct BlobCounts {
        /// Fetches answered with content, including faulty content.
        pub fetches: u64,
        /// Bytes of content sent to clients.
        pub bytes_served: u64,
        /// Complete copies of each blob sent, including corrupted copies.
        pub copies: BTreeMap<ContentDigest, u64>,
        /// Fetches answered with 429 because `requests_per_s` was exceeded.
        pub rate_limited: u64,
        /// Fetches answered with 404.
        pub not_found: u64,
        /// Blobs pulled from the origin.
        pub pulls: u64,
        /// Bytes pulled from the origin.
        pub bytes_pulled: u64,
        /// Blobs put by clients, without those put below `/control`.
        pub puts: u64,
    }
}

/// Fault that ends the body of one reply early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFault {
    None,
    Truncated,
    Stalled,
}

#[derive(Debug)]
pub(super) struct BlobState {
    clock: ClockSource,
    pub(super) options: BlobOptions,
    request_limiter: RateLimiter,
    link_limiter: RateLimiter,
    blobs: BTreeMap<ContentDigest, Bytes>,
    pub(super) faults: BlobFaults,
    pub(super) counts: BlobCounts,
}

impl BlobState {
    pub(super) fn new(options: BlobOptions, clock: ClockSource) -> Self {
        let now = clock.now();
        let requests_per_s = f64::from(options.requests_per_s);
        Self {
            clock,
            request_limiter: RateLimiter::new(requests_per_s, requests_per_s, now),
            link_limiter: RateLimiter::new(options.bytes_per_s as f64, LINK_BURST_BYTES, now),
            options,
            blobs: BTreeMap::new(),
            faults: BlobFaults::default(),
            counts: BlobCounts::default(),
        }
    }

    pub(super) fn latency(&self) -> Duration {
        self.options.latency + Duration::from_millis(self.faults.extra_latency_ms)
    }

    pub(super) fn set_faults(&mut self, faults: BlobFaults) {
        let bytes_per_s = faults.bytes_per_s.unwrap_or(self.options.bytes_per_s).max(1);
        self.link_limiter.set_rate(bytes_per_s as f64, self.clock.now());
        self.faults = faults;
    }

    pub(super) fn insert(&mut self, content: Bytes) -> ContentDigest {
        let digest = ContentDigest::of(&content);
        self.blobs.insert(digest, content);
        digest
    }

    /// Returns the blob; `None` if it is not stored or a fault makes it missing.
    pub(super) fn blob(&self, digest: &ContentDigest) -> Option<Bytes> {
        self.blobs.get(digest).filter(|_| !self.is_missing(digest)).cloned()
    }

    pub(super) fn is_missing(&self, digest: &ContentDigest) -> bool {
        self.faults.missing.contains(digest)
    }

    /// Admits a fetch under the rate limit, or returns the time until the next one is admitted.
    pub(super) fn admit_fetch(&mut self) -> Result<(), Duration> {
        let admitted = self.request_limiter.try_take(1.0, self.clock.now());
        if admitted.is_err() {
            self.counts.rate_limited += 1;
        }
        admitted
    }

    /// Reserves the link for `bytes` and returns the time to wait before sending them.
    pub(super) fn reserve_link(&mut self, bytes: usize) -> Duration {
        self.counts.bytes_served += bytes as u64;
        self.link_limiter.reserve(bytes as f64, self.clock.now())
    }

    /// Returns the content to send, with one bit flipped if a fault demands so, and the fault that
    /// ends the body early.
    pub(super) fn next_body(&mut self, content: Bytes) -> (BodyFault, Bytes) {
        self.counts.fetches += 1;
        if consume_fault(&mut self.faults.cut_next) {
            return (BodyFault::Truncated, content);
        }
        if consume_fault(&mut self.faults.stall_next) {
            return (BodyFault::Stalled, content);
        }
        if consume_fault(&mut self.faults.corrupt_next) {
            return (BodyFault::None, flip_one_bit(&content));
        }
        (BodyFault::None, content)
    }

    pub(super) fn count_copy(&mut self, digest: ContentDigest) {
        *self.counts.copies.entry(digest).or_default() += 1;
    }
}

fn flip_one_bit(content: &Bytes) -> Bytes {
    let mut content = content.to_vec();
    if let Some(byte) = content.last_mut() {
        *byte ^= 1;
    }
    content.into()
}
