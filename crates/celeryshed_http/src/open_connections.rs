//! Limits how many connections are open, and chooses which to close for a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::activity::ConnectionActivity;

/// The open connections of a server; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct OpenConnections {
    limit: usize,
    state: Arc<Mutex<OpenState>>,
    ended: Arc<Notify>,
}

#[derive(Debug, Default)]
struct OpenState {
    next_id: u64,
    connections: BTreeMap<u64, OpenConnection>,
    /// Connections that were told to close and haven't ended.
    evicted_count: usize,
}

#[derive(Debug)]
struct OpenConnection {
    activity: ConnectionActivity,
    evicted: Arc<Notify>,
}

impl OpenConnections {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, state: Arc::default(), ended: Arc::default() }
    }

    /// Number of connections that haven't ended.
    pub(crate) fn count(&self) -> usize {
        self.state().count()
    }

    /// Adds a connection. At the limit, tells the one that has been idle longest to close instead.
    pub(crate) fn add(&self, activity: &ConnectionActivity) -> Option<OpenGuard> {
        let mut state = self.state();
        if state.count() >= self.limit {
            state.evict_idle();
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let evicted = Arc::new(Notify::new());
        let open = OpenConnection { activity: activity.clone(), evicted: evicted.clone() };
        state.connections.insert(id, open);
        Some(OpenGuard { connections: self.clone(), id, evicted })
    }

    /// Waits until a connection has ended since the last call.
    pub(crate) async fn ended(&self) {
        self.ended.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, OpenState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenState {
    fn count(&self) -> usize {
        self.connections.len() + self.evicted_count
    }

    /// Tells the connection to close that has been idle longest. If none is idle, it is the one that
    /// has waited longest for the rest of a request's body.
    fn evict_idle(&mut self) {
        let idle = self
            .connections
            .iter()
            .filter_map(|(id, open)| Some((open.activity.idle_since()?, *id)));
        let receiving = self
            .connections
            .iter()
            .filter_map(|(id, open)| Some((open.activity.body_begun_at()?, *id)));
        let longest = idle.min().or_else(|| receiving.min());
        let longest = longest.and_then(|(_, id)| self.connections.remove(&id));
        if let Some(connection) = longest {
            self.evicted_count += 1;
            connection.evicted.notify_one();
        }
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    connections: OpenConnections,
    id: u64,
    evicted: Arc<Notify>,
}

impl OpenGuard {
    /// Waits until the connection must close for another one.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        if state.connections.remove(&self.id).is_none() {
            state.evicted_count -= 1;
        }
        drop(state);
        self.connections.ended.notify_one();
    }
}
