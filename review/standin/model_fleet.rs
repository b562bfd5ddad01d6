//! A small deployment of the model service: a store, an origin, two engines with their sidecars, an
//! entry, and clients that ask for generations.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Origin, MODEL, PIECES, PIECE_BYTES};
use crate::fleet::{Journal, Network, Node, Role, APP_PORT, FRONT_PORT};
use crate::http;
use crate::store::Store;

const STORE_PORT: u16 = 8007;
const ORIGIN_PORT: u16 = 8006;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time limit of a client's request; the route's timeout is the same.
const TIME_LIMIT: Duration = Duration::from_secs(6);
/// Time without an event after which clients leave a stream: eight times its longest pause. The streams
/// here are far shorter.
const ABANDONED_AFTER: Duration = Duration::from_millis(2400);
const CLIENTS: u64 = 4;

pub struct ModelFleet {
    pub journal: Arc<Journal>,
    pub origin: Arc<Origin>,
    pub engines: Vec<Arc<Engine>>,
    pub sides: Vec<Node>,
    pub entry: Node,
    pub results: Results,
    store: Arc<Store>,
    is_ending: Arc<AtomicBool>,
    folder: PathBuf,
}

/// When each request was sent, and whether it was served.
#[derive(Clone)]
pub struct Results(Arc<Mutex<Vec<(Instant, bool)>>>);

impl Results {
    /// Requests that were sent in a span and have ended, and how many of them were served.
    pub fn count(&self, from: Instant, to: Instant) -> (usize, usize) {
        let results = self.0.lock().unwrap();
        let span = results.iter().filter(|(at, _)| *at >= from && *at < to);
        let served = span.clone().filter(|(_, is_served)| *is_served).count();
        (span.count(), served)
    }
}

impl ModelFleet {
    pub fn start(folder: &Path) -> io::Result<Self> {
        let journal = Arc::new(Journal::create(folder)?);
        let temporary = std::env::temp_dir();
        let folder = temporary.join(format!("celeryshed-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let network = Network::find()?;
        let store_address = network.at(2, STORE_PORT);
        let origin_address = network.at(3, ORIGIN_PORT);
        let store = Store::start(store_address)?;
        let origin = Origin::start(origin_address)?;
        store.write("keyed.op", "config", &configuration(origin_address));
        let is_ending = Arc::new(AtomicBool::new(false));
        let mut engines = Vec::new();
        let mut sides = Vec::new();
        for host in [20, 21] {
            let address = network.at(host, APP_PORT);
            let engine = Engine::start(&format!("i-{host}"), address, journal.clone())?;
            renew(engine.clone(), store.clone(), is_ending.clone());
            let role = Role::Side { service: "drafter" };
            sides.push(Node::start(&folder, network, host, role, store_address)?);
            engines.push(engine);
        }
        let entry = Node::start(&folder, network, 10, Role::Entry, store_address)?;
        if !entry.wait_ready(Duration::from_secs(20)) {
            return Err(io::Error::other("the entry did not become ready"));
        }
        let front = SocketAddr::new(entry.ip, FRONT_PORT);
        let results = Results(Arc::default());
        let next = Arc::new(AtomicU64::new(1));
        for _ in 0..CLIENTS {
            let (journal, results) = (journal.clone(), results.clone());
            let (next, is_ending) = (next.clone(), is_ending.clone());
            thread::spawn(move || {
                while !is_ending.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let sent_at = Instant::now();
                    let outcome = http::call(front, &generation(number), ABANDONED_AFTER);
                    let (status, problem) = (outcome.status, &outcome.problem);
                    journal.note(format!(
                        "request {number:016x}: status {status}, complete {}, after {} ms {problem}",
                        outcome.complete,
                        outcome.elapsed.as_millis()
                    ));
                    results.0.lock().unwrap().push((sent_at, outcome.is_served()));
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
        Ok(Self { journal, origin, engines, sides, entry, results, store, is_ending, folder })
    }

    /// Names new weights.
    pub fn name_version(&self, version: u64) {
        self.origin.set_newest(version);
        let value = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        self.store.write("keyed.op", &format!("version/{MODEL}"), &value);
        self.journal.note(format!("version {version} is named"));
    }

    /// Copies the last lines of the processes' logs that contain `text` into the record.
    pub fn record_logs(&self, text: &str, most: usize) {
        for node in &self.sides {
            let log = node.log_text();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
            for line in &lines[lines.len().saturating_sub(most)..] {
                self.journal.note(format!("log of {}: {line}", node.name));
            }
        }
    }
}

impl Drop for ModelFleet {
    fn drop(&mut self) {
        self.is_ending.store(true, Ordering::Relaxed);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Renews the engine's registration, which lapses after three intervals of silence.
fn renew(engine: Arc<Engine>, store: Arc<Store>, is_ending: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut seq_no = 0;
        let mut renewed_at = Instant::now();
        let mut is_listed = false;
        while !is_ending.load(Ordering::Relaxed) {
            if !engine.is_frozen() {
                seq_no += 1;
                store.write("keyed.servers", &engine.id, &engine.record("drafter", seq_no));
                (renewed_at, is_listed) = (Instant::now(), true);
                thread::sleep(HEARTBEAT);
                continue;
            }
            if is_listed && renewed_at.elapsed() > HEARTBEAT * 3 {
                store.write("keyed.servers", &engine.id, "");
                is_listed = false;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

fn generation(number: u64) -> Vec<u8> {
    let request = format!(
        "POST /draft/{number} HTTP/1.1\r\nHost: drafts.example\r\n\
         X-Celeryshed-Request-Id: {number:016x}\r\nX-Celeryshed-Model-Name: {MODEL}\r\n\
         X-Celeryshed-Token-Counts: 640,24\r\n\
         X-Celeryshed-Prompt-Prefix: 5c1e07a2:40,{number:x}:600\r\n\
         X-Celeryshed-Deadline-Ms: {}\r\nX-Api-Key: key-1\r\nContent-Length: 8\r\n\r\nguidance",
        TIME_LIMIT.as_millis()
    );
    request.into_bytes()
}

fn configuration(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"drafts.example","path_prefix":"/draft/","route_type":"stream","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"drafter","max_attempts":2,"anonymous":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":300}}],"services":[{{"name":"drafter","health_path":"/health","max_connections":344,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_capacity_tokens":1640000,"kv_token_bytes":163840,"link_mbps":400000.0,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"load_s":4.0,"warm_s":0.3}}],"mb":282000.0,"adapter_slots":8,"loads_per_s":0.0,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":964,"answer":119}},"layers":16,"layer_mb":4540.0,"act_bytes":16384,"pipe_mbps":0.0,"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}},{{"name":"portal","origin":"{origin}","zone":"puget-a","link_mbps":7.3,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clinic","api_keys":["key-1"],"priority":1}}]}}"#
    )
}
