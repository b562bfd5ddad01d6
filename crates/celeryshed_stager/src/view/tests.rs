//! Ages of declared versions that the view passes on.

use tokio::time::sleep;

use super::*;

const DEADLINES: VersionDeadlines = VersionDeadlines {
    after_declaration: Duration::from_secs(8),
    after_start: Duration::from_secs(3),
};

/// Guards against an age that is cut to the time for which the process has run: a sidecar that
/// started after the declaration told entries a younger age than the peer that had told it.
#[tokio::test(start_paused = true)]
async fn age_from_before_the_start_is_told_in_full() {
    let clock = ClockSource::start();
    sleep(Duration::from_secs(1)).await;
    let age = AgeReading::new(clock, clock.now(), RecordAge::Known(Duration::from_secs(5)));
    let model = "m".to_owned();
    let event = ControlEvent::ModelVersion { model, version: 2, initial: true, age };
    let mut view = StageView::default();
    apply(&mut view, clock.now(), DEADLINES, event);
    sleep(Duration::from_secs(2)).await;
    let ages: Vec<_> = view.newest_known_ages().collect();
    assert_eq!(ages, [("m", 2, Duration::from_secs(7))]);
}
