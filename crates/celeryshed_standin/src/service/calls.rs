//! Running service, its control handle and the execution of calls.

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
use crate::faults::{apply_call_faults, lock};
use crate::reply::Reply;
use crate::server::ServerTask;

/// Maximum size of a request body in mebibytes.
const MAX_BODY_MIB: u64 = 64;

/// Maximum padding of an answer in bytes.
const MAX_PADDING_BYTES: usize = 16 * 1024 * 1024;

/// Interval at which a running call checks whether the service has crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// HTTP methods that the service accepts.
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
    /// Answer of the service. It repeats the call, so that tests detect an answer that was sent to
    /// another caller.
    pub struct ServiceEcho {
        /// Name of the endpoint that answered, from `name` of the options.
        pub name: String,
        /// HTTP method of the call, in upper case.
        pub method: String,
        /// Path of the call, without the query.
        pub path: String,
        /// Idempotency key of the call, or the digest of the body if the call has no key.
        pub key: String,
        /// Number of executions of this key at this endpoint, including this one.
        pub execution: u64,
        /// Digest of the request body.
        pub body_digest: ContentDigest,
        /// Size of the request body in bytes.
        pub body_bytes: u64,
        /// As many `x` as the query parameter `answer_bytes` requests; empty without the parameter.
        pub padding: String,
    }
}

/// Running plain service.
#[derive(Debug)]
pub struct RunningService {
    server: ServerTask,
    control: ServiceControl,
}

/// Cloneable handle that sets the faults of a service and reads its counters.
#[derive(Clone, Debug)]
pub struct ServiceControl {
    state: Arc<Mutex<ServiceState>>,
}

impl RunningService {
    /// Launches a service at `bind_addr`; port 0 selects a free port.
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

    /// Bound address, with the actual port when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Control handle, which can outlive the server.
    pub fn control(&self) -> ServiceControl {
        self.control.clone()
    }

    /// Stops the server and closes its port and connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl ServiceControl {
    /// Replaces all faults; `crash` takes effect at once.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().set_faults(faults);
    }

    /// Counters since the launch, over all crashes.
    pub fn counts(&self) -> ServiceCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        lock(&self.state)
    }

    async fn run(&self, mut echo: ServiceEcho, body: &[u8]) -> Reply {
        if let Err(reply) = apply_call_faults(Duration::ZERO, || self.lock().faults.outage).await {
            return reply;
        }
        let start = self.lock().start();
        let CallStart::Running { generation, latency } = start else {
            return Reply::Disconnect;
        };
        if self.has_crash_marker(body) {
            self.lock().crash();
        }
        self.sleep_until_crash(generation, latency).await;
        let end = self.lock().finish(generation, &echo.key, echo.body_digest);
        match end {
            CallEnd::Answered { execution } => {
                echo.execution = execution;
                Reply::json(&echo)
            }
            CallEnd::ReplyLost | CallEnd::Crashed => Reply::Disconnect,
        }
    }

    fn has_crash_marker(&self, body: &[u8]) -> bool {
        let state = self.lock();
        let marker = state.options.crash_marker.as_bytes();
        body.windows(marker.len()).any(|window| window == marker)
    }

    /// Sleeps for `latency`, or until a crash aborts the call.
    async fn sleep_until_crash(&self, generation: u64, latency: Duration) {
        let end = tokio::time::Instant::now() + latency;
        while tokio::time::Instant::now() < end && !self.lock().is_aborted(generation) {
            let next = tokio::time::Instant::now() + CRASH_POLL_INTERVAL;
            tokio::time::sleep_until(next.min(end)).await;
        }
    }
}

/// Handles calls to any path.
#[derive(Clone)]
struct CallHandler(ServiceControl);

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = match data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await {
            Ok(body) if body.is_complete() => body.into_inner(),
            Ok(_) => return Outcome::from(request, Reply::text(413, "body is too large")),
            Err(error) => return Outcome::from(request, Reply::text(400, &error.to_string())),
        };
        let echo = new_echo(request, &body, &self.0);
        // A separate task, because the call must complete even if its caller disconnects.
        let control = self.0.clone();
        let run = tokio::spawn(async move { control.run(echo, &body).await });
        Outcome::from(request, run.await.unwrap_or(Reply::Disconnect))
    }
}

fn new_echo(request: &Request<'_>, body: &[u8], control: &ServiceControl) -> ServiceEcho {
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
        padding: "x".repeat(padding.unwrap_or(0).min(MAX_PADDING_BYTES)),
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
