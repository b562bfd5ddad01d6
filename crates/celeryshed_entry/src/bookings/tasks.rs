//! The task that owns the partitions that this entry reads and the counts of its sidecars.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::{ClockSource, InstanceName, ServiceName};
use celeryshed_core::membership::{MembershipView, partition_readers};
use celeryshed_platform::LogClient;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::edges::{EntryForward, SideDispatch};
use super::handle::BookingHandle;
use super::options::BookingOptions;
use super::partition::PartitionHandle;
use super::sides::{SideCounts, SideLease};

/// Commands that may wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// A partition that belongs to other readers is dropped after this time without a booking. Reading
/// its window again is expensive, and changes of the membership often come in pairs.
const FOREIGN_PARTITION_IDLE: Duration = Duration::from_secs(600);

/// Pause between checks for partitions to drop.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(60);

/// What the bookings part of an entry works with.
#[derive(Clone)]
pub struct BookingEdges {
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The sidecars.
    pub sides: Arc<dyn SideDispatch>,
    /// The other entries.
    pub entries: Arc<dyn EntryForward>,
    /// The clock.
    pub clock: ClockSource,
    /// This instance.
    pub instance: InstanceName,
    /// The membership.
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

/// Starts the tasks; they end when the last handle is dropped.
///
/// The partitions of this entry are read from now on, so that a fresh entry has read the window
/// by the time that bookings arrive.
pub fn start_bookings(edges: BookingEdges, options: BookingOptions) -> BookingHandle {
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let (done, done_receiver) = mpsc::unbounded_channel();
    let task = BookingTask {
        edges: edges.clone(),
        options,
        partitions: BTreeMap::new(),
        counts: SideCounts::new(options.settings.max_per_side, done),
    };
    tokio::spawn(task.run(receiver, done_receiver));
    BookingHandle::new(edges, options, commands)
}

struct OpenPartition {
    handle: PartitionHandle,
    last_used: Instant,
}

struct BookingTask {
    edges: BookingEdges,
    options: BookingOptions,
    partitions: BTreeMap<u32, OpenPartition>,
    counts: SideCounts,
}

impl BookingTask {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<BookingCommand>,
        mut done: mpsc::UnboundedReceiver<InstanceName>,
    ) {
        let mut members = self.edges.members.clone();
        let mut upkeep = interval(UPKEEP_INTERVAL);
        upkeep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.open_owned();
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                Some(instance) = done.recv() => self.counts.note_done(&instance),
                Ok(()) = members.changed() => self.open_owned(),
                _ = upkeep.tick() => self.drop_foreign(),
            }
        }
    }

    fn take(&mut self, command: BookingCommand) {
        // A request that ended meanwhile doesn't wait for its reply.
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
        self.edges.members.borrow().clone()
    }

    fn owns(&self, partition: u32, view: &MembershipView) -> bool {
        partition_readers(partition, view).contains(&&self.edges.instance)
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
        let (log, clock, options) = (&self.edges.log, self.edges.clock, self.options);
        let start = || OpenPartition {
            handle: PartitionHandle::start(partition, log.clone(), clock, options),
            last_used: Instant::now(),
        };
        let open = self.partitions.entry(partition).or_insert_with(start);
        open.last_used = Instant::now();
        open.handle.clone()
    }

    fn drop_foreign(&mut self) {
        let view = self.view();
        let mut partitions = std::mem::take(&mut self.partitions);
        partitions.retain(|partition, open| {
            self.owns(*partition, &view) || open.last_used.elapsed() < FOREIGN_PARTITION_IDLE
        });
        self.partitions = partitions;
    }
}
