//! The task that owns the open partitions and the counts of bookings at each sidecar.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, InstanceName, ServiceName};
use celeryshed_core::membership::{MembershipView, partition_readers};
use celeryshed_platform::LogClient;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::clients::{DispatchClient, ForwardClient};
use super::handle::BookingHandle;
use super::options::BookingOptions;
use super::partition::PartitionHandle;
use super::sides::{SideCounts, SideLease};

/// Most commands that wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// Time without a booking after which a partition of other readers is dropped. Reading its window
/// again is expensive, and a membership change is often followed by a second one.
const UNOWNED_PARTITION_IDLE: Duration = Duration::from_secs(600);

/// Pause between checks for partitions that can be dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Clients, clock and membership that the booking tasks use.
#[derive(Clone)]
pub struct BookingInputs {
    /// The log service, which holds the claim log.
    pub log: Arc<dyn LogClient>,
    /// Client for sidecars.
    pub sides: Arc<dyn DispatchClient>,
    /// Client for other entries.
    pub entries: Arc<dyn ForwardClient>,
    /// Clock for deadlines and key ages.
    pub clock: ClockSource,
    /// Name of this instance, which decides the partitions that it reads.
    pub instance: InstanceName,
    /// The membership, for the readers of partitions and the live sidecars.
    pub members: watch::Receiver<Arc<MembershipView>>,
}

pub(super) enum BookingCommand {
    Partition {
        partition: u32,
        reply: oneshot::Sender<PartitionHandle>,
    },
    ChooseSide {
        service: ServiceName,
        avoid: Vec<InstanceName>,
        reply: oneshot::Sender<Option<SideLease>>,
    },
}

/// Starts the tasks, which end when the last handle is dropped.
///
/// Reads of this entry's partitions begin at once, so that their window has been read when the
/// first bookings arrive.
pub fn start_bookings(inputs: BookingInputs, options: BookingOptions) -> BookingHandle {
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let (released, released_receiver) = mpsc::unbounded_channel();
    let task = BookingTask {
        inputs: inputs.clone(),
        options,
        partitions: BTreeMap::new(),
        counts: SideCounts::new(options.settings.max_per_side, released),
    };
    tokio::spawn(task.run(receiver, released_receiver));
    BookingHandle::new(inputs, options, commands)
}

struct OpenPartition {
    handle: PartitionHandle,
    last_used: Instant,
}

struct BookingTask {
    inputs: BookingInputs,
    options: BookingOptions,
    partitions: BTreeMap<u32, OpenPartition>,
    counts: SideCounts,
}

impl BookingTask {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<BookingCommand>,
        mut released: mpsc::UnboundedReceiver<InstanceName>,
    ) {
        let mut members = self.inputs.members.clone();
        let mut cleanup = interval(CLEANUP_INTERVAL);
        cleanup.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.open_owned();
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(instance) = released.recv() => self.counts.record_release(&instance),
                Ok(()) = members.changed() => self.open_owned(),
                _ = cleanup.tick() => self.drop_unowned(),
            }
        }
    }

    fn handle_command(&mut self, command: BookingCommand) {
        // A request that has ended in the meantime no longer waits for the reply.
        match command {
            BookingCommand::Partition { partition, reply } => {
                let _ = reply.send(self.open(partition));
            }
            BookingCommand::ChooseSide { service, avoid, reply } => {
                let view = self.view();
                let _ = reply.send(self.counts.choose(&view, &service, &avoid));
            }
        }
    }

    fn view(&self) -> Arc<MembershipView> {
        self.inputs.members.borrow().clone()
    }

    fn owns(&self, partition: u32, view: &MembershipView) -> bool {
        partition_readers(partition, view).contains(&&self.inputs.instance)
    }

    fn open_owned(&mut self) {
        let view = self.view();
        for partition in 0..self.options.partitions.get() {
            if self.owns(partition, &view) {
                self.open(partition);
            }
        }
    }

    fn open(&mut self, partition: u32) -> PartitionHandle {
        let (log, clock, options) = (&self.inputs.log, self.inputs.clock, self.options);
        let start = || OpenPartition {
            handle: PartitionHandle::start(partition, log.clone(), clock, options),
            last_used: Instant::now(),
        };
        let open = self.partitions.entry(partition).or_insert_with(start);
        open.last_used = Instant::now();
        open.handle.clone()
    }

    fn drop_unowned(&mut self) {
        let view = self.view();
        let mut partitions = std::mem::take(&mut self.partitions);
        partitions.retain(|partition, open| {
            self.owns(*partition, &view) || open.last_used.elapsed() < UNOWNED_PARTITION_IDLE
        });
        self.partitions = partitions;
    }
}
