//! Case: a machine stands still with an order to load on its way to the engine, its sidecar is killed
//! meanwhile, and the next process of the sidecar trusts the load.

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
const REQUEST_PAUSE: Duration = Duration::from_millis(60);
const DECLARED_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(28);
/// For how long the machine stands still.
const STILL_TIME: Duration = Duration::from_secs(4);
/// When a piece is damaged and the sidecar is killed, from the beginning of the stillness.
const DAMAGE_AT: Duration = Duration::from_millis(300);
const KILL_AT: Duration = Duration::from_millis(1500);
/// Time from the end of the stillness to the next start of the sidecar.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// When the registration of the engine expires: at most three liveness intervals of 1.2 s.
const EXPIRY_AT: Duration = Duration::from_millis(3000);
const DAMAGED_PIECE: u32 = 5;
/// Engines, each with a sidecar on its machine.
const ENGINES: u8 = 9;

struct Sent {
    id: String,
    at: Instant,
    outcome: String,
}

fn configuration(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"draft","host":"clinic.example","path_prefix":"/draft/","route_type":"stream","stream_resume":true,"session_affinity":true,"timeout_ms":6000,"target_latency_ms":400,"target_gap_ms":300,"priority":1,"max_attempts":2,"anonymous":false,"service":"writer"}}],"services":[{{"name":"writer","health_path":"/health","max_connections":350,"engine":{{"slots":16,"stride":6,"models":[{{"name":"{MODEL}"}}],"step_ms":6.73,"per_seq_ms":0.02,"context_per_k":0.007,"read_per_s":30600,"pairs_per_m":0.6,"chunk":2048,"usual":{{"prompt":600,"answer":18}},"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","link_mbps":7.3,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000}},"tenants":[{{"name":"one","api_keys":["key-one"]}}]}}"#
    )
}

fn send(front: SocketAddr, number: u64) -> Sent {
    let id = format!("{number:016x}");
    let body = format!("text {id}");
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: clinic.example\r\nX-Celeryshed-Request-Id: {id}\r\n\
         X-Celeryshed-Model-Name: {MODEL}\r\nX-Celeryshed-Token-Counts: 420,72\r\n\
         X-Celeryshed-Prompt-Prefix: 5c1e07a2:40,2d77c0aa:300,{:08x}:80\r\n\
         X-Celeryshed-Deadline-Ms: 6000\r\nX-Api-Key: key-one\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        0x1000_0000 + number,
        body.len()
    );
    let at = Instant::now();
    let outcome = match call(front, &head, body.as_bytes()) {
        Ok(answer) => {
            let version = answer.header("X-Celeryshed-Weight-Versions").to_owned();
            format!("{}, {} bytes, version {version}", answer.status, answer.body.len())
        }
        Err(error) => format!("none ({error})"),
    };
    Sent { id, at, outcome }
}

fn main() {
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut arguments = env::args().skip(1);
    let record = arguments.next().expect("the path of the record");
    let folder = arguments.next().expect("a temporary folder");
    exit(run(has_trouble, &record, Path::new(&folder)));
}

