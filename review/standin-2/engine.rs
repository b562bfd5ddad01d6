//! Model engines and the origin of their weights. An engine answers with short streams, takes pieces
//! and orders from its sidecar, and crashes when it begins to answer a request with the deadly part.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::digest::sha256;
use crate::http::{Request, answer, read_request, serve};
use crate::store::Store;

pub const MODEL: &str = "m0";
pub const PIECES: u32 = 24;
pub const PIECE_BYTES: usize = 1024;
const LAYERS: u32 = 16;
const WARM_TIME: Duration = Duration::from_millis(300);
/// Time from a crash until the engine is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from a crash until the registration expires: three intervals of liveness reports.
const EXPIRY_TIME: Duration = Duration::from_millis(3600);
/// Damage to a staged piece is excused if it is at most this old when the engine takes the piece.
const EXCUSED_DAMAGE_TIME: Duration = Duration::from_secs(3);

/// How an engine answers.
#[derive(Clone, Copy)]
pub struct Manner {
    pub first_event: Duration,
    pub event_pause: Duration,
    pub events: u32,
    /// Whether streams come in chunks; otherwise, they end with their channel.
    pub is_chunked: bool,
    /// The part of prompts that crashes engines.
    pub deadly: &'static str,
}

/// What happened at the engines.
#[derive(Default)]
pub struct Events {
    /// Request ids, the engine, and when it began to write.
    pub begun: Vec<(String, String, Instant)>,
    /// The engine, and when it crashed.
    pub crashes: Vec<(String, Instant)>,
    /// The engine, the version that it loaded, when it took the pieces, and how long the longest damaged
    /// one had been so.
    pub loads: Vec<(String, u64, Instant, Duration)>,
    /// Request ids whose tokens were made with such damage beyond what is excused.
    pub spoilt: Vec<String>,
}

pub fn piece(version: u64, number: u32) -> Vec<u8> {
    let seed = version as u32 * 101 + number * 7;
    (0..PIECE_BYTES).map(|index| (index as u32 * 31 + seed + 1) as u8).collect()
}

/// Starts the origin; returns its address.
pub fn start_origin() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    serve(listener, |request| {
        let number = request.query("num").and_then(|text| text.parse::<u32>().ok());
        let version = request.query("version").and_then(|text| text.parse::<u64>().ok());
        let version = version.unwrap_or(1);
        match (request.path().split('/').nth(1), number) {
            (Some("manifest"), _) => {
                let digest = |number| format!("\"{}\"", sha256(&piece(version, number)));
                let digests = (0..PIECES).map(digest);
                let digests = digests.collect::<Vec<_>>().join(",");
                let body = format!(
                    r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":{LAYERS},"digests":[{digests}]}}"#
                );
                answer("200 OK", "Content-Type: application/json\r\n", body.as_bytes())
            }
            (Some("piece"), Some(number)) if number < PIECES => {
                answer("200 OK", "", &piece(version, number))
            }
            _ => answer("404 Not Found", "", b""),
        }
    });
    address
}

struct State {
    id: String,
    starts: u32,
    born_ms: u128,
    is_down: bool,
    /// The loaded version; none after a start.
    loaded: Option<u64>,
    /// Whether its pieces were damaged for too long when it was loaded.
    is_spoilt: bool,
    is_busy: bool,
    /// Until when the engine stands still.
    still_until: Option<Instant>,
    /// For how long the engine stands still when the next order arrives, before it reads it.
    stop_at_order: Option<Duration>,
    /// When a staged piece was damaged.
    damaged: BTreeMap<u32, Instant>,
    seq_no: u64,
    written: u64,
    running: u32,
    staged: BTreeMap<u32, Vec<u8>>,
    channels: Vec<TcpStream>,
}

/// An engine, over all its starts.
pub struct Engine {
    pub address: SocketAddr,
    name: String,
    zone: String,
    service: String,
    manner: Manner,
    store: Arc<Store>,
    events: Arc<Mutex<Events>>,
    state: Mutex<State>,
}

