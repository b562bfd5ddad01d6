//! Events of the simulation, queued by their time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use celeryshed_base::{AttemptId, MonoTime, RequestId};
use celeryshed_core::admission::SlotClass;
use celeryshed_wire::{FailureCause, RunStatus};

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    /// The next request of a team arrives.
    Arrival { team: usize },
    /// A caller resends its call after a refusal or a broken connection.
    Resend { call: usize },
    /// An attempt reaches its sidecar.
    AtSide { attempt: SimAttempt },
    /// The first token of an attempt reaches its entry.
    FirstToken { attempt: SimAttempt },
    /// The last token of an attempt reaches its entry.
    Complete { attempt: SimAttempt },
    /// The failure of an attempt reaches its entry.
    Failed { attempt: SimAttempt, cause: FailureCause, not_run: RunStatus },
    /// An entry gives up an attempt whose next event is overdue.
    EventTimeout { attempt: SimAttempt },
    /// An engine runs its next step.
    Step { engine: usize },
    /// A sidecar reports to the entries.
    Report { engine: usize },
    /// An entry tries to place its waiting requests.
    PlaceWaiting { entry: usize },
    /// The fault of the scenario starts.
    Fault,
    /// The fault of the scenario ends.
    Recovery,
    /// The membership marks crashed instances as silent.
    SyncMembers,
    /// An engine switches to the new version.
    NewVersion { engine: usize },
}

/// An attempt to run a request on an engine; `entry` and `engine` are indexes.
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
    event: SimEvent,
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

/// Events ordered by time; events of the same time keep the order in which they were added.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<QueuedEvent>>,
    added: u64,
}

impl EventQueue {
    pub(super) fn add(&mut self, at: MonoTime, event: SimEvent) {
        self.added += 1;
        self.events.push(Reverse(QueuedEvent { at, number: self.added, event }));
    }

    pub(super) fn next(&mut self) -> Option<(MonoTime, SimEvent)> {
        self.events.pop().map(|Reverse(queued)| (queued.at, queued.event))
    }
}
