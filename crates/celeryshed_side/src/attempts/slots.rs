//! The task that owns the endpoint's slots.

use std::collections::BTreeMap;
use std::sync::Arc;

use celeryshed_base::AttemptId;
use celeryshed_core::admission::{SlotDecision, SlotLoad, SlotRequest, SlotTable};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_wire::FailureCause;
use tokio::sync::{mpsc, oneshot, watch};

/// Accepted configuration; `None` until a revision is known.
pub(super) type ConfigurationWatch = watch::Receiver<Option<Arc<ConfigurationState>>>;

/// Holds one slot of the endpoint and frees it on drop.
#[derive(Debug)]
pub(super) struct SlotPermit {
    attempt_id: AttemptId,
    commands: mpsc::UnboundedSender<SlotCommand>,
    stop_receiver: oneshot::Receiver<FailureCause>,
}

impl SlotPermit {
    /// Waits until the attempt is displaced or cancelled, and returns which of the two happened.
    pub(super) async fn stopped(&mut self) -> FailureCause {
        (&mut self.stop_receiver).await.unwrap_or(FailureCause::Cancelled)
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let _ = self.commands.send(SlotCommand::Release(self.attempt_id));
    }
}

#[derive(Debug)]
enum SlotCommand {
    Request(SlotRequest, oneshot::Sender<Result<oneshot::Receiver<FailureCause>, SlotDecision>>),
    Release(AttemptId),
    Cancel(AttemptId),
}

#[derive(Clone, Debug)]
pub(super) struct SlotsHandle {
    commands: mpsc::UnboundedSender<SlotCommand>,
    load: watch::Receiver<SlotLoad>,
}

impl SlotsHandle {
    /// Requests a slot; the error is the decision that refused the request.
    pub(super) async fn request(&self, request: SlotRequest) -> Result<SlotPermit, SlotDecision> {
        let attempt_id = request.attempt_id;
        let (reply, decision) = oneshot::channel();
        let _ = self.commands.send(SlotCommand::Request(request, reply));
        let stop_receiver = decision.await.unwrap_or(Err(SlotDecision::Busy))?;
        Ok(SlotPermit { attempt_id, commands: self.commands.clone(), stop_receiver })
    }

    /// Stops an attempt; one that hasn't arrived yet is refused on arrival.
    pub(super) fn cancel(&self, attempt_id: AttemptId) {
        let _ = self.commands.send(SlotCommand::Cancel(attempt_id));
    }

    /// Slot load, updated after each command.
    pub(super) fn load(&self) -> watch::Receiver<SlotLoad> {
        self.load.clone()
    }
}

struct SlotTask {
    table: SlotTable,
    configuration: ConfigurationWatch,
    stop_senders: BTreeMap<AttemptId, oneshot::Sender<FailureCause>>,
    load: watch::Sender<SlotLoad>,
}

pub(super) fn spawn_slots(slots: u32, configuration: ConfigurationWatch) -> SlotsHandle {
    let (commands, mut inbox) = mpsc::unbounded_channel();
    let table = SlotTable::new(slots);
    let (load, load_receiver) = watch::channel(table.load());
    let mut task = SlotTask { table, configuration, stop_senders: BTreeMap::new(), load };
    tokio::spawn(async move {
        while let Some(command) = inbox.recv().await {
            task.handle(command);
        }
    });
    SlotsHandle { commands, load: load_receiver }
}

impl SlotTask {
    fn handle(&mut self, command: SlotCommand) {
        match command {
            SlotCommand::Request(request, reply) => {
                let attempt_id = request.attempt_id;
                if reply.send(self.decide(request)).is_err() {
                    self.release(&attempt_id);
                }
            }
            SlotCommand::Release(attempt_id) => self.release(&attempt_id),
            SlotCommand::Cancel(attempt_id) => {
                if self.table.cancel(attempt_id) {
                    self.stop(&attempt_id, FailureCause::Cancelled);
                }
            }
        }
        self.load.send_replace(self.table.load());
    }

    fn decide(
        &mut self,
        request: SlotRequest,
    ) -> Result<oneshot::Receiver<FailureCause>, SlotDecision> {
        let attempt_id = request.attempt_id;
        let configuration = self.configuration.borrow().clone();
        match self.table.request(request, configuration.as_deref()) {
            SlotDecision::Granted => {}
            SlotDecision::Displaced { victim } => self.stop(&victim, FailureCause::Displaced),
            refusal => return Err(refusal),
        }
        let (stop_sender, stop_receiver) = oneshot::channel();
        self.stop_senders.insert(attempt_id, stop_sender);
        Ok(stop_receiver)
    }

    fn stop(&mut self, attempt_id: &AttemptId, cause: FailureCause) {
        if let Some(stop_sender) = self.stop_senders.remove(attempt_id) {
            let _ = stop_sender.send(cause);
        }
    }

    fn release(&mut self, attempt_id: &AttemptId) {
        self.table.release(attempt_id);
        self.stop_senders.remove(attempt_id);
    }
}
