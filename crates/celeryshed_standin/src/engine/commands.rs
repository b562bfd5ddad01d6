//! Commands and weights.

use celeryshed_base::{ContentDigest, FenceNumber, MonoTime};
use celeryshed_wire::{EngineCommand, EngineCommandFailure, EngineCommandKind, EngineCommandReply};
use tokio::sync::oneshot;

use super::core::EngineCore;
use super::counts::VersionSwitch;
use crate::faults::consume_fault;

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// It was run.
    Done(EngineCommandReply),
    /// Its fence is older than one seen before.
    Stale(EngineCommandReply),
    /// It can't be run.
    Failed(EngineCommandFailure),
}

/// Takes the result; dropped without a result when the engine crashes.
pub(super) type OutcomeSender = oneshot::Sender<CommandOutcome>;

/// A verified version that is being loaded.
#[derive(Debug)]
pub(super) struct VersionLoad {
    pub(super) version: ContentDigest,
    pub(super) due: MonoTime,
    waiting: Vec<OutcomeSender>,
}

impl EngineCore {
    /// Runs a command; the result of a load is sent when the version is live.
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
            EngineCommandKind::Load { manifest, chunks } => self.load(manifest, chunks, sender),
            EngineCommandKind::LoadAdapter { adapter } => {
                self.adapters.want(&adapter, self.clock.now());
                self.send_done(sender);
            }
            EngineCommandKind::Unload { manifest } => self.unload(&manifest, sender),
        }
    }

    /// Takes a chunk of a version.
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

    fn load(&mut self, version: ContentDigest, chunks: u32, sender: OutcomeSender) {
        let mut verified = self.weights.verify(&version, chunks);
        if verified.is_ok() && consume_fault(&mut self.faults.fail_loads) {
            verified = Err(failure("failed by fault"));
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
            loading.waiting.push(sender);
            return;
        }
        let loaded = self.weights.is_loaded(&version);
        let due = if loaded { self.clock.now() } else { self.clock.now() + self.options.load };
        self.replace_loading(Some(VersionLoad { version, due, waiting: vec![sender] }));
        self.advance();
    }

    /// A later load supersedes the one before; its callers learn the version that is live.
    fn replace_loading(&mut self, load: Option<VersionLoad>) {
        let before = std::mem::replace(&mut self.loading, load);
        for sender in before.into_iter().flat_map(|load| load.waiting) {
            self.send_done(sender);
        }
    }

    /// Makes the loaded version live when its load is due.
    pub(super) fn finish_load(&mut self, now: MonoTime) {
        let Some(load) = self.loading.take_if(|load| load.due <= now) else {
            return;
        };
        self.weights.load(load.version);
        self.live = Some(load.version);
        let at = self.clock.unix_now();
        self.counts.switches.push(VersionSwitch { version: load.version, at });
        for sender in load.waiting {
            self.send_done(sender);
        }
    }

    fn unload(&mut self, version: &ContentDigest, sender: OutcomeSender) {
        if self.live == Some(*version) {
            let _ = sender.send(CommandOutcome::Failed(failure("the version is live")));
            return;
        }
        self.weights.unload(version);
        self.send_done(sender);
    }

    fn send_done(&self, sender: OutcomeSender) {
        // A caller that went away gets no reply.
        let _ = sender.send(CommandOutcome::Done(self.command_reply()));
    }

    fn command_reply(&self) -> EngineCommandReply {
        EngineCommandReply { live: self.live, fence: self.fence }
    }
}

fn failure(reason: &str) -> EngineCommandFailure {
    let reason = reason.to_owned();
    EngineCommandFailure { reason, missing: Vec::new(), corrupted: Vec::new() }
}
