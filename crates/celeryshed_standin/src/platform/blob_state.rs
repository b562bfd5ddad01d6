//! State of a place that holds blobs.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use celeryshed_base::{ClockSource, ContentDigest, common_derives};

use super::options::BlobOptions;
use crate::limits::RateLimiter;
use crate::steering::{Outage, take_one};

/// Bytes that the link sends at once after an idle time; small, so that short tests see the rate.
const LINK_BURST_BYTES: f64 = 64.0 * 1024.0;

common_derives! { record:
    /// Faults of the weight store or the origin.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct BlobFaults {
        /// Outage of all calls.
        pub outage: Outage,
        /// Delay of each call in addition to the usual one, in milliseconds.
        pub extra_latency_ms: u64,
        /// Bytes a second of the link instead of the options'.
        pub bytes_per_s: Option<u64>,
        /// Fetches whose content is sent with one bit flipped.
        pub corrupt_next: u32,
        /// Fetches that are cut in the middle of the body.
        pub cut_next: u32,
        /// Fetches that send half of the body and then nothing more.
        pub stall_next: u32,
        /// Blobs that are treated as unknown.
        pub missing: Vec<ContentDigest>,
    }

    /// What the weight store or the origin has counted.
    #[derive(Default)]
    pub struct BlobCounts {
        /// Fetches answered with content.
        pub fetches: u64,
        /// Bytes of content sent.
        pub bytes_served: u64,
        /// Whole copies of each blob sent.
        pub copies: BTreeMap<ContentDigest, u64>,
        /// Fetches refused because of the rate.
        pub rate_limited: u64,
        /// Fetches of unknown blobs.
        pub not_found: u64,
        /// Blobs pulled from the origin.
        pub pulls: u64,
        /// Bytes pulled from the origin.
        pub bytes_pulled: u64,
        /// Blobs put by clients.
        pub puts: u64,
    }
}

/// How the body of one reply is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFault {
    None,
    Cut,
    Stall,
}

#[derive(Debug)]
pub(super) struct BlobState {
    clock: ClockSource,
    pub(super) options: BlobOptions,
    requests: RateLimiter,
    link: RateLimiter,
    blobs: BTreeMap<ContentDigest, Bytes>,
    pub(super) faults: BlobFaults,
    pub(super) counts: BlobCounts,
}

impl BlobState {
    pub(super) fn new(options: BlobOptions, clock: ClockSource) -> Self {
        let now = clock.now();
        let requests = f64::from(options.requests_per_s);
        Self {
            clock,
            requests: RateLimiter::new(requests, requests, now),
            link: RateLimiter::new(options.bytes_per_s as f64, LINK_BURST_BYTES, now),
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
        self.link.set_rate(bytes_per_s as f64, self.clock.now());
        self.faults = faults;
    }

    pub(super) fn insert(&mut self, content: Bytes) -> ContentDigest {
        let digest = ContentDigest::of(&content);
        self.blobs.insert(digest, content);
        digest
    }

    /// The blob, unless a fault hides it.
    pub(super) fn blob(&self, digest: &ContentDigest) -> Option<Bytes> {
        self.blobs.get(digest).filter(|_| !self.is_missing(digest)).cloned()
    }

    pub(super) fn is_missing(&self, digest: &ContentDigest) -> bool {
        self.faults.missing.contains(digest)
    }

    /// Takes a fetch from the rate, or tells how long to wait.
    pub(super) fn take_request(&mut self) -> Result<(), Duration> {
        let taken = self.requests.take(1.0, self.clock.now());
        if taken.is_err() {
            self.counts.rate_limited += 1;
        }
        taken
    }

    /// Takes `bytes` of the link in advance and tells how long to wait before sending them.
    pub(super) fn reserve_link(&mut self, bytes: usize) -> Duration {
        self.counts.bytes_served += bytes as u64;
        self.link.reserve(bytes as f64, self.clock.now())
    }

    /// The fault of the next body, and the content that is sent.
    pub(super) fn next_body(&mut self, content: Bytes) -> (BodyFault, Bytes) {
        self.counts.fetches += 1;
        if take_one(&mut self.faults.cut_next) {
            return (BodyFault::Cut, content);
        }
        if take_one(&mut self.faults.stall_next) {
            return (BodyFault::Stall, content);
        }
        if take_one(&mut self.faults.corrupt_next) {
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