fn models(loaded: Option<u64>) -> String {
    match loaded {
        Some(version) => format!(
            r#""models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],"layers":{{"from":0,"to":{LAYERS},"version":{version}}}"#
        ),
        None => r#""models":[]"#.to_owned(),
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl Engine {
    pub fn start(
        name: &str,
        address: SocketAddr,
        zone: &str,
        service: &str,
        manner: Manner,
        store: Arc<Store>,
        events: Arc<Mutex<Events>>,
    ) -> Arc<Self> {
        let state = State {
            id: format!("i-{name}-1"),
            starts: 1,
            born_ms: unix_ms(),
            is_down: false,
            loaded: Some(1),
            is_spoilt: false,
            is_busy: false,
            still_until: None,
            stop_at_order: None,
            damaged: BTreeMap::new(),
            seq_no: 0,
            written: 0,
            running: 0,
            staged: (0..PIECES).map(|number| (number, piece(1, number))).collect(),
            channels: Vec::new(),
        };
        let (name, zone, service) = (name.to_owned(), zone.to_owned(), service.to_owned());
        let state = Mutex::new(state);
        let engine = Arc::new(Self { address, name, zone, service, manner, store, events, state });
        engine.clone().open();
        engine.register();
        engine
    }

    fn open(self: Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the engine's own port");
        listener.set_nonblocking(true).expect("a socket option");
        thread::spawn(move || {
            loop {
                if self.state.lock().expect("no panic").is_down {
                    return;
                }
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let (engine, kept) = (self.clone(), stream.try_clone().expect("a socket"));
                self.state.lock().expect("no panic").channels.push(kept);
                thread::spawn(move || engine.serve_channel(stream));
            }
        });
    }

    /// Writes the entry in the list of engines.
    pub fn register(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.written += 1;
        let models = models(state.loaded);
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"seq_no":{},"born":{},"stage":"colocated",{models}}}"#,
            self.service, self.address, self.zone, state.written, state.born_ms
        );
        self.store.write("keyed.servers", &state.id, &entry);
    }

    fn serve_channel(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            self.stand_still(&request);
            match request.path().split('/').nth(1) {
                Some("report" | "order" | "stage-get" | "stage-put") => {
                    if writer.write_all(&self.control(&request)).is_err() {
                        return;
                    }
                }
                _ => return self.generate(&request, &mut writer),
            }
        }
    }

    /// Lets the engine stand still when the next order arrives.
    pub fn stop_at_order(&self, length: Duration) {
        self.state.lock().expect("no panic").stop_at_order = Some(length);
    }

    /// Removes the registration, as the store does after three intervals without a liveness report.
    pub fn expire(&self) {
        let id = self.state.lock().expect("no panic").id.clone();
        self.store.write("keyed.servers", &id, "");
    }

    /// Until when the engine stands still; none if it doesn't.
    pub fn still_until(&self) -> Option<Instant> {
        let still_until = self.state.lock().expect("no panic").still_until;
        still_until.filter(|until| Instant::now() < *until)
    }

    /// Turns a byte of a staged piece.
    pub fn damage_piece(&self, number: u32) {
        let mut state = self.state.lock().expect("no panic");
        if let Some(byte) = state.staged.get_mut(&number).and_then(|bytes| bytes.first_mut()) {
            *byte ^= 0xff;
            state.damaged.insert(number, Instant::now());
        }
    }

    /// Waits while the engine stands still; the order that has arrived waits in its socket.
    fn stand_still(&self, request: &Request) {
        {
            let mut state = self.state.lock().expect("no panic");
            if request.path() == "/order"
                && let Some(length) = state.stop_at_order.take()
            {
                state.still_until = Some(Instant::now() + length);
            }
        }
        self.wait_still();
    }

    fn wait_still(&self) {
        if let Some(until) = self.still_until() {
            sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn control(self: &Arc<Self>, request: &Request) -> Vec<u8> {
        let number = request.query("num").and_then(|text| text.parse::<u32>().ok());
        let json = "Content-Type: application/json\r\n";
        let mut state = self.state.lock().expect("no panic");
        match (request.path().split('/').nth(1), number) {
            (Some("report"), _) => {
                let models = models(state.loaded);
                let body = format!(
                    r#"{{"stage":"colocated",{models},"busy":{},"seq_no":{},"queued":0,"running":{},"kv_used":0,"kv_total":1640000,"handles":0,"born":{}}}"#,
                    state.is_busy, state.seq_no, state.running, state.born_ms
                );
                answer("200 OK", json, body.as_bytes())
            }
            (Some("stage-get"), None) => {
                let held: Vec<String> = state.staged.keys().map(u32::to_string).collect();
                answer("200 OK", json, format!(r#"{{"held":[{}]}}"#, held.join(",")).as_bytes())
            }
            (Some("stage-get"), Some(number)) => match state.staged.get(&number) {
                Some(bytes) => answer("200 OK", "", bytes),
                None => answer("404 Not Found", "", b""),
            },
            (Some("stage-put"), Some(number)) => {
                state.staged.insert(number, request.body.clone());
                state.damaged.remove(&number);
                answer("200 OK", "", b"")
            }
            (Some("order"), _) if state.is_busy => answer("409 Conflict", "", b""),
            (Some("order"), _) => {
                let number = |field| json_number(&request.body, field);
                let version = number("version").unwrap_or(1);
                if state.loaded == Some(version) {
                    return answer("200 OK", "", b"");
                }
                if number("precondition").is_some_and(|expected| expected != state.seq_no) {
                    return answer("409 Conflict", "", b"");
                }
                let now = Instant::now();
                let damage = state.damaged.values().map(|at| now - *at).max().unwrap_or_default();
                let load = (state.id.clone(), version, now, damage);
                self.events.lock().expect("no panic").loads.push(load);
                state.is_busy = true;
                state.seq_no += 1;
                let (engine, start) = (self.clone(), state.starts);
                let is_spoilt = damage > EXCUSED_DAMAGE_TIME;
                thread::spawn(move || engine.finish_load(start, version, is_spoilt));
                answer("202 Accepted", "", b"")
            }
            _ => answer("404 Not Found", "", b""),
        }
    }

    fn finish_load(&self, start: u32, version: u64, is_spoilt: bool) {
        sleep(WARM_TIME);
        while self.state.lock().expect("no panic").running > 0 {
            sleep(Duration::from_millis(5));
        }
        {
            let mut state = self.state.lock().expect("no panic");
            if state.starts != start || state.is_down {
                return;
            }
            state.is_busy = false;
            state.loaded = Some(version);
            state.is_spoilt = is_spoilt;
        }
        self.register();
    }

    /// Answers a request for a stream, which ends the channel.
    fn generate(self: Arc<Self>, request: &Request, writer: &mut TcpStream) {
        let echoed = request.header("X-Celeryshed-Request-Id").to_owned();
        let (own, start, version) = {
            let mut state = self.state.lock().expect("no panic");
            state.running += 1;
            (state.id.clone(), state.starts, state.loaded.filter(|_| !state.is_busy))
        };
        let headers = format!(
            "X-Celeryshed-Request-Id: {echoed}\r\nX-Celeryshed-Served-By: {own}\r\n\
             X-Celeryshed-Weight-Versions: {}\r\nConnection: close\r\n",
            version.unwrap_or_default()
        );
        if request.header("X-Celeryshed-Target-Instance") != own {
            self.end_run();
            let _ = writer.write_all(&answer("421 Misdirected Request", &headers, b""));
            return;
        }
        let expected = request.header("X-Celeryshed-Expect-Version").parse::<u64>().ok();
        if version.is_some() && expected.is_some() && expected != version {
            self.end_run();
            let _ = writer.write_all(&answer("421 Misdirected Request", &headers, b""));
            return;
        }
        if version.is_none() {
            self.end_run();
            let headers = format!("{headers}X-Celeryshed-Not-Executed: 1\r\n");
            let _ = writer.write_all(&answer("503 Service Unavailable", &headers, b""));
            return;
        }
        sleep(self.manner.first_event);
        {
            // A crash ends all requests that haven't begun.
            let state = self.state.lock().expect("no panic");
            if state.starts != start || state.is_down {
                return;
            }
        }
        {
            let is_spoilt = self.state.lock().expect("no panic").is_spoilt;
            let mut events = self.events.lock().expect("no panic");
            if is_spoilt {
                events.spoilt.push(echoed.clone());
            }
            events.begun.push((echoed, own.clone(), Instant::now()));
        }
        let prompt = request.header("X-Celeryshed-Prompt-Prefix");
        if prompt.split(',').any(|part| part.split(':').next() == Some(self.manner.deadly)) {
            return self.crash(start);
        }
        let framing = if self.manner.is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}{framing}X-Celeryshed-Engine-Seal: seal-{own}\r\n\
             Content-Type: text/event-stream\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        for number in 1..=self.manner.events {
            if number > 1 {
                sleep(self.manner.event_pause);
            }
            self.wait_still();
            let event = format!("id: {number}\ndata: text {number}\n\n");
            bytes.extend(match self.manner.is_chunked {
                true => format!("{:x}\r\n{event}\r\n", event.len()).into_bytes(),
                false => event.into_bytes(),
            });
            if number == self.manner.events && self.manner.is_chunked {
                bytes.extend(b"0\r\n\r\n");
            }
            if writer.write_all(&bytes).is_err() {
                break;
            }
            bytes.clear();
        }
        let _ = writer.shutdown(Shutdown::Both);
        self.end_run();
    }

    fn end_run(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.running = state.running.saturating_sub(1);
    }

    /// Ends this start of the engine with all its channels, and starts it anew after a time.
    fn crash(self: Arc<Self>, start: u32) {
        let (own, channels) = {
            let mut state = self.state.lock().expect("no panic");
            if state.starts != start || state.is_down {
                return;
            }
            state.is_down = true;
            (state.id.clone(), std::mem::take(&mut state.channels))
        };
        // The listener is closed first, as all sockets of a process that ends are closed together.
        sleep(Duration::from_millis(3));
        self.events.lock().expect("no panic").crashes.push((own.clone(), Instant::now()));
        for channel in channels {
            let _ = channel.shutdown(Shutdown::Both);
        }
        thread::spawn(move || {
            sleep(RESTART_TIME);
            {
                let mut state = self.state.lock().expect("no panic");
                state.starts += 1;
                state.id = format!("i-{}-{}", self.name, state.starts);
                state.born_ms = unix_ms();
                state.is_down = false;
                state.loaded = None;
                state.is_spoilt = false;
                state.is_busy = false;
                state.seq_no = 0;
                state.written = 0;
                state.running = 0;
            }
            self.clone().open();
            self.register();
            sleep(EXPIRY_TIME - RESTART_TIME);
            self.store.write("keyed.servers", &own, "");
        });
    }
}

/// The number in a field of a flat JSON object; none if it has no such field.
fn json_number(body: &[u8], field: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once(&format!("\"{field}\":"))?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
