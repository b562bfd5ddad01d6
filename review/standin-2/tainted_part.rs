//! Cases: one part of a prompt crashes engines, and sound requests that share other parts with it are
//! no longer served.
//!
//! `short-streams`: answers are short and end with their channel. `long-prompts`: the part is one of
//! the last of a long conversation.

mod digest;
mod engine;
mod fleet;
mod http;
mod store;

use std::env;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use engine::{Engine, Events, MODEL, Manner, PIECE_BYTES, PIECES, start_origin};
use fleet::{Machine, start, wait_ready};
use http::call;
use store::Store;

const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Crashes after which sound requests have to be served again.
const COUNTED_CRASHES: usize = 5;
/// Fewest requests of each kind that are compared.
const MIN_REQUESTS: usize = 20;
const SOUND_PAUSE: Duration = Duration::from_millis(50);
const DEADLY_PAUSE: Duration = Duration::from_millis(300);
const DEADLY_FROM: Duration = Duration::from_secs(10);
const END_AT: Duration = Duration::from_secs(45);
/// Parts of all prompts; the document or turn between them differs.
const INSTRUCTIONS: &str = "5c1e07a2:40";
const QUESTION: &str = "e4402b7d:60";
const SOUND_DOCUMENTS: [&str; 4] = ["2d77c0aa:300", "3be90114:310", "70a1f5c3:280", "b86d3e95:330"];
const DEADLY: &str = "91bd3f06";
/// Earlier turns of the conversation of `long-prompts`.
const DEFAULT_TURNS: u64 = 16;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Case {
    ShortStreams,
    LongPrompts { turns: u64 },
}

impl Case {
    fn of(name: &str) -> Option<Self> {
        let turns = env::var("TURNS").ok().and_then(|turns| turns.parse().ok());
        match name {
            "short-streams" => Some(Self::ShortStreams),
            "long-prompts" => Some(Self::LongPrompts { turns: turns.unwrap_or(DEFAULT_TURNS) }),
            _ => None,
        }
    }

    fn manner(self) -> Manner {
        // For comparison only: short streams that come in chunks.
        let is_chunked = env::var("CHUNKED").is_ok_and(|chunked| chunked == "1");
        let first_event = Duration::from_millis(60);
        match self {
            Self::ShortStreams => Manner {
                first_event,
                event_pause: Duration::from_millis(40),
                events: 3,
                is_chunked,
                deadly: DEADLY,
            },
            Self::LongPrompts { .. } => Manner {
                first_event,
                event_pause: Duration::from_millis(60),
                events: 12,
                is_chunked: true,
                deadly: DEADLY,
            },
        }
    }

    /// The parts of a prompt, without the last one, which is the request's own.
    fn parts(self, number: u64, is_deadly: bool) -> Vec<String> {
        let document = match is_deadly {
            true => format!("{DEADLY}:300"),
            false => SOUND_DOCUMENTS[number as usize % SOUND_DOCUMENTS.len()].to_owned(),
        };
        match self {
            Self::ShortStreams => vec![INSTRUCTIONS.to_owned(), document, QUESTION.to_owned()],
            Self::LongPrompts { turns } => {
                let turns =
                    (1..=turns).map(|turn| format!("{:08x}:40", 0x4000_0000 + turn * 0x51_0423));
                [INSTRUCTIONS.to_owned()].into_iter().chain(turns).chain([document]).collect()
            }
        }
    }
}

struct Sent {
    id: String,
    entry: usize,
    is_deadly: bool,
    at: Instant,
    outcome: String,
}

fn configuration(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"label","host":"press.example","path_prefix":"/label/","route_type":"stream","stream_resume":true,"session_affinity":true,"timeout_ms":6000,"target_latency_ms":400,"target_gap_ms":300,"priority":1,"max_attempts":2,"anonymous":false,"service":"writer"}}],"services":[{{"name":"writer","health_path":"/health","max_connections":350,"engine":{{"slots":16,"stride":6,"models":[{{"name":"{MODEL}"}}],"step_ms":6.73,"per_seq_ms":0.02,"context_per_k":0.007,"read_per_s":30600,"pairs_per_m":0.6,"chunk":2048,"usual":{{"prompt":600,"answer":18}},"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","link_mbps":7.3,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000}},"tenants":[{{"name":"one","api_keys":["key-one"]}}]}}"#
    )
}

fn send(case: Case, front: SocketAddr, entry: usize, number: u64, is_deadly: bool) -> Sent {
    let id = format!("{}{number:015x}", if is_deadly { 'd' } else { '0' });
    let parts = case.parts(number, is_deadly).join(",");
    let body = format!("text {id}");
    let head = format!(
        "POST /label/1 HTTP/1.1\r\nHost: press.example\r\nX-Celeryshed-Request-Id: {id}\r\n\
         X-Celeryshed-Model-Name: {MODEL}\r\nX-Celeryshed-Token-Counts: 1100,72\r\n\
         X-Celeryshed-Prompt-Prefix: {parts},{:08x}:20\r\n\
         X-Celeryshed-Deadline-Ms: 6000\r\nX-Api-Key: key-one\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        0x1000_0000 + number * 2 + u64::from(is_deadly),
        body.len()
    );
    let at = Instant::now();
    let outcome = match call(front, &head, body.as_bytes()) {
        Ok(answer) => format!("{}, {} bytes", answer.status, answer.body.len()),
        Err(error) => format!("none ({error})"),
    };
    Sent { id, entry, is_deadly, at, outcome }
}

