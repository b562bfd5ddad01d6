//! In-memory instance list.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use celeryshed_base::{ClockSource, MonoTime};
use celeryshed_wire::ListedInstance;

use super::{lock, unreachable};
use crate::ListClient;
use crate::error::Result;

const TARGET: &str = "fake list";

/// An in-memory instance list that shows changes with a delay.
///
/// ```
/// use celeryshed_base::ClockSource;
/// use celeryshed_platform::{ListClient, fakes::FakeList};
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let list = FakeList::new(ClockSource::start());
///     list.set_outage(true);
///     assert!(list.instances().await.is_err());
/// });
/// ```
#[derive(Clone, Debug)]
pub struct FakeList {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug)]
struct ListState {
    clock: ClockSource,
    lag: Duration,
    outage: bool,
    /// Contents of the list with the time at which each was set, oldest first.
    history: Vec<(MonoTime, Vec<ListedInstance>)>,
}

impl FakeList {
    /// Creates an empty list that shows changes at once.
    pub fn new(clock: ClockSource) -> Self {
        let history = Vec::new();
        let state = ListState { clock, lag: Duration::ZERO, outage: false, history };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Replaces the instances. Readers see the change after the lag; the first instances are visible
    /// at once.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        let mut state = self.lock();
        let now = state.clock.now();
        state.history.push((now, instances));
    }

    /// Sets the lag, also for earlier changes that are not visible yet.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Sets whether calls fail as unreachable.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        lock(&self.state)
    }
}

#[async_trait]
impl ListClient for FakeList {
    async fn instances(&self) -> Result<Vec<ListedInstance>> {
        let state = self.lock();
        if state.outage {
            return Err(unreachable(TARGET));
        }
        let now = state.clock.now();
        let old_enough = state.history.iter().rev().find(|(set_at, _)| now - *set_at >= state.lag);
        let visible = old_enough.or_else(|| state.history.first());
        Ok(visible.map(|(_, instances)| instances.clone()).unwrap_or_default())
    }
}
