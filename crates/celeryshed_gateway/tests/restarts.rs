//! What restarts of an entry leave behind. The only test in its process, whose descriptors it counts.

mod support;

use std::sync::Arc;
use std::time::Duration;

use celeryshed_base::ClockSource;
use celeryshed_gateway::EntryProcess;
use celeryshed_process::{ProcessSignals, RoleEnd};
use support::{FakeStore, snapshot, standard_settings};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::{sleep, timeout};

const RESTARTS: usize = 100;
/// Far less than one entry's state takes, times the restarts.
const MAX_GROWTH_BYTES: usize = 4 * 1024 * 1024;

/// Descriptors that this process holds.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Resident memory of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

/// Guards against tasks, sockets and memory of former runs that add up, and against a run that can't
/// open its sockets because a task of the former one holds them.
#[test]
fn hundred_restarts_leave_nothing_behind() {
    let settings = standard_settings();
    let store = Arc::new(FakeStore::default());
    store.publish(snapshot(1));
    let mut figures = Vec::new();
    for _ in 0..RESTARTS {
        let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
        let end = runtime.unwrap().block_on(async {
            let mut signals = ProcessSignals::install().unwrap();
            let (clock, decoder) = (ClockSource::start(), store.clone());
            let run =
                EntryProcess::run(settings.clone(), clock, &mut signals, store.clone(), decoder);
            let spoil = async {
                // A connection to the former run's sockets must not reach them.
                let _connection = loop {
                    if let Ok(stream) = TcpStream::connect(settings.caller_address).await {
                        break stream;
                    }
                    sleep(Duration::from_millis(10)).await;
                };
                store.panic_in_reads(1);
                sleep(Duration::from_secs(60)).await;
            };
            tokio::select! {
                end = timeout(Duration::from_secs(50), run) => end.unwrap().unwrap(),
                () = spoil => panic!("the role has not ended"),
            }
        });
        assert_eq!(end, RoleEnd::TaskEnded);
        figures.push((open_descriptors(), resident_bytes()));
    }
    let (first, last) = (figures[10], figures[RESTARTS - 1]);
    assert_eq!(first.0, last.0, "descriptors: {figures:?}");
    assert!(last.1.saturating_sub(first.1) < MAX_GROWTH_BYTES, "memory: {figures:?}");
}
