//! The task that owns the membership tracker of an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, InstanceName, MonoTime, ServiceName, common_derives};
use celeryshed_core::membership::{
    ListedMember, MemberState, MembershipTracker, MembershipView, SideReport, TrackerOptions,
    endpoint_subset,
};
use celeryshed_observe::EventLine;
use celeryshed_platform::{ListClient, PlatformError};
use celeryshed_wire::{EndpointReport, ListedInstance, RevisionExchange};
use tokio::sync::{broadcast, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use super::handle::{MembershipEvent, MembershipHandle};
use super::probe::ProbeClient;
use crate::configuration::{OptionsError, PeerError, ProcessIdentity};

/// Most events that wait for the task.
const EVENT_QUEUE: usize = 1024;

/// Most reports by which a slow subscriber may lag before it loses some.
const REPORT_QUEUE: usize = 1024;

/// Pause between two rounds of probes. Each round allows one more probe of about 0.7 KB; twice as
/// many would exceed the limit of 3 KB/s per entry at the target size.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time without contact after which a sidecar of the subset is probed. It is longer than the
/// default report interval of 2 s, so that only a missing report leads to a probe.
const SILENCE_BEFORE_PROBE: Duration = Duration::from_millis(3_500);

/// Pause before a sidecar that didn't answer a probe is probed again.
const REPROBE_DELAY: Duration = Duration::from_secs(10);

/// Most leaving sidecars notified after one read of the list; other entries notify the others.
const MAX_LEAVING_CALLS: usize = 20;

/// Timeout of a call to the list or a sidecar.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

common_derives! { value:
    /// Options of the membership task.
    #[derive(Copy)]
    pub struct MembershipOptions {
        /// Time without contact after which a sidecar gets no work; 3 s to 60 s.
        pub silence_limit: Duration,
        /// Most probes of one round, 20 by default: unused probes of earlier rounds are kept up to
        /// this number, and an entry starts with all of them to find endpoints quickly; 0 disables
        /// probes.
        pub probe_burst: usize,
    }
}

impl Default for MembershipOptions {
    fn default() -> Self {
        let silence_limit = TrackerOptions::default().silence_limit;
        Self { silence_limit, probe_burst: 20 }
    }
}

impl MembershipOptions {
    /// Returns an error when `silence_limit` is out of range.
    pub fn check(&self) -> Result<(), OptionsError> {
        let allowed = Duration::from_secs(3)..=Duration::from_secs(60);
        if allowed.contains(&self.silence_limit) {
            return Ok(());
        }
        let (option, value) = ("silence_limit", self.silence_limit);
        Err(OptionsError { option, value, accepted: "3 s to 60 s" })
    }
}

/// Checks the options and starts the task.
pub fn spawn_membership(
    identity: ProcessIdentity,
    options: MembershipOptions,
    clock: ClockSource,
    list: Arc<dyn ListClient>,
    sides: Arc<dyn ProbeClient>,
) -> Result<MembershipHandle, OptionsError> {
    options.check()?;
    let (publisher, views) = watch::channel(Arc::default());
    let (events, receiver) = mpsc::channel(EVENT_QUEUE);
    let (reports, _) = broadcast::channel(REPORT_QUEUE);
    let tracker_options =
        TrackerOptions { silence_limit: options.silence_limit, expect_reports: true };
    let task = MembershipTask {
        identity,
        options,
        clock,
        list,
        sides,
        tracker: MembershipTracker::new(tracker_options),
        publisher,
        reports: reports.clone(),
        calls: JoinSet::new(),
        probed_at: BTreeMap::new(),
        probes_left: options.probe_burst,
    };
    tokio::spawn(task.run(receiver));
    Ok(MembershipHandle { views, events, reports })
}

/// Result of a finished call.
enum CallResult {
    Listed(Result<Vec<ListedInstance>, PlatformError>),
    Probed(Result<Box<EndpointReport>, PeerError>),
    LeavingSent(Result<(), PeerError>),
}

struct MembershipTask {
    identity: ProcessIdentity,
    options: MembershipOptions,
    clock: ClockSource,
    list: Arc<dyn ListClient>,
    sides: Arc<dyn ProbeClient>,
    tracker: MembershipTracker,
    publisher: watch::Sender<Arc<MembershipView>>,
    reports: broadcast::Sender<Arc<EndpointReport>>,
    calls: JoinSet<CallResult>,
    /// When each sidecar was last probed; removed when its report arrives.
    probed_at: BTreeMap<InstanceName, MonoTime>,
    probes_left: usize,
}

impl MembershipTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<MembershipEvent>) {
        let mut probes = interval(PROBE_INTERVAL);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut list_due = Instant::now();
        loop {
            let next_expiry = self.next_expiry();
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(result) => self.handle_result(result),
                    Err(error) => EventLine::new("membership_call_failed").field("error", error).error(),
                },
                _ = sleep_until(list_due) => {
                    self.request_list();
                    list_due = Instant::now() + self.tracker.list_interval();
                }
                _ = sleep_until(next_expiry) => self.publish(),
                _ = probes.tick() => self.start_probes(),
            }
        }
    }

    fn next_expiry(&self) -> Instant {
        let now = self.clock.now();
        let wait = self.tracker.next_expiry(now).map_or(PROBE_INTERVAL, |due| due - now);
        Instant::now() + wait
    }

    fn handle_event(&mut self, event: MembershipEvent) {
        let now = self.clock.now();
        match event {
            MembershipEvent::Report(report) => self.handle_report(*report),
            MembershipEvent::Contact(instance, incarnation) => {
                self.tracker.record_contact(&instance, incarnation, now);
            }
            MembershipEvent::Leaving(instance, incarnation) => {
                self.tracker.record_leaving(&instance, incarnation);
                self.publish();
            }
            MembershipEvent::Unreachable(entry) => {
                self.tracker.record_unreachable(&entry, now);
                self.publish();
            }
        }
    }

    fn handle_report(&mut self, report: EndpointReport) {
        let changed = self.tracker.apply_report(SideReport::from(&report), self.clock.now());
        self.probed_at.remove(&report.instance);
        if changed {
            self.publish();
        }
        // Sending fails only without subscribers, when the load in the report isn't needed.
        let _ = self.reports.send(Arc::new(report));
    }

    fn handle_result(&mut self, result: CallResult) {
        match result {
            CallResult::Listed(Ok(instances)) => {
                let members: Vec<_> = instances.into_iter().map(ListedMember::from).collect();
                self.tracker.replace_list(&members, self.clock.now());
                self.publish();
                self.notify_leaving();
            }
            CallResult::Listed(Err(error)) => {
                EventLine::new("instance_list_failed").field("error", error).warn();
            }
            CallResult::LeavingSent(Ok(())) => {}
            CallResult::LeavingSent(Err(error)) => {
                EventLine::new("leaving_mark_failed").field("error", error).debug();
            }
            CallResult::Probed(Ok(report)) => self.handle_report(*report),
            CallResult::Probed(Err(error)) => {
                EventLine::new("probe_failed").field("error", error).debug();
            }
        }
    }

    /// Notifies sidecars that the list marks as leaving and that haven't reported it themselves.
    ///
    /// Each process reads a large list rarely, so that some entry usually sees the mark long
    /// before the sidecar does.
    fn notify_leaving(&mut self) {
        for (instance, address) in self.tracker.unacknowledged_leaving().take(MAX_LEAVING_CALLS) {
            let sides = Arc::clone(&self.sides);
            let (instance, address) = (instance.clone(), address.to_owned());
            self.calls.spawn(async move {
                let reply = timeout(CALL_TIMEOUT, sides.notify_leaving(&address, &instance)).await;
                let timed_out =
                    || PeerError { address, reason: format!("no reply within {CALL_TIMEOUT:?}") };
                CallResult::LeavingSent(reply.unwrap_or_else(|_| Err(timed_out())))
            });
        }
    }

    fn publish(&self) {
        let view = self.tracker.view(self.clock.now());
        self.publisher.send_if_modified(|published| {
            let changed = **published != view;
            if changed {
                *published = Arc::new(view);
            }
            changed
        });
    }

    fn request_list(&mut self) {
        let list = Arc::clone(&self.list);
        self.calls.spawn(async move {
            let timed_out = |_| {
                let reason = format!("no reply within {CALL_TIMEOUT:?}");
                Err(PlatformError::ReplyLost { target: "instance list".to_owned(), reason })
            };
            CallResult::Listed(
                timeout(CALL_TIMEOUT, list.instances()).await.unwrap_or_else(timed_out),
            )
        });
    }

    fn start_probes(&mut self) {
        let now = self.clock.now();
        self.probes_left = self.options.probe_burst.min(self.probes_left + 1);
        self.probed_at.retain(|_, at| now - *at < REPROBE_DELAY);
        let view = self.publisher.borrow().clone();
        for instance in self.probe_targets(&view, now) {
            self.start_probe(instance, view.sides[instance].address.clone(), now);
        }
    }

    /// The sidecars to probe now, chosen from the services in turn so that each service gets some.
    fn probe_targets<'a>(&self, view: &'a MembershipView, now: MonoTime) -> Vec<&'a InstanceName> {
        let mut services: Vec<&ServiceName> =
            view.sides.values().map(|side| &side.service).collect();
        services.sort_unstable();
        services.dedup();
        let due = |instance: &&InstanceName| self.needs_probe(instance, view, now);
        let mut queues: Vec<Vec<&InstanceName>> = services
            .into_iter()
            .map(|service| endpoint_subset(&self.identity.instance, service, view))
            .map(|subset| subset.into_iter().rev().filter(due).collect())
            .collect();
        let mut targets = Vec::new();
        while targets.len() < self.probes_left && queues.iter().any(|queue| !queue.is_empty()) {
            targets.extend(queues.iter_mut().filter_map(Vec::pop));
        }
        targets.truncate(self.probes_left);
        targets
    }

    fn needs_probe(&self, instance: &InstanceName, view: &MembershipView, now: MonoTime) -> bool {
        let leaving =
            view.sides.get(instance).is_none_or(|side| side.state == MemberState::Leaving);
        let contacted =
            self.tracker.last_contact(instance).is_some_and(|at| now - at < SILENCE_BEFORE_PROBE);
        !leaving && !contacted && !self.probed_at.contains_key(instance)
    }

    fn start_probe(&mut self, instance: &InstanceName, address: String, now: MonoTime) {
        self.probes_left -= 1;
        self.probed_at.insert(instance.clone(), now);
        let sides = Arc::clone(&self.sides);
        let entry = self.identity.address.clone();
        let exchange = RevisionExchange {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            revision: None,
        };
        self.calls.spawn(async move {
            let reply = timeout(CALL_TIMEOUT, sides.probe(&address, &entry, &exchange)).await;
            let timed_out =
                || PeerError { address, reason: format!("no reply within {CALL_TIMEOUT:?}") };
            CallResult::Probed(reply.unwrap_or_else(|_| Err(timed_out())).map(Box::new))
        });
    }
}
