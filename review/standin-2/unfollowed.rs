//! Cases: a configuration that the store has acknowledged is not followed.
//!
//! `silent-channels`: before, the channels on which entries wait for configurations fell silent.
//! `tenant-name`: the configuration names a tenant whose name has spaces.

mod fleet;
mod http;
mod proxy;
mod store;

use std::env;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fleet::{Machine, start, wait_ready};
use http::{Request, answer, call, serve};
use proxy::Proxy;
use store::Store;

/// Limit of the pages for a configuration to be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time without disturbance after which a machine is in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Pause between two requests of the clients.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// A channel that has carried nothing for so long counts as idle. Reads of the list of engines come
/// more often.
const IDLE_TIME: Duration = Duration::from_millis(1200);
/// Times from the start of traffic.
const SECOND_CONFIG_AT: Duration = Duration::from_millis(2000);
const SILENCE_AT: Duration = Duration::from_millis(4000);
const THIRD_CONFIG_AT: Duration = Duration::from_millis(8500);
const END_AT: Duration = Duration::from_millis(18000);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Case {
    SilentChannels,
    TenantName,
}

/// A request that a server has run.
struct Run {
    id: String,
    service: &'static str,
    tenant: String,
}

/// A request that a client has sent, and its answer.
struct Sent {
    id: String,
    entry: usize,
    kind: &'static str,
    at: Instant,
    outcome: String,
}

/// The third configuration moves lookups, takes the key of bookings away and adds a tenant.
fn configuration(version: u32, added_tenant: &str) -> String {
    let (timeout, lookup_service) =
        (if version == 1 { 2500 } else { 2600 }, if version < 3 { "desk" } else { "archive" });
    let added = match version {
        3 => format!(r#",{{"name":"{added_tenant}","api_keys":["key-three"]}}"#),
        _ => String::new(),
    };
    let second_keys = if version < 3 { r#""key-two""# } else { "" };
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout},"target_latency_ms":150,"priority":2,"max_attempts":2,"anonymous":false,"service":"{service}"}}"#
        )
    };
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","health_path":"/health","max_connections":200}}"#)
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000}},"tenants":[{{"name":"one","api_keys":["key-one"]}},{{"name":"two","api_keys":[{second_keys}]}}{added}]}}"#,
        route("lookup", "idempotent", lookup_service),
        route("book", "non_idempotent", "desk"),
        service("desk"),
        service("archive")
    )
}

fn start_server(
    store: &Store,
    id: &str,
    zone: &str,
    service: &'static str,
    runs: Arc<Mutex<Vec<Run>>>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let own = id.to_owned();
    serve(listener, move |request: Request| {
        let echoed = request.header("X-Celeryshed-Request-Id").to_owned();
        let headers =
            format!("X-Celeryshed-Request-Id: {echoed}\r\nX-Celeryshed-Served-By: {own}\r\n");
        if request.header("X-Celeryshed-Target-Instance") != own {
            return answer("421 Misdirected Request", &headers, b"");
        }
        let tenant = request.header("X-Celeryshed-Tenant-Name").to_owned();
        runs.lock().expect("no panic").push(Run { id: echoed, service, tenant });
        sleep(Duration::from_millis(15));
        let sealed = format!("{headers}X-Celeryshed-Engine-Seal: seal-{own}\r\n");
        answer("200 OK", &sealed, service.as_bytes())
    });
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq_no":1,"born":{born}}}"#
    );
    store.write("keyed.servers", id, &entry);
}

