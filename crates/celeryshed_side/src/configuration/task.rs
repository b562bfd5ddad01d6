//! The task that reports to entries and fetches their configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use celeryshed_base::{ClockSource, ConfigRevision, InstanceName, MonoTime};
use celeryshed_core::configuration::{ConfigurationReplica, ConfigurationState};
use celeryshed_core::membership::{
    LIST_LAG, ListedMember, MembershipTracker, MembershipView, TrackerOptions, report_targets,
};
use celeryshed_observe::EventLine;
use celeryshed_platform::{ListClient, PlatformError};
use celeryshed_wire::{
    ConfigurationReply, EndpointReport, EndpointState, ListedInstance, ReportReply,
    RevisionExchange,
};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use super::client::{EntryClient, EntryError};
use super::handle::{ConfigurationHandle, ConfigurationMessage};
use super::options::{EndpointStatus, OptionsError, ReportOptions, SideIdentity};
use super::senders::WorkSenders;

/// Length of the task's message queue.
const MESSAGE_QUEUE: usize = 256;

/// Clients of the configuration task, and the source of its reports.
#[derive(Clone)]
pub struct ConfigurationClients {
    /// Client of the platform's instance list.
    pub list: Arc<dyn ListClient>,
    /// Client of the entries that receive reports.
    pub entries: Arc<dyn EntryClient>,
    /// Endpoint status; the role updates it, and a changed state is reported at once.
    pub status: watch::Receiver<EndpointStatus>,
}

/// Starts the configuration task on the current tokio runtime.
pub fn spawn_configuration(
    identity: SideIdentity,
    options: ReportOptions,
    clock: ClockSource,
    clients: ConfigurationClients,
) -> Result<ConfigurationHandle, OptionsError> {
    options.check()?;
    let (state_publisher, states) = watch::channel(None);
    let (view_publisher, views) = watch::channel(Arc::default());
    let (leaving_publisher, listed_leaving) = watch::channel(false);
    let (messages, inbox) = mpsc::channel(MESSAGE_QUEUE);
    let identity = Arc::new(identity);
    let status = clients.status.clone();
    let tracker_options = TrackerOptions { expect_reports: false, ..TrackerOptions::default() };
    let task = ReportTask {
        identity: Arc::clone(&identity),
        options,
        clock,
        started_at: clock.now(),
        clients,
        replica: ConfigurationReplica::default(),
        tracker: MembershipTracker::new(tracker_options),
        work_senders: WorkSenders::new(options.sender_memory),
        state_publisher,
        view_publisher,
        leaving_publisher,
        calls: JoinSet::new(),
        fetching: BTreeSet::new(),
    };
    tokio::spawn(task.run(inbox));
    Ok(ConfigurationHandle { identity, states, views, listed_leaving, status, messages })
}

/// Result of a call that the task has started.
enum CallResult {
    Listed(Result<Vec<ListedInstance>, PlatformError>),
    Reported(InstanceName, Result<ReportReply, EntryError>),
    Notified(Result<ReportReply, EntryError>),
    Fetched(InstanceName, Result<ConfigurationReply, EntryError>),
}

struct ReportTask {
    identity: Arc<SideIdentity>,
    options: ReportOptions,
    clock: ClockSource,
    started_at: MonoTime,
    clients: ConfigurationClients,
    replica: ConfigurationReplica,
    tracker: MembershipTracker,
    work_senders: WorkSenders,
    state_publisher: watch::Sender<Option<Arc<ConfigurationState>>>,
    view_publisher: watch::Sender<Arc<MembershipView>>,
    leaving_publisher: watch::Sender<bool>,
    calls: JoinSet<CallResult>,
    fetching: BTreeSet<InstanceName>,
}

