//! Combines the placement, queueing, refusal and retry decisions of one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryshed_base::{
    AvailabilityZone, ModelName, MonoTime, RegionName, ServiceName, common_derives,
};

use crate::activity::AnswerActivity;
use crate::bounded_map::{BoundedMap, InsertOutcome};
use crate::budget::{BudgetLimits, RetryBudget};
use crate::deadline::VersionDeadlines;
use crate::directory::EndpointDirectory;
use crate::endpoint::{EndpointHash, EndpointId, EndpointState, EndpointStatus, ListedEndpoint};
use crate::endpoint_access::{
    EndpointAccess, EndpointStart, EndpointStatements, NoticeChange, NoticeLimits, ReopeningCause,
};
use crate::endpoint_notice::EndpointNotice;
use crate::health::{AttemptOutcome, HealthRecord, NotRunReason, UnknownReason};
use crate::load::{EndpointLoad, LoadReport, LoadScope, PeerLoad};
use crate::pacing::{MAX_PEERS, PeerAudience, load_lifetime};
use crate::peers::PeerAddress;
use crate::placement::{
    Candidate, CandidatePool, ComparisonLimits, Distance, PlacementChoice, PlacementQuery,
    certain_start_time, certain_transit_time,
};
use crate::prompt_guard::{PromptGuard, PromptPart};
use crate::quarantine::RequestQuarantine;
use crate::refusal::{RefusalReason, retry_after, wait_until};
use crate::request::{RequestNumber, RequestProfile};
use crate::routes::RoutingSnapshot;
use crate::timing::EngineTiming;
use crate::unlisted_statuses::UnlistedStatuses;
use crate::waiting_queue::{WaitingQueue, WaitingRequest};

/// Lifetimes of a load report after which its sender no longer counts as an entry that shares the
/// budget.
const PEER_LIFETIME_FACTOR: u32 = 2;
/// Smallest number of entries assumed to share the budget, for the time in which peers are unknown.
const MIN_ENTRY_COUNT: u32 = 3;
/// Maximum number of declared versions of a model that are stored because operators declared them, and
/// of those that only other processes told; the oldest are dropped.
const MAX_VERSIONS_PER_MODEL: usize = 8;
/// Most models whose versions other processes told, and that neither operators nor a configuration have
/// named. Once there is a configuration, they are dropped.
const MAX_UNNAMED_MODELS: usize = 256;
/// Most models in the status of an endpoint.
const MAX_STATUS_MODELS: usize = 32;
/// Time after which a limit of a version's age is reported like an age, unless a peer has reported
/// one before. Only processes that were all late are left then.
const LIMIT_REPORT_DELAY: Duration = Duration::from_secs(3);
/// Time before a version's deadline at which endpoints of older versions get no more requests.
const OLD_VERSION_PLACEMENT_MARGIN: Duration = Duration::from_millis(700);
/// Time before a version's deadline at which requests that have not started at an endpoint of an
/// older version are withdrawn. It covers the delay with which the declaration became known and the
/// delay from the first token to the arrival of its event at the entry.
const OLD_VERSION_START_MARGIN: Duration = Duration::from_millis(150);
/// Shortest time that is left to a request from its arrival at an endpoint of an older version to its
/// start; behind other requests, it may take longer. A request that is withdrawn later may run all the
/// same: not every endpoint notices that its connection was closed.
const OLD_VERSION_QUEUE_TIME: Duration = Duration::from_millis(450);

common_derives! { value:
    /// Settings that an entry is started with.
    pub struct DispatcherSettings {
        /// Availability zone of the entry.
        pub zone: AvailabilityZone,
        /// Region of each availability zone; zones without one count as another region.
        pub regions: BTreeMap<AvailabilityZone, RegionName>,
        /// Limits on retries.
        pub budget: BudgetLimits,
        /// Deadlines by which new versions of a model must be in force.
        pub versions: VersionDeadlines,
        /// Bounds on what endpoints state of themselves.
        pub notices: NoticeLimits,
    }

    /// The endpoint that a request is sent to.
    pub struct EndpointTarget {
        /// Id of the endpoint.
        pub id: EndpointId,
        /// Start of the endpoint in Unix milliseconds.
        pub started_at_ms: u64,
        /// Whether the endpoint has ended a pause and is to show that it accepts requests again.
        pub is_trial: bool,
        /// Address as `IP:PORT`.
        pub address: String,
        /// Model version that the endpoint must serve; `None` if any version is allowed.
        pub version: Option<u64>,
        /// Time at which the request is withdrawn unless it has started, since a newer version is soon
        /// in force; `None` if no newer version is declared.
        pub start_deadline: Option<MonoTime>,
        /// Time until which the request may be sent, so that it starts before a newer version is in
        /// force; `None` if no newer version is declared.
        pub send_deadline: Option<MonoTime>,
        /// Time for which the endpoint had sent nothing for any answer in progress; `None` if there
        /// was none.
        pub silent_for: Option<Duration>,
        /// Time for which the last status of the sidecar still counted; `None` if it was outdated.
        pub status_remaining: Option<Duration>,
    }

    /// Decision on a waiting request.
    pub enum DispatchDecision {
        /// The request is sent to an endpoint.
        Place {
            /// Number of the request.
            number: RequestNumber,
            /// Endpoint that the request is sent to.
            target: EndpointTarget,
            /// Expected time to the first token, or to the answer of a plain service.
            expected: Duration,
        },
        /// The request is refused without having been sent.
        Refuse {
            /// Number of the request.
            number: RequestNumber,
            /// Why it is refused.
            reason: RefusalReason,
            /// Delay after which the caller should retry.
            retry_after: Duration,
        },
    }
}

