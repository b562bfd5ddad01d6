//! A machine stands still after its sidecar has checked the staged pieces and before it orders their
//! load; a piece turns bad meanwhile.

use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{SIGCONT, SIGSTOP};
use crate::model_fleet::ModelFleet;
use crate::Verdict;

/// How long the machine stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// Time into the freeze at which the piece turns bad.
const SPOILT_AFTER: Duration = Duration::from_millis(100);
const SPOILT_PIECE: u64 = 7;

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = ModelFleet::start(folder)?;
    let journal = &fleet.journal;
    sleep(Duration::from_secs(5));
    fleet.name_version(2);
    let engine = &fleet.engines[0];
    let until = Instant::now() + Duration::from_secs(20);
    while has_trouble && !engine.was_read_back(2) {
        if Instant::now() > until {
            return Err(io::Error::other("the sidecar has not checked the staged pieces"));
        }
        sleep(Duration::from_millis(1));
    }
    if has_trouble {
        let side = &fleet.sides[0];
        engine.set_frozen(true);
        side.signal(SIGSTOP);
        journal.note(format!("the machine of {} stands still", side.name));
        sleep(SPOILT_AFTER);
        engine.spoil(SPOILT_PIECE);
        journal.note(format!("piece {SPOILT_PIECE} turns bad at {}", engine.id));
        sleep(FREEZE - SPOILT_AFTER);
        journal.note(format!("the machine of {} goes on", side.name));
        side.signal(SIGCONT);
        engine.set_frozen(false);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while fleet.engines.iter().any(|engine| engine.loaded() != Some(2)) {
        if Instant::now() > until {
            return Err(io::Error::other("an engine has not loaded version 2"));
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(5));
    fleet.record_logs("load_ordered", 2);
    let tainted: u64 =
        fleet.engines.iter().map(|engine| engine.tainted_runs.load(Ordering::Relaxed)).sum();
    let runs: u64 = fleet.engines.iter().map(|engine| engine.runs.load(Ordering::Relaxed)).sum();
    journal.note(format!(
        "{tainted} of {runs} requests got tokens made with a piece that had been bad for over 3 s \
         when it was taken"
    ));
    println!("{tainted} of {runs} requests got tokens made with spoilt weights");
    Ok(if tainted > 0 { Verdict::Broken } else { Verdict::Held })
}
