//! The task that owns the tracker of an entry.

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

use super::handle::{MemberNotice, MembershipHandle};
use super::probe::ProbeClient;
use crate::configuration::{OptionsError, PeerError, ProcessIdentity};

/// Notices that wait for the task.
const NOTICE_QUEUE: usize = 1024;

/// Reports that a slow subscriber may lag behind.
const REPORT_QUEUE: usize = 1024;

/// Pause between two rounds of probes. Each round allows one more probe of about 0.7 KB; twice as
/// many would exceed the 3 KB/s of an entry at the target size.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Silence after which an endpoint of the subset is probed: one lost report is waited for.
const PROBE_AFTER: Duration = Duration::from_millis(3_500);

/// Pause before a sidecar that didn't answer is probed again.
const PROBE_PAUSE: Duration = Duration::from_secs(10);

/// Leaving sidecars told after one read of the list; the others are told by other entries.
const MAX_TOLD: usize = 20;

/// Longest wait for the list or a probe's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

common_derives! { value:
    /// Options of the membership task.
    #[derive(Copy)]
    pub struct MembershipOptions {
        /// Silence after which a sidecar gets no work.
        pub silence_limit: Duration,
        /// Probes that may be saved up, so that a fresh entry finds endpoints at once; 0 switches
        /// probes off.
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
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), OptionsError> {
        let allowed = Duration::from_secs(3)..=Duration::from_secs(60);
        if allowed.contains(&self.silence_limit) {
            return Ok(());
        }
        let (option, value) = ("silence_limit", self.silence_limit);
        Err(OptionsError { option, value, accepted: "3 s to 60 s" })
    }
}

/// Starts the task.
pub fn spawn_membership(
    identity: ProcessIdentity,
    options: MembershipOptions,
    clock: ClockSource,
    list: Arc<dyn ListClient>,
    sides: Arc<dyn ProbeClient>,
) -> Result<MembershipHandle, OptionsError> {
    options.check()?;
    let (publisher, views) = watch::channel(Arc::default());
    let (notices, inbox) = mpsc::channel(NOTICE_QUEUE);
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
    tokio::spawn(task.run(inbox));
    Ok(MembershipHandle { views, notices, reports })
}

/// A call that has ended.
enum CallResult {
    Listed(Result<Vec<ListedInstance>, PlatformError>),
    Probed(Result<Box<EndpointReport>, PeerError>),
    Told(Result<(), PeerError>),
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
    probed_at: BTreeMap<InstanceName, MonoTime>,
    probes_left: usize,
}

impl MembershipTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<MemberNotice>) {
        let mut probes = interval(PROBE_INTERVAL);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut list_due = Instant::now();
        loop {
            let silence_due = self.silence_due();
            tokio::select! {
                notice = inbox.recv() => match notice {
                    Some(notice) => self.take_notice(notice),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(result) => self.take_result(result),
                    Err(error) => EventLine::new("membership_call_failed").field("error", error).error(),
                },
                _ = sleep_until(list_due) => {
                    self.start_list();
                    list_due = Instant::now() + self.tracker.list_interval();
                }
                _ = sleep_until(silence_due) => self.publish(),
                _ = probes.tick() => self.start_probes(),
            }
        }
    }

    fn silence_due(&self) -> Instant {
        let now = self.clock.now();
        let wait = self.tracker.next_expiry(now).map_or(PROBE_INTERVAL, |due| due - now);
        Instant::now() + wait
    }

    fn take_notice(&mut self, notice: MemberNotice) {
        let now = self.clock.now();
        match notice {
            MemberNotice::Report(report) => self.take_report(*report),
            MemberNotice::Heard(instance, incarnation) => {
                self.tracker.record_contact(&instance, incarnation, now);
            }
            MemberNotice::Leaving(instance, incarnation) => {
                self.tracker.record_leaving(&instance, incarnation);
                self.publish();
            }
            MemberNotice::Unreachable(entry) => {
                self.tracker.record_unreachable(&entry, now);
                self.publish();
            }
        }
    }

    fn take_report(&mut self, report: EndpointReport) {
        let changed = self.tracker.report(SideReport::from(&report), self.clock.now());
        self.probed_at.remove(&report.instance);
        if changed {
            self.publish();
        }
        // Without subscribers nobody needs the load.
        let _ = self.reports.send(Arc::new(report));
    }

    fn take_result(&mut self, result: CallResult) {
        match result {
            CallResult::Listed(Ok(instances)) => {
                let members: Vec<_> = instances.into_iter().map(ListedMember::from).collect();
                self.tracker.list(&members, self.clock.now());
                self.publish();
                self.tell_leaving();
            }
            CallResult::Listed(Err(error)) => {
                EventLine::new("instance_list_failed").field("error", error).warn();
            }
            CallResult::Told(Ok(())) => {}
            CallResult::Told(Err(error)) => {
                EventLine::new("leaving_mark_failed").field("error", error).debug();
            }
            CallResult::Probed(Ok(report)) => self.take_report(*report),
            CallResult::Probed(Err(error)) => {
                EventLine::new("probe_failed").field("error", error).debug();
            }
        }
    }

    /// Tells sidecars that the platform marks as leaving and that don't know it yet.
    ///
    /// A large list is read rarely; one of many entries reads the mark long before the sidecar.
    fn tell_leaving(&mut self) {
        for (instance, address) in self.tracker.unacknowledged_leaving().take(MAX_TOLD) {
            let sides = Arc::clone(&self.sides);
            let (instance, address) = (instance.clone(), address.to_owned());
            self.calls.spawn(async move {
                let told = timeout(CALL_TIMEOUT, sides.tell_leaving(&address, &instance)).await;
                let late =
                    || PeerError { address, reason: format!("no reply within {CALL_TIMEOUT:?}") };
                CallResult::Told(told.unwrap_or_else(|_| Err(late())))
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

    fn start_list(&mut self) {
        let list = Arc::clone(&self.list);
        self.calls.spawn(async move {
            let late = |_| {
                let reason = format!("no reply within {CALL_TIMEOUT:?}");
                Err(PlatformError::ReplyLost { target: "instance list".to_owned(), reason })
            };
            CallResult::Listed(timeout(CALL_TIMEOUT, list.instances()).await.unwrap_or_else(late))
        });
    }

    fn start_probes(&mut self) {
        let now = self.clock.now();
        self.probes_left = self.options.probe_burst.min(self.probes_left + 1);
        self.probed_at.retain(|_, at| now - *at < PROBE_PAUSE);
        let view = self.publisher.borrow().clone();
        for instance in self.probe_targets(&view, now) {
            self.start_probe(instance, view.sides[instance].address.clone(), now);
        }
    }

    /// The endpoints to probe now, taking turns between services so that none is left out.
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
        let heard = self.tracker.last_contact(instance).is_some_and(|at| now - at < PROBE_AFTER);
        !leaving && !heard && !self.probed_at.contains_key(instance)
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
            let late =
                || PeerError { address, reason: format!("no reply within {CALL_TIMEOUT:?}") };
            CallResult::Probed(reply.unwrap_or_else(|_| Err(late())).map(Box::new))
        });
    }
}
