//! An entry of another writer in the list of engines lacks most fields. Its address is that of a plain
//! HTTP server which is no engine.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{scope, sleep};
use std::time::Duration;

use crate::fleet::{APP_PORT, FRONT_PORT};
use crate::http::{self, answer, Request};
use crate::plain_fleet::{PlainFleet, RequestKind, TIME_LIMIT};
use crate::Verdict;

const CALM: Duration = Duration::from_secs(5);
const SETTLING: Duration = Duration::from_secs(3);
const BUYERS: u64 = 12;
/// Bookings of each buyer.
const BOOKINGS: u64 = 50;
/// Bookings have numbers of their own, so that no id is used twice.
const FIRST_BOOKING: u64 = 1 << 32;
const BOOKING_PAUSE: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = PlainFleet::start(folder, RequestKind::Lookup)?;
    let journal = fleet.journal.clone();
    let address = fleet.network.at(40, APP_PORT);
    let run_count = Arc::new(AtomicU64::new(0));
    let (counted, recorded) = (run_count.clone(), journal.clone());
    let handler = move |request: Request, stream: &mut TcpStream| {
        counted.fetch_add(1, Ordering::Relaxed);
        let id = request.header("x-celeryshed-request-id").unwrap_or_default();
        recorded.note(format!(
            "the server that is no engine runs {} {} of request {id}",
            request.method, request.path
        ));
        answer(stream, "200 OK", &[], b"done")
    };
    http::serve(address, Arc::new(handler))?;
    sleep(CALM);
    if has_trouble {
        let record = format!(
            "{{\"service\":\"orders\",\"address\":\"{address}\",\"zone\":\"puget-a\",\
             \"state\":\"ready\"}}"
        );
        fleet.store.write("keyed.servers", "agent-1", &record);
        journal.note(format!("another writer adds servers/agent-1: {record}"));
    }
    sleep(SETTLING);
    let front = SocketAddr::new(fleet.entry.ip, FRONT_PORT);
    let (served, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    scope(|threads| {
        for buyer in 0..BUYERS {
            let (journal, served, failed) = (&journal, &served, &failed);
            threads.spawn(move || {
                for number in 1..=BOOKINGS {
                    let number = buyer * BOOKINGS + number;
                    let outcome = http::call(
                        front,
                        &RequestKind::Booking.request(FIRST_BOOKING + number),
                        TIME_LIMIT,
                    );
                    journal.note(format!(
                        "booking {:016x}: status {} after {} ms {}",
                        FIRST_BOOKING + number,
                        outcome.status,
                        outcome.elapsed.as_millis(),
                        outcome.problem
                    ));
                    let counter = if outcome.is_served() { served } else { failed };
                    counter.fetch_add(1, Ordering::Relaxed);
                    sleep(BOOKING_PAUSE);
                }
            });
        }
    });
    let (served, failed) = (served.into_inner(), failed.into_inner());
    fleet.end_clients();
    let foreign = run_count.load(Ordering::Relaxed);
    let summary = format!(
        "{foreign} requests were run by a server that is no engine; of the bookings {served} \
         were served and {failed} failed"
    );
    journal.note(&summary);
    println!("{summary}");
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