impl EndpointTarget {
    /// The start of the endpoint that the request is meant for.
    pub fn start(&self) -> EndpointStart {
        EndpointStart { id: self.id.clone(), started_at_ms: self.started_at_ms }
    }

    /// Whether a request that is sent now is certain to start before a newer version is in force. The
    /// connection took `connect_time` to open: bytes that follow take as long over busy links, and
    /// longer while these fill up.
    pub fn is_in_time(&self, now: MonoTime, connect_time: Duration) -> bool {
        let arrives_by = now + certain_transit_time(connect_time);
        self.send_deadline.is_none_or(|send_deadline| arrives_by < send_deadline)
    }
}

impl DispatcherSettings {
    /// Whether an availability zone belongs to the region of this entry; a zone without a region
    /// counts as its own region.
    ///
    /// ```
    /// # use celeryshed_dispatch::{BudgetLimits, DispatcherSettings, NoticeLimits, VersionDeadlines};
    /// # use celeryshed_base::AvailabilityZone;
    /// # use std::time::Duration;
    /// # let window = Duration::from_secs(10);
    /// # let budget = BudgetLimits { retry_percent: 20, retry_allowance: 100, window };
    /// # let (after_declaration, after_start) = (Duration::from_secs(8), Duration::ZERO);
    /// # let versions = VersionDeadlines { after_declaration, after_start };
    /// # let notices = NoticeLimits { max_pause: Duration::from_secs(12) };
    /// let zone = |name| AvailabilityZone::try_from(name).unwrap();
    /// let settings = DispatcherSettings {
    ///     zone: zone("north-a"),
    ///     regions: Default::default(),
    ///     budget,
    ///     versions,
    ///     notices,
    /// };
    /// assert!(settings.is_in_own_region(&zone("north-a")));
    /// assert!(!settings.is_in_own_region(&zone("south-a")));
    /// ```
    pub fn is_in_own_region(&self, zone: &AvailabilityZone) -> bool {
        let own_region = self.regions.get(&self.zone);
        *zone == self.zone || own_region.is_some() && self.regions.get(zone) == own_region
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    load: EndpointLoad,
    /// When the entry began to count the load of the endpoint.
    load_counted_from: MonoTime,
    health: HealthRecord,
    status: Option<EndpointStatus>,
    activity: AnswerActivity,
    started_at_ms: u64,
    /// Address as `IP:PORT`.
    address: String,
}

impl EndpointRecord {
    /// Whether the sidecar has closed the endpoint. That outlasts the status for `max_silence`: the
    /// sidecar may stand still while its endpoint takes the weights that it has ordered.
    fn is_closed(&self, now: MonoTime, max_silence: Duration) -> bool {
        let status = self.status.as_ref().filter(|status| !status.accepting);
        status.is_some_and(|status| now < status.counts_until(max_silence))
    }

    /// The last status report of the sidecar; `None` if it is outdated.
    fn fresh_status(&self, now: MonoTime) -> Option<&EndpointStatus> {
        self.status.as_ref().filter(|status| now < status.expires_at)
    }
}

#[derive(Clone, Copy, Debug)]
struct DeclaredVersion {
    due_at: MonoTime,
    /// Whether this process has read the declaration; `false` if others told the version.
    was_read: bool,
    /// Whether the time of the declaration is known, from this process or another one.
    age_known: bool,
    /// When the age was limited; `None` if it is known or has no limit.
    limited_at: Option<MonoTime>,
}

impl DeclaredVersion {
    /// Applies a known age, after which the version is due at `due_at`; the longest counts.
    fn apply_known_age(&mut self, due_at: MonoTime) {
        self.due_at = if self.age_known { self.due_at.min(due_at) } else { due_at };
        self.age_known = true;
    }

