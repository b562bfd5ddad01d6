//! A small deployment of a plain service: a store, three engines, an entry, and clients that look up
//! orders.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::{Journal, Network, Node, Role, APP_PORT, FRONT_PORT};
use crate::http::{self, answer, Next, Request};
use crate::store::Store;

const STORE_PORT: u16 = 8007;
const ENGINES: u8 = 3;
const SLOTS: u32 = 6;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Bytes that a faulty engine sends in a second, over all its connections.
const FLOOD_RATE: f64 = 120e6;
const FLOOD_BLOCK_BYTES: usize = 64 * 1024;
const INTERIM: &[u8] = b"HTTP/1.1 100 \r\n\r\n";
const CLIENTS: u64 = 10;
const CLIENT_PAUSE: Duration = Duration::from_millis(250);
pub const TIME_LIMIT: Duration = Duration::from_millis(2500);

pub struct PlainEngine {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    /// Whether it sends interim responses without end instead of answers.
    pub is_faulty: AtomicBool,
    pub floods: AtomicUsize,
    pub arrivals: AtomicU64,
}

impl PlainEngine {
    fn record(&self, seq_no: u64) -> String {
        format!(
            "{{\"service\":\"orders\",\"address\":\"{}\",\"zone\":\"puget-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq_no\":{seq_no},\
             \"born\":{}}}",
            self.address, self.born
        )
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let wanted = request.header("x-celeryshed-target-instance");
        if wanted.is_some_and(|wanted| wanted != self.id) {
            return answer(stream, "421 Misdirected Request", &[], b"");
        }
        if self.is_faulty.load(Ordering::Relaxed) {
            self.floods.fetch_add(1, Ordering::Relaxed);
            let outcome = self.flood(stream);
            self.floods.fetch_sub(1, Ordering::Relaxed);
            return outcome;
        }
        sleep(Duration::from_millis(30));
        let id = request.header("x-celeryshed-request-id").unwrap_or_default();
        let headers = [
            ("X-Celeryshed-Request-Id", id),
            ("X-Celeryshed-Engine-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Celeryshed-Served-By", &self.id),
        ];
        answer(stream, "200 OK", &headers, &[b'x'; 800])
    }

    /// Sends interim responses until the caller closes.
    fn flood(&self, stream: &mut TcpStream) -> io::Result<Next> {
        let block = INTERIM.repeat(FLOOD_BLOCK_BYTES / INTERIM.len());
        let mut next_at = Instant::now();
        loop {
            stream.write_all(&block)?;
            let share = FLOOD_RATE / self.floods.load(Ordering::Relaxed).max(1) as f64;
            let pause = Duration::from_secs_f64(block.len() as f64 / share);
            next_at = next_at.max(Instant::now()) + pause;
            sleep(next_at.saturating_duration_since(Instant::now()));
        }
    }
}

/// When a request was sent, and how long it took until its answer or its end.
pub struct Ended {
    pub sent_at: Instant,
    pub elapsed: Duration,
    pub is_answered: bool,
    pub is_served: bool,
}

impl Ended {
    pub fn is_unanswered_after(&self, time: Duration) -> bool {
        !self.is_answered || self.elapsed > time
    }
}

pub struct PlainFleet {
    pub journal: Arc<Journal>,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<PlainEngine>>,
    pub entry: Node,
    pub network: Network,
    pub results: Arc<Mutex<Vec<Ended>>>,
    is_ending: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    folder: PathBuf,
}

