//! Detects and stops requests that crash the endpoints that run them.
//!
//! A connection reset counts as a crash only if the endpoint is unreachable shortly afterwards. All
//! requests in flight at a crashed endpoint are counted, so one crash or two may be a coincidence;
//! a request is quarantined only after crashes of several endpoints. A request that was answered
//! recently is never quarantined, since a request that crashes every endpoint gets no answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};
use sha2::{Digest, Sha256};

use crate::endpoint::EndpointId;

/// Number of crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// Time after a reset within which the endpoint must be unreachable for the reset to count as a
/// crash.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(1);
/// Time after the last crash for which crashes are counted and a request stays quarantined.
const CRASH_COUNT_LIFETIME: Duration = Duration::from_secs(15);
/// Time after which the current generation of answered requests becomes the previous one. An answer
/// is remembered for one to two of these times.
const ANSWER_GENERATION_TIME: Duration = Duration::from_secs(15);
/// Maximum number of answered requests in a generation.
const MAX_GENERATION_REQUESTS: usize = 4096;

common_derives! { index:
    /// Digest of the parts of a request that are equal whenever the request is sent again.
    pub struct RequestFingerprint(pub u64);
}

impl RequestFingerprint {
    /// The fingerprint of a request's target, caller and body.
    ///
    /// ```
    /// use celeryshed_dispatch::RequestFingerprint;
    /// let first = RequestFingerprint::of("/a/", "team", b"body");
    /// assert_ne!(first, RequestFingerprint::of("/a/", "team", b"other"));
    /// ```
    pub fn of(target: &str, caller: &str, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [target.as_bytes(), caller.as_bytes(), body] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let bytes = digest.finalize();
        let first: [u8; 8] = std::array::from_fn(|index| bytes[index]);
        Self(u64::from_be_bytes(first))
    }
}

#[derive(Clone, Debug, Default)]
struct CrashCount {
    /// Crashes observed by this entry.
    own: u32,
    /// Crashes reported by each other entry.
    peers: BTreeMap<String, u32>,
    last_crash_at: MonoTime,
}

/// Crash counts of requests, and the requests that are quarantined because of them.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::{RequestQuarantine, RequestFingerprint};
/// assert!(!RequestQuarantine::default().is_quarantined(MonoTime::ZERO, RequestFingerprint(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestQuarantine {
    resets: Vec<(MonoTime, EndpointId, RequestFingerprint)>,
    counts: BTreeMap<RequestFingerprint, CrashCount>,
    recently_answered: AnsweredRequests,
}

/// Recently answered requests, in two generations; the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
struct AnsweredRequests {
    current_since: MonoTime,
    current: BTreeSet<RequestFingerprint>,
    previous: BTreeSet<RequestFingerprint>,
}

impl AnsweredRequests {
    fn insert(&mut self, now: MonoTime, request: RequestFingerprint) {
        self.rotate(now);
        if self.current.len() < MAX_GENERATION_REQUESTS {
            self.current.insert(request);
        }
    }

    fn contains(&self, now: MonoTime, request: RequestFingerprint) -> bool {
        let age = now - self.current_since;
        age < ANSWER_GENERATION_TIME && self.previous.contains(&request)
            || age < ANSWER_GENERATION_TIME * 2 && self.current.contains(&request)
    }

    fn rotate(&mut self, now: MonoTime) {
        let age = now - self.current_since;
        if age >= ANSWER_GENERATION_TIME {
            let last = std::mem::take(&mut self.current);
            self.previous = if age < ANSWER_GENERATION_TIME * 2 { last } else { BTreeSet::new() };
            self.current_since = now;
        }
    }
}

impl RequestQuarantine {
    /// Records that the connection to `endpoint` broke while the request was in progress.
    pub fn record_reset(
        &mut self,
        now: MonoTime,
        endpoint: &EndpointId,
        request: RequestFingerprint,
    ) {
        self.remove_expired(now);
        self.resets.push((now, endpoint.clone(), request));
    }

    /// Records that an endpoint is unreachable, and counts a crash for each request whose
    /// connection to the endpoint broke shortly before.
    pub fn record_unreachable(&mut self, now: MonoTime, endpoint: &EndpointId) {
        self.remove_expired(now);
        let (crashed, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.resets).into_iter().partition(|(_, id, _)| id == endpoint);
        self.resets = rest;
        // Several equal requests in flight at the endpoint count as one crash.
        let requests: BTreeSet<RequestFingerprint> =
            crashed.into_iter().map(|(_, _, request)| request).collect();
        let suspects =
            requests.into_iter().filter(|request| !self.recently_answered.contains(now, *request));
        for request in suspects {
            let count = self.counts.entry(request).or_default();
            count.own += 1;
            count.last_crash_at = now;
        }
    }

    /// Records an answer to the request, which clears its crash count.
    pub fn record_answer(&mut self, now: MonoTime, request: RequestFingerprint) {
        self.counts.remove(&request);
        self.recently_answered.insert(now, request);
    }

    /// Replaces the crash counts that another entry reported before. Requests that are missing from
    /// `crashes` have no crashes at that entry any more.
    pub fn apply_peer_crashes(
        &mut self,
        now: MonoTime,
        peer: &str,
        crashes: &BTreeMap<RequestFingerprint, u32>,
    ) {
        for (request, count) in &mut self.counts {
            if !crashes.contains_key(request) {
                count.peers.remove(peer);
            }
        }
        for (request, crashes) in crashes {
            let count = self.counts.entry(*request).or_default();
            if count.peers.insert(peer.to_owned(), *crashes) != Some(*crashes) {
                count.last_crash_at = now;
            }
        }
    }

    /// Crash counts observed by this entry itself, to be reported to its peers.
    pub fn own_crashes(&self) -> impl Iterator<Item = (RequestFingerprint, u32)> + '_ {
        self.counts
            .iter()
            .filter(|(_, count)| count.own > 0)
            .map(|(request, count)| (*request, count.own))
    }

    /// Whether the request must be refused because it crashed several endpoints.
    pub fn is_quarantined(&self, now: MonoTime, request: RequestFingerprint) -> bool {
        self.counts.get(&request).is_some_and(|count| {
            let peers: u64 = count.peers.values().copied().map(u64::from).sum();
            u64::from(count.own) + peers >= u64::from(CRASHES_TO_QUARANTINE)
                && now - count.last_crash_at < CRASH_COUNT_LIFETIME
                && !self.recently_answered.contains(now, request)
        })
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.resets.retain(|(at, ..)| now - *at <= CONFIRMATION_WINDOW);
        self.counts.retain(|_, count| now - count.last_crash_at < CRASH_COUNT_LIFETIME);
    }
}
