//! Execution of engine commands, which load and unload versions and adapters.

use celeryshed_base::{ContentDigest, FenceNumber, MonoTime};
use celeryshed_wire::{EngineCommand, EngineCommandFailure, EngineCommandKind, EngineCommandReply};
use tokio::sync::oneshot;

use super::core::EngineCore;
use super::counts::VersionSwitch;
use crate::faults::consume_fault;

/// Result of an engine command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The command was run.
    Done(EngineCommandReply),
    /// The command was refused because an earlier command had a higher fence.
    Stale(EngineCommandReply),
    /// The command can't be run, for example because chunks are missing.
    Failed(EngineCommandFailure),
}

/// Sender of a command's result; dropped without a result when the engine is down or crashes.
pub(super) type OutcomeSender = oneshot::Sender<CommandOutcome>;

/// Verified version that is being loaded.
#[derive(Debug)]
pub(super) struct VersionLoad {
    pub(super) version: ContentDigest,
    pub(super) ready_at: MonoTime,
    /// Callers that wait for the end of this load.
    outcome_senders: Vec<OutcomeSender>,
}

impl EngineCore {
    /// Runs a command. The result of a load is sent when its version is live or another load
    /// replaces it.
    pub(super) fn command(&mut self, command: EngineCommand, sender: OutcomeSender) {
        self.advance();
        if self.is_down() {
            return;
        }
        if self.refuses_fence(command.fence) {
            let _ = sender.send(CommandOutcome::Stale(self.command_reply()));
            return;
        }
        match command.kind {
            EngineCommandKind::Load { manifest, chunks } => {
                self.start_load(manifest, chunks, sender)
            }
            EngineCommandKind::LoadAdapter { adapter } => {
                self.adapters.ensure_loading(&adapter, self.clock.now());
                self.send_done(sender);
            }
            EngineCommandKind::Unload { manifest } => self.unload(&manifest, sender),
        }
    }

    /// Stores a chunk of a version, or its manifest.
    pub(super) fn put_chunk(
        &mut self,
        version: ContentDigest,
        index: u32,
        content: &[u8],
    ) -> Result<(), String> {
        self.counts.chunks_put += 1;
        self.counts.bytes_put += content.len() as u64;
        self.weights.put(version, index, content)
    }

    fn refuses_fence(&mut self, fence: FenceNumber) -> bool {
        let stale = fence < self.fence;
        self.fence = self.fence.max(fence);
        if stale && self.options.checks_fence {
            self.counts.stale_commands_refused += 1;
            return true;
        }
        self.counts.stale_commands_run += u64::from(stale);
        false
    }

    fn start_load(&mut self, version: ContentDigest, chunks: u32, sender: OutcomeSender) {
        let mut verified = self.weights.verify(&version, chunks);
        if verified.is_ok() && consume_fault(&mut self.faults.fail_loads) {
            verified = Err(command_failure("failed by fault"));
        }
        if let Err(failure) = verified {
            self.counts.loads_refused += 1;
            let _ = sender.send(CommandOutcome::Failed(failure));
            return;
        }
        if self.live == Some(version) {
            self.replace_loading(None);
            self.send_done(sender);
            return;
        }
        if let Some(loading) = self.loading.as_mut().filter(|load| load.version == version) {
            loading.outcome_senders.push(sender);
            return;
        }
        let loaded = self.weights.is_loaded(&version);
        let ready_at =
            if loaded { self.clock.now() } else { self.clock.now() + self.options.load_time };
        self.replace_loading(Some(VersionLoad {
            version,
            ready_at,
            outcome_senders: vec![sender],
        }));
        self.advance();
    }

    /// Replaces the load in progress. Callers of the previous load get the currently live version.
    fn replace_loading(&mut self, load: Option<VersionLoad>) {
        let previous = std::mem::replace(&mut self.loading, load);
        for sender in previous.into_iter().flat_map(|load| load.outcome_senders) {
            self.send_done(sender);
        }
    }

    /// Makes the loading version live if its load has finished by `now`.
    pub(super) fn finish_load(&mut self, now: MonoTime) {
        let Some(load) = self.loading.take_if(|load| load.ready_at <= now) else {
            return;
        };
        self.weights.mark_loaded(load.version);
        self.live = Some(load.version);
        let at = self.clock.unix_now();
        self.counts.switches.push(VersionSwitch { version: load.version, at });
        for sender in load.outcome_senders {
            self.send_done(sender);
        }
    }

    fn unload(&mut self, version: &ContentDigest, sender: OutcomeSender) {
        if self.live == Some(*version) {
            let _ = sender.send(CommandOutcome::Failed(command_failure("the version is live")));
            return;
        }
        self.weights.unload(version);
        self.send_done(sender);
    }

    fn send_done(&self, sender: OutcomeSender) {
        // Sending fails if the caller has disconnected.
        let _ = sender.send(CommandOutcome::Done(self.command_reply()));
    }

    fn command_reply(&self) -> EngineCommandReply {
        EngineCommandReply { live: self.live, fence: self.fence }
    }
}

fn command_failure(reason: &str) -> EngineCommandFailure {
    let reason = reason.to_owned();
    EngineCommandFailure { reason, missing: Vec::new(), corrupted: Vec::new() }
}
