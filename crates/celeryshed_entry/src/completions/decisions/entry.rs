//! Admits, places and retries the requests of an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ContentDigest, InstanceName, MonoTime, RequestId, ServiceName};
use celeryshed_core::admission::{
    QueueItem, QueueOptions, QueueRefusal, RetryBudgets, SlotClass, TeamLimits, WaitQueue,
};
use celeryshed_core::burn::BurnTable;
use celeryshed_core::configuration::{ConfigurationState, ScarcityPolicy, TeamContract};
use celeryshed_core::membership::MembershipView;
use celeryshed_core::quarantine::{CrashObservation, FingerprintVerdict, QuarantineTable};
use celeryshed_core::routing::{
    EndpointLoad, EndpointObservation, EndpointTable, RoutingChoice, RoutingDecision,
    RoutingOptions,
};
use celeryshed_wire::{FailureCause, RunStatus};

use super::outcome::{AttemptOutcome, EntryRefusal, RefusalReason};
use super::request::{PlacedAttempt, Placement, RequestProfile, RequestRecord};

/// Maximum wait of a request without a contract, and of a suspect that endpoints refused because
/// another suspect was running.
const MAX_UNCONTRACTED_WAIT: Duration = Duration::from_secs(5);

/// Number of waiting requests tried for a free slot, since the first may need another version.
const MAX_CANDIDATES: usize = 4;

/// Shortest retry time in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of failed attempts after which a request fails.
const MAX_FAILURES: u32 = 5;

/// State of an entry's endpoints, limits, queues and requests, and the decisions based on it.
#[derive(Clone, Debug)]
pub struct EntryDecisions {
    table: EndpointTable,
    limits: TeamLimits,
    budgets: RetryBudgets,
    queues: BTreeMap<ServiceName, WaitQueue>,
    queue_options: QueueOptions,
    quarantine: QuarantineTable,
    burn: BurnTable,
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Requests that a full queue dropped; the next `place_waiting` refuses them.
    evicted: Vec<RequestId>,
    configuration: Arc<ConfigurationState>,
    entries: u32,
}

impl EntryDecisions {
    /// Starts with no endpoints and an empty configuration.
    pub fn new(routing: RoutingOptions, queue_options: QueueOptions) -> Self {
        Self {
            table: EndpointTable::new(routing),
            limits: TeamLimits::default(),
            budgets: RetryBudgets::default(),
            queues: BTreeMap::new(),
            queue_options,
            quarantine: QuarantineTable::default(),
            burn: BurnTable::default(),
            requests: BTreeMap::new(),
            evicted: Vec::new(),
            configuration: Arc::default(),
            entries: 1,
        }
    }

    /// Applies the current membership and configuration; `None` keeps the last configuration.
    pub fn sync(
        &mut self,
        view: &MembershipView,
        configuration: Option<Arc<ConfigurationState>>,
        now: MonoTime,
    ) {
        if let Some(state) = configuration {
            self.limits.retain(|team| state.contracts.contains_key(team));
            self.configuration = state;
        }
        self.entries = view.entries.len().max(1) as u32;
        self.table.sync(view, Some(&self.configuration), now);
    }

    /// Updates an endpoint's version, load and cached prefixes from its sidecar's report.
    pub fn observe(&mut self, observation: EndpointObservation, now: MonoTime) {
        self.table.apply_report(observation, now);
    }

    /// Updates an endpoint's load from the load event of an attempt.
    pub fn observe_load(&mut self, instance: &InstanceName, load: EndpointLoad, now: MonoTime) {
        self.table.observe_load(instance, load, now);
    }

    /// Applies a crash notice to the quarantine.
    pub fn observe_crash(&mut self, observation: &CrashObservation, now: MonoTime) {
        self.quarantine.observe(observation, now);
    }

    /// Service-level objective counts per team.
    pub fn burn(&self) -> &BurnTable {
        &self.burn
    }