    /// Whether other processes are told the age. A limit is told once the peers that know the age
    /// have had time to tell it.
    fn is_reported(&self, now: MonoTime) -> bool {
        self.age_known || self.limited_at.is_some_and(|at| now - at >= LIMIT_REPORT_DELAY)
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerContact {
    last_heard_at: MonoTime,
    /// Time after the last report for which its load counts.
    lifetime: Duration,
    /// Whether the peer is in the own region.
    audience: PeerAudience,
    /// Whether the peer's load is included in the endpoint loads.
    load_included: bool,
}

impl PeerContact {
    /// Whether the peer still counts as an entry that shares the budget.
    fn is_entry(&self, now: MonoTime) -> bool {
        now - self.last_heard_at < self.lifetime * PEER_LIFETIME_FACTOR
    }
}

/// The directory, waiting queue, retry budget and request quarantine of one entry.
#[derive(Clone, Debug)]
pub struct EntryDispatcher {
    settings: DispatcherSettings,
    directory: EndpointDirectory,
    unlisted: UnlistedStatuses,
    records: BTreeMap<EndpointId, EndpointRecord>,
    statements: EndpointStatements,
    timings: BTreeMap<ServiceName, EngineTiming>,
    /// Declared versions by model.
    versions: BTreeMap<String, BTreeMap<u64, DeclaredVersion>>,
    /// The models among them that nobody but other processes has named.
    unnamed_models: BoundedMap<PeerAddress, String, ()>,
    /// Models of the configuration; `None` before the first one.
    configured_models: Option<BTreeSet<String>>,
    peers: BTreeMap<PeerAddress, PeerContact>,
    /// When the load of the last peer that still reported one was dropped; `None` if it never was.
    peer_loads_lost_at: Option<MonoTime>,
    /// Load reports of entries above [`MAX_PEERS`] since the last call of [`Self::take_dropped`].
    dropped_reports: u64,
    hashes: BTreeMap<EndpointHash, EndpointId>,
    queue: WaitingQueue,
    budget: RetryBudget,
    quarantine: RequestQuarantine,
    prompt_guard: PromptGuard,
}

impl EntryDispatcher {
    /// Creates a dispatcher without endpoints.
    ///
    /// ```
    /// # use celeryshed_dispatch::{BudgetLimits, DispatcherSettings, EntryDispatcher};
    /// # use celeryshed_dispatch::{NoticeLimits, VersionDeadlines};
    /// # use celeryshed_base::{AvailabilityZone, MonoTime};
    /// # use std::time::Duration;
    /// # let budget = BudgetLimits {
    /// #     retry_percent: 20,
    /// #     retry_allowance: 100,
    /// #     window: Duration::from_secs(10),
    /// # };
    /// # let (after_declaration, after_start) = (Duration::from_secs(8), Duration::ZERO);
    /// # let versions = VersionDeadlines { after_declaration, after_start };
    /// # let notices = NoticeLimits { max_pause: Duration::from_secs(12) };
    /// let settings = DispatcherSettings {
    ///     zone: AvailabilityZone::try_from("north-a").unwrap(),
    ///     regions: Default::default(),
    ///     budget,
    ///     versions,
    ///     notices,
    /// };
    /// let mut dispatcher = EntryDispatcher::new(settings);
    /// assert!(dispatcher.dispatch_waiting(MonoTime::ZERO, 0).is_empty());
    /// ```
    pub fn new(settings: DispatcherSettings) -> Self {
        let budget = RetryBudget::new(settings.budget);
        let statements = EndpointStatements::new(settings.notices);
        Self {
            settings,
            directory: EndpointDirectory::default(),
            unlisted: UnlistedStatuses::default(),
            records: BTreeMap::new(),
            statements,
            timings: BTreeMap::new(),
            versions: BTreeMap::new(),
            unnamed_models: BoundedMap::new(MAX_UNNAMED_MODELS),
            configured_models: None,
            peers: BTreeMap::new(),
            peer_loads_lost_at: None,
            dropped_reports: 0,
            hashes: BTreeMap::new(),
            queue: WaitingQueue::default(),
            budget,
            quarantine: RequestQuarantine::default(),
            prompt_guard: PromptGuard::default(),
        }
    }

    /// Availability zone of the entry.
    pub fn zone(&self) -> &AvailabilityZone {
        &self.settings.zone
    }

    /// The list of endpoints.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// The list of endpoints, for changes. Call [`Self::sync_directory`] after a change.
    pub fn directory_mut(&mut self) -> &mut EndpointDirectory {
        &mut self.directory
    }

    /// The quarantine of requests that crash endpoints.
    pub fn quarantine(&self) -> &RequestQuarantine {
        &self.quarantine
    }

    /// The quarantine of requests that crash endpoints, to record resets and answers.
    pub fn quarantine_mut(&mut self) -> &mut RequestQuarantine {
        &mut self.quarantine
    }

    /// The guard against parts of prompts that crash endpoints.
    pub fn prompt_guard(&self) -> &PromptGuard {
        &self.prompt_guard
    }

    /// The guard against parts of prompts that crash endpoints, to record resets and answers.
    pub fn prompt_guard_mut(&mut self) -> &mut PromptGuard {
        &mut self.prompt_guard
    }

    /// Whether a request with `parts` must be refused because of one of them. Of the entries that are
    /// heard, only the one with the lowest address tries blocked parts again.
    pub fn refuses_parts(
        &mut self,
        now: MonoTime,
        own_address: &PeerAddress,
        parts: &[PromptPart],
    ) -> bool {
        let mut entries = self.peers.iter().filter(|(_, contact)| contact.is_entry(now));
        let may_try = entries.all(|(address, _)| own_address < address);
        self.prompt_guard.refuses(now, parts, may_try)
    }

    /// Records that an endpoint is unreachable.
    pub fn record_unreachable(&mut self, now: MonoTime, id: &EndpointId) {
        self.quarantine.record_unreachable(now, id);
        self.prompt_guard.record_unreachable(now, id);
    }

    /// Replaces the engine timings by those of a configuration, and lists the endpoints of the services
    /// that it names. Call [`Self::sync_directory`] afterwards.
    pub fn set_configuration(&mut self, snapshot: &RoutingSnapshot) {
        let engines = snapshot.services.iter().filter_map(|(name, service)| {
            service.engine.as_ref().map(|engine| (name.clone(), EngineTiming::from(engine)))
        });
        self.timings = engines.collect();
        self.directory.add_services(snapshot);
        let engines = snapshot.services.values().filter_map(|service| service.engine.as_ref());
        let models = engines.flat_map(|engine| &engine.models).map(|model| model.to_string());
        let models: BTreeSet<String> = models.collect();
        self.versions.retain(|model, versions| {
            models.contains(model) || versions.values().any(|version| version.was_read)
        });
        self.unnamed_models = BoundedMap::new(MAX_UNNAMED_MODELS);
        self.configured_models = Some(models);
    }

    /// Adds a declared version of a model.
    ///
    /// `age` is the time since the declaration; if the version is already known, the longest known
    /// age counts. If it is `None`, the age is unknown and a new version is due once
    /// [`VersionDeadlines::after_start`] has passed.
    pub fn add_declared_version(
        &mut self,
        now: MonoTime,
        model: &str,
        version: u64,
        age: Option<Duration>,
    ) {
        self.unnamed_models.remove(&model.to_owned());
        self.add_version(now, model, version, age, true);
    }

    fn add_version(
        &mut self,
        now: MonoTime,
        model: &str,
        version: u64,
        age: Option<Duration>,
        was_read: bool,
    ) {
        let due_at = self.settings.versions.due_at(now, age);
        let age_known = age.is_some();
        let declared = DeclaredVersion { due_at, was_read, age_known, limited_at: None };
        let known = self.versions.entry(model.to_owned()).or_default();
        let added = known.entry(version).or_insert(declared);
        added.was_read |= was_read;
        if age_known {
            added.apply_known_age(due_at);
        }
        for was_read in [true, false] {
            let of_kind = known.iter().filter(|(_, declared)| declared.was_read == was_read);
            let of_kind: Vec<u64> = of_kind.map(|(version, _)| *version).collect();
            for version in of_kind.iter().rev().skip(MAX_VERSIONS_PER_MODEL) {
                known.remove(version);
            }
        }
    }

    /// Whether the versions that `sender` tells of a model are of use. Before the first configuration,
    /// those of some unknown models may be.
    fn may_learn_model(&mut self, sender: &PeerAddress, model: &str) -> bool {
        match &self.configured_models {
            _ if self.versions.contains_key(model) => true,
            Some(configured) => configured.contains(model),
            None if ModelName::try_from(model).is_err() => false,
            None => match self.unnamed_models.insert(sender.clone(), model.to_owned(), ()) {
                InsertOutcome::Kept => true,
                InsertOutcome::Displaced(displaced) => {
                    self.versions.remove(&displaced);
                    true
                }
                InsertOutcome::Refused => false,
            },
        }
    }

    /// Limits the age of a version whose age is unknown, until another process reports it.
    pub fn limit_version_age(
        &mut self,
        now: MonoTime,
        model: &str,
        version: u64,
        max_age: Duration,
    ) {
        let due_at = self.settings.versions.due_at(now, Some(max_age));
        let versions = self.versions.get_mut(model);
        let known = versions.and_then(|versions| versions.get_mut(&version));
        if let Some(known) = known.filter(|known| !known.age_known) {
            known.due_at = due_at;
            known.limited_at = Some(now);
        }
    }

    /// Applies the age of a version that another process reported; the longest reported age counts.
    ///
    /// A version that is unknown here becomes known: the log keeps the newest declaration of a model
    /// only, so that a restarted process can't read an earlier one that is not due yet.
    pub fn apply_version_age(
        &mut self,
        now: MonoTime,
        sender: &PeerAddress,
        model: &str,
        version: u64,
        age: Duration,
    ) {
        let due_at = self.settings.versions.due_at(now, Some(age));
        let is_known = self.versions.get(model).is_some_and(|known| known.contains_key(&version));
        if !is_known {
            if self.may_learn_model(sender, model) {
                self.add_version(now, model, version, Some(age), false);
            }
            return;
        }
        let versions = self.versions.get_mut(model);
        if let Some(known) = versions.and_then(|versions| versions.get_mut(&version)) {
            known.apply_known_age(due_at);
        }
    }

    /// Applies a limit of a version's age that another process reported. It counts for a version of
    /// which nothing more is known.
    pub fn apply_version_age_limit(
        &mut self,
        now: MonoTime,
        sender: &PeerAddress,
        model: &str,
        version: u64,
        max_age: Duration,
    ) {
        let known = self.versions.get(model).and_then(|versions| versions.get(&version)).copied();
        let is_open = match known {
            Some(known) => !known.age_known && known.limited_at.is_none(),
            None => {
                let is_of_use = self.may_learn_model(sender, model);
                if is_of_use {
                    self.add_version(now, model, version, None, false);
                }
                is_of_use
            }
        };
        if is_open {
            self.limit_version_age(now, model, version, max_age);
        }
    }

    /// When a declared version is due; `None` if it isn't known.
    pub fn version_due_at(&self, model: &str, version: u64) -> Option<MonoTime> {
        self.versions.get(model)?.get(&version).map(|declared| declared.due_at)
    }

    /// The declared versions whose age is reported, as model, version and age.
    pub fn version_ages(&self, now: MonoTime) -> impl Iterator<Item = (&str, u64, Duration)> + '_ {
        let deadline = self.settings.versions.after_declaration;
        let declared = self.versions.iter().flat_map(|(model, versions)| {
            versions.iter().map(move |(version, known)| (model.as_str(), *version, known))
        });
        declared.filter(move |(.., known)| known.is_reported(now)).map(
            move |(model, version, known)| {
                // Ages are capped at the deadline: a version that is due stays due.
                (model, version, deadline.saturating_sub(known.due_at - now))
            },
        )
    }

    /// Follows changes of the directory: drops the state of removed endpoints without requests in
    /// progress, and resets the health and status of restarted endpoints.
    pub fn sync_directory(&mut self, now: MonoTime) {
        let mut start_times: BTreeMap<EndpointId, u64> = BTreeMap::new();
        let mut addresses: BTreeMap<EndpointId, String> = BTreeMap::new();
        for (id, endpoint) in self.directory.endpoints(now) {
            start_times.insert(id.clone(), endpoint.started_at_ms);
            addresses.insert(id.clone(), endpoint.address.clone());
        }
        let max_silence = self.settings.notices.max_pause;
        let unlisted = &mut self.unlisted;
        self.records.retain(|id, record| {
            let is_kept = start_times.contains_key(id) || record.load.own().running > 0;
            if !is_kept && let Some(status) = record.status.take() {
                let (address, until) =
                    (std::mem::take(&mut record.address), status.counts_until(max_silence));
                unlisted.keep_listed(now, address, record.started_at_ms, status, until);
            }
            is_kept
        });
        self.statements.sync(now, &start_times);
        self.hashes = start_times.keys().map(|id| (EndpointHash::from(id), id.clone())).collect();
        for (id, started_at_ms) in start_times {
            let record = self.records.entry(id.clone()).or_insert_with(|| EndpointRecord {
                load_counted_from: now,
                ..EndpointRecord::default()
            });
            if record.started_at_ms != started_at_ms {
                record.started_at_ms = started_at_ms;
                record.health = HealthRecord::default();
                record.status = None;
            }
            let Some(address) = addresses.get(&id) else { continue };
            if record.address != *address {
                record.address.clone_from(address);
            }
            if record.status.is_none() {
                record.status = self.unlisted.take(now, address, started_at_ms);
            }
        }
    }

    /// Applies what an endpoint stated of itself in an answer to a request that was placed on `start`.
    pub fn apply_notice(
        &mut self,
        now: MonoTime,
        start: &EndpointStart,
        notice: EndpointNotice,
    ) -> NoticeChange {
        let listed = self.directory.get(now, &start.id);
        if listed.is_some_and(|endpoint| endpoint.started_at_ms > start.started_at_ms) {
            return NoticeChange::Unchanged;
        }
        self.statements.apply(now, start, notice)
    }

    /// Whether a placed request may still be sent: the endpoint has stated nothing to the contrary
    /// since it was chosen.
    pub fn may_send(&self, now: MonoTime, start: &EndpointStart) -> bool {
        let access = self.statements.access(now, &start.id, start.started_at_ms);
        matches!(access, EndpointAccess::Open | EndpointAccess::Trial { .. })
    }

    /// Records that an endpoint answered a request after its pause.
    pub fn record_trial_answer(&mut self, now: MonoTime, start: &EndpointStart) {
        self.statements.record_trial_answer(now, start);
    }

    /// Records the end of an attempt whose target was a trial.
    pub fn end_trial(&mut self, start: &EndpointStart) {
        self.statements.end_trial(start);
    }

    /// The endpoints that accept requests again since the last call, and why.
    pub fn take_reopened(&mut self) -> Vec<(EndpointId, ReopeningCause)> {
        self.statements.take_reopened()
    }

    /// Replaces the status that a sidecar reported before; unknown endpoints are ignored.
    pub fn apply_status(&mut self, id: &EndpointId, mut status: EndpointStatus) {
        limit_models(&mut status);
        if let Some(record) = self.records.get_mut(id) {
            record.status = Some(status);
        }
    }

    /// Keeps the status of an endpoint that isn't listed, as `sender` told it, until it is.
    pub fn apply_unlisted_status(
        &mut self,
        now: MonoTime,
        sender: &PeerAddress,
        address: String,
        mut status: EndpointStatus,
    ) {
        limit_models(&mut status);
        let until = status.counts_until(self.settings.notices.max_pause);
        self.unlisted.keep_told(now, sender.clone(), address, status, until);
    }

    /// Applies a load report of another entry; endpoints that are unknown here are ignored, as are
    /// entries above [`MAX_PEERS`].
    pub fn apply_peer_load(&mut self, now: MonoTime, peer: &PeerAddress, report: &LoadReport) {
        // Their loads can't be removed once they are forgotten.
        self.remove_silent_peer_loads(now);
        self.peers.retain(|_, contact| contact.is_entry(now));
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(peer) {
            self.dropped_reports += 1;
            return;
        }
        let known_audience = self.peers.get(peer).map(|contact| contact.audience);
        let audience = match &report.zone {
            Some(zone) if self.settings.is_in_own_region(zone) => PeerAudience::OwnRegion,
            Some(_) => PeerAudience::OtherRegions,
            None => known_audience.unwrap_or(PeerAudience::OtherRegions),
        };
        let LoadReport { scope, loads, lifetime, .. } = report;
        let contact =
            PeerContact { last_heard_at: now, lifetime: *lifetime, audience, load_included: true };
        self.peers.insert(peer.clone(), contact);
        match scope {
            LoadScope::Whole => {
                for (hash, id) in &self.hashes {
                    let load = loads.get(hash).copied().unwrap_or_default();
                    if let Some(record) = self.records.get_mut(id) {
                        record.load.apply_peer_load(peer, load);
                    }
                }
            }
            LoadScope::Changes => {
                for (hash, load) in loads {
                    let id = self.hashes.get(hash);
                    if let Some(record) = id.and_then(|id| self.records.get_mut(id)) {
                        record.load.apply_peer_load(peer, *load);
                    }
                }
            }
        }
    }

    /// Number of items that other processes told and that were dropped at a limit since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_reports)
            + self.unnamed_models.take_dropped()
            + self.unlisted.take_dropped()
            + self.quarantine.take_dropped()
    }