impl ReportTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<ConfigurationMessage>) {
        let mut reports = interval(self.options.report_interval);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_list_at = Instant::now();
        let mut status = self.clients.status.clone();
        let mut reported_state = status.borrow_and_update().state;
        let mut status_open = true;
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(ConfigurationMessage::RecordSender(address)) => {
                        self.work_senders.record(address, self.clock.now());
                    }
                    Some(ConfigurationMessage::MarkLeaving) => self.mark_leaving(),
                    None => return,
                },
                changed = status.changed(), if status_open => {
                    status_open = changed.is_ok();
                    let state = status.borrow_and_update().state;
                    if state != reported_state {
                        reported_state = state;
                        self.send_reports();
                    }
                }
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(result) => self.handle_result(result),
                    Err(error) => EventLine::new("report_call_failed").field("error", error).error(),
                },
                _ = sleep_until(next_list_at) => {
                    self.start_list_call();
                    next_list_at = Instant::now() + self.tracker.list_interval();
                }
                _ = reports.tick() => self.send_reports(),
            }
        }
    }

    fn report(&self) -> EndpointReport {
        let mut status = self.clients.status.borrow().clone();
        if *self.leaving_publisher.borrow() {
            status.state = EndpointState::Leaving;
        }
        self.identity.report(&status, self.replica.revision())
    }

    fn send_reports(&mut self) {
        let report = Arc::new(self.report());
        let view = self.view_publisher.borrow().clone();
        let mut reported = BTreeSet::new();
        for entry in report_targets(&self.identity.instance, &view) {
            let address = view.entries[entry].address.clone();
            reported.insert(address.clone());
            self.start_report(entry.clone(), address, Arc::clone(&report));
        }
        if report.state == EndpointState::Leaving {
            self.notify_senders(&report, &reported);
        }
        self.work_senders.remove_expired(self.clock.now());
    }

    /// Sends the report to entries that recently sent work and aren't among the report targets.
    fn notify_senders(&mut self, report: &Arc<EndpointReport>, reported: &BTreeSet<String>) {
        let senders = self.work_senders.addresses().filter(|address| !reported.contains(*address));
        for address in senders.cloned().collect::<Vec<_>>() {
            let call = self.report_call(address, Arc::clone(report));
            self.calls.spawn(async move { CallResult::Notified(call.await) });
        }
    }

    fn start_report(&mut self, entry: InstanceName, address: String, report: Arc<EndpointReport>) {
        let call = self.report_call(address, report);
        self.calls.spawn(async move { CallResult::Reported(entry, call.await) });
    }

    fn report_call(
        &self,
        address: String,
        report: Arc<EndpointReport>,
    ) -> impl Future<Output = Result<ReportReply, EntryError>> + use<> {
        let entries = Arc::clone(&self.clients.entries);
        let limit = self.options.call_timeout;
        async move {
            let reply = timeout(limit, entries.report(&address, &report)).await;
            let timed_out = || EntryError { address, reason: format!("no reply within {limit:?}") };
            reply.unwrap_or_else(|_| Err(timed_out()))
        }
    }

    fn handle_result(&mut self, result: CallResult) {
        match result {
            CallResult::Listed(Ok(instances)) => self.apply_list(instances),
            CallResult::Listed(Err(error)) => {
                EventLine::new("instance_list_failed").field("error", error).warn();
            }
            CallResult::Reported(entry, Ok(reply)) => {
                self.tracker.record_reachable(&entry);
                self.fetch_newer(&entry, reply.revision);
            }
            CallResult::Reported(entry, Err(error)) => {
                EventLine::new("report_failed").field("error", error).debug();
                self.tracker.record_unreachable(&entry, self.clock.now());
                self.publish_view();
            }
            CallResult::Notified(Ok(_)) => {}
            CallResult::Notified(Err(error)) => {
                EventLine::new("leaving_notice_failed").field("error", error).debug();
            }
            CallResult::Fetched(entry, reply) => {
                self.fetching.remove(&entry);
                self.apply_fetched(&entry, reply);
            }
        }
    }

    fn apply_list(&mut self, instances: Vec<ListedInstance>) {
        let members: Vec<_> = instances.into_iter().map(ListedMember::from).collect();
        let is_first = self.view_publisher.borrow().entries.is_empty();
        self.tracker.replace_list(&members, self.clock.now());
        self.publish_view();
        if is_first {
            self.send_reports();
        }
        if self.tracker.is_listed_leaving(&self.identity.instance) {
            self.mark_leaving();
        }
    }

    /// Marks this sidecar as leaving for the rest of its incarnation. Ignored during the first
    /// minute ([`LIST_LAG`]), because the list lags and its mark may concern an earlier
    /// incarnation.
    fn mark_leaving(&mut self) {
        let within_list_lag = self.clock.now() - self.started_at < LIST_LAG;
        if !within_list_lag && !self.leaving_publisher.send_replace(true) {
            self.send_reports();
        }
    }

    fn publish_view(&self) {
        let view = self.tracker.view(self.clock.now());
        self.view_publisher.send_if_modified(|published| {
            let changed = **published != view;
            if changed {
                *published = Arc::new(view);
            }
            changed
        });
    }

    fn start_list_call(&mut self) {
        let list = Arc::clone(&self.clients.list);
        let limit = self.options.call_timeout;
        self.calls.spawn(async move {
            let timed_out = |_| {
                let reason = format!("no reply within {limit:?}");
                Err(PlatformError::ReplyLost { target: "instance list".to_owned(), reason })
            };
            CallResult::Listed(timeout(limit, list.instances()).await.unwrap_or_else(timed_out))
        });
    }

    /// Fetches the configuration of an entry with a newer revision. One fetch at a time is enough:
    /// replies to the next reports show whether another one is needed.
    fn fetch_newer(&mut self, entry: &InstanceName, revision: Option<ConfigRevision>) {
        if revision <= self.replica.revision() || !self.fetching.is_empty() {
            return;
        }
        let view = self.view_publisher.borrow().clone();
        let Some(member) = view.entries.get(entry) else { return };
        let address = member.address.clone();
        let entries = Arc::clone(&self.clients.entries);
        let limit = self.options.call_timeout;
        let exchange = RevisionExchange {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            revision: self.replica.revision(),
        };
        self.fetching.insert(entry.clone());
        let entry = entry.clone();
        self.calls.spawn(async move {
            let reply = timeout(limit, entries.fetch(&address, &exchange)).await;
            let timed_out = || EntryError { address, reason: format!("no reply within {limit:?}") };
            CallResult::Fetched(entry, reply.unwrap_or_else(|_| Err(timed_out())))
        });
    }

    fn apply_fetched(
        &mut self,
        entry: &InstanceName,
        reply: Result<ConfigurationReply, EntryError>,
    ) {
        let snapshot = match reply {
            Ok(reply) => reply.snapshot,
            Err(error) => {
                EventLine::new("configuration_fetch_failed").field("error", error).debug();
                None
            }
        };
        let Some(snapshot) = snapshot else { return };
        match ConfigurationState::try_from(snapshot) {
            Ok(state) => self.adopt(entry, &state),
            Err(error) => {
                let line = EventLine::new("entry_state_invalid").field("entry", entry);
                line.field("error", error).error();
            }
        }
    }

    fn adopt(&mut self, entry: &InstanceName, state: &ConfigurationState) {
        if !self.replica.install_state(state) && self.state_publisher.borrow().is_some() {
            return;
        }
        EventLine::new("configuration_adopted")
            .field("entry", entry)
            .field("revision", state.revision)
            .info();
        self.state_publisher.send_replace(self.replica.state().cloned().map(Arc::new));
    }
}
