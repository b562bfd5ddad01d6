//! What restarts of a sidecar leave behind. The only test in its process, whose descriptors it counts.

mod support;

use std::future::pending;
use std::time::Duration;

use celeryshed_process::{ProcessSignals, RoleEnd};
use celeryshed_stager::SidecarProcess;
use support::{FakeWeights, sidecar_settings, store_of};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::{sleep, timeout};

const RESTARTS: usize = 100;
/// Far less than one sidecar's state takes, times the restarts.
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
    let settings = sidecar_settings();
    let store = store_of(&settings, &[1]);
    let weights = FakeWeights::new(1, []);
    let mut figures = Vec::new();
    for _ in 0..RESTARTS {
        let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
        let end = runtime.unwrap().block_on(async {
            let mut signals = ProcessSignals::install().unwrap();
            let (store, decoder, spoiled) = (store.clone(), store.clone(), weights.clone());
            let run = SidecarProcess::run(
                settings.clone(),
                &mut signals,
                store,
                decoder,
                weights.clone(),
            );
            let spoil = async {
                // The run has an open connection of another sidecar when it ends.
                let _connection = loop {
                    if let Ok(stream) = TcpStream::connect(settings.peer_address).await {
                        break stream;
                    }
                    sleep(Duration::from_millis(10)).await;
                };
                sleep(Duration::from_secs(2)).await;
                spoiled.panic_in_reports(1);
                pending().await
            };
            tokio::select! {
                end = timeout(Duration::from_secs(60), run) => end.unwrap().unwrap(),
                () = spoil => unreachable!("it never returns"),
            }
        });
        assert_eq!(end, RoleEnd::TaskEnded);
        figures.push((open_descriptors(), resident_bytes()));
    }
    let (first, last) = (figures[10], figures[RESTARTS - 1]);
    assert_eq!(first.0, last.0, "descriptors: {figures:?}");
    assert!(last.1.saturating_sub(first.1) < MAX_GROWTH_BYTES, "memory: {figures:?}");
}
