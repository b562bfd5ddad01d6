//! Detects crashes of the endpoint and reports the requests in flight to all entries.

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

/// Interval of polling an engine's load; its `boot_id` also shows restarts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for an engine's load or for a connection to a plain service.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which crash notices may delay the failure of an attempt; entries that take
/// longer learn of the crash from the log.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Log stream of the crash notices.
const CRASH_STREAM: &str = "crashes";

enum CrashCommand {
    Begin { attempt_id: AttemptId, fingerprint: ContentDigest, suspect: bool },
    End { attempt_id: AttemptId, complete: bool },
    Failed { attempt_id: AttemptId, reply: oneshot::Sender<()> },
}

#[derive(Clone)]
pub(super) struct CrashesHandle {
    commands: mpsc::UnboundedSender<CrashCommand>,
    load: watch::Receiver<Option<EngineLoad>>,
}

pub(super) struct CrashInputs {
    pub(super) instance: InstanceName,
    pub(super) target: EndpointTarget,
    pub(super) http: reqwest::Client,
    pub(super) members: watch::Receiver<Arc<MembershipView>>,
    pub(super) log: Arc<dyn LogClient>,
}

/// Registration of an attempt that runs at the endpoint; dropping it deregisters the attempt, as
/// incomplete unless [`Self::complete`] was called.
pub(super) struct RunningAttempt {
    attempt_id: AttemptId,
    commands: mpsc::UnboundedSender<CrashCommand>,
    complete: bool,
}

impl CrashesHandle {
    /// Registers an attempt that is about to run.
    pub(super) fn begin(
        &self,
        attempt_id: AttemptId,
        fingerprint: ContentDigest,
        suspect: bool,
    ) -> RunningAttempt {
        let commands = self.commands.clone();
        let _ = commands.send(CrashCommand::Begin { attempt_id, fingerprint, suspect });
        RunningAttempt { attempt_id, commands, complete: false }
    }

    /// Last polled load of the engine; `None` while the engine is down and for plain services.
    pub(super) fn engine_load(&self) -> watch::Receiver<Option<EngineLoad>> {
        self.load.clone()
    }
}

impl RunningAttempt {
    /// Deregisters the attempt as having received its whole answer.
    pub(super) fn complete(mut self) {
        self.complete = true;
    }

    /// Checks whether the endpoint crashed, and waits until a crash is reported to the entries.
    pub(super) async fn check_crash(&self) {
        let (reply, receiver) = oneshot::channel();
        let attempt_id = self.attempt_id;
        let _ = self.commands.send(CrashCommand::Failed { attempt_id, reply });
        let _ = receiver.await;
    }
}

impl Drop for RunningAttempt {
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
    /// Attempts in `running` whose crash was reported to the entries.
    reported: BTreeSet<AttemptId>,
    boot_id: Option<u64>,
    load: watch::Sender<Option<EngineLoad>>,
}

enum ProbeResult {
    Load(EngineLoad),
    /// No connection can be made.
    Down,
    /// The endpoint is up, or the probe timed out.
    Unclear,
}

pub(super) fn spawn_crashes(inputs: CrashInputs) -> CrashesHandle {
    let (commands, mut inbox) = mpsc::unbounded_channel();
    let (load, load_receiver) = watch::channel(None);
    let (running, reported) = (BTreeMap::new(), BTreeSet::new());
    let mut task = CrashTask { inputs, running, reported, boot_id: None, load };
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let is_engine = matches!(task.inputs.target, EndpointTarget::Engine(_));
        loop {
            tokio::select! {
                biased;
                command = inbox.recv() => match command {
                    Some(command) => task.handle(command).await,
                    None => return,
                },
                _ = ticks.tick(), if is_engine => task.check_endpoint().await,
            }
        }
    });
    CrashesHandle { commands, load: load_receiver }
}

impl CrashTask {
    async fn handle(&mut self, command: CrashCommand) {
        match command {
            CrashCommand::Begin { attempt_id, fingerprint, suspect } => {
                self.running.insert(attempt_id, RunningRequest { fingerprint, suspect });
            }
            CrashCommand::End { attempt_id, complete } => {
                self.reported.remove(&attempt_id);
                let ended = self.running.remove(&attempt_id);
                if let Some(ended) = ended.filter(|ended| ended.suspect && complete) {
                    let notice = self.notice(Vec::new(), Vec::new(), vec![ended.fingerprint]);
                    self.send_notice(notice).await;
                }
            }
            CrashCommand::Failed { attempt_id, reply } => {
                if !self.reported.contains(&attempt_id) {
                    self.check_endpoint().await;
                }
                let _ = reply.send(());
            }
        }
    }

    /// Probes the endpoint and reports a crash if it is down or has restarted since the last probe.
    async fn check_endpoint(&mut self) {
        let crashed = match self.probe().await {
            ProbeResult::Load(load) => {
                let previous = self.boot_id.replace(load.boot_id);
                let restarted = previous.is_some_and(|boot_id| boot_id != load.boot_id);
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
            self.report_crash().await;
        }
    }

    async fn report_crash(&mut self) {
        let unreported =
            self.running.iter().filter(|(attempt_id, _)| !self.reported.contains(attempt_id));
        let unreported: Vec<(AttemptId, RunningRequest)> =
            unreported.map(|(id, request)| (*id, *request)).collect();
        if unreported.is_empty() {
            return;
        }
        let in_flight = unreported.iter().map(|(_, request)| request.fingerprint).collect();
        let suspects = unreported
            .iter()
            .filter(|(_, request)| request.suspect)
            .map(|(_, request)| request.fingerprint);
        let notice = self.notice(in_flight, suspects.collect(), Vec::new());
        self.reported.extend(unreported.iter().map(|(attempt_id, _)| *attempt_id));
        EventLine::new("endpoint_crashed").field("in_flight", unreported.len()).warn();
        self.send_notice(notice).await;
    }

    async fn probe(&self) -> ProbeResult {
        let base_url = self.inputs.target.base_url();
        match &self.inputs.target {
            EndpointTarget::Engine(_) => {
                let poll = self.inputs.http.get(format!("{base_url}/load")).timeout(PROBE_TIMEOUT);
                match poll.send().await {
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
                let connecting = tokio::net::TcpStream::connect(address);
                match timeout(PROBE_TIMEOUT, connecting).await {
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

    /// Sends a notice to all entries and waits for their replies. The notice is appended to the log
    /// in the background, because the log may be down.
    async fn send_notice(&self, notice: CrashNotice) {
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
        let posts = view.entries.values().map(|entry| {
            let url = format!("http://{}/entry/v1/crashes", entry.address);
            let post = self.inputs.http.post(url).header(CONTENT_TYPE, MSGPACK);
            post.body(body.clone()).timeout(NOTICE_TIMEOUT).send()
        });
        let _ = timeout(NOTICE_TIMEOUT, join_all(posts)).await;
    }
}
