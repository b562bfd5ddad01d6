//! The events of panics.

use std::sync::Mutex;

use celeryshed_observe::install_panic_events;
use log::{LevelFilter, Log, Metadata, Record};

/// Keeps the lines that are logged.
struct LineCollector(Mutex<Vec<String>>);

impl Log for LineCollector {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

static COLLECTOR: LineCollector = LineCollector(Mutex::new(Vec::new()));

/// Guards against a process that ends by a panic of which its log says nothing.
#[test]
fn panic_is_logged_with_its_place() {
    log::set_logger(&COLLECTOR).unwrap();
    log::set_max_level(LevelFilter::Info);
    install_panic_events();
    assert!(std::panic::catch_unwind(|| panic!("no room")).is_err());
    let lines = COLLECTOR.0.lock().unwrap();
    let [line] = lines.as_slice() else { panic!("{lines:?}") };
    assert!(line.starts_with("event=panicked place=crates/celeryshed_observe/tests"), "{line}");
    assert!(line.ends_with("detail=\"no room\""), "{line}");
}