fn main() {
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut arguments = env::args().skip(1);
    let record = arguments.next().expect("the path of the record");
    let folder = arguments.next().expect("a temporary folder");
    let case = arguments.next().and_then(|name| Case::of(&name)).expect("the name of a case");
    exit(run(case, has_trouble, &record, Path::new(&folder)));
}

fn run(case: Case, has_trouble: bool, record: &str, folder: &Path) -> i32 {
    let store = Store::start();
    let origin = start_origin();
    let events: Arc<Mutex<Events>> = Arc::default();
    store.write("keyed.op", "config", &configuration(origin));
    let manner = case.manner();
    // Each case has addresses of its own.
    let network = if case == Case::ShortStreams { 87 } else { 89 };
    let places = [("north-a", "north"), ("east-a", "east"), ("south-a", "south")];
    let mut sidecars = Vec::new();
    for number in 1_u8..=6 {
        let place = places[usize::from(number) % places.len()];
        let ip: IpAddr = [127, network, 2, number].into();
        let address = SocketAddr::new(ip, 8001);
        let name = format!("writer-{number}");
        Engine::start(&name, address, place.0, "writer", manner, store.clone(), events.clone());
        let app = Some((address, "writer"));
        sidecars.push(start(
            folder,
            "side",
            &format!("side-{number}"),
            place,
            ip,
            store.address,
            app,
        ));
    }
    let entries: Vec<Machine> = (1_u8..)
        .zip(places)
        .map(|(number, place)| {
            let ip = [127, network, 1, number].into();
            start(folder, "entry", &format!("front-{number}"), place, ip, store.address, None)
        })
        .collect();
    if !wait_ready(&entries, Duration::from_secs(20)) {
        eprintln!("the entries are not ready");
        return 2;
    }
    sleep(STABLE_WINDOW);

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let begun = Instant::now();
    let fronts: Vec<SocketAddr> = entries.iter().map(Machine::front).collect();
    let load = |is_deadly: bool, from: Duration, pause: Duration| {
        let (sent, fronts) = (sent.clone(), fronts.clone());
        thread::spawn(move || {
            sleep(from);
            let mut calls = Vec::new();
            for number in 1_u64.. {
                if begun.elapsed() >= END_AT {
                    break;
                }
                let entry = number as usize % fronts.len();
                let (front, sent) = (fronts[entry], sent.clone());
                calls.push(thread::spawn(move || {
                    let done = send(case, front, entry, number, is_deadly);
                    sent.lock().expect("no panic").push(done);
                }));
                sleep(pause);
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    let sound = load(false, Duration::ZERO, SOUND_PAUSE);
    let deadly = has_trouble.then(|| load(true, DEADLY_FROM, DEADLY_PAUSE));
    drop(sound.join());
    drop(deadly.map(thread::JoinHandle::join));
    drop((entries, sidecars));
    let (events, sent) = (events.lock().expect("no panic"), sent.lock().expect("no panic"));
    judge(record, begun, &events, &sent)
}

fn judge(record: &str, begun: Instant, events: &Events, sent: &[Sent]) -> i32 {
    let seconds = |at: Instant| (at - begun).as_secs_f64();
    let mut lines = Vec::new();
    for (engine, at) in &events.crashes {
        lines.push(format!("{:8.3} {engine} crashes", seconds(*at)));
    }
    let last_counted = events.crashes.iter().take(COUNTED_CRASHES).last().map(|(_, at)| *at);
    let calm_end = begun + DEADLY_FROM;
    let due_at = last_counted.unwrap_or(calm_end) + 2 * STABLE_WINDOW;
    let (mut before, mut begun_before, mut after, mut begun_after) = (0, 0, 0, 0);
    for request in sent {
        let engines: Vec<&str> = events
            .begun
            .iter()
            .filter(|(id, ..)| *id == request.id)
            .map(|(_, engine, _)| engine.as_str())
            .collect();
        let has_begun = !engines.is_empty();
        if !request.is_deadly && request.at < calm_end {
            before += 1;
            begun_before += usize::from(has_begun);
        }
        if !request.is_deadly && request.at >= due_at {
            after += 1;
            begun_after += usize::from(has_begun);
        }
        lines.push(format!(
            "{:8.3} front-{} {} {} began at: {}, answered: {}",
            seconds(request.at),
            request.entry + 1,
            if request.is_deadly { "deadly" } else { "sound" },
            request.id,
            if has_begun { engines.join(" ") } else { "-".to_owned() },
            request.outcome
        ));
    }
    lines.sort();
    let later = last_counted.map(|at| at + STABLE_WINDOW);
    let late = sent.iter().filter(|request| {
        request.is_deadly
            && events.crashes.len() >= COUNTED_CRASHES
            && later.is_some_and(|later| request.at > later)
            && events.begun.iter().any(|(id, ..)| *id == request.id)
    });
    lines.push(format!(
        "crashes: {}; deadly requests that were sent later than {} ms after the fifth and reached engines: {}",
        events.crashes.len(),
        STABLE_WINDOW.as_millis(),
        late.count()
    ));
    lines.push(format!("LOST is judged from {:.3} on", seconds(due_at)));
    lines.push(format!("sound requests before the first crash: {begun_before} of {before} began"));
    lines.push(format!(
        "LOST: sound requests from {} ms after the last counted crash: {begun_after} of {after} began",
        2 * STABLE_WINDOW.as_millis()
    ));
    println!("{}", lines[lines.len() - 4..].join("\n"));
    if fs::write(record, lines.join("\n") + "\n").is_err() {
        return 2;
    }
    if before < MIN_REQUESTS || after < MIN_REQUESTS || begun_before * 10 < before * 9 {
        return 2;
    }
    // Less than half as often.
    i32::from(2 * begun_after * before < begun_before * after)
}
