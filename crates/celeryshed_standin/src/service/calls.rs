//! Calls of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use celeryshed_base::{ClockSource, ContentDigest, common_derives};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::serde::json::Json;
use rocket::{Request, State, get, post, routes};

use super::options::ServiceOptions;
use super::state::{CallEnd, CallStart, ServiceCounts, ServiceFaults, ServiceState};
use crate::error::Result;
use crate::reply::Reply;
use crate::server::ServerTask;
use crate::steering::{lock, pass_gate};

/// Largest body of a call in mebibytes.
const MAX_CALL_MIB: u64 = 64;

/// Largest padding of an answer in bytes.
const MAX_PADDING: usize = 16 * 1024 * 1024;

/// How often a running call looks whether a crash has cut it.
const CRASH_POLL: Duration = Duration::from_millis(10);

/// Methods that the service accepts.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Head,
    Method::Options,
    Method::Patch,
];

common_derives! { record:
    /// Answer of the service; it repeats the call, so that a checker sees crossed answers.
    pub struct ServiceEcho {
        /// Name of the endpoint.
        pub name: String,
        /// Method of the call.
        pub method: String,
        /// Path of the call, without its query.
        pub path: String,
        /// Idempotency key, or digest of the body without one.
        pub key: String,
        /// How often this key was executed here, this time included.
        pub execution: u64,
        /// Digest of the body.
        pub body_digest: ContentDigest,
        /// Size of the body in bytes.
        pub body_bytes: u64,
        /// Padding that the caller asked for.
        pub padding: String,
    }
}

/// A running service.
#[derive(Debug)]
pub struct RunningService {
    server: ServerTask,
    control: ServiceControl,
}

/// Steers a service.
#[derive(Clone, Debug)]
pub struct ServiceControl {
    state: Arc<Mutex<ServiceState>>,
}

impl RunningService {
    /// Launches a service.
    ///
    /// ```
    /// use celeryshed_standin::service::{RunningService, ServiceOptions};
    /// let runtime = tokio::runtime::Runtime::new().unwrap();
    /// runtime.block_on(async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let service = RunningService::launch(ServiceOptions::default(), address).await.unwrap();
    ///     assert_eq!(service.control().counts().executions, 0);
    ///     service.stop().await;
    /// });
    /// ```
    pub async fn launch(options: ServiceOptions, bind_addr: SocketAddr) -> Result<Self> {
        let state = ServiceState::new(options, ClockSource::start());
        let control = ServiceControl { state: Arc::new(Mutex::new(state)) };
        let managed = control.clone();
        let calls =
            METHODS.map(|method| Route::new(method, "/<path..>", CallHandler(control.clone())));
        let server = ServerTask::launch(bind_addr, |rocket| {
            rocket.manage(managed).mount("/", routes![counts, faults]).mount("/", calls)
        });
        Ok(Self { server: server.await?, control })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A control handle.
    pub fn control(&self) -> ServiceControl {
        self.control.clone()
    }

    /// Stops the service; callers find the port closed.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl ServiceControl {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().set_faults(faults);
    }

    /// What was counted so far.
    pub fn counts(&self) -> ServiceCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        lock(&self.state)
    }

    async fn run(&self, mut echo: ServiceEcho, body: &[u8]) -> Reply {
        if let Err(reply) = pass_gate(Duration::ZERO, || self.lock().faults.outage).await {
            return reply;
        }
        let start = self.lock().start();
        let CallStart::Runs { boot, latency } = start else {
            return Reply::Cut;
        };
        if self.has_crash_marker(body) {
            self.lock().crash();
        }
        self.wait_uncut(boot, latency).await;
        let end = self.lock().finish(boot, &echo.key);
        match end {
            CallEnd::Answered { execution } => {
                echo.execution = execution;
                Reply::json(&echo)
            }
            CallEnd::ReplyLost | CallEnd::Crashed => Reply::Cut,
        }
    }

    fn has_crash_marker(&self, body: &[u8]) -> bool {
        let state = self.lock();
        let marker = state.options.crash_marker.as_bytes();
        body.windows(marker.len()).any(|window| window == marker)
    }

    /// Waits for `latency`, or less when a crash cuts the call.
    async fn wait_uncut(&self, boot: u64, latency: Duration) {
        let end = tokio::time::Instant::now() + latency;
        while tokio::time::Instant::now() < end && !self.lock().is_cut(boot) {
            let next = tokio::time::Instant::now() + CRASH_POLL;
            tokio::time::sleep_until(next.min(end)).await;
        }
    }
}

/// Accepts calls of any path.
#[derive(Clone)]
struct CallHandler(ServiceControl);

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match data.open(MAX_CALL_MIB.mebibytes()).into_bytes().await {
            Ok(body) if body.is_complete() => body.into_inner(),
            Ok(_) => return Outcome::from(request, Reply::text(413, "body is too large")),
            Err(error) => return Outcome::from(request, Reply::text(400, &error.to_string())),
        };
        let echo = echo_of(request, &body, &self.0);
        // The call runs to its end even when its caller goes away.
        let control = self.0.clone();
        let run = tokio::spawn(async move { control.run(echo, &body).await });
        Outcome::from(request, run.await.unwrap_or(Reply::Cut))
    }
}

fn echo_of(request: &Request<'_>, body: &[u8], control: &ServiceControl) -> ServiceEcho {
    let body_digest = ContentDigest::of(body);
    let key = request.headers().get_one("Idempotency-Key");
    let padding = request.query_value::<usize>("answer_bytes").and_then(|value| value.ok());
    ServiceEcho {
        name: control.lock().options.name.clone(),
        method: request.method().to_string(),
        path: request.uri().path().to_string(),
        key: key.map_or_else(|| body_digest.to_string(), str::to_owned),
        execution: 0,
        body_digest,
        body_bytes: body.len() as u64,
        padding: "x".repeat(padding.unwrap_or(0).min(MAX_PADDING)),
    }
}

#[get("/control/counts")]
fn counts(control: &State<ServiceControl>) -> Reply {
    Reply::json(&control.counts())
}

#[post("/control/faults", data = "<faults>")]
fn faults(faults: Json<ServiceFaults>, control: &State<ServiceControl>) -> Reply {
    control.set_faults(faults.into_inner());
    Reply::json(&control.lock().faults)
}
