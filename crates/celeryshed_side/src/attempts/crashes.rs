//! Notices when the endpoint crashes, and tells every entry which requests were in flight.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{AttemptId, ContentDigest, InstanceName, RecordId};
use celeryshed_core::membership::MembershipView;
use celeryshed_observe::EventLine;
use celeryshed_platform::LogClient;
use celeryshed_wire::{CrashNotice, EngineLoad, MSGPACK, encode};
use futures::future::join_all;
use reqwest::header::CONTENT_TYPE;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, timeout};

use super::options::EndpointTarget;

/// Pause between two looks at an engine's load, which also tells when it restarted.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for an engine's load.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a notice may hold up a failure; an entry that is slower learns of the crash
/// from the log.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stream of the crash notices.
const CRASH_STREAM: &str = "crashes";

enum CrashCommand {
    Begin { attempt_id: AttemptId, fingerprint: ContentDigest, suspect: bool },
    End { attempt_id: AttemptId, complete: bool },
    Failed { attempt_id: AttemptId, noted: oneshot::Sender<()> },
}

/// Handle of the task.
#[derive(Clone)]
pub(super) struct CrashWatch {
    commands: mpsc::UnboundedSender<CrashCommand>,
    load: watch::Receiver<Option<EngineLoad>>,
}

/// What the task needs.
pub(super) struct CrashInputs {
    pub(super) instance: InstanceName,
    pub(super) target: EndpointTarget,
    pub(super) http: reqwest::Client,
    pub(super) members: watch::Receiver<Arc<MembershipView>>,
    pub(super) log: Arc<dyn LogClient>,
}

/// An attempt that runs at the endpoint; dropping it ends it as incomplete.
pub(super) struct RunningMark {
    attempt_id: AttemptId,
    commands: mpsc::UnboundedSender<CrashCommand>,
    complete: bool,
}

impl CrashWatch {
    /// Notes that an attempt runs.
    pub(super) fn begin(
        &self,
        attempt_id: AttemptId,
        fingerprint: ContentDigest,
        suspect: bool,
    ) -> RunningMark {
        let commands = self.commands.clone();
        let _ = commands.send(CrashCommand::Begin { attempt_id, fingerprint, suspect });
        RunningMark { attempt_id, commands, complete: false }
    }

    /// The engine's load as it was read last.
    pub(super) fn engine_load(&self) -> watch::Receiver<Option<EngineLoad>> {
        self.load.clone()
    }
}

impl RunningMark {
    /// Notes that the attempt has its whole answer.
    pub(super) fn complete(mut self) {
        self.complete = true;
    }

    /// Waits until the entries know of a crash, if there was one.
    pub(super) async fn failed(&self) {
        let (noted, answer) = oneshot::channel();
        let attempt_id = self.attempt_id;
        let _ = self.commands.send(CrashCommand::Failed { attempt_id, noted });
        let _ = answer.await;
    }
}

impl Drop for RunningMark {
    fn drop(&mut self) {
        let (attempt_id, complete) = (self.attempt_id, self.complete);
        let _ = self.commands.send(CrashCommand::End { attempt_id, complete });
    }
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    fingerprint: ContentDigest,
    suspect: bool,
}

struct CrashTask {
    inputs: CrashInputs,
    running: BTreeMap<AttemptId, RunningRequest>,
    /// Attempts whose crash has been told.
    told: BTreeSet<AttemptId>,
    boot_id: Option<u64>,
    load: watch::Sender<Option<EngineLoad>>,
}

/// What a look at the endpoint shows.
enum ProbeResult {
    Load(EngineLoad),
    /// Nothing listens there.
    Down,
    /// Up, or too slow to tell.
    Unclear,
}

/// Starts the task.
pub(super) fn spawn_crash_watch(inputs: CrashInputs) -> CrashWatch {
    let (commands, mut inbox) = mpsc::unbounded_channel();
    let (load, load_watch) = watch::channel(None);
    let (running, told) = (BTreeMap::new(), BTreeSet::new());
    let mut task = CrashTask { inputs, running, told, boot_id: None, load };
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(POLL_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let polls = matches!(task.inputs.target, EndpointTarget::Engine(_));
        loop {
            tokio::select! {
                biased;
                command = inbox.recv() => match command {
                    Some(command) => task.handle(command).await,
                    None => return,
                },
                _ = ticks.tick(), if polls => task.look().await,
            }
        }
    });
    CrashWatch { commands, load: load_watch }
}

