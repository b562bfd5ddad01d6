//! When a role is called again.

use std::thread::sleep;
use std::time::Duration;

use celeryshed_process::{ProcessSignals, RoleEnd, RoleRunner};
use tokio::sync::mpsc;

/// Guards against a process that ends because its role panics, outside all of its tasks.
#[test]
fn role_that_panics_is_called_again() {
    let mut calls = 0;
    let ended = RoleRunner::start().unwrap().run(async |_signals: &mut ProcessSignals| {
        calls += 1;
        assert!(calls > 2, "a panic that the test expects");
        Ok::<_, ()>(RoleEnd::Terminated)
    });
    assert_eq!((ended, calls), (Ok(()), 3));
}

/// Guards against a process that goes on although its role can't be started for good.
#[test]
fn error_of_a_role_is_returned() {
    let ended = RoleRunner::start()
        .unwrap()
        .run(async |_signals: &mut ProcessSignals| Err::<RoleEnd, _>("the address is not allowed"));
    assert_eq!(ended, Err("the address is not allowed"));
}

/// Guards against tasks of a former call that go on beside those of the next one.
#[test]
fn tasks_of_a_former_call_are_gone() {
    let (sender, mut former) = mpsc::unbounded_channel::<()>();
    let mut sender = Some(sender);
    let ended = RoleRunner::start().unwrap().run(async |_signals: &mut ProcessSignals| {
        let Some(sender) = sender.take() else {
            assert_eq!(former.try_recv(), Err(mpsc::error::TryRecvError::Disconnected));
            return Ok::<_, ()>(RoleEnd::Terminated);
        };
        tokio::spawn(async move {
            std::future::pending::<()>().await;
            drop(sender);
        });
        tokio::task::yield_now().await;
        Ok(RoleEnd::TaskEnded)
    });
    assert_eq!(ended, Ok(()));
}

/// Guards against times since the start of the process that begin anew with each call.
#[test]
fn clock_counts_the_time_before_a_call() {
    const RUN_TIME: Duration = Duration::from_millis(200);
    let runner = RoleRunner::start().unwrap();
    let clock = runner.clock();
    let mut starts = Vec::new();
    let ended = runner.run(async |_signals: &mut ProcessSignals| {
        starts.push(clock.now().0);
        sleep(RUN_TIME);
        Ok::<_, ()>(if starts.len() < 2 { RoleEnd::TaskEnded } else { RoleEnd::Terminated })
    });
    assert_eq!(ended, Ok(()));
    assert!(starts[1] - starts[0] >= RUN_TIME, "{starts:?}");
}
