//! Detects and stops requests that crash the endpoints that run them.
//!
//! A connection reset counts as a crash only if the endpoint is unreachable shortly afterwards. All
//! requests in flight at a crashed endpoint are counted, so one crash or two may be a coincidence;
//! a request is quarantined only after crashes of several endpoints. A request that was answered
//! recently is never quarantined, since a request that crashes every endpoint gets no answer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{MonoTime, common_derives};
use sha2::{Digest, Sha256};

use crate::bounded_map::BoundedMap;
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
/// Most requests whose crashes this entry has observed, and most that others report. At the limit, the
/// entry that reports most of them loses the one that it reported first.
const MAX_COUNTED_REQUESTS: usize = 8192;
/// Most requests in a report, so that it fits into a datagram; those of most crashes are reported.
const MAX_REPORTED_REQUESTS: usize = 1024;
/// Most entries whose reports on one request are counted; more than it takes to quarantine it.
const MAX_REPORTING_PEERS: usize = 8;

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

/// Crashes observed by this entry.
#[derive(Clone, Debug, Default)]
struct ObservedCrashes {
    crashes: u32,
    last_crash_at: MonoTime,
}

/// Crashes reported by other entries.
#[derive(Clone, Debug, Default)]
struct ReportedCrashes {
    peers: BTreeMap<String, u32>,
    last_crash_at: MonoTime,
    /// When another entry last reported the request, with whatever count.
    reported_at: MonoTime,
}

/// Crash counts of requests, and the requests that are quarantined because of them.
///
/// ```
/// use celeryshed_base::MonoTime;
/// use celeryshed_dispatch::{RequestQuarantine, RequestFingerprint};
/// assert!(!RequestQuarantine::default().is_quarantined(MonoTime::ZERO, RequestFingerprint(1)));
/// ```
#[derive(Clone, Debug)]
pub struct RequestQuarantine {
    resets: Vec<(MonoTime, EndpointId, RequestFingerprint)>,
    observed: BoundedMap<(), RequestFingerprint, ObservedCrashes>,
    /// What others report, each request by the entry that reported it first.
    reported: BoundedMap<String, RequestFingerprint, ReportedCrashes>,
    recently_answered: AnsweredRequests,
}

impl Default for RequestQuarantine {
    fn default() -> Self {
        Self {
            resets: Vec::new(),
            observed: BoundedMap::new(MAX_COUNTED_REQUESTS),
            reported: BoundedMap::new(MAX_COUNTED_REQUESTS),
            recently_answered: AnsweredRequests::default(),
        }
    }
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

impl ReportedCrashes {
    fn apply_report(&mut self, now: MonoTime, peer: &str, crashes: u32) {
        let is_counted = self.peers.contains_key(peer) || self.peers.len() < MAX_REPORTING_PEERS;
        if is_counted && self.peers.insert(peer.to_owned(), crashes) != Some(crashes) {
            self.last_crash_at = now;
        }
        self.reported_at = now;
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
        for request in suspects.collect::<Vec<_>>() {
            let mut count = self.observed.remove(&request).unwrap_or_default();
            count.crashes = count.crashes.saturating_add(1);
            count.last_crash_at = now;
            self.observed.insert((), request, count);
        }
    }

    /// Records an answer to the request, which clears its crash count.
    pub fn record_answer(&mut self, now: MonoTime, request: RequestFingerprint) {
        self.observed.remove(&request);
        self.reported.remove(&request);
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
        self.reported.retain(|request, count| {
            if !crashes.contains_key(request) {
                count.peers.remove(peer);
            }
            true
        });
        self.remove_expired(now);
        let reported = crashes.iter().filter(|(_, crashes)| **crashes > 0);
        for (request, crashes) in reported.take(MAX_REPORTED_REQUESTS) {
            if let Some(count) = self.reported.get_mut(request) {
                count.apply_report(now, peer, *crashes);
                continue;
            }
            let mut count = ReportedCrashes::default();
            count.apply_report(now, peer, *crashes);
            self.reported.insert(peer.to_owned(), *request, count);
        }
    }

    /// Number of reported requests that were dropped at the limit since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        self.reported.take_dropped()
    }

    /// Crash counts observed by this entry itself, to be reported to its peers; those of the highest
    /// counts if there are more than fit into a report.
    pub fn own_crashes(&self) -> impl Iterator<Item = (RequestFingerprint, u32)> + use<> {
        let own = self.observed.iter().map(|(request, count)| (*request, count.crashes));
        let mut own: Vec<_> = own.collect();
        if own.len() > MAX_REPORTED_REQUESTS {
            own.sort_by_key(|(request, crashes)| (Reverse(*crashes), *request));
            own.truncate(MAX_REPORTED_REQUESTS);
        }
        own.into_iter()
    }

    /// Whether the request must be refused because it crashed several endpoints.
    pub fn is_quarantined(&self, now: MonoTime, request: RequestFingerprint) -> bool {
        let observed = self.observed.get(&request);
        let reported = self.reported.get(&request);
        let peers = reported.into_iter().flat_map(|count| count.peers.values().copied());
        let crashes = observed.map(|count| count.crashes).into_iter().chain(peers);
        crashes.fold(0, u32::saturating_add) >= CRASHES_TO_QUARANTINE
            && now - self.last_crash_at(request) < CRASH_COUNT_LIFETIME
            && !self.recently_answered.contains(now, request)
    }

    /// Time of the last crash that was observed or reported.
    fn last_crash_at(&self, request: RequestFingerprint) -> MonoTime {
        let observed = self.observed.get(&request).map(|count| count.last_crash_at);
        let reported = self.reported.get(&request).map(|count| count.last_crash_at);
        observed.max(reported).unwrap_or_default()
    }

    /// Removes what counts no more. What others still report is kept, or it would count as new.
    fn remove_expired(&mut self, now: MonoTime) {
        self.resets.retain(|(at, ..)| now - *at <= CONFIRMATION_WINDOW);
        let observed = self.observed.iter().map(|(request, _)| *request);
        let expired = observed
            .filter(|request| now - self.last_crash_at(*request) >= CRASH_COUNT_LIFETIME)
            .collect::<Vec<_>>();
        for request in expired {
            self.observed.remove(&request);
        }
        self.reported.retain(|_, count| {
            !count.peers.is_empty() && now - count.reported_at < CRASH_COUNT_LIFETIME
        });
    }
}