impl CrashTask {
    async fn handle(&mut self, command: CrashCommand) {
        match command {
            CrashCommand::Begin { attempt_id, fingerprint, suspect } => {
                self.running.insert(attempt_id, RunningRequest { fingerprint, suspect });
            }
            CrashCommand::End { attempt_id, complete } => {
                self.told.remove(&attempt_id);
                let ended = self.running.remove(&attempt_id);
                if let Some(ended) = ended.filter(|ended| ended.suspect && complete) {
                    let notice = self.notice(Vec::new(), Vec::new(), vec![ended.fingerprint]);
                    self.tell(notice).await;
                }
            }
            CrashCommand::Failed { attempt_id, noted } => {
                if !self.told.contains(&attempt_id) {
                    self.look().await;
                }
                let _ = noted.send(());
            }
        }
    }

    /// Looks whether the endpoint is down or restarted since the last look.
    async fn look(&mut self) {
        let crashed = match self.probe().await {
            ProbeResult::Load(load) => {
                let before = self.boot_id.replace(load.boot_id);
                let restarted = before.is_some_and(|boot_id| boot_id != load.boot_id);
                self.load.send_replace(Some(load));
                restarted
            }
            ProbeResult::Down => {
                self.load.send_replace(None);
                true
            }
            ProbeResult::Unclear => false,
        };
        if crashed {
            self.crash().await;
        }
    }

    async fn crash(&mut self) {
        let fresh = self.running.iter().filter(|(attempt_id, _)| !self.told.contains(attempt_id));
        let fresh: Vec<(AttemptId, RunningRequest)> = fresh.map(|(id, it)| (*id, *it)).collect();
        if fresh.is_empty() {
            return;
        }
        let in_flight = fresh.iter().map(|(_, it)| it.fingerprint).collect();
        let suspects = fresh.iter().filter(|(_, it)| it.suspect).map(|(_, it)| it.fingerprint);
        let notice = self.notice(in_flight, suspects.collect(), Vec::new());
        self.told.extend(fresh.iter().map(|(attempt_id, _)| *attempt_id));
        EventLine::new("endpoint_crashed").field("in_flight", fresh.len()).warn();
        self.tell(notice).await;
    }

    async fn probe(&self) -> ProbeResult {
        let base_url = self.inputs.target.base_url();
        match &self.inputs.target {
            EndpointTarget::Engine(_) => {
                let asked = self.inputs.http.get(format!("{base_url}/load")).timeout(POLL_TIMEOUT);
                match asked.send().await {
                    Ok(response) => match response.json().await {
                        Ok(load) => ProbeResult::Load(load),
                        Err(_) => ProbeResult::Unclear,
                    },
                    Err(error) if error.is_connect() && !error.is_timeout() => ProbeResult::Down,
                    Err(_) => ProbeResult::Unclear,
                }
            }
            EndpointTarget::Plain(_) => {
                let address = base_url.trim_start_matches("http://");
                let connected = tokio::net::TcpStream::connect(address);
                match timeout(POLL_TIMEOUT, connected).await {
                    Ok(Err(_)) => ProbeResult::Down,
                    Ok(Ok(_)) | Err(_) => ProbeResult::Unclear,
                }
            }
        }
    }

    fn notice(
        &self,
        in_flight: Vec<ContentDigest>,
        suspects: Vec<ContentDigest>,
        cleared: Vec<ContentDigest>,
    ) -> CrashNotice {
        let instance = self.inputs.instance.clone();
        CrashNotice { notice_id: RecordId::random(), instance, in_flight, suspects, cleared }
    }

    /// Sends a notice to all entries and waits for them; the log is written in the background,
    /// because it may be down.
    async fn tell(&self, notice: CrashNotice) {
        let Ok(body) = encode(&notice) else {
            return;
        };
        let (log, record) = (Arc::clone(&self.inputs.log), body.clone());
        tokio::spawn(async move {
            if let Err(error) = log.append(CRASH_STREAM, vec![record]).await {
                EventLine::new("crash_notice_not_logged").field("error", error).warn();
            }
        });
        let view = Arc::clone(&self.inputs.members.borrow());
        let sent = view.entries.values().map(|entry| {
            let url = format!("http://{}/entry/v1/crashes", entry.address);
            let post = self.inputs.http.post(url).header(CONTENT_TYPE, MSGPACK);
            post.body(body.clone()).timeout(NOTICE_TIMEOUT).send()
        });
        let _ = timeout(NOTICE_TIMEOUT, join_all(sent)).await;
    }
}
