//! The decisions of one entry, joined.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{AvailabilityZone, MonoTime, RegionName, ServiceName, common_derives};

use crate::budget::{BudgetLimits, RetryBudget};
use crate::crashes::RequestQuarantine;
use crate::deadline::VersionDeadlines;
use crate::directory::EndpointDirectory;
use crate::endpoint::{EndpointHash, EndpointId, EndpointState, EndpointStatus, ListedEndpoint};
use crate::health::{AttemptOutcome, HealthRecord, NotRunReason};
use crate::load::{EndpointLoad, LoadScope, PeerLoad};
use crate::peers::PeerAddress;
use crate::placement::{Candidate, Distance, PlacementChoice, PlacementQuery, choose};
use crate::refusal::{RefusalReason, retry_after, wait_until};
use crate::request::{RequestNumber, RequestProfile};
use crate::routes::RoutingSnapshot;
use crate::timing::EngineTiming;
use crate::waiting::{WaitingLine, WaitingRequest};

/// A sidecar's word older than this is left out.
const STATUS_LIFETIME: Duration = Duration::from_millis(2600);
/// A peer that was not heard for this long is gone, and its requests with it.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(1500);
/// A peer that was not heard for this long no longer shares the budget.
const PEER_LIFETIME: Duration = Duration::from_secs(3);
/// Entries that share the budget at least, while peers are not known yet.
const MIN_ENTRIES: u32 = 3;
/// Declared versions of a model that are remembered.
const MAX_VERSIONS: usize = 8;
/// Time before the end of a version's deadline from which the old version gets no more requests.
const VERSION_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of a version's deadline at which requests that wait at an endpoint of the old
/// version are withdrawn: the declaration became known a little after it was made, and the first
/// event takes its time from the first token to here.
const BEGIN_MARGIN: Duration = Duration::from_millis(150);

