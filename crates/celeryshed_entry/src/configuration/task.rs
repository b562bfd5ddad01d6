//! The task that owns the configuration replica of an entry.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{InstanceName, LogOffset};
use celeryshed_core::configuration::{
    ChangeOutcome, ChangeVerdict, ConfigurationLogPage, ConfigurationReplica, ConfigurationState,
    ReplayProgress, SnapshotPosition, SnapshotSchedule,
};
use celeryshed_core::membership::{MembershipView, rendezvous_rank};
use celeryshed_observe::EventLine;
use celeryshed_platform::{LogClient, PlatformError};
use celeryshed_wire::{
    ConfigurationEntry, ConfigurationReply, ConfigurationSnapshot, ReadReply, RevisionExchange,
    encode,
};
use rand::seq::IteratorRandom;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::client::{ConfigurationClient, PeerError};
use super::handle::{ConfigurationHandle, NewerPeer};
use super::options::{ConfigurationOptions, CrashExchange, OptionsError, ProcessIdentity};

/// Log stream that holds the configuration.
const CONFIGURATION_STREAM: &str = "configuration";

/// Most records of one read.
const READ_LIMIT: u32 = 500;

/// Most peers with a newer revision that wait for an exchange.
const NEWER_PEERS_QUEUE: usize = 16;

/// Most exchanges in progress; more would only fetch the same state again.
const MAX_EXCHANGES: usize = 8;

/// Clients and inputs of the configuration task.
#[derive(Clone)]
pub struct ConfigurationClients {
    /// The log service, which holds the configuration records.
    pub log: Arc<dyn LogClient>,
    /// Client for other entries and for sidecars.
    pub peers: Arc<dyn ConfigurationClient>,
    /// The membership, for the addresses of peers and this entry's rank for snapshots.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// Channels for crash notices; `None` when exchanges carry no notices.
    pub crashes: Option<CrashExchange>,
}

/// Checks the options and starts the task.
pub fn spawn_configuration(
    identity: ProcessIdentity,
    options: ConfigurationOptions,
    clients: ConfigurationClients,
) -> Result<ConfigurationHandle, OptionsError> {
    options.check()?;
    let (publisher, states) = watch::channel(None);
    let (newer_peers, receiver) = mpsc::channel(NEWER_PEERS_QUEUE);
    let crashes = clients.crashes.clone();
    let task = ConfigurationTask {
        schedule: SnapshotSchedule::new(options.log_retention),
        identity,
        options,
        clients,
        replica: ConfigurationReplica::default(),
        publisher,
        calls: JoinSet::new(),
        reading: false,
        appending: false,
        exchanges_in_progress: 0,
        log_failed: false,
        shortened_reads: 0,
    };
    tokio::spawn(task.run(receiver));
    Ok(ConfigurationHandle { states, newer_peers, crashes })
}

/// Result of a finished call.
enum CallResult {
    Read(Result<ReadReply, PlatformError>),
    Appended(Result<LogOffset, PlatformError>),
    /// Address of the peer, and its reply.
    Exchanged(String, Result<ConfigurationReply, PeerError>),
}

struct ConfigurationTask {
    identity: ProcessIdentity,
    options: ConfigurationOptions,
    clients: ConfigurationClients,
    replica: ConfigurationReplica,
    schedule: SnapshotSchedule,
    publisher: watch::Sender<Option<Arc<ConfigurationState>>>,
    calls: JoinSet<CallResult>,
    reading: bool,
    appending: bool,
    exchanges_in_progress: usize,
    log_failed: bool,
    /// Successive reads in which the log ended before the replica's next offset.
    shortened_reads: u32,
}