/// Sends one request; `moved` asks on the route that the third configuration moves, otherwise a
/// booking with the key that it takes away is sent.
fn send(front: SocketAddr, entry: usize, number: u64, moved: bool) -> Sent {
    let id = format!("{number:016x}");
    let (kind, method, path, key) = match moved {
        true => ("lookup", "GET", "/lookup/1", "key-one"),
        false => ("book", "POST", "/book/1", "key-two"),
    };
    let body: &[u8] = if moved { b"" } else { b"one pallet" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Celeryshed-Request-Id: {id}\r\n\
         X-Celeryshed-Deadline-Ms: 2500\r\nX-Api-Key: {key}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let at = Instant::now();
    let outcome = match call(front, &head, body) {
        Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
        Err(error) => format!("none ({error})"),
    };
    Sent { id, entry, kind, at, outcome }
}

fn main() {
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let mut arguments = env::args().skip(1);
    let record = arguments.next().expect("the path of the record");
    let folder = arguments.next().expect("a temporary folder");
    let case = match arguments.next().as_deref() {
        Some("silent-channels") => Case::SilentChannels,
        Some("tenant-name") => Case::TenantName,
        _ => panic!("the name of a case"),
    };
    exit(run(case, has_trouble, &record, Path::new(&folder)));
}

fn run(case: Case, has_trouble: bool, record: &str, folder: &Path) -> i32 {
    let added_tenant = match has_trouble && case == Case::TenantName {
        true => "Home Centres Kyushu",
        false => "home-centres-kyushu",
    };
    let store = Store::start();
    let proxy = Proxy::start(store.address);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    store.write("keyed.op", "config", &configuration(1, ""));
    for (number, zone) in ["north-a", "east-a", "south-a"].into_iter().enumerate() {
        start_server(&store, &format!("i-desk-{number}"), zone, "desk", runs.clone());
    }
    start_server(&store, "i-archive-0", "north-a", "archive", runs.clone());
    // Each case has addresses of its own.
    let network = if case == Case::SilentChannels { 86 } else { 88 };
    let places = [("north-a", "north"), ("east-a", "east"), ("south-a", "south")];
    let entries: Vec<Machine> = (1_u8..)
        .zip(places)
        .map(|(number, place)| {
            let ip = [127, network, 1, number].into();
            start(folder, "entry", &format!("front-{number}"), place, ip, proxy.address, None)
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
                let entry = number as usize / 2 % fronts.len();
                let (front, sent) = (fronts[entry], sent.clone());
                calls.push(thread::spawn(move || {
                    let done = send(front, entry, number, number % 2 == 0);
                    sent.lock().expect("no panic").push(done);
                }));
                sleep(REQUEST_PAUSE);
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    let sleep_until = |at: Duration| sleep(at.saturating_sub(begun.elapsed()));
    sleep_until(SECOND_CONFIG_AT);
    let second_at = store.write("keyed.op", "config", &configuration(2, ""));
    sleep_until(SILENCE_AT);
    let silenced_at = Instant::now();
    let silenced =
        if has_trouble && case == Case::SilentChannels { proxy.silence(IDLE_TIME) } else { 0 };
    sleep_until(THIRD_CONFIG_AT);
    let third_at = store.write("keyed.op", "config", &configuration(3, added_tenant));
    drop(clients.join());
    drop(entries);
    let marks =
        [("configuration 2", second_at), ("silence", silenced_at), ("configuration 3", third_at)];
    let (runs, sent) = (runs.lock().expect("no panic"), sent.lock().expect("no panic"));
    judge(record, begun, &marks, silenced, &runs, &sent)
}

fn judge(
    record: &str,
    begun: Instant,
    marks: &[(&str, Instant); 3],
    silenced: usize,
    runs: &[Run],
    sent: &[Sent],
) -> i32 {
    let seconds = |at: Instant| (at - begun).as_secs_f64();
    let [_, (_, silenced_at), (_, third_at)] = *marks;
    let due_at = third_at + CONFIG_APPLY;
    let in_touch_from = silenced_at + STABLE_WINDOW;
    let mut lines = Vec::new();
    for (name, at) in marks {
        lines.push(format!("{:8.3} {name}", seconds(*at)));
    }
    lines.push(format!("channels to the store that fell silent: {silenced}"));
    lines.push(format!("{:8.3} configuration 3 has to be in force", seconds(due_at)));
    let (mut early, mut early_served, mut late, mut broken) = (0, 0, 0, 0);
    let mut last_broken = None;
    for request in sent {
        let run = runs.iter().find(|run| run.id == request.id);
        let ran = run.map_or("-".to_owned(), |run| format!("{} for {}", run.service, run.tenant));
        let is_late = request.at > due_at && request.at > in_touch_from;
        // The third configuration moves lookups to the archive and takes the key of bookings away.
        let is_old = run.is_some_and(|run| request.kind == "book" || run.service == "desk");
        let verdict = if is_late && is_old { "BROKEN" } else { "" };
        early += u32::from(request.at < silenced_at);
        early_served += u32::from(request.at < silenced_at && request.outcome.starts_with("200"));
        late += u32::from(is_late);
        if is_late && is_old {
            broken += 1;
            last_broken = last_broken.max(Some(request.at));
        }
        lines.push(format!(
            "{:8.3} front-{} {} {} ran: {ran}, answered: {} {verdict}",
            seconds(request.at),
            request.entry + 1,
            request.kind,
            request.id,
            request.outcome
        ));
    }
    lines.sort();
    lines.push(format!("served before the silence: {early_served} of {early}"));
    lines.push(format!(
        "CONFIG: {broken} of {late} requests that were sent later than {} ms after the ack ran as only \
         an older version allows, the last one sent at {:.3}",
        CONFIG_APPLY.as_millis(),
        last_broken.map_or(0.0, seconds)
    ));
    let text = lines.join("\n") + "\n";
    if fs::write(record, &text).is_err() {
        return 2;
    }
    println!("{}", lines[lines.len() - 2..].join("\n"));
    if early_served * 10 < early * 9 || late == 0 {
        return 2;
    }
    i32::from(broken > 0)
}