common_derives! { value:
    /// What an entry is told at its start.
    pub struct DispatcherSettings {
        /// Its availability zone.
        pub zone: AvailabilityZone,
        /// The region of each availability zone.
        pub regions: BTreeMap<AvailabilityZone, RegionName>,
        /// Bounds of repeats.
        pub budget: BudgetLimits,
        /// When a new version of a model must be in force.
        pub versions: VersionDeadlines,
    }

    /// The endpoint that a request goes to.
    pub struct EndpointTarget {
        /// The endpoint.
        pub id: EndpointId,
        /// Address as `IP:PORT`.
        pub address: String,
        /// Version of the model that it must serve.
        pub version: Option<u64>,
        /// Until when a request may begin there: a newer version is in force from then on.
        pub start_deadline: Option<MonoTime>,
    }

    /// What happens to a request that waited.
    pub enum DispatchDecision {
        /// It goes to an endpoint.
        Place {
            /// The request.
            number: RequestNumber,
            /// The endpoint.
            target: EndpointTarget,
            /// Expected time to the first token or the answer.
            expected: Duration,
        },
        /// It is refused without having been sent.
        Refuse {
            /// The request.
            number: RequestNumber,
            /// Why.
            reason: RefusalReason,
            /// When the caller should come back.
            retry_after: Duration,
        },
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    load: EndpointLoad,
    health: HealthRecord,
    status: Option<EndpointStatus>,
    started_at_ms: u64,
}

impl EndpointRecord {
    /// What the sidecar said, unless that is too long ago.
    fn fresh_status(&self, now: MonoTime) -> Option<&EndpointStatus> {
        self.status.as_ref().filter(|status| now - status.received_at < STATUS_LIFETIME)
    }
}

#[derive(Clone, Copy, Debug)]
struct DeclaredVersion {
    due_at: MonoTime,
    /// Whether the time of the declaration is known, here or from another process.
    age_known: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeardPeer {
    at: MonoTime,
    /// Whether its load counts.
    counted: bool,
}

/// The decisions of one entry: directory, placement, waiting, refusal, retries.
#[derive(Clone, Debug)]
pub struct EntryDispatcher {
    settings: DispatcherSettings,
    directory: EndpointDirectory,
    records: BTreeMap<EndpointId, EndpointRecord>,
    timings: BTreeMap<ServiceName, EngineTiming>,
    /// Declared versions by model; each has a deadline of its own.
    versions: BTreeMap<String, BTreeMap<u64, DeclaredVersion>>,
    peers: BTreeMap<PeerAddress, HeardPeer>,
    hashes: BTreeMap<EndpointHash, EndpointId>,
    line: WaitingLine,
    budget: RetryBudget,
    quarantine: RequestQuarantine,
}

impl EntryDispatcher {
    /// A dispatcher that knows no endpoint yet.
    ///
    /// ```
    /// # use celeryshed_dispatch::{BudgetLimits, DispatcherSettings, EntryDispatcher};
    /// # use celeryshed_dispatch::VersionDeadlines;
    /// # use celeryshed_base::{AvailabilityZone, MonoTime};
    /// # use std::time::Duration;
    /// # let budget = BudgetLimits { percent: 20, allowance: 100, window: Duration::from_secs(10) };
    /// # let (after_declaration, after_start) = (Duration::from_secs(8), Duration::ZERO);
    /// # let versions = VersionDeadlines { after_declaration, after_start };
    /// let settings = DispatcherSettings {
    ///     zone: AvailabilityZone::try_from("north-a").unwrap(),
    ///     regions: Default::default(),
    ///     budget,
    ///     versions,
    /// };
    /// let mut dispatcher = EntryDispatcher::new(settings);
    /// assert!(dispatcher.dispatch_waiting(MonoTime::ZERO, 0).is_empty());
    /// ```
    pub fn new(settings: DispatcherSettings) -> Self {
        let budget = RetryBudget::new(settings.budget);
        Self {
            settings,
            directory: EndpointDirectory::default(),
            records: BTreeMap::new(),
            timings: BTreeMap::new(),
            versions: BTreeMap::new(),
            peers: BTreeMap::new(),
            hashes: BTreeMap::new(),
            line: WaitingLine::default(),
            budget,
            quarantine: RequestQuarantine::default(),
        }
    }

    /// The list of endpoints.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// The list of endpoints, to be changed; [`Self::sync_directory`] follows.
    pub fn directory_mut(&mut self) -> &mut EndpointDirectory {
        &mut self.directory
    }

    /// The guard against requests that crash endpoints.
    pub fn quarantine(&self) -> &RequestQuarantine {
        &self.quarantine
    }

    /// The guard against requests that crash endpoints, to be told of outcomes.
    pub fn quarantine_mut(&mut self) -> &mut RequestQuarantine {
        &mut self.quarantine
    }

    /// Takes over the timing of engines from a configuration.
    pub fn set_configuration(&mut self, snapshot: &RoutingSnapshot) {
        let engines = snapshot.services.iter().filter_map(|(name, service)| {
            service.engine.as_ref().map(|engine| (name.clone(), EngineTiming::from(engine)))
        });
        self.timings = engines.collect();
    }

    /// A version of a model was declared; older declarations change nothing.
    ///
    /// Without an `age`, the declaration may be of any age, so that the version counts as due soon
    /// after the start of this process.
    pub fn add_declared_version(
        &mut self,
        now: MonoTime,
        model: &str,
        version: u64,
        age: Option<Duration>,
    ) {
        let due_at = self.settings.versions.due_at(now, age);
        let declared = DeclaredVersion { due_at, age_known: age.is_some() };
        let known = self.versions.entry(model.to_owned()).or_default();
        known.entry(version).or_insert(declared);
        while known.len() > MAX_VERSIONS {
            known.pop_first();
        }
    }

    /// Another process says how long it has known a version; the longest counts.
    pub fn report_version_age(&mut self, now: MonoTime, model: &str, version: u64, age: Duration) {
        let due_at = self.settings.versions.due_at(now, Some(age));
        let versions = self.versions.get_mut(model);
        if let Some(known) = versions.and_then(|versions| versions.get_mut(&version)) {
            known.due_at = if known.age_known { known.due_at.min(due_at) } else { due_at };
            known.age_known = true;
        }
    }

    /// The declared versions whose age is known, with their age.
    pub fn version_ages(&self, now: MonoTime) -> impl Iterator<Item = (&str, u64, Duration)> + '_ {
        let deadline = self.settings.versions.after_declaration;
        let declared = self.versions.iter().flat_map(|(model, versions)| {
            versions.iter().map(move |(version, known)| (model.as_str(), *version, known))
        });
        declared.filter(|(.., known)| known.age_known).map(move |(model, version, known)| {
            // An age beyond the deadline changes nothing.
            (model, version, deadline.saturating_sub(known.due_at - now))
        })
    }

    /// Drops the records of endpoints that are gone, and what was learnt of earlier lives.
    pub fn sync_directory(&mut self, now: MonoTime) {
        let born: BTreeMap<EndpointId, u64> = self
            .directory
            .endpoints(now)
            .map(|(id, endpoint)| (id.clone(), endpoint.started_at_ms))
            .collect();
        self.records.retain(|id, record| born.contains_key(id) || record.load.own().running > 0);
        self.hashes = born.keys().map(|id| (EndpointHash::from(id), id.clone())).collect();
        for (id, started_at_ms) in born {
            let record = self.records.entry(id).or_default();
            if record.started_at_ms != started_at_ms {
                record.started_at_ms = started_at_ms;
                record.health = HealthRecord::default();
                record.status = None;
            }
        }
    }

    /// Takes over what a sidecar says.
    pub fn apply_status(&mut self, id: &EndpointId, status: EndpointStatus) {
        if let Some(record) = self.records.get_mut(id) {
            record.status = Some(status);
        }
    }

    /// Takes over the load of another entry.
    pub fn apply_peer_load(
        &mut self,
        now: MonoTime,
        peer: &PeerAddress,
        scope: LoadScope,
        loads: &BTreeMap<EndpointHash, PeerLoad>,
    ) {
        self.peers.insert(peer.clone(), HeardPeer { at: now, counted: true });
        self.peers.retain(|_, heard| now - heard.at < PEER_LIFETIME);
        match scope {
            LoadScope::Whole => {
                for (hash, id) in &self.hashes {
                    let load = loads.get(hash).copied().unwrap_or_default();
                    if let Some(record) = self.records.get_mut(id) {
                        record.load.report_peer(peer, load);
                    }
                }
            }
            LoadScope::Changes => {
                for (hash, load) in loads {
                    let id = self.hashes.get(hash);
                    if let Some(record) = id.and_then(|id| self.records.get_mut(id)) {
                        record.load.report_peer(peer, *load);
                    }
                }
            }
        }
    }

    /// Leaves out the load of peers that fell silent.
    fn forget_silent_peers(&mut self, now: MonoTime) {
        for (peer, heard) in &mut self.peers {
            if heard.counted && now - heard.at >= PEER_LOAD_LIFETIME {
                heard.counted = false;
                for record in self.records.values_mut() {
                    record.load.report_peer(peer, PeerLoad::default());
                }
            }
        }
    }

    /// This entry's own load, to be told to its peers.
    pub fn take_own_loads(&mut self, scope: LoadScope) -> BTreeMap<EndpointHash, PeerLoad> {
        let hashes = self.hashes.iter();
        let loads = hashes.filter_map(|(hash, id)| {
            let load = self.records.get_mut(id)?.load.take(scope)?;
            Some((*hash, load))
        });
        loads.collect()
    }

    /// Entries that are known to be there, this one included.
    pub fn entry_count(&self, now: MonoTime) -> u32 {
        let fresh = self.peers.values().filter(|heard| now - heard.at < PEER_LIFETIME).count();
        (fresh as u32 + 1).max(MIN_ENTRIES)
    }

    /// A new request arrived; it waits until [`Self::dispatch_waiting`] decides.
    pub fn submit(
        &mut self,
        now: MonoTime,
        number: RequestNumber,
        profile: RequestProfile,
        excluded: BTreeSet<EndpointId>,
    ) {
        if excluded.is_empty() {
            self.budget.count_request(now, &profile.service);
        }
        self.line.push(number, WaitingRequest { profile, excluded, since: now });
    }

    /// The caller left while its request waited.
    pub fn cancel(&mut self, number: RequestNumber) {
        self.line.remove(number);
    }

    /// Whether one more repeat to the service fits the budget; it is then counted.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        let entries = self.entry_count(now);
        self.budget.try_retry(now, service, entries)
    }

    /// The first event or the answer of a request came after `measured`.
    pub fn answered(
        &mut self,
        id: &EndpointId,
        prompt_tokens: u32,
        expected: Duration,
        measured: Duration,
    ) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.answered(prompt_tokens);
            record.health.measure(expected, measured);
        }
    }

    /// A request ended; `unread_tokens` are those of a prompt without a first event.
    pub fn finish(
        &mut self,
        now: MonoTime,
        id: &EndpointId,
        unread_tokens: u32,
        outcome: AttemptOutcome,
    ) {
        if outcome == AttemptOutcome::NotRun(NotRunReason::Unreachable) {
            self.quarantine.unreachable(now, id);
        }
        if let Some(record) = self.records.get_mut(id) {
            record.load.answered(unread_tokens);
            record.load.ended();
            record.health.record(now, outcome);
        }
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.line.is_empty()
    }

    /// Requests that wait, over all services.
    pub fn waiting(&self) -> usize {
        self.line.services().iter().map(|service| self.line.len(service)).sum()
    }

    /// Decides on the requests that wait; `draw` is any number and breaks ties.
    pub fn dispatch_waiting(&mut self, now: MonoTime, draw: u64) -> Vec<DispatchDecision> {
        self.forget_silent_peers(now);
        let mut decisions = Vec::new();
        for service in self.line.services() {
            self.dispatch_service(now, draw, &service, &mut decisions);
        }
        decisions
    }

    fn dispatch_service(
        &mut self,
        now: MonoTime,
        draw: u64,
        service: &ServiceName,
        decisions: &mut Vec<DispatchDecision>,
    ) {
        let numbers: Vec<RequestNumber> =
            self.line.line(service).map(|(number, _)| number).collect();
        let mut ahead = 0_u32;
        for number in numbers {
            let Some(request) = self.line.remove(number) else { continue };
            let draw = draw ^ number.0.wrapping_mul(0x9e37_79b9);
            match self.decide(now, draw, &request, ahead) {
                WaitDecision::Place(target, expected) => {
                    if let Some(record) = self.records.get_mut(&target.id) {
                        record.load.started(request.profile.prompt_tokens);
                    }
                    decisions.push(DispatchDecision::Place { number, target, expected });
                }
                WaitDecision::Refuse(reason) => decisions.push(DispatchDecision::Refuse {
                    number,
                    reason,
                    retry_after: retry_after(draw),
                }),
                WaitDecision::Wait => {
                    ahead += 1;
                    self.line.push(number, request);
                }
            }
        }
    }

    fn decide(
        &self,
        now: MonoTime,
        draw: u64,
        request: &WaitingRequest,
        ahead: u32,
    ) -> WaitDecision {
        let profile = &request.profile;
        if now >= profile.deadline {
            return WaitDecision::Refuse(RefusalReason::TimeLimit);
        }
        let query = PlacementQuery { profile, excluded: &request.excluded, now, draw };
        let candidates: Vec<Candidate<'_>> = self.candidates(now, profile).collect();
        let until = wait_until(profile, request.since);
        match choose(candidates.iter().copied(), &query) {
            PlacementChoice::Place { id, expected } => match self.target(now, profile, &id) {
                Some(target) => WaitDecision::Place(target, expected),
                None => WaitDecision::Refuse(RefusalReason::NoEndpoint),
            },
            PlacementChoice::Full
                if now + self.wait_ahead(now, profile, &candidates, ahead) > until =>
            {
                WaitDecision::Refuse(RefusalReason::Overload)
            }
            PlacementChoice::Full => WaitDecision::Wait,
            // Nobody serves it, and what loads or starts takes longer than it may wait.
            PlacementChoice::NoEndpoint
                if !profile.caller_retry || !request.excluded.is_empty() || now >= until =>
            {
                WaitDecision::Refuse(RefusalReason::NoEndpoint)
            }
            PlacementChoice::NoEndpoint => WaitDecision::Wait,
        }
    }

    /// Time until the endpoints had room for those ahead in the line, at this entry's share.
    fn wait_ahead(
        &self,
        now: MonoTime,
        profile: &RequestProfile,
        candidates: &[Candidate<'_>],
        ahead: u32,
    ) -> Duration {
        let Some(timing) = self.timings.get(&profile.service) else { return Duration::ZERO };
        let endpoints = candidates.len().max(1) as u32;
        timing.slot_interval() * ahead * self.entry_count(now) / endpoints
    }

    fn target(
        &self,
        now: MonoTime,
        profile: &RequestProfile,
        id: &EndpointId,
    ) -> Option<EndpointTarget> {
        let endpoint = self.directory.get(now, id)?;
        let model = profile.model.as_deref();
        let due = model.and_then(|model| self.version_due(now, model));
        let served = model
            .and_then(|model| self.served_version(now, endpoint, self.records.get(id)?, model));
        // The endpoint may serve a newer version than the one that is due.
        let version = profile.version.or(due.and(served));
        let start_deadline =
            model.zip(served).and_then(|(model, served)| self.start_deadline(model, served));
        let (id, address) = (id.clone(), endpoint.address.clone());
        Some(EndpointTarget { id, address, version, start_deadline })
    }

    fn candidates<'d>(
        &'d self,
        now: MonoTime,
        profile: &'d RequestProfile,
    ) -> impl Iterator<Item = Candidate<'d>> + 'd {
        let timing = self.timings.get(&profile.service).copied();
        self.directory.endpoints(now).filter_map(move |(id, endpoint)| {
            let record = self.records.get(id)?;
            if endpoint.service != profile.service || !self.serves(now, endpoint, record, profile) {
                return None;
            }
            Some(Candidate {
                id,
                slots: endpoint.slots,
                load: record.load.total(),
                health: &record.health,
                distance: self.distance(&endpoint.zone),
                timing,
                closing_at: record.fresh_status(now).and_then(|status| status.closing_at),
            })
        })
    }

    fn serves(
        &self,
        now: MonoTime,
        endpoint: &ListedEndpoint,
        record: &EndpointRecord,
        profile: &RequestProfile,
    ) -> bool {
        if endpoint.state != EndpointState::Ready {
            return false;
        }
        if record.fresh_status(now).is_some_and(|status| !status.accepting) {
            return false;
        }
        let Some(model) = profile.model.as_deref() else { return true };
        let version = self.served_version(now, endpoint, record, model);
        let due = self.version_due(now, model);
        version.is_some_and(|version| {
            due.is_none_or(|due| version >= due)
                && profile.version.is_none_or(|wanted| version == wanted)
        })
    }

    /// The version of a model that an endpoint serves, as its sidecar or else the list says.
    fn served_version(
        &self,
        now: MonoTime,
        endpoint: &ListedEndpoint,
        record: &EndpointRecord,
        model: &str,
    ) -> Option<u64> {
        match record.fresh_status(now) {
            Some(status) => status.models.get(model).copied(),
            None => endpoint.version_of(model),
        }
    }

    /// The version that an endpoint must serve by now.
    fn version_due(&self, now: MonoTime, model: &str) -> Option<u64> {
        let versions = self.versions.get(model)?.iter().rev();
        let mut due = versions.filter(|(_, declared)| now + VERSION_MARGIN >= declared.due_at);
        due.next().map(|(version, _)| *version)
    }

    /// Until when requests may begin on the version `served`.
    fn start_deadline(&self, model: &str, served: u64) -> Option<MonoTime> {
        let newer = self.versions.get(model)?.iter().filter(|(version, _)| **version > served);
        newer.map(|(_, declared)| declared.due_at - BEGIN_MARGIN).min()
    }

    fn distance(&self, zone: &AvailabilityZone) -> Distance {
        let regions = &self.settings.regions;
        if *zone == self.settings.zone {
            Distance::Zone
        } else if regions.get(zone).is_some()
            && regions.get(zone) == regions.get(&self.settings.zone)
        {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}

enum WaitDecision {
    Place(EndpointTarget, Duration),
    Refuse(RefusalReason),
    Wait,
}