impl PlainFleet {
    /// Starts the deployment; its clients send `kind`.
    pub fn start(folder: &Path, kind: RequestKind) -> io::Result<Self> {
        let journal = Arc::new(Journal::create(folder)?);
        let temporary = std::env::temp_dir();
        let folder = temporary.join(format!("celeryshed-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let network = Network::find()?;
        let store_address = network.at(2, STORE_PORT);
        let store = Store::start(store_address)?;
        store.write("keyed.op", "config", CONFIGURATION);
        let is_ending = Arc::new(AtomicBool::new(false));
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let engine = Arc::new(PlainEngine {
                id: format!("i-{number}"),
                address: network.at(30 + number, APP_PORT),
                born: 1_790_000_000_000,
                is_faulty: AtomicBool::new(false),
                floods: AtomicUsize::new(0),
                arrivals: AtomicU64::new(0),
            });
            let served = engine.clone();
            let handler = move |request, stream: &mut TcpStream| served.handle(&request, stream);
            http::serve(engine.address, Arc::new(handler))?;
            renew(engine.clone(), store.clone(), is_ending.clone());
            engines.push(engine);
        }
        let entry = Node::start(&folder, network, 10, Role::Entry, store_address)?;
        if !entry.wait_ready(Duration::from_secs(20)) {
            return Err(io::Error::other("the entry did not become ready"));
        }
        let results = Arc::new(Mutex::new(Vec::new()));
        let clients = start_clients(&entry, kind, &journal, &results, &is_ending);
        Ok(Self { journal, store, engines, entry, network, results, is_ending, clients, folder })
    }

    /// Ends the clients, and waits for their last requests.
    pub fn end_clients(&mut self) {
        self.is_ending.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Requests that were sent in a span and have ended, and how many of them were served.
    pub fn count(&self, from: Instant, to: Instant) -> (usize, usize) {
        let results = self.results.lock().unwrap();
        let span = results.iter().filter(|end| end.sent_at >= from && end.sent_at < to);
        (span.clone().count(), span.filter(|end| end.is_served).count())
    }
}

impl Drop for PlainFleet {
    fn drop(&mut self) {
        self.end_clients();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Renews the engine's registration.
fn renew(engine: Arc<PlainEngine>, store: Arc<Store>, is_ending: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut seq_no = 0;
        while !is_ending.load(Ordering::Relaxed) {
            seq_no += 1;
            store.write("keyed.servers", &engine.id, &engine.record(seq_no));
            sleep(HEARTBEAT);
        }
    });
}

fn start_clients(
    entry: &Node,
    kind: RequestKind,
    journal: &Arc<Journal>,
    results: &Arc<Mutex<Vec<Ended>>>,
    is_ending: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let front = SocketAddr::new(entry.ip, FRONT_PORT);
    let next = Arc::new(AtomicU64::new(1));
    let clients = (0..CLIENTS).map(|_| {
        let (journal, results) = (journal.clone(), results.clone());
        let (next, is_ending) = (next.clone(), is_ending.clone());
        thread::spawn(move || {
            while !is_ending.load(Ordering::Relaxed) {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let sent_at = Instant::now();
                let outcome = http::call(front, &kind.request(number), TIME_LIMIT);
                let (status, problem) = (outcome.status, &outcome.problem);
                journal.note(format!(
                    "request {number:016x}: status {status} after {} ms {problem}",
                    outcome.elapsed.as_millis()
                ));
                results.lock().unwrap().push(Ended {
                    sent_at,
                    elapsed: outcome.elapsed,
                    is_answered: outcome.complete,
                    is_served: outcome.is_served(),
                });
                sleep(CLIENT_PAUSE);
            }
        })
    });
    clients.collect()
}

/// What clients ask for.
#[derive(Clone, Copy)]
pub enum RequestKind {
    /// A lookup, which may be repeated.
    Lookup,
    /// A booking, which may run once; its client waits for the answer until its time limit.
    Booking,
}

impl RequestKind {
    pub fn request(self, number: u64) -> Vec<u8> {
        let (line, body) = match self {
            Self::Lookup => (format!("GET /lookup/{number}"), ""),
            Self::Booking => (format!("POST /book/{number}"), "one kit"),
        };
        let length = match self {
            Self::Lookup => String::new(),
            Self::Booking => format!("Content-Length: {}\r\n", body.len()),
        };
        let request = format!(
            "{line} HTTP/1.1\r\nHost: orders.example\r\n\
             X-Celeryshed-Request-Id: {number:016x}\r\nX-Celeryshed-Deadline-Ms: {}\r\n\
             X-Api-Key: key-1\r\n{length}\r\n{body}",
            TIME_LIMIT.as_millis()
        );
        request.into_bytes()
    }
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"orders.example","path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"orders","max_attempts":2,"anonymous":false},{"name":"r-2","host":"orders.example","path_prefix":"/book/","route_type":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"orders","max_attempts":1,"anonymous":false}],"services":[{"name":"orders","health_path":"/health","max_connections":51,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"clinic","api_keys":["key-1"],"priority":1}]}"#;
