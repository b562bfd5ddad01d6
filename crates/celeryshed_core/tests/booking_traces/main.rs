//! Replays the events of recorded traces through claim procedures. Compares the actions byte for
//! byte, and the reply with the expected outcome in the trace.
//!
//! `BOOKING_TRACES=record` replaces the recorded actions by the new ones, for review.

mod text;

use std::fs;
use std::path::{Path, PathBuf};

use celeryshed_base::{MonoTime, ServiceName, TeamName};
use celeryshed_core::booking::{
    BookingIdentity, BookingKey, BookingRequest, ClaimProcedure, ProcedureOptions,
};
use text::TraceFormat;

const OUTCOME_PREFIX: &str = "# outcome: ";

fn trace_paths() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/booking");
    let entries = fs::read_dir(folder).unwrap();
    let mut paths: Vec<_> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

/// Returns the request of every trace: its key is created at log time 0, which is 10,000 s after
/// 1970, and its deadline is at 10 s.
fn request() -> BookingRequest {
    let key = BookingKey::try_from("00000098-9680-7000-8000-000000000001").unwrap();
    let team = TeamName::try_from("clinic").unwrap();
    let service = ServiceName::try_from("orders").unwrap();
    let identity = BookingIdentity::of(&team, key, &service, "POST", "kits", b"body");
    BookingRequest { identity, deadline: text::millis(10_000) }
}

fn replay(trace: &str) -> String {
    let request = request();
    let mut procedure = ClaimProcedure::new(request, ProcedureOptions::default(), MonoTime::ZERO);
    let mut format = TraceFormat::new(request.identity);
    let mut replayed = String::new();
    for line in trace.lines().filter(|line| !line.starts_with("> ")) {
        replayed.push_str(line);
        replayed.push('\n');
        if line.starts_with('#') || line.is_empty() {
            continue;
        }
        let (now, event) = format.parse_event(line);
        for action in procedure.handle(event, now) {
            replayed.push_str(&format.format_action(&action));
        }
    }
    replayed
}

/// Guards against an unintended change of the procedure's decisions.
#[test]
fn traces_replay_to_the_same_actions() {
    let record = std::env::var("BOOKING_TRACES").is_ok_and(|mode| mode == "record");
    let paths = trace_paths();
    assert!(paths.len() >= 14, "{} traces", paths.len());
    for path in paths {
        let trace = fs::read_to_string(&path).unwrap();
        let replayed = replay(&trace);
        if record {
            fs::write(&path, &replayed).unwrap();
        }
        let expected = trace.lines().find_map(|line| line.strip_prefix(OUTCOME_PREFIX)).unwrap();
        let reply = replayed.lines().find_map(|line| line.strip_prefix("> reply "));
        assert_eq!(reply, Some(expected), "{}", path.display());
        assert!(record || replayed == trace, "{}: replayed\n{replayed}", path.display());
    }
}
