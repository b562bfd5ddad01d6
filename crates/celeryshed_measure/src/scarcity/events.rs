//! The queue of coming events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use celeryshed_base::{AttemptId, MonoTime, RequestId};
use celeryshed_core::admission::SlotClass;
use celeryshed_wire::{FailureCause, RunStatus};

/// Something that happens.
#[derive(Clone, Debug)]
pub(super) enum WorldEvent {
    /// The next request of a team arrives.
    Arrival { team: usize },
    /// A caller sends a refused request again.
    Resend { call: usize },
    /// An attempt reaches its sidecar.
    AtSide { attempt: SimAttempt },
    /// The first token of an attempt reaches its entry.
    FirstToken { attempt: SimAttempt },
    /// A whole answer reaches its entry.
    Complete { attempt: SimAttempt },
    /// A failure reaches its entry.
    Failed { attempt: SimAttempt, cause: FailureCause, not_run: RunStatus },
    /// An entry notices that an attempt gives no sign of life.
    Gap { attempt: SimAttempt },
    /// An engine generates the next tokens.
    Step { engine: usize },
    /// A sidecar reports to the entries.
    Report { engine: usize },
    /// An entry looks at its waiting requests.
    Wake { entry: usize },
    /// The scenario's fault.
    Fault,
    /// The end of the scenario's fault.
    Recovery,
    /// The membership shows who is silent.
    Silence,
    /// One engine changes to the new version.
    NewVersion { engine: usize },
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SimAttempt {
    pub(super) attempt_id: AttemptId,
    pub(super) request_id: RequestId,
    pub(super) entry: usize,
    pub(super) engine: usize,
    pub(super) class: SlotClass,
}

struct QueuedEvent {
    at: MonoTime,
    number: u64,
    event: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; those of the same time in the order in which they were added.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<QueuedEvent>>,
    added: u64,
}

impl EventQueue {
    pub(super) fn add(&mut self, at: MonoTime, event: WorldEvent) {
        self.added += 1;
        self.events.push(Reverse(QueuedEvent { at, number: self.added, event }));
    }

    pub(super) fn next(&mut self) -> Option<(MonoTime, WorldEvent)> {
        self.events.pop().map(|Reverse(queued)| (queued.at, queued.event))
    }
}
