//! Recognises requests that crash the endpoints that run them.
//!
//! A broken connection alone says little. It counts against the request when its endpoint could not
//! be reached right afterwards. Requests that were in flight beside the guilty one are blamed once
//! or twice by chance; only what crashed several endpoints is stopped. A request that was answered
//! lately is not blamed at all: one that crashes whatever runs it never gets an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};
use sha2::{Digest, Sha256};

use crate::endpoint::EndpointId;

/// Crashes after which a request is no longer sent.
const MAX_CRASHES: u32 = 3;
/// A reset counts if the endpoint can't be reached within this time.
const CONFIRM_WITHIN: Duration = Duration::from_secs(1);
/// Time without another crash after which a request is tried again.
const MEMORY: Duration = Duration::from_secs(15);
/// Time for which an answer proves that a request crashes nothing: one to two of these spans.
const PROOF_SPAN: Duration = Duration::from_secs(15);
/// Answered requests that are remembered for each span.
const MAX_PROOFS: usize = 4096;

common_derives! { index:
    /// Digest of what makes a request recognisable when it comes again.
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
    own: u32,
    peers: BTreeMap<String, u32>,
    last: MonoTime,
}

/// The requests that are suspected.
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
    answered: AnsweredRequests,
}

/// The requests that were answered lately, in two spans of time.
#[derive(Clone, Debug, Default)]
struct AnsweredRequests {
    since: MonoTime,
    current: BTreeSet<RequestFingerprint>,
    previous: BTreeSet<RequestFingerprint>,
}

impl AnsweredRequests {
    fn insert(&mut self, now: MonoTime, request: RequestFingerprint) {
        self.rotate(now);
        if self.current.len() < MAX_PROOFS {
            self.current.insert(request);
        }
    }

    fn contains(&self, now: MonoTime, request: RequestFingerprint) -> bool {
        let age = now - self.since;
        age < PROOF_SPAN && self.previous.contains(&request)
            || age < PROOF_SPAN * 2 && self.current.contains(&request)
    }

    fn rotate(&mut self, now: MonoTime) {
        let age = now - self.since;
        if age >= PROOF_SPAN {
            let ended = std::mem::take(&mut self.current);
            self.previous = if age < PROOF_SPAN * 2 { ended } else { BTreeSet::new() };
            self.since = now;
        }
    }
}

impl RequestQuarantine {
    /// The connection to `endpoint` broke while the request was in progress there.
    pub fn record_reset(
        &mut self,
        now: MonoTime,
        endpoint: &EndpointId,
        request: RequestFingerprint,
    ) {
        self.forget(now);
        self.resets.push((now, endpoint.clone(), request));
    }

    /// The endpoint could not be reached: the requests whose connections broke just before are
    /// suspected.
    pub fn unreachable(&mut self, now: MonoTime, endpoint: &EndpointId) {
        self.forget(now);
        let (confirmed, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.resets).into_iter().partition(|(_, id, _)| id == endpoint);
        self.resets = rest;
        // Equal requests that were in flight together saw one crash.
        let requests: BTreeSet<RequestFingerprint> =
            confirmed.into_iter().map(|(_, _, request)| request).collect();
        let unproven =
            requests.into_iter().filter(|request| !self.answered.contains(now, *request));
        for request in unproven {
            let count = self.counts.entry(request).or_default();
            count.own += 1;
            count.last = now;
        }
    }

    /// The request was answered, so it is not guilty.
    pub fn answered(&mut self, now: MonoTime, request: RequestFingerprint) {
        self.counts.remove(&request);
        self.answered.insert(now, request);
    }

    /// Takes over how many crashes another entry counts; it no longer counts those of requests that
    /// it doesn't name.
    pub fn report_peer(
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
                count.last = now;
            }
        }
    }

    /// Crashes that this entry counts itself, for its peers.
    pub fn own_crashes(&self) -> impl Iterator<Item = (RequestFingerprint, u32)> + '_ {
        self.counts
            .iter()
            .filter(|(_, count)| count.own > 0)
            .map(|(request, count)| (*request, count.own))
    }

    /// Whether the request is not sent any more.
    pub fn is_quarantined(&self, now: MonoTime, request: RequestFingerprint) -> bool {
        self.counts.get(&request).is_some_and(|count| {
            let total = count.own + count.peers.values().sum::<u32>();
            total >= MAX_CRASHES
                && now - count.last < MEMORY
                && !self.answered.contains(now, request)
        })
    }

    fn forget(&mut self, now: MonoTime) {
        self.resets.retain(|(at, ..)| now - *at <= CONFIRM_WITHIN);
        self.counts.retain(|_, count| now - count.last < MEMORY);
    }
}