    /// Removes the load of peers whose reports stopped.
    fn remove_silent_peer_loads(&mut self, now: MonoTime) {
        let mut removed_any = false;
        for (peer, contact) in &mut self.peers {
            if contact.load_included && now - contact.last_heard_at >= contact.lifetime {
                contact.load_included = false;
                removed_any = true;
                for record in self.records.values_mut() {
                    record.load.apply_peer_load(peer, PeerLoad::default());
                }
            }
        }
        // Peers that fall silent together go on placing requests: this entry doesn't hear them.
        if removed_any && self.peers.values().all(|contact| !contact.load_included) {
            self.peer_loads_lost_at = Some(now);
        }
    }

    /// Time after which the load of an endpoint holds the requests of all entries: those that run have
    /// reported theirs by then, and the requests of those that ended have ended too. `None` while the
    /// loads of all peers are lost.
    fn load_settling_time(&self, now: MonoTime) -> Option<Duration> {
        let intervals = PeerAudience::ALL
            .map(|audience| audience.whole_load_interval(self.audience_size(now, audience)));
        let lifetime = intervals.into_iter().max().map_or(Duration::ZERO, load_lifetime);
        let is_lost = self.peer_loads_lost_at.is_some_and(|at| now - at < lifetime);
        (!is_lost).then_some(lifetime)
    }

