//! The task that owns what is known about the endpoints.

use std::collections::BTreeSet;
use std::sync::Arc;

use celeryshed_base::{InstanceName, ServiceName};
use celeryshed_core::membership::MemberView;
use celeryshed_core::routing::{EndpointTable, RoutingChoice, RoutingNeed};
use tokio::sync::{mpsc, oneshot, watch};

/// The endpoint chosen for one attempt; dropping it ends the attempt's share of its load.
#[derive(Debug)]
pub(super) struct EndpointLease {
    pub(super) choice: RoutingChoice,
    commands: mpsc::UnboundedSender<BoardCommand>,
}

impl Drop for EndpointLease {
    fn drop(&mut self) {
        let _ = self.commands.send(BoardCommand::Ended(self.choice.instance.clone()));
    }
}

#[derive(Debug)]
enum BoardCommand {
    Pick(RoutingNeed, oneshot::Sender<Option<RoutingChoice>>),
    Ended(InstanceName),
}

/// Handle of the board task.
#[derive(Clone, Debug)]
pub(super) struct BoardHandle {
    commands: mpsc::UnboundedSender<BoardCommand>,
}

impl BoardHandle {
    /// Chooses an endpoint and counts the request towards its load.
    pub(super) async fn pick(
        &self,
        service: &ServiceName,
        excluded: &BTreeSet<InstanceName>,
    ) -> Option<EndpointLease> {
        let need = RoutingNeed { service: service.clone(), excluded: excluded.clone() };
        let (reply, choice) = oneshot::channel();
        let _ = self.commands.send(BoardCommand::Pick(need, reply));
        let choice = choice.await.ok().flatten()?;
        Some(EndpointLease { choice, commands: self.commands.clone() })
    }
}

/// Starts the task.
pub(super) fn spawn_board(members: watch::Receiver<Arc<MemberView>>) -> BoardHandle {
    let (commands, mut inbox) = mpsc::unbounded_channel();
    let mut table = EndpointTable::default();
    tokio::spawn(async move {
        while let Some(command) = inbox.recv().await {
            match command {
                BoardCommand::Pick(need, reply) => {
                    let choice = table.pick(&need, &members.borrow());
                    if let Some(choice) = &choice {
                        table.sent(&choice.instance);
                    }
                    let _ = reply.send(choice);
                }
                BoardCommand::Ended(instance) => table.ended(&instance),
            }
        }
    });
    BoardHandle { commands }
}
