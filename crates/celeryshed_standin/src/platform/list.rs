//! The lagging instance list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime, common_derives};
use celeryshed_wire::{ListReply, ListedInstance};
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};

use super::options::ListOptions;
use crate::error::Result;
use crate::reply::Reply;
use crate::server::ServerTask;
use crate::steering::{Outage, lock, pass_gate};

common_derives! { record:
    /// Faults of the list.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ListFaults {
        /// Outage of all calls.
        pub outage: Outage,
        /// Delay of each call in addition to the usual one, in milliseconds.
        pub extra_latency_ms: u64,
        /// Lag in milliseconds instead of the options'.
        pub lag_ms: Option<u64>,
    }

    /// What the list has counted.
    #[derive(Copy, Default)]
    pub struct ListCounts {
        /// Reads answered.
        pub reads: u64,
        /// Changes of the list.
        pub changes: u64,
    }
}

/// A running instance list.
#[derive(Debug)]
pub struct RunningList {
    server: ServerTask,
    control: ListControl,
}

/// Steers an instance list.
#[derive(Clone, Debug)]
pub struct ListControl {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug)]
struct ListState {
    clock: ClockSource,
    options: ListOptions,
    /// States of the list and since when each holds, oldest first.
    history: Vec<(MonoTime, Vec<ListedInstance>)>,
    faults: ListFaults,
    counts: ListCounts,
}

impl RunningList {
    /// Launches an empty list.
    ///
    /// ```
    /// use celeryshed_standin::platform::{ListOptions, RunningList};
    /// let runtime = tokio::runtime::Runtime::new().unwrap();
    /// runtime.block_on(async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let list = RunningList::launch(ListOptions::default(), address).await.unwrap();
    ///     list.control().set_instances(Vec::new());
    ///     assert_eq!(list.control().counts().changes, 1);
    ///     list.stop().await;
    /// });
    /// ```
    pub async fn launch(options: ListOptions, bind_addr: SocketAddr) -> Result<Self> {
        Self::launch_with(ListControl::new(options), bind_addr).await
    }

    /// Launches a service over the list of `control`, for a restart that keeps the instances.
    pub async fn launch_with(control: ListControl, bind_addr: SocketAddr) -> Result<Self> {
        let managed = control.clone();
        let routes = routes![instances, set_instances, counts, faults];
        let server =
            ServerTask::launch(bind_addr, |rocket| rocket.manage(managed).mount("/", routes));
        Ok(Self { server: server.await?, control })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A control handle.
    pub fn control(&self) -> ListControl {
        self.control.clone()
    }

    /// Stops the service; callers find the port closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl ListControl {
    fn new(options: ListOptions) -> Self {
        let state = ListState {
            clock: ClockSource::start(),
            options,
            history: Vec::new(),
            faults: ListFaults::default(),
            counts: ListCounts::default(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Replaces the instances; readers see them after the lag, the first ones at once.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        let mut state = self.lock();
        let since = if state.history.is_empty() { MonoTime::ZERO } else { state.clock.now() };
        state.counts.changes += 1;
        state.history.push((since, instances));
    }

    /// The instances as they are now, without lag.
    pub fn instances(&self) -> Vec<ListedInstance> {
        self.lock().history.last().map(|(_, instances)| instances.clone()).unwrap_or_default()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ListFaults) {
        self.lock().faults = faults;
    }

    /// What was counted so far.
    pub fn counts(&self) -> ListCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        lock(&self.state)
    }

    async fn pass_gate(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        pass_gate(latency, || self.lock().faults.outage).await
    }
}

impl ListState {
    fn latency(&self) -> Duration {
        self.options.latency + Duration::from_millis(self.faults.extra_latency_ms)
    }

    fn lag(&self) -> Duration {
        self.faults.lag_ms.map_or(self.options.lag, Duration::from_millis)
    }

    /// The newest state that is at least as old as the lag, otherwise the first one.
    fn shown(&mut self) -> Vec<ListedInstance> {
        self.counts.reads += 1;
        let now = self.clock.now();
        let lag = self.lag();
        let old_enough = self.history.iter().rev().find(|(since, _)| now - *since >= lag);
        let shown = old_enough.or_else(|| self.history.first());
        shown.map(|(_, instances)| instances.clone()).unwrap_or_default()
    }
}

#[get("/instances")]
async fn instances(control: &State<ListControl>) -> Reply {
    if let Err(reply) = control.pass_gate().await {
        return reply;
    }
    let instances = control.lock().shown();
    Reply::msgpack(&ListReply { instances })
}

#[post("/control/instances", data = "<instances>")]
fn set_instances(instances: Json<Vec<ListedInstance>>, control: &State<ListControl>) -> Reply {
    control.set_instances(instances.into_inner());
    Reply::json(&control.instances())
}

#[get("/control/counts")]
fn counts(control: &State<ListControl>) -> Reply {
    Reply::json(&control.counts())
}

#[post("/control/faults", data = "<faults>")]
fn faults(faults: Json<ListFaults>, control: &State<ListControl>) -> Reply {
    control.set_faults(faults.into_inner());
    Reply::json(&control.lock().faults)
}