    /// Returns this entry's own load for a report to `audience`, and notes it as reported there.
    pub fn take_own_loads(
        &mut self,
        audience: PeerAudience,
        scope: LoadScope,
    ) -> BTreeMap<EndpointHash, PeerLoad> {
        let hashes = self.hashes.iter();
        let loads = hashes.filter_map(|(hash, id)| {
            let load = self.records.get_mut(id)?.load.take_report(audience, scope)?;
            Some((*hash, load))
        });
        loads.collect()
    }

    /// Number of entries heard recently, including this one; never fewer than three.
    pub fn entry_count(&self, now: MonoTime) -> u32 {
        let recent = self.peers.values().filter(|contact| contact.is_entry(now)).count();
        (recent as u32 + 1).max(MIN_ENTRY_COUNT)
    }

    /// Queues a request until [`Self::dispatch_waiting`] decides on it.
    ///
    /// `excluded` are the endpoints that it was already sent to; empty for a new request.
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
        let request = WaitingRequest { profile, excluded, queued_at: now, is_duplicate: false };
        self.queue.push(number, request);
    }

    /// Queues a duplicate of a request that the `excluded` endpoints work on. The next call of
    /// [`Self::dispatch_waiting`] gives it a slot that no other request can take, or refuses it.
    pub fn submit_duplicate(
        &mut self,
        now: MonoTime,
        number: RequestNumber,
        profile: RequestProfile,
        excluded: BTreeSet<EndpointId>,
    ) {
        let request = WaitingRequest { profile, excluded, queued_at: now, is_duplicate: true };
        self.queue.push(number, request);
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, number: RequestNumber) {
        self.queue.remove(number);
    }