fn run(has_trouble: bool, record: &str, folder: &Path) -> i32 {
    let store = Store::start();
    let origin = start_origin();
    let events: Arc<Mutex<Events>> = Arc::default();
    store.write("keyed.op", "config", &configuration(origin));
    let manner = Manner {
        first_event: Duration::from_millis(60),
        event_pause: Duration::from_millis(60),
        events: 12,
        is_chunked: true,
        deadly: "",
    };
    let places = [("north-a", "north"), ("east-a", "east")];
    let ip_of = |number: u8| -> IpAddr { [127, 90, 2, number].into() };
    let start_sidecar = |number: u8| {
        let ip = ip_of(number);
        let app = Some((SocketAddr::new(ip, 8001), "writer"));
        let place = places[usize::from(number) % places.len()];
        start(folder, "side", &format!("side-{number}"), place, ip, store.address, app)
    };
    let engines: Vec<Arc<Engine>> = (1..=ENGINES)
        .map(|number| {
            let place = places[usize::from(number) % places.len()];
            let address = SocketAddr::new(ip_of(number), 8001);
            let name = format!("writer-{number}");
            Engine::start(&name, address, place.0, "writer", manner, store.clone(), events.clone())
        })
        .collect();
    let mut sidecars: Vec<Machine> = (1..=ENGINES).map(start_sidecar).collect();
    let entries: Vec<Machine> = (1_u8..)
        .zip(places)
        .map(|(number, place)| {
            let ip = [127, 90, 1, number].into();
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
    let clients = {
        let sent = sent.clone();
        thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 1_u64.. {
                if begun.elapsed() >= END_AT {
                    break;
                }
                let (front, sent) = (fronts[number as usize % fronts.len()], sent.clone());
                calls.push(thread::spawn(move || {
                    let done = send(front, number);
                    sent.lock().expect("no panic").push(done);
                }));
                sleep(REQUEST_PAUSE);
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    sleep(DECLARED_AT.saturating_sub(begun.elapsed()));
    if has_trouble {
        engines[0].stop_at_order(STILL_TIME);
    }
    store.write(
        "keyed.op",
        &format!("version/{MODEL}"),
        &format!(r#"{{"model":"{MODEL}","version":2}}"#),
    );
    let mut marks = vec![(begun + DECLARED_AT, "version 2 is declared".to_owned())];
    if has_trouble {
        let still_until = loop {
            if let Some(until) = engines[0].still_until() {
                break until;
            }
            if begun.elapsed() >= END_AT {
                eprintln!("no order to load was sent");
                return 2;
            }
            sleep(Duration::from_millis(1));
        };
        let mut mark = |text: &str| marks.push((Instant::now(), text.to_owned()));
        sidecars[0].signal("STOP");
        mark("an order is on its way to writer-1; its machine stands still");
        let still_at = still_until - STILL_TIME;
        sleep((still_at + DAMAGE_AT).saturating_duration_since(Instant::now()));
        engines[0].damage_piece(DAMAGED_PIECE);
        mark("a staged piece at writer-1 turns bad");
        sleep((still_at + KILL_AT).saturating_duration_since(Instant::now()));
        drop(sidecars.remove(0));
        mark("the sidecar of writer-1 is killed");
        sleep((still_at + EXPIRY_AT).saturating_duration_since(Instant::now()));
        engines[0].expire();
        mark("the registration of writer-1 expires");
        sleep(still_until.saturating_duration_since(Instant::now()));
        engines[0].register();
        mark("writer-1 goes on and registers");
        sleep((still_until + RESTART_DELAY).saturating_duration_since(Instant::now()));
        sidecars.insert(0, start_sidecar(1));
        mark("the sidecar of writer-1 is started");
    }
    drop(clients.join());
    drop((entries, sidecars));
    let (events, sent) = (events.lock().expect("no panic"), sent.lock().expect("no panic"));
    judge(record, begun, &marks, &events, &sent)
}

fn judge(
    record: &str,
    begun: Instant,
    marks: &[(Instant, String)],
    events: &Events,
    sent: &[Sent],
) -> i32 {
    let seconds = |at: Instant| (at - begun).as_secs_f64();
    let mut lines: Vec<String> = Vec::new();
    lines.extend(marks.iter().map(|(at, text)| format!("{:8.3} {text}", seconds(*at))));
    for (engine, version, at, damage) in &events.loads {
        lines.push(format!(
            "{:8.3} {engine} takes version {version}, its longest damage is {} ms old",
            seconds(*at),
            damage.as_millis()
        ));
    }
    let mut served = 0;
    for request in sent {
        let run = events.begun.iter().find(|(id, ..)| *id == request.id);
        let is_spoilt = events.spoilt.contains(&request.id);
        served += usize::from(request.outcome.starts_with("200"));
        lines.push(format!(
            "{:8.3} {} began at: {}, answered: {}{}",
            seconds(request.at),
            request.id,
            run.map_or("-", |(_, engine, _)| engine.as_str()),
            request.outcome,
            if is_spoilt { " SPOILT" } else { "" }
        ));
    }
    lines.sort();
    lines.push(format!("served: {served} of {}", sent.len()));
    lines.push(format!(
        "WHOLE: {} requests got tokens that were made with a piece that had been bad for over 3 s",
        events.spoilt.len()
    ));
    println!("{}", lines[lines.len() - 2..].join("\n"));
    if fs::write(record, lines.join("\n") + "\n").is_err() || events.loads.is_empty() || served == 0
    {
        return 2;
    }
    i32::from(!events.spoilt.is_empty())
}
