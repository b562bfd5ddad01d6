//! Stand-in of the log service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use celeryshed_base::{ClockSource, LogOffset};
use celeryshed_wire::{AppendReply, AppendRequest, LogEntry};
use rocket::fairing::AdHoc;
use rocket::http::Header;
use rocket::serde::json::Json;
use rocket::{State, get, post, routes};

use super::log_state::{LogCounts, LogFaults, LogState};
use super::options::LogOptions;
use crate::error::Result;
use crate::faults::{apply_call_faults, consume_fault, lock};
use crate::reply::Reply;
use crate::server::ServerTask;

/// Header of all replies that counts how often the log came back from an older copy.
const ERA_HEADER: &str = "Store-Era";

/// Maximum length of a stream name in bytes.
const MAX_STREAM_NAME_BYTES: usize = 64;

/// Running log service.
#[derive(Debug)]
pub struct RunningLog {
    server: ServerTask,
    control: LogControl,
}

/// Cloneable handle that sets the faults of a log service and reads its records and counters.
#[derive(Clone, Debug)]
pub struct LogControl {
    state: Arc<Mutex<LogState>>,
}

impl RunningLog {
    /// Launches an empty log at `bind_addr`; port 0 selects a free port.
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

    /// Launches a log with the state of `control`. Used to simulate a restart that keeps the
    /// records.
    pub async fn launch_with(control: LogControl, bind_addr: SocketAddr) -> Result<Self> {
        let managed = control.clone();
        let routes = routes![append, read, counts, faults];
        let counted = control.clone();
        let era = AdHoc::on_response("report the era", move |_, response| {
            response.set_header(Header::new(ERA_HEADER, counted.counts().era.to_string()));
            Box::pin(async {})
        });
        let server = ServerTask::launch(bind_addr, |rocket| {
            rocket.manage(managed).mount("/", routes).attach(era)
        });
        Ok(Self { server: server.await?, control })
    }

    /// Bound address, with the actual port when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Control handle, which can outlive the server.
    pub fn control(&self) -> LogControl {
        self.control.clone()
    }

    /// Stops the server and closes its port and connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl LogControl {
    fn new(options: LogOptions) -> Self {
        let state = LogState::new(options, ClockSource::start());
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Replaces all faults, drops the records selected by `trim_before`, and starts the outage of
    /// `restore`.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().set_faults(faults);
    }

    /// Records kept in `stream`, read without latency, faults or retention. Tests compare them with
    /// what was appended.
    pub fn entries(&self, stream: &str) -> Vec<LogEntry> {
        self.lock().entries(stream)
    }

    /// Counters since the launch.
    pub fn counts(&self) -> LogCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        let mut state = lock(&self.state);
        state.finish_due_restore();
        state
    }

    async fn apply_call_faults(&self) -> std::result::Result<(), Reply> {
        let latency = self.lock().latency();
        apply_call_faults(latency, || self.lock().outage()).await
    }

    fn append(&self, stream: &str, request: AppendRequest) -> Reply {
        let mut state = self.lock();
        if let Err(wait) = state.admit_append() {
            return Reply::retry(429, "append rate exceeded", wait);
        }
        if consume_fault(&mut state.faults.lose_requests) {
            state.counts.requests_lost += 1;
            return Reply::Disconnect;
        }
        let first_offset = state.append(stream, request);
        if consume_fault(&mut state.faults.lose_replies) {
            state.counts.replies_lost += 1;
            return Reply::Disconnect;
        }
        Reply::msgpack(&AppendReply { first_offset })
    }
}

fn check_stream_name(stream: &str) -> std::result::Result<(), Reply> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if (1..=MAX_STREAM_NAME_BYTES).contains(&stream.len()) && stream.chars().all(allowed) {
        return Ok(());
    }
    Err(Reply::text(400, "stream name: accepted are 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"))
}

#[post("/log/<stream>", data = "<body>")]
async fn append(stream: &str, body: Vec<u8>, control: &State<LogControl>) -> Reply {
    if let Err(reply) = control.apply_call_faults().await.and_then(|()| check_stream_name(stream)) {
        return reply;
    }
    match celeryshed_wire::decode(&body) {
        Ok(request) => control.append(stream, request),
        Err(error) => Reply::text(400, &error.to_string()),
    }
}

#[get("/log/<stream>?<from>&<limit>")]
async fn read(stream: &str, from: u64, limit: u32, control: &State<LogControl>) -> Reply {
    if let Err(reply) = control.apply_call_faults().await.and_then(|()| check_stream_name(stream)) {
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