    /// Counts one retry to the service if the budget allows it, and returns whether it does.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        let entries = self.entry_count(now);
        self.budget.try_retry(now, service, entries)
    }

    /// Records that the first event or the answer of a request arrived after the time `measured`.
    pub fn record_first_event(
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

    /// Records that the first event or the answer of a request arrived after its endpoint had been
    /// reported as silent. The time says nothing about the endpoint's speed.
    pub fn record_late_event(&mut self, id: &EndpointId, prompt_tokens: u32) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.answered(prompt_tokens);
        }
    }

    /// Records the end of an attempt.
    ///
    /// `unread_tokens` is the length of its prompt, or zero if its first event had arrived.
    pub fn record_end(
        &mut self,
        now: MonoTime,
        id: &EndpointId,
        unread_tokens: u32,
        outcome: AttemptOutcome,
    ) {
        if outcome == AttemptOutcome::NotRun(NotRunReason::Unreachable) {
            self.record_unreachable(now, id);
        }
        if let Some(record) = self.records.get_mut(id) {
            record.load.answered(unread_tokens);
            record.load.ended();
            record.health.record(now, outcome);
        }
    }

    /// Records what an endpoint sends for all requests of this entry.
    pub fn record_activity(&mut self, id: &EndpointId, activity: AnswerActivity) {
        if let Some(record) = self.records.get_mut(id) {
            record.activity = activity;
        }
    }

    /// Records that an endpoint sends nothing for an attempt that goes on.
    pub fn record_silence(&mut self, now: MonoTime, id: &EndpointId) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.record(now, AttemptOutcome::Unknown(UnknownReason::Silent));
        }
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Number of waiting requests, over all services.
    pub fn waiting_count(&self) -> usize {
        self.queue.services().iter().map(|service| self.queue.len(service)).sum()
    }

    /// Decides on the waiting requests; those without a decision go on waiting.
    ///
    /// `random` is a random number, which varies endpoint scores and retry delays.
    pub fn dispatch_waiting(&mut self, now: MonoTime, random: u64) -> Vec<DispatchDecision> {
        self.remove_silent_peer_loads(now);
        let mut decisions = Vec::new();
        for service in self.queue.services() {
            self.dispatch_service(now, random, &service, &mut decisions);
        }
        decisions
    }

    fn dispatch_service(
        &mut self,
        now: MonoTime,
        random: u64,
        service: &ServiceName,
        decisions: &mut Vec<DispatchDecision>,
    ) {
        for (number, decision) in self.decide_requests(now, random, service) {
            let Some(request) = self.queue.remove(number) else { continue };
            match decision {
                RequestDecision::Place(mut target, expected) => {
                    target.is_trial = self.statements.start_trial(now, &target.start());
                    if let Some(record) = self.records.get_mut(&target.id) {
                        record.load.started(request.profile.prompt_tokens);
                    }
                    decisions.push(DispatchDecision::Place { number, target, expected });
                }
                RequestDecision::Refuse(reason) => {
                    let remaining = request.profile.deadline - now;
                    let retry_after = retry_after(reason, remaining, random ^ spread(number));
                    decisions.push(DispatchDecision::Refuse { number, reason, retry_after });
                }
            }
        }
    }

    /// Decides on the waiting requests of a service, next one first; those that go on waiting are
    /// left out.
    ///
    /// Requests for the same model share a list of candidates, so that the time grows with the sum
    /// of the numbers of requests and endpoints and not with their product.
    fn decide_requests(
        &self,
        now: MonoTime,
        random: u64,
        service: &ServiceName,
    ) -> Vec<(RequestNumber, RequestDecision)> {
        let mut pools: BTreeMap<(Option<&str>, Option<u64>), CandidatePool<'_>> = BTreeMap::new();
        let mut decisions = Vec::new();
        let mut ahead = 0_u32;
        for (number, request) in self.queue.requests(service) {
            let profile = &request.profile;
            let pool = pools
                .entry((profile.model.as_deref(), profile.version))
                .or_insert_with(|| self.candidate_pool(now, profile));
            let random = random ^ spread(number);
            match self.decide_request(now, random, request, pool, ahead) {
                Some(RequestDecision::Place(target, expected)) => {
                    for pool in pools.values_mut() {
                        pool.count_placement(&target.id, request.profile.prompt_tokens);
                    }
                    decisions.push((number, RequestDecision::Place(target, expected)));
                }
                Some(refusal) => decisions.push((number, refusal)),
                None => ahead += 1,
            }
        }
        decisions
    }

    /// Decides on one request; `None` if it goes on waiting.
    fn decide_request(
        &self,
        now: MonoTime,
        random: u64,
        request: &WaitingRequest,
        pool: &CandidatePool<'_>,
        ahead: u32,
    ) -> Option<RequestDecision> {
        let profile = &request.profile;
        if now >= profile.deadline {
            return Some(RequestDecision::Refuse(RefusalReason::TimeLimit));
        }
        let query = PlacementQuery { profile, excluded: &request.excluded, now, random };
        let until = wait_until(profile, request.queued_at);
        match pool.choose(&query) {
            PlacementChoice::Place { id, expected, certain_start } => {
                Some(match self.endpoint_target(now, profile, &id, certain_start) {
                    Some(target) => RequestDecision::Place(target, expected),
                    None => RequestDecision::Refuse(RefusalReason::NoEndpoint),
                })
            }
            PlacementChoice::Full if request.is_duplicate => {
                Some(RequestDecision::Refuse(RefusalReason::Overload))
            }
            PlacementChoice::Full if now + self.queue_wait(now, profile, pool, ahead) > until => {
                Some(RequestDecision::Refuse(RefusalReason::Overload))
            }
            PlacementChoice::Full => None,
            PlacementChoice::NoEndpoint => match pool.reopens_at() {
                Some(at) if at < until && request.excluded.is_empty() => None,
                Some(at) => {
                    Some(RequestDecision::Refuse(RefusalReason::Paused { ends_in: at - now }))
                }
                // No endpoint serves the request. An endpoint that loads or starts takes longer than
                // a first attempt may wait.
                None if !profile.caller_retry || !request.excluded.is_empty() || now >= until => {
                    Some(RequestDecision::Refuse(RefusalReason::NoEndpoint))
                }
                None => None,
            },
        }
    }

    /// Expected time until the endpoints have slots for the `ahead` requests that are queued before
    /// this one, if each entry gets an equal share of the slots; zero for a plain service.
    fn queue_wait(
        &self,
        now: MonoTime,
        profile: &RequestProfile,
        pool: &CandidatePool<'_>,
        ahead: u32,
    ) -> Duration {
        let Some(timing) = self.timings.get(&profile.service) else { return Duration::ZERO };
        let endpoints = pool.len().max(1) as u32;
        let intervals = ahead.saturating_mul(self.entry_count(now));
        timing.slot_interval().saturating_mul(intervals) / endpoints
    }

    fn endpoint_target(
        &self,
        now: MonoTime,
        profile: &RequestProfile,
        id: &EndpointId,
        certain_start: Duration,
    ) -> Option<EndpointTarget> {
        let endpoint = self.directory.get(now, id)?;
        let record = self.records.get(id)?;
        let model = profile.model.as_deref();
        let due = model.and_then(|model| self.due_version(now, model));
        let served = model.and_then(|model| self.served_version(now, endpoint, record, model));
        // Require the version that the endpoint serves, which may be newer than the due one.
        let version = profile.version.or(due.and(served));
        let latest_start =
            model.zip(served).and_then(|(model, served)| self.start_deadline(model, served));
        let queue_time = OLD_VERSION_QUEUE_TIME.max(certain_start);
        let send_deadline = latest_start.map(|at| at - queue_time);
        // An overdue request may be held up on the way, and arrive after any time.
        let reply_time = certain_start_time(self.time_to_reply(profile, record), &record.health);
        let certain_reply = now + certain_start + reply_time;
        let start_deadline = latest_start
            .zip(send_deadline)
            .map(|(latest, send)| latest.min(send.max(certain_reply)));
        Some(EndpointTarget {
            id: id.clone(),
            started_at_ms: endpoint.started_at_ms,
            is_trial: false,
            address: endpoint.address.clone(),
            version,
            start_deadline,
            send_deadline,
            silent_for: record.activity.silent_for(now),
            status_remaining: record.fresh_status(now).map(|status| status.expires_at - now),
        })
    }

    /// Expected time from the first token of an answer to the first bytes that the entry receives.
    fn time_to_reply(&self, profile: &RequestProfile, record: &EndpointRecord) -> Duration {
        match self.timings.get(&profile.service) {
            Some(timing) if !profile.kind.is_stream() => {
                timing.answer_time(record.load.total().running, profile.answer_tokens)
            }
            _ => Duration::ZERO,
        }
    }

    /// The endpoints that serve a request, and how many of them are compared.
    fn candidate_pool<'d>(&'d self, now: MonoTime, profile: &RequestProfile) -> CandidatePool<'d> {
        let timing = self.timings.get(&profile.service).copied();
        let limits = timing.map(|timing| {
            let slot_interval = timing.slot_interval();
            ComparisonLimits::new(slot_interval, |audience| self.load_interval(now, audience))
        });
        let settling_time = self.load_settling_time(now);
        let mut reopens_at: Option<MonoTime> = None;
        let candidates = self.directory.endpoints(now).filter_map(|(id, endpoint)| {
            let record = self.records.get(id)?;
            if endpoint.service != profile.service || !self.serves(now, endpoint, record, profile) {
                return None;
            }
            let free_trials = match self.statements.access(now, id, endpoint.started_at_ms) {
                EndpointAccess::Open => None,
                EndpointAccess::Trial { free } => Some(free),
                EndpointAccess::Paused { until } => {
                    reopens_at = Some(reopens_at.map_or(until, |at| at.min(until)));
                    return None;
                }
                EndpointAccess::Leaving => return None,
            };
            Some(Candidate {
                id,
                slots: endpoint.slots,
                load: record.load.total(),
                is_load_known: settling_time
                    .is_some_and(|settling| now - record.load_counted_from >= settling),
                health: &record.health,
                distance: self.distance(&endpoint.zone),
                timing,
                free_trials,
                closing_at: record.fresh_status(now).and_then(|status| status.closing_at),
                start_deadline: self.served_start_deadline(now, endpoint, record, profile),
            })
        });
        let candidates = candidates.collect();
        CandidatePool::new(candidates, limits, reopens_at)
    }

    /// Time between two load reports from the same entry of `audience`.
    fn load_interval(&self, now: MonoTime, audience: PeerAudience) -> Duration {
        audience.load_interval(self.audience_size(now, audience))
    }

    /// Number of entries of `audience` that were heard recently.
    fn audience_size(&self, now: MonoTime, audience: PeerAudience) -> usize {
        let members = self.peers.values().filter(|peer| peer.audience == audience);
        members.filter(|peer| peer.is_entry(now)).count()
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
        if record.is_closed(now, self.settings.notices.max_pause) {
            return false;
        }
        let Some(model) = profile.model.as_deref() else { return true };
        let version = self.served_version(now, endpoint, record, model);
        let due = self.due_version(now, model);
        version.is_some_and(|version| {
            due.is_none_or(|due| version >= due)
                && profile.version.is_none_or(|wanted| version == wanted)
        })
    }

    /// The version of a model that an endpoint serves, according to a recent status of its sidecar
    /// or else to the list.
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

    /// The oldest version that an endpoint may serve now; `None` if no declared version is due.
    fn due_version(&self, now: MonoTime, model: &str) -> Option<u64> {
        let versions = self.versions.get(model)?.iter().rev();
        let mut due =
            versions.filter(|(_, declared)| now + OLD_VERSION_PLACEMENT_MARGIN >= declared.due_at);
        due.next().map(|(version, _)| *version)
    }

    /// Time until which a request may start on the version that an endpoint serves; `None` if no newer
    /// version is declared.
    fn served_start_deadline(
        &self,
        now: MonoTime,
        endpoint: &ListedEndpoint,
        record: &EndpointRecord,
        profile: &RequestProfile,
    ) -> Option<MonoTime> {
        let model = profile.model.as_deref()?;
        self.start_deadline(model, self.served_version(now, endpoint, record, model)?)
    }

    /// Time until which requests may start on the version `served`; `None` if no newer version is
    /// declared.
    fn start_deadline(&self, model: &str, served: u64) -> Option<MonoTime> {
        let newer = self.versions.get(model)?.iter().filter(|(version, _)| **version > served);
        newer.map(|(_, declared)| declared.due_at - OLD_VERSION_START_MARGIN).min()
    }

    fn distance(&self, zone: &AvailabilityZone) -> Distance {
        if *zone == self.settings.zone {
            Distance::SameZone
        } else if self.settings.is_in_own_region(zone) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Drops what no endpoint of a configuration serves: models without a valid name, and any above the
/// limit.
fn limit_models(status: &mut EndpointStatus) {
    status.models.retain(|model, _| ModelName::try_from(model.as_str()).is_ok());
    while status.models.len() > MAX_STATUS_MODELS {
        status.models.pop_last();
    }
}

enum RequestDecision {
    /// The endpoint, and the expected time to the first token or answer.
    Place(EndpointTarget, Duration),
    Refuse(RefusalReason),
}

/// Varies a random number from request to request.
fn spread(number: RequestNumber) -> u64 {
    number.0.wrapping_mul(0x9e37_79b9)
}
