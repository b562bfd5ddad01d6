//! Clocks of a machine that was suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryshed_base::{ClockSource, MonoTime, UnixMillis};
use tokio::time::{Instant, advance, sleep};

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(60_000);

fn suspended() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Guards against ages, deadlines and lifetimes that are too long by the time of a suspension,
/// which the runtime's clock doesn't count.
#[tokio::test(start_paused = true)]
async fn time_of_a_suspension_counts() {
    let clock = ClockSource::start_with(UnixMillis(1_000), suspended);
    advance(Duration::from_millis(500)).await;
    assert_eq!(clock.now(), MonoTime(Duration::from_millis(500)));
    let waiting = tokio::spawn(async move {
        clock.sleep_until(MonoTime(Duration::from_millis(5_000))).await;
        Instant::now()
    });
    sleep(Duration::from_millis(50)).await;
    let resumed_at = Instant::now();
    SUSPENDED_MS.fetch_add(7_000, Ordering::Relaxed);
    assert_eq!(clock.now(), MonoTime(Duration::from_millis(7_550)));
    assert_eq!(clock.unix_now(), UnixMillis(8_550));
    let late = waiting.await.unwrap() - resumed_at;
    assert!(late <= Duration::from_millis(250), "{late:?}");
}

/// The real clocks of a machine that is not suspended leave a paused clock alone.
#[tokio::test(start_paused = true)]
async fn paused_clock_advances_only_by_the_test() {
    let clock = ClockSource::start();
    std::thread::sleep(Duration::from_millis(30));
    advance(Duration::from_secs(3)).await;
    assert_eq!(clock.now().0.as_secs(), 3);
    assert!(clock.now() - MonoTime(Duration::from_secs(3)) < Duration::from_millis(10));
}