impl ConfigurationTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<NewerPeer>) {
        let mut polls = interval(self.options.poll_interval);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = polls.tick() => self.poll(),
                peer = receiver.recv() => match peer {
                    Some(NewerPeer::Entry(peer)) => self.exchange_with(&peer),
                    Some(NewerPeer::Side(address)) => self.exchange_with_side(address),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(result) => self.handle_result(result),
                    Err(error) => EventLine::new("configuration_call_failed").field("error", error).error(),
                },
            }
        }
    }

    fn poll(&mut self) {
        if !self.reading {
            self.start_read();
        }
        if self.replica.revision().is_none() || self.log_is_insufficient() {
            self.exchange_with_random_peers();
        }
    }

    fn log_is_insufficient(&self) -> bool {
        self.log_failed || self.replica.records_missing()
    }

    fn start_read(&mut self) {
        self.reading = true;
        let log = Arc::clone(&self.clients.log);
        let from = self.replica.next_offset();
        let limit = self.options.call_timeout;
        self.calls.spawn(async move {
            CallResult::Read(
                with_timeout(limit, log.read(CONFIGURATION_STREAM, from, READ_LIMIT)).await,
            )
        });
    }

    fn handle_result(&mut self, result: CallResult) {
        match result {
            CallResult::Read(reply) => {
                self.reading = false;
                self.handle_read(reply);
            }
            CallResult::Appended(reply) => {
                self.appending = false;
                log_append(reply);
            }
            CallResult::Exchanged(peer, reply) => {
                self.exchanges_in_progress -= 1;
                self.handle_exchange(&peer, reply);
            }
        }
    }

    fn handle_read(&mut self, reply: Result<ReadReply, PlatformError>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                if !self.log_failed {
                    let line = EventLine::new("configuration_log_failed");
                    line.field("error", error).warn();
                    self.exchange_with_random_peers();
                }
                self.log_failed = true;
                return;
            }
        };
        self.log_failed = false;
        let before = self.replica.next_offset();
        let report = self.replica.apply(&ConfigurationLogPage::from(&reply));
        report.verdicts.iter().for_each(log_verdict);
        self.publish();
        let shortened = report.progress == ReplayProgress::LogShortened;
        self.shortened_reads = if shortened { self.shortened_reads + 1 } else { 0 };
        match report.progress {
            // Reading again at once after a reply without new records would be a busy loop.
            ReplayProgress::Behind if self.replica.next_offset() != before => self.start_read(),
            ReplayProgress::Behind => {}
            ReplayProgress::CaughtUp => self.append_due_snapshot(&reply),
            ReplayProgress::RecordsMissing => self.append_due_restart(&reply),
            ReplayProgress::LogShortened => self.log_shortened(&reply),
        }
    }

    /// Logs the second of several successive reads of a log that ends too early.
    ///
    /// A single one is normal when a newer state arrives from a peer during the read.
    fn log_shortened(&self, reply: &ReadReply) {
        if self.shortened_reads == 2 {
            EventLine::new("configuration_log_shortened")
                .field("end_offset", reply.end_offset)
                .field("next_offset", self.replica.next_offset())
                .error();
        }
    }

    fn handle_exchange(&mut self, peer: &str, reply: Result<ConfigurationReply, PeerError>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                EventLine::new("revision_exchange_failed").field("error", error).debug();
                return;
            }
        };
        if let Some(crashes) = self.clients.crashes.as_ref().filter(|_| !reply.crashes.is_empty()) {
            // Notices dropped by a full queue are read from the crash log later.
            let _ = crashes.learned.try_send(reply.crashes);
        }
        let Some(snapshot) = reply.snapshot else { return };
        match ConfigurationState::try_from(snapshot) {
            Ok(state) => self.install_peer_state(peer, &state),
            Err(error) => {
                let line = EventLine::new("peer_state_invalid").field("peer", peer);
                line.field("error", error).error();
            }
        }
    }

    fn install_peer_state(&mut self, peer: &str, state: &ConfigurationState) {
        let before = self.replica.revision();
        self.replica.install_state(state);
        self.publish();
        if self.replica.revision() > before {
            EventLine::new("configuration_adopted")
                .field("peer", peer)
                .field("revision", state.revision)
                .info();
            if self.log_is_insufficient() {
                self.exchange_with_random_peers();
            }
        }
    }

    fn publish(&self) {
        let Some(state) = self.replica.state() else { return };
        self.publisher.send_if_modified(|published| {
            let same = published.as_deref().is_some_and(|published| {
                (published.revision, published.folded_to) == (state.revision, state.folded_to)
            });
            if !same {
                *published = Some(Arc::new(state.clone()));
            }
            !same
        });
    }

    fn exchange_with_random_peers(&mut self) {
        let view = self.clients.members.borrow().clone();
        let others = view.entries.keys().filter(|entry| **entry != self.identity.instance);
        let chosen = others.choose_multiple(&mut rand::rng(), self.options.exchange_peers);
        for peer in chosen {
            self.exchange_with(peer);
        }
    }

    fn exchange_with(&mut self, peer: &InstanceName) {
        let address = match self.clients.members.borrow().entries.get(peer) {
            Some(entry) => entry.address.clone(),
            None => return,
        };
        self.start_exchange(address, false);
    }

    /// Asks a sidecar with a newer revision for its state, unless the log can provide it.
    fn exchange_with_side(&mut self, address: String) {
        if self.replica.revision().is_none() || self.log_is_insufficient() {
            self.start_exchange(address, true);
        }
    }

    fn start_exchange(&mut self, address: String, with_side: bool) {
        if self.options.exchange_peers == 0 || self.exchanges_in_progress >= MAX_EXCHANGES {
            return;
        }
        self.exchanges_in_progress += 1;
        let peers = Arc::clone(&self.clients.peers);
        let limit = self.options.call_timeout;
        let exchange = RevisionExchange {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            revision: self.replica.revision_for_peers(),
        };
        self.calls.spawn(async move {
            let reply = if with_side {
                timeout(limit, peers.exchange_with_side(&address, &exchange)).await
            } else {
                timeout(limit, peers.exchange(&address, &exchange)).await
            };
            let reason = || format!("no reply within {limit:?}");
            let timed_out = || PeerError { address: address.clone(), reason: reason() };
            let reply = reply.unwrap_or_else(|_| Err(timed_out()));
            CallResult::Exchanged(address, reply)
        });
    }

    fn append_due_snapshot(&mut self, reply: &ReadReply) {
        let newest = self.replica.newest_snapshot();
        self.schedule.observe(newest, reply.oldest_offset, reply.now);
        let Some(state) = self.replica.state().filter(|state| state.folded_to > LogOffset(0))
        else {
            return;
        };
        let (rank, entries) = self.snapshot_rank(newest);
        if self.schedule.is_due(rank, entries) {
            let snapshot = ConfigurationSnapshot::from(state);
            self.start_append(&ConfigurationEntry::Snapshot(snapshot));
        }
    }

    fn append_due_restart(&mut self, reply: &ReadReply) {
        self.schedule.observe_missing(reply.now);
        let (rank, entries) = self.snapshot_rank(self.replica.newest_snapshot());
        let Some(state) = self.replica.restart_state(reply.end_offset) else { return };
        if self.schedule.restart_is_due(rank, entries) {
            EventLine::new("configuration_restart")
                .field("revision", state.revision)
                .field("oldest_offset", reply.oldest_offset)
                .error();
            let snapshot = ConfigurationSnapshot::from(&state);
            self.start_append(&ConfigurationEntry::Restart(snapshot));
        }
    }

    /// This entry's rank among the entries, and their number; the order changes with each snapshot.
    fn snapshot_rank(&self, newest: Option<SnapshotPosition>) -> (usize, usize) {
        let key = newest.map_or(0, |position| position.offset.0).to_be_bytes();
        let view = self.clients.members.borrow();
        let rank = rendezvous_rank(&key, &self.identity.instance, view.entries.keys());
        (rank, view.entries.len())
    }

    fn start_append(&mut self, entry: &ConfigurationEntry) {
        if self.appending {
            return;
        }
        let record = match encode(entry) {
            Ok(record) => record,
            Err(error) => {
                EventLine::new("snapshot_not_encoded").field("error", error).error();
                return;
            }
        };
        self.appending = true;
        let log = Arc::clone(&self.clients.log);
        let limit = self.options.call_timeout;
        self.calls.spawn(async move {
            CallResult::Appended(
                with_timeout(limit, log.append(CONFIGURATION_STREAM, vec![record])).await,
            )
        });
    }
}

/// Ends a call to the log after `limit`; whether it took effect is then unknown.
async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    timeout(limit, call).await.unwrap_or_else(|_| {
        let reason = format!("no reply within {limit:?}");
        Err(PlatformError::ReplyLost { target: "log".to_owned(), reason })
    })
}

fn log_append(reply: Result<LogOffset, PlatformError>) {
    match reply {
        Ok(offset) => EventLine::new("snapshot_appended").field("offset", offset).info(),
        Err(error) => EventLine::new("snapshot_append_failed").field("error", error).warn(),
    }
}

fn log_verdict(verdict: &ChangeVerdict) {
    let line = EventLine::new("configuration_change").field("offset", verdict.offset);
    match &verdict.outcome {
        ChangeOutcome::Accepted(revision) => line.field("accepted_revision", revision).info(),
        ChangeOutcome::Refused(reason) => line.field("refused", reason).info(),
    }
}
