//! Stand-in of the instance list, whose replies lag behind the actual instances.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime, common_derives};
use celeryshed_wire::{ListReply, ListedInstance};
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};

use super::options::ListOptions;
use crate::error::Result;
use crate::faults::{Outage, apply_call_faults, lock};
use crate::reply::Reply;
use crate::server::ServerTask;

common_derives! { record:
    /// Faults of the instance list; by default there are none.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ListFaults {
        /// Outage of all calls.
        pub outage: Outage,
        /// Delay added to `latency_ms` of the options for each call, in milliseconds.
        pub extra_latency_ms: u64,
        /// Age in milliseconds of the listed instances; if absent, `lag_ms` of the options applies.
        pub lag_ms: Option<u64>,
    }

    /// Counters of the instance list since its launch.
    #[derive(Copy, Default)]
    pub struct ListCounts {
        /// Reads answered.
        pub reads: u64,
        /// Calls that replaced the instances.
        pub changes: u64,
    }
}

/// Running instance list.
#[derive(Debug)]
pub struct RunningList {
    server: ServerTask,
    control: ListControl,
}

/// Cloneable handle that sets the instances and faults of an instance list and reads its counters.
#[derive(Clone, Debug)]
pub struct ListControl {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug)]
struct ListState {
    clock: ClockSource,
    options: ListOptions,
    /// Each set of instances with the time from which it applies, oldest first.
    history: Vec<(MonoTime, Vec<ListedInstance>)>,
    faults: ListFaults,
    counts: ListCounts,
}

impl RunningList {
    /// Launches an empty list at `bind_addr`; port 0 selects a free port.
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

    /// Launches a list with the state of `control`. Used to simulate a restart that keeps the
    /// instances.
    pub async fn launch_with(control: ListControl, bind_addr: SocketAddr) -> Result<Self> {
        let managed = control.clone();
        let routes = routes![instances, set_instances, counts, faults];
        let server =
            ServerTask::launch(bind_addr, |rocket| rocket.manage(managed).mount("/", routes));
        Ok(Self { server: server.await?, control })
    }

    /// Bound address, with the actual port when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Control handle, which can outlive the server.
    pub fn control(&self) -> ListControl {
        self.control.clone()
    }

    /// Stops the server and closes its port and connections.
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

    /// Replaces the instances. Readers see the first set at once and later sets after the lag.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        let mut state = self.lock();
        let since = if state.history.is_empty() { MonoTime::ZERO } else { state.clock.now() };
        state.counts.changes += 1;
        state.history.push((since, instances));
    }

    /// Instances of the latest change, without the lag that readers see.
    pub fn instances(&self) -> Vec<ListedInstance> {
        self.lock().history.last().map(|(_, instances)| instances.clone()).unwrap_or_default()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ListFaults) {
        self.lock().faults = faults;
    }

    /// Counters since the launch.
    pub fn counts(&self) -> ListCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        lock(&self.state)
    }

    async fn apply_call_faults(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        apply_call_faults(latency, || self.lock().faults.outage).await
    }
}

impl ListState {
    fn latency(&self) -> Duration {
        self.options.latency + Duration::from_millis(self.faults.extra_latency_ms)
    }

    fn lag(&self) -> Duration {
        self.faults.lag_ms.map_or(self.options.lag, Duration::from_millis)
    }

    /// Returns the newest set whose age is the lag or more; the first set if all are younger.
    fn read_lagged(&mut self) -> Vec<ListedInstance> {
        self.counts.reads += 1;
        let now = self.clock.now();
        let lag = self.lag();
        let old_enough = self.history.iter().rev().find(|(since, _)| now - *since >= lag);
        let visible = old_enough.or_else(|| self.history.first());
        visible.map(|(_, instances)| instances.clone()).unwrap_or_default()
    }
}

#[get("/instances")]
async fn instances(control: &State<ListControl>) -> Reply {
    if let Err(reply) = control.apply_call_faults().await {
        return reply;
    }
    let instances = control.lock().read_lagged();
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
