//! What is told of tasks that end.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryshed_observe::MetricsRegistry;
use celeryshed_process::{EndedTask, TaskClass, TaskGroup, TaskOutcome};
use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::{Instant, sleep, timeout};

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

/// Guards against tasks whose end leaves no trace: neither a line nor a count told which one died.
#[tokio::test]
async fn ended_tasks_are_logged_and_counted() {
    let registry = MetricsRegistry::install();
    log::set_logger(&COLLECTOR).unwrap();
    log::set_max_level(LevelFilter::Info);
    let (tasks, mut ends) = TaskGroup::new();
    tasks.start("returns", TaskClass::Essential, async {});
    let ended = EndedTask { name: "returns", outcome: TaskOutcome::Returned };
    assert_eq!(ends.next().await, ended);
    tasks.start("panics", TaskClass::Finite, async { panic!("a panic that the test expects") });
    let ended = EndedTask { name: "panics", outcome: TaskOutcome::Panicked };
    assert_eq!(ends.next().await, ended);
    let lines = COLLECTOR.0.lock().unwrap().clone();
    let of = |name: &str| lines.iter().filter(|line| line.contains(name)).collect::<Vec<_>>();
    assert_eq!(of("returns"), ["event=task_ended task=returns class=essential outcome=returned"]);
    assert_eq!(of("panics"), ["event=task_ended task=panics class=finite outcome=panicked"]);
    let text = registry.render();
    let counted = "celeryshed_tasks_ended_total{task=\"panics\",outcome=\"panicked\"} 1";
    assert!(text.contains(counted), "{text}");
}

/// Guards against a finite task whose regular end counts as a fault.
#[tokio::test(start_paused = true)]
async fn return_of_a_finite_task_is_no_fault() {
    let (tasks, mut ends) = TaskGroup::new();
    tasks.start("step", TaskClass::Finite, async {});
    assert!(timeout(Duration::from_secs(60), ends.next()).await.is_err());
}

/// Guards against an auxiliary task that stays away after its end, or that is started again without a
/// pause or without end at once, and against a role that ends with it.
#[tokio::test(start_paused = true)]
async fn auxiliary_task_is_started_again_after_growing_delays() {
    let started = Instant::now();
    let starts = Arc::new(Mutex::new(Vec::new()));
    let (tasks, mut ends) = TaskGroup::new();
    let noted = starts.clone();
    tasks.start_auxiliary("metrics", move || {
        noted.lock().unwrap().push(started.elapsed().as_millis());
        async { panic!("a panic that the test expects") }
    });
    assert!(timeout(Duration::from_secs(300), ends.next()).await.is_err());
    let starts = starts.lock().unwrap().clone();
    assert_eq!(starts[..6], [0, 200, 600, 1400, 3000, 6200]);
    assert!((10..=13).contains(&starts.len()), "{starts:?}");
}

/// Guards against a panic before the first wait of an auxiliary task that isn't caught.
#[tokio::test(start_paused = true)]
async fn panic_in_the_start_of_an_auxiliary_task_is_caught() {
    let starts = Arc::new(AtomicU32::new(0));
    let (tasks, _ends) = TaskGroup::new();
    let counted = starts.clone();
    tasks.start_auxiliary("metrics", move || {
        assert!(counted.fetch_add(1, Ordering::Relaxed) > 0, "a panic that the test expects");
        std::future::pending()
    });
    sleep(Duration::from_secs(60)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 2);
}
