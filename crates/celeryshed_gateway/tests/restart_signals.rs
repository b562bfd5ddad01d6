//! SIGTERM while an entry is started again. The only test in its process, which gets the signals.

mod support;

use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use support::{Deployment, FakeStore, snapshot};

/// Grace period of the entry.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Guards against a process that can't be ended, or ends with an error, while its role drains, waits
/// to be started again, or is starting.
#[test]
fn sigterm_at_any_moment_of_a_restart_ends_the_process() {
    for step in 0..10 {
        let store = Arc::new(FakeStore::default());
        store.publish(snapshot(1));
        store.panic_in_reads(u32::MAX);
        let (_entry, thread) = Deployment::start_supervised(store);
        // A run takes 0.7 s, and the first delays 0.1 s, 0.2 s and 0.4 s.
        thread::sleep(Duration::from_millis(230 * step));
        let pid = std::process::id().to_string();
        assert!(Command::new("kill").arg("-TERM").arg(pid).status().unwrap().success());
        let signalled_at = Instant::now();
        while !thread.is_finished() {
            assert!(signalled_at.elapsed() < GRACE_PERIOD, "no end after step {step}");
            thread::sleep(Duration::from_millis(10));
        }
        thread.join().unwrap();
    }
}
