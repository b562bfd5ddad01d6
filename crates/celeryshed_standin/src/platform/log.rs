//! The log service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use celeryshed_base::{ClockSource, LogOffset};
use celeryshed_wire::{AppendReply, AppendRequest, LogEntry};
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};

use super::log_state::{LogCounts, LogFaults, LogState};
use super::options::LogOptions;
use crate::error::Result;
use crate::reply::Reply;
use crate::server::ServerTask;
use crate::steering::{lock, pass_gate, take_one};

/// Longest accepted name of a stream in bytes.
const MAX_STREAM_NAME_BYTES: usize = 64;

/// A running log service.
#[derive(Debug)]
pub struct RunningLog {
    server: ServerTask,
    control: LogControl,
}

/// Steers a log service.
#[derive(Clone, Debug)]
pub struct LogControl {
    state: Arc<Mutex<LogState>>,
}

impl RunningLog {
    /// Launches an empty log.
    ///
    /// ```
    /// use celeryshed_standin::platform::{LogOptions, RunningLog};
    /// let runtime = tokio::runtime::Runtime::new().unwrap();
    /// runtime.block_on(async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let log = RunningLog::launch(LogOptions::default(), address).await.unwrap();
    ///     assert_ne!(log.address().port(), 0);
    ///     log.stop().await;
    /// });
    /// ```
    pub async fn launch(options: LogOptions, bind_addr: SocketAddr) -> Result<Self> {
        Self::launch_with(LogControl::new(options), bind_addr).await
    }

    /// Launches a service over the log of `control`, for a restart that keeps the records.
    pub async fn launch_with(control: LogControl, bind_addr: SocketAddr) -> Result<Self> {
        let managed = control.clone();
        let routes = routes![append, read, counts, faults];
        let server =
            ServerTask::launch(bind_addr, |rocket| rocket.manage(managed).mount("/", routes));
        Ok(Self { server: server.await?, control })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A control handle.
    pub fn control(&self) -> LogControl {
        self.control.clone()
    }

    /// Stops the service; callers find the port closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl LogControl {
    fn new(options: LogOptions) -> Self {
        let state = LogState::new(options, ClockSource::start());
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().set_faults(faults);
    }

    /// The records of `stream` that are kept, past all faults; for checkers.
    pub fn entries(&self, stream: &str) -> Vec<LogEntry> {
        self.lock().entries(stream)
    }

    /// What was counted so far.
    pub fn counts(&self) -> LogCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        lock(&self.state)
    }

    async fn pass_gate(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        pass_gate(latency, || self.lock().faults.outage).await
    }

    fn append(&self, stream: &str, request: AppendRequest) -> Reply {
        let mut state = self.lock();
        if let Err(pause) = state.take_rate() {
            return Reply::retry(429, "append rate exceeded", pause);
        }
        if take_one(&mut state.faults.lose_requests) {
            state.counts.requests_lost += 1;
            return Reply::Cut;
        }
        let first_offset = state.append(stream, request);
        if take_one(&mut state.faults.lose_replies) {
            state.counts.replies_lost += 1;
            return Reply::Cut;
        }
        Reply::msgpack(&AppendReply { first_offset })
    }
}

fn check_name(stream: &str) -> std::result::Result<(), Reply> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if (1..=MAX_STREAM_NAME_BYTES).contains(&stream.len()) && stream.chars().all(allowed) {
        return Ok(());
    }
    Err(Reply::text(400, "stream name: accepted are 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"))
}

#[post("/log/<stream>", data = "<body>")]
async fn append(stream: &str, body: Vec<u8>, control: &State<LogControl>) -> Reply {
    if let Err(reply) = control.pass_gate().await.and_then(|()| check_name(stream)) {
        return reply;
    }
    match celeryshed_wire::decode(&body) {
        Ok(request) => control.append(stream, request),
        Err(error) => Reply::text(400, &error.to_string()),
    }
}

#[get("/log/<stream>?<from>&<limit>")]
async fn read(stream: &str, from: u64, limit: u32, control: &State<LogControl>) -> Reply {
    if let Err(reply) = control.pass_gate().await.and_then(|()| check_name(stream)) {
        return reply;
    }
    Reply::msgpack(&control.lock().read(stream, LogOffset(from), limit))
}

#[get("/control/counts")]
fn counts(control: &State<LogControl>) -> Reply {
    Reply::json(&control.counts())
}

#[post("/control/faults", data = "<faults>")]
fn faults(faults: Json<LogFaults>, control: &State<LogControl>) -> Reply {
    control.set_faults(faults.into_inner());
    Reply::json(&control.lock().faults)
}