    /// Number of requests that `place_waiting` has yet to place or refuse.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum::<usize>() + self.evicted.len()
    }

    /// Admits a request, to be placed with [`Self::place`]; refuses a quarantined request.
    pub fn admit(&mut self, profile: RequestProfile, now: MonoTime) -> Result<(), EntryRefusal> {
        if self.quarantine.verdict(&profile.fingerprint, now) == FingerprintVerdict::Refused {
            return Err(EntryRefusal::new(RefusalReason::Quarantined));
        }
        let contract = self.configuration.contracts.get(&profile.team);
        let tokens = u64::from(profile.max_tokens);
        let grant = self.limits.admit(&profile.team, contract, tokens, self.entries, now);
        let budget =
            contract.map(|contract| (contract.retry_budget_percent, contract.requests_in_progress));
        self.budgets.request(&profile.team, budget);
        self.requests.insert(profile.request_id, RequestRecord::new(profile, grant, now));
        Ok(())
    }

    /// Chooses an endpoint, queues the request or refuses it.
    pub fn place(&mut self, request_id: RequestId, now: MonoTime) -> Placement {
        match self.choose(request_id, now) {
            Some(RoutingDecision::Endpoint(choice)) => self.dispatch(request_id, choice, now),
            Some(RoutingDecision::Full) => self.place_when_full(request_id, now),
            Some(RoutingDecision::NoEndpoint) => self.place_without_endpoint(request_id, now),
            None => Placement::Refuse(EntryRefusal::new(RefusalReason::DeadlinePassed)),
        }
    }

    /// Places waiting requests in free slots, and refuses those that were evicted or whose deadline
    /// passed.
    pub fn place_waiting(&mut self, now: MonoTime) -> Vec<(RequestId, Placement)> {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        let overloaded = EntryRefusal::with_retry_after(RefusalReason::Overloaded, MIN_RETRY_AFTER);
        let evicted = self.evicted.drain(..);
        let mut placed: Vec<(RequestId, Placement)> =
            evicted.map(|id| (id, Placement::Refuse(overloaded.clone()))).collect();
        for service in services {
            self.place_queued(&service, now, &mut placed);
        }
        placed
    }

    /// Records the time and the version of an attempt's first token.
    pub fn record_first_token(
        &mut self,
        request_id: RequestId,
        version: ContentDigest,
        now: MonoTime,
    ) {
        let Some(record) = self.requests.get_mut(&request_id) else {
            return;
        };
        record.first_token.get_or_insert(now);
        record.version = Some(version);
        if let Some(dispatch_id) = &record.running_dispatch {
            self.table.record_first_token(dispatch_id, version);
        }
    }

    /// Records the end of an attempt; `Ok` permits another attempt.
    pub fn end_attempt(
        &mut self,
        request_id: RequestId,
        outcome: &AttemptOutcome,
        now: MonoTime,
    ) -> Result<(), EntryRefusal> {
        let Some(record) = self.requests.get_mut(&request_id) else {
            return Ok(());
        };
        let Some(dispatch_id) = record.running_dispatch.take() else {
            return Ok(());
        };
        let adapter = record.profile.adapter.as_ref();
        match outcome {
            AttemptOutcome::Complete => self.table.record_success(&dispatch_id, adapter),
            AttemptOutcome::Dropped => self.table.end_dispatch(&dispatch_id),
            AttemptOutcome::Failed { cause, run_status, repeatable } => {
                match cause {
                    FailureCause::Busy => self.table.record_busy(&dispatch_id, record.grant.class),
                    FailureCause::Leaving => self.table.record_leaving(&dispatch_id),
                    FailureCause::EndpointFailed | FailureCause::EndpointUnreachable => {
                        record.excluded.insert(dispatch_id.instance.clone());
                        record.failures += 1;
                        self.table.record_failure(&dispatch_id, now);
                    }
                    FailureCause::NotLive => {
                        record.excluded.insert(dispatch_id.instance.clone());
                        self.table.end_dispatch(&dispatch_id);
                    }
                    FailureCause::Quarantined => {
                        record.suspect_conflicts.insert(dispatch_id.instance.clone());
                        self.table.end_dispatch(&dispatch_id);
                    }
                    FailureCause::Displaced
                    | FailureCause::Cancelled
                    | FailureCause::ClaimRefused
                    | FailureCause::DeadlinePassed => self.table.end_dispatch(&dispatch_id),
                }
                return self.check_retry(request_id, *cause, *run_status, *repeatable, now);
            }
        }
        Ok(())
    }

    /// Ends a request with `tokens` generated tokens; `complete` says whether the caller got the
    /// complete answer.
    pub fn finish(&mut self, request_id: RequestId, complete: bool, tokens: u64, now: MonoTime) {
        let Some(record) = self.requests.remove(&request_id) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&record.service) {
            queue.remove(&request_id);
        }
        if let Some(dispatch_id) = &record.running_dispatch {
            self.table.end_dispatch(dispatch_id);
        }
        self.limits.end(&record.profile.team, record.grant, tokens);
        let contract = self.configuration.contracts.get(&record.profile.team);
        if let Some(contract) = contract.filter(|_| record.grant.class != SlotClass::BestEffort) {
            let in_time = |first: MonoTime| first - record.arrived <= contract.first_token;
            // A plain call has no first token and is good if its answer is complete.
            let good = complete && record.first_token.is_none_or(in_time);
            self.burn.record(&record.profile.team, good, now);
        }
    }

    fn contract_of(&self, record: &RequestRecord) -> Option<&TeamContract> {
        self.configuration.contracts.get(&record.profile.team)
    }

    fn choose(&mut self, request_id: RequestId, now: MonoTime) -> Option<RoutingDecision> {
        let record = self.requests.get(&request_id)?;
        let contract = self.contract_of(record);
        let displaces = contract.is_some_and(|contract| {
            contract.displaces_uncontracted || !contract.displaces.is_empty()
        });
        let may_displace = displaces && record.grant.class > SlotClass::BestEffort;
        let reserves_headroom =
            record.grant.class == SlotClass::BestEffort && !self.configuration.contracts.is_empty();
        let query = record.query(may_displace, reserves_headroom);
        Some(self.table.choose(&query, now))
    }

    fn dispatch(
        &mut self,
        request_id: RequestId,
        choice: RoutingChoice,
        now: MonoTime,
    ) -> Placement {
        let Some(record) = self.requests.get_mut(&request_id) else {
            return Placement::Refuse(EntryRefusal::new(RefusalReason::DeadlinePassed));
        };
        let dispatch_id =
            self.table.begin_dispatch(&choice.instance, &record.query(false, false), now);
        record.running_dispatch = Some(dispatch_id);
        let verdict = self.quarantine.verdict(&record.profile.fingerprint, now);
        Placement::Dispatch(PlacedAttempt {
            choice,
            service: record.service.clone(),
            class: record.grant.class,
            suspect: verdict == FingerprintVerdict::Suspect,
        })
    }

    /// Applies the contract's scarcity policy when no endpoint has a free slot.
    fn place_when_full(&mut self, request_id: RequestId, now: MonoTime) -> Placement {
        let Some(record) = self.requests.get_mut(&request_id) else {
            return Placement::Refuse(EntryRefusal::new(RefusalReason::DeadlinePassed));
        };
        if record.version.is_some() {
            // An answer that is already streamed waits for an endpoint until the request's deadline.
            let deadline = record.deadline();
            return self.enqueue(request_id, deadline, now);
        }
        let contract = self.configuration.contracts.get(&record.profile.team);
        let policy = contract
            .map_or(&ScarcityPolicy::Wait(MAX_UNCONTRACTED_WAIT), |contract| &contract.scarcity);
        match policy {
            ScarcityPolicy::Wait(max_wait) => {
                let deadline = record.deadline().min(record.arrived + *max_wait);
                self.enqueue(request_id, deadline, now)
            }
            ScarcityPolicy::SmallerModel(smaller) if record.service != *smaller => {
                record.service = smaller.clone();
                record.excluded.clear();
                self.place(request_id, now)
            }
            ScarcityPolicy::SmallerModel(_) | ScarcityPolicy::Refuse => Placement::Refuse(
                EntryRefusal::with_retry_after(RefusalReason::Overloaded, MIN_RETRY_AFTER),
            ),
        }
    }

    fn place_without_endpoint(&mut self, request_id: RequestId, now: MonoTime) -> Placement {
        let Some(record) = self.requests.get_mut(&request_id) else {
            return Placement::Refuse(EntryRefusal::new(RefusalReason::DeadlinePassed));
        };
        if !record.suspect_conflicts.is_empty() {
            record.suspect_conflicts.clear();
            let deadline = record.deadline().min(record.arrived + MAX_UNCONTRACTED_WAIT);
            return self.enqueue(request_id, deadline, now);
        }
        let reason = match record.version {
            Some(_) => RefusalReason::VersionGone,
            None => RefusalReason::NoEndpoint,
        };
        Placement::Refuse(EntryRefusal::with_retry_after(reason, MIN_RETRY_AFTER))
    }

    fn enqueue(&mut self, request_id: RequestId, deadline: MonoTime, now: MonoTime) -> Placement {
        let Some(record) = self.requests.get(&request_id) else {
            return Placement::Refuse(EntryRefusal::new(RefusalReason::DeadlinePassed));
        };
        let item = QueueItem {
            request_id,
            team: record.profile.team.clone(),
            class: record.grant.class,
            deadline,
            resumed: record.version.is_some(),
        };
        let options = self.queue_options;
        let queue = self.queues.entry(record.service.clone());
        let queue = queue.or_insert_with(|| WaitQueue::new(options));
        match queue.push(item, now) {
            Ok(removed) => {
                self.evicted.extend(removed.map(|item| item.request_id));
                Placement::Wait
            }
            Err(QueueRefusal::Full) => Placement::Refuse(EntryRefusal::with_retry_after(
                RefusalReason::Overloaded,
                MIN_RETRY_AFTER,
            )),
            Err(QueueRefusal::TooLate { expected }) => {
                let pause = expected.max(MIN_RETRY_AFTER);
                Placement::Refuse(EntryRefusal::with_retry_after(RefusalReason::Overloaded, pause))
            }
        }
    }

    fn place_queued(
        &mut self,
        service: &ServiceName,
        now: MonoTime,
        placed: &mut Vec<(RequestId, Placement)>,
    ) {
        let queue = self.queues.entry(service.clone()).or_default();
        for item in queue.expire(now) {
            let refusal =
                EntryRefusal::with_retry_after(RefusalReason::DeadlinePassed, MIN_RETRY_AFTER);
            placed.push((item.request_id, Placement::Refuse(refusal)));
        }
        loop {
            let candidates =
                self.queues.get(service).map(|queue| queue.next_candidates(MAX_CANDIDATES));
            let mut candidates = candidates.unwrap_or_default().into_iter();
            let found = candidates.find_map(|request_id| match self.choose(request_id, now) {
                Some(RoutingDecision::Endpoint(choice)) => Some((request_id, choice)),
                _ => None,
            });
            let Some((request_id, choice)) = found else {
                return;
            };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.take(&request_id, now);
            }
            placed.push((request_id, self.dispatch(request_id, choice, now)));
        }
    }

    fn check_retry(
        &mut self,
        request_id: RequestId,
        cause: FailureCause,
        run_status: RunStatus,
        repeatable: bool,
        now: MonoTime,
    ) -> Result<(), EntryRefusal> {
        let refuse = |reason| Err(EntryRefusal::new(reason));
        let Some(record) = self.requests.get(&request_id) else {
            return refuse(RefusalReason::DeadlinePassed);
        };
        match cause {
            FailureCause::Cancelled | FailureCause::ClaimRefused => {
                return refuse(RefusalReason::NotRepeatable);
            }
            FailureCause::DeadlinePassed => return refuse(RefusalReason::DeadlinePassed),
            _ => {}
        }
        let fingerprint = &record.profile.fingerprint;
        if self.quarantine.verdict(fingerprint, now) == FingerprintVerdict::Refused {
            return refuse(RefusalReason::Quarantined);
        }
        if run_status == RunStatus::NotRun {
            return if record.failures < MAX_FAILURES {
                Ok(())
            } else {
                refuse(RefusalReason::TooManyFailures)
            };
        }
        if !repeatable {
            return refuse(RefusalReason::NotRepeatable);
        }
        if record.failures >= MAX_FAILURES {
            return refuse(RefusalReason::TooManyFailures);
        }
        let resumes = record.version.is_some() || cause == FailureCause::Displaced;
        if resumes || self.budgets.try_withdraw(&record.profile.team) {
            return Ok(());
        }
        Err(EntryRefusal::with_retry_after(RefusalReason::RetryBudget, MIN_RETRY_AFTER))
    }
}
