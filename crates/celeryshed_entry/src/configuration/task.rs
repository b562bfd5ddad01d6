//! The task that owns the replica of an entry.

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

use super::handle::{ConfigurationHandle, PeerAhead};
use super::options::{ConfigurationOptions, CrashExchange, OptionsError, ProcessIdentity};
use super::peer::{ConfigurationClient, PeerError};

/// The stream of the log that holds the configuration.
const STREAM: &str = "configuration";

/// Records asked for at a time.
const READ_LIMIT: u32 = 500;

/// Peers that are ahead and wait to be asked.
const AHEAD_QUEUE: usize = 16;

/// Calls to peers in progress at a time; more would only fetch the same state again.
const MAX_EXCHANGES: usize = 8;

/// What the configuration task calls and reads.
#[derive(Clone)]
pub struct ConfigurationClients {
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// Other entries.
    pub peers: Arc<dyn ConfigurationClient>,
    /// The membership, for the addresses of peers and the turns of snapshots.
    pub members: watch::Receiver<Arc<MembershipView>>,
    /// Crash notices to pass on and to learn; `None` leaves them out.
    pub crashes: Option<CrashExchange>,
}

/// Starts the task.
pub fn spawn_configuration(
    identity: ProcessIdentity,
    options: ConfigurationOptions,
    clients: ConfigurationClients,
) -> Result<ConfigurationHandle, OptionsError> {
    options.check()?;
    let (publisher, states) = watch::channel(None);
    let (peers_ahead, ahead) = mpsc::channel(AHEAD_QUEUE);
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
        exchanges: 0,
        log_failed: false,
        shortened_reads: 0,
    };
    tokio::spawn(task.run(ahead));
    Ok(ConfigurationHandle { states, peers_ahead, crashes })
}

/// A call that has ended.
enum CallResult {
    Read(Result<ReadReply, PlatformError>),
    Appended(Result<LogOffset, PlatformError>),
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
    exchanges: usize,
    log_failed: bool,
    shortened_reads: u32,
}

impl ConfigurationTask {
    async fn run(mut self, mut ahead: mpsc::Receiver<PeerAhead>) {
        let mut polls = interval(self.options.poll_interval);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = polls.tick() => self.poll(),
                peer = ahead.recv() => match peer {
                    Some(PeerAhead::Entry(peer)) => self.exchange_with(&peer),
                    Some(PeerAhead::Side(address)) => self.exchange_with_side(address),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(result) => self.take_result(result),
                    Err(error) => EventLine::new("configuration_call_failed").field("error", error).error(),
                },
            }
        }
    }

    fn poll(&mut self) {
        if !self.reading {
            self.start_read();
        }
        if self.replica.revision().is_none() || self.reading_is_no_help() {
            self.exchange_with_random();
        }
    }

    fn reading_is_no_help(&self) -> bool {
        self.log_failed || self.replica.records_missing()
    }

    fn start_read(&mut self) {
        self.reading = true;
        let log = Arc::clone(&self.clients.log);
        let from = self.replica.next_offset();
        let limit = self.options.call_timeout;
        self.calls.spawn(async move {
            CallResult::Read(in_time(limit, log.read(STREAM, from, READ_LIMIT)).await)
        });
    }

    fn take_result(&mut self, result: CallResult) {
        match result {
            CallResult::Read(reply) => {
                self.reading = false;
                self.take_read(reply);
            }
            CallResult::Appended(reply) => {
                self.appending = false;
                log_append(reply);
            }
            CallResult::Exchanged(peer, reply) => {
                self.exchanges -= 1;
                self.take_exchange(&peer, reply);
            }
        }
    }

    fn take_read(&mut self, reply: Result<ReadReply, PlatformError>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                if !self.log_failed {
                    let line = EventLine::new("configuration_log_failed");
                    line.field("error", error).warn();
                    self.exchange_with_random();
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
            // A reply that brings nothing must not be asked for again before the next poll.
            ReplayProgress::Behind if self.replica.next_offset() != before => self.start_read(),
            ReplayProgress::Behind => {}
            ReplayProgress::CaughtUp => self.consider_snapshot(&reply),
            ReplayProgress::RecordsMissing => self.consider_restart(&reply),
            ReplayProgress::LogShortened => self.note_shortened(&reply),
        }
    }

    /// One such reply is normal when a peer's newer state arrived during the read.
    fn note_shortened(&self, reply: &ReadReply) {
        if self.shortened_reads == 2 {
            EventLine::new("configuration_log_shortened")
                .field("end_offset", reply.end_offset)
                .field("next_offset", self.replica.next_offset())
                .error();
        }
    }

    fn take_exchange(&mut self, peer: &str, reply: Result<ConfigurationReply, PeerError>) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                EventLine::new("revision_exchange_failed").field("error", error).debug();
                return;
            }
        };
        if let Some(crashes) = self.clients.crashes.as_ref().filter(|_| !reply.crashes.is_empty()) {
            // A full queue only delays what the crash log also holds.
            let _ = crashes.learned.try_send(reply.crashes);
        }
        let Some(snapshot) = reply.snapshot else { return };
        match ConfigurationState::try_from(snapshot) {
            Ok(state) => self.adopt(peer, &state),
            Err(error) => {
                let line = EventLine::new("peer_state_invalid").field("peer", peer);
                line.field("error", error).error();
            }
        }
    }

    fn adopt(&mut self, peer: &str, state: &ConfigurationState) {
        let before = self.replica.revision();
        self.replica.install_state(state);
        self.publish();
        if self.replica.revision() > before {
            EventLine::new("configuration_adopted")
                .field("peer", peer)
                .field("revision", state.revision)
                .info();
            if self.reading_is_no_help() {
                self.exchange_with_random();
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

    fn exchange_with_random(&mut self) {
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

    /// Asks a sidecar that is ahead, unless the log will tell.
    fn exchange_with_side(&mut self, address: String) {
        if self.replica.revision().is_none() || self.reading_is_no_help() {
            self.start_exchange(address, true);
        }
    }

    fn start_exchange(&mut self, address: String, with_side: bool) {
        if self.options.exchange_peers == 0 || self.exchanges >= MAX_EXCHANGES {
            return;
        }
        self.exchanges += 1;
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
            let late = || PeerError { address: address.clone(), reason: reason() };
            let reply = reply.unwrap_or_else(|_| Err(late()));
            CallResult::Exchanged(address, reply)
        });
    }

    fn consider_snapshot(&mut self, reply: &ReadReply) {
        let newest = self.replica.newest_snapshot();
        self.schedule.observe(newest, reply.oldest_offset, reply.now);
        let Some(state) = self.replica.state().filter(|state| state.folded_to > LogOffset(0))
        else {
            return;
        };
        let (rank, entries) = self.turn(newest);
        if self.schedule.is_due(rank, entries) {
            let snapshot = ConfigurationSnapshot::from(state);
            self.start_append(&ConfigurationEntry::Snapshot(snapshot));
        }
    }

    fn consider_restart(&mut self, reply: &ReadReply) {
        self.schedule.observe_missing(reply.now);
        let (rank, entries) = self.turn(self.replica.newest_snapshot());
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

    /// The own rank among the entries, and how many there are; the order changes with each
    /// snapshot.
    fn turn(&self, newest: Option<SnapshotPosition>) -> (usize, usize) {
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
            CallResult::Appended(in_time(limit, log.append(STREAM, vec![record])).await)
        });
    }
}

/// Ends a call to the log after `limit`; its effect is then open.
async fn in_time<T>(
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
