//! The task that owns the endpoint's slots.

use std::collections::BTreeMap;
use std::sync::Arc;

use celeryshed_base::AttemptId;
use celeryshed_core::admission::{SlotDecision, SlotLoad, SlotRequest, SlotTable};
use celeryshed_core::configuration::ConfigurationState;
use celeryshed_wire::FailureCause;
use tokio::sync::{mpsc, oneshot, watch};

/// Configuration as the other tasks publish it.
pub(super) type ConfigurationWatch = watch::Receiver<Option<Arc<ConfigurationState>>>;

/// A slot; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct SlotPermit {
    attempt_id: AttemptId,
    commands: mpsc::UnboundedSender<SlotCommand>,
    stop: oneshot::Receiver<FailureCause>,
}

impl SlotPermit {
    /// Waits until the attempt is displaced or cancelled.
    pub(super) async fn stopped(&mut self) -> FailureCause {
        (&mut self.stop).await.unwrap_or(FailureCause::Cancelled)
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

/// Handle of the slot task.
#[derive(Clone, Debug)]
pub(super) struct SlotsHandle {
    commands: mpsc::UnboundedSender<SlotCommand>,
    load: watch::Receiver<SlotLoad>,
}

impl SlotsHandle {
    /// Asks for a slot.
    pub(super) async fn request(&self, request: SlotRequest) -> Result<SlotPermit, SlotDecision> {
        let attempt_id = request.attempt_id;
        let (reply, verdict) = oneshot::channel();
        let _ = self.commands.send(SlotCommand::Request(request, reply));
        let stop = verdict.await.unwrap_or(Err(SlotDecision::Busy))?;
        Ok(SlotPermit { attempt_id, commands: self.commands.clone(), stop })
    }

    /// Cancels an attempt.
    pub(super) fn cancel(&self, attempt_id: AttemptId) {
        let _ = self.commands.send(SlotCommand::Cancel(attempt_id));
    }

    /// The load, for reports.
    pub(super) fn load(&self) -> watch::Receiver<SlotLoad> {
        self.load.clone()
    }
}

struct SlotTask {
    table: SlotTable,
    configuration: ConfigurationWatch,
    stops: BTreeMap<AttemptId, oneshot::Sender<FailureCause>>,
    load: watch::Sender<SlotLoad>,
}

/// Starts the task.
pub(super) fn spawn_slots(slots: u32, configuration: ConfigurationWatch) -> SlotsHandle {
    let (commands, mut inbox) = mpsc::unbounded_channel();
    let table = SlotTable::new(slots);
    let (load, load_watch) = watch::channel(table.load());
    let mut task = SlotTask { table, configuration, stops: BTreeMap::new(), load };
    tokio::spawn(async move {
        while let Some(command) = inbox.recv().await {
            task.handle(command);
        }
    });
    SlotsHandle { commands, load: load_watch }
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
        let (stop, stopped) = oneshot::channel();
        self.stops.insert(attempt_id, stop);
        Ok(stopped)
    }

    fn stop(&mut self, attempt_id: &AttemptId, cause: FailureCause) {
        if let Some(stop) = self.stops.remove(attempt_id) {
            let _ = stop.send(cause);
        }
    }

    fn release(&mut self, attempt_id: &AttemptId) {
        self.table.release(attempt_id);
        self.stops.remove(attempt_id);
    }
}
