//! Resumed answers, and streams that end early because of cancel calls, faults or crashes.

use std::time::Duration;

use celeryshed_base::ContentDigest;
use celeryshed_standin::engine::{EngineFaults, RawEngineOptions, Rejection, TokenScript};
use celeryshed_wire::EngineRequest;

use crate::{raw_options, receive, request, start, version};

/// Guards against a resumed answer that repeats, skips or changes tokens, and against a resumed
/// answer of another version that isn't counted as a mismatch.
#[tokio::test(start_paused = true)]
async fn resumed_answers_continue() {
    let engine = start(raw_options());
    let script = TokenScript::new(&version("v1"), None, "prompt");
    let whole = receive(engine.complete(request("prompt", 20)).unwrap()).await;
    assert_eq!(whole.text(), script.answer(20));
    for delivered in [0, 1, 19, 20] {
        let resume_after: Vec<_> = (0..delivered).map(|index| script.text(index)).collect();
        let resumed = EngineRequest { resume_after, ..request("prompt", 20) };
        let rest = receive(engine.complete(resumed).unwrap()).await;
        assert!(rest.done, "after {delivered}");
        assert_eq!(rest.chunks, whole.chunks[delivered as usize..], "after {delivered}");
    }
    assert_eq!(engine.counts().resume_mismatches, 0);
    let mismatched = EngineRequest { resume_after: vec![" x".to_owned()], ..request("prompt", 20) };
    receive(engine.complete(mismatched).unwrap()).await;
    assert_eq!(engine.counts().resume_mismatches, 1);
    let too_long = EngineRequest { resume_after: vec![String::new(); 3], ..request("prompt", 2) };
    assert!(matches!(engine.complete(too_long), Err(Rejection::Invalid(_))));
}

/// Guards against a slot that stays taken after a cancel call or after the receiver is dropped, and
/// against a cancelled stream that ends with `Done`.
#[tokio::test(start_paused = true)]
async fn cancelled_and_abandoned_streams_free_their_slots() {
    let engine = start(RawEngineOptions { slots: 1, ..raw_options() });
    let cancelled = request("cancelled", 100);
    let attempt_id = cancelled.attempt_id;
    let pieces = engine.complete(cancelled).unwrap();
    tokio::time::sleep(Duration::from_millis(110)).await;
    assert!(engine.cancel(attempt_id));
    assert!(!engine.cancel(attempt_id));
    let received = receive(pieces).await;
    assert_eq!((received.chunks.len(), received.done), (5, false));
    drop(engine.complete(request("abandoned", 100)).unwrap());
    let next = receive(engine.complete(request("next", 3)).unwrap()).await;
    assert!(next.done);
    let counts = engine.counts();
    assert_eq!((counts.cancelled, counts.abandoned, counts.finished), (1, 1, 1));
}

/// Guards against a crash after which streams continue, weights are still loaded or the boot id is
/// unchanged.
#[tokio::test(start_paused = true)]
async fn a_crash_ends_all_streams_and_unloads_weights() {
    let engine = start(raw_options());
    let boot_id = engine.load().unwrap().boot_id;
    let concurrent = engine.complete(request("beside", 1_000)).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let prompt = "please crash-engine now";
    let crashing = engine.complete(request(prompt, 10)).unwrap();
    let (concurrent, crashing) = tokio::join!(receive(concurrent), receive(crashing));
    assert!(!concurrent.done && !concurrent.chunks.is_empty() && concurrent.chunks.len() < 30);
    assert!(!crashing.done && crashing.chunks.is_empty());
    assert_eq!(engine.load(), None);
    assert_eq!(engine.complete(request("down", 1)).unwrap_err(), Rejection::Down);
    tokio::time::sleep(Duration::from_millis(3_050)).await;
    let load = engine.load().unwrap();
    assert_eq!((load.live, load.running), (None, 0));
    assert_ne!(load.boot_id, boot_id);
    assert!(matches!(engine.complete(request("back", 1)), Err(Rejection::NotLoaded(_))));
    let counts = engine.counts();
    assert_eq!((counts.crashes, counts.cut_by_crash), (1, 2));
    let crashed = ContentDigest::of(prompt.as_bytes());
    assert_eq!(counts.crashed_prompts, [(crashed, 1)].into());
}

/// Guards against the faults `cut_streams_after`, `freeze` and `slower_percent` having no effect.
#[tokio::test(start_paused = true)]
async fn faults_cut_freeze_and_slow_streams() {
    let engine = start(raw_options());
    engine.set_faults(EngineFaults { cut_streams_after: Some(3), ..EngineFaults::default() });
    let cut = receive(engine.complete(request("cut", 10)).unwrap()).await;
    assert_eq!((cut.chunks.len(), cut.done), (3, false));

    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let mut frozen = engine.complete(request("frozen", 10)).unwrap();
    let waited = tokio::time::timeout(Duration::from_secs(60), frozen.recv()).await;
    assert!(waited.is_err(), "{waited:?}");
    engine.set_faults(EngineFaults::default());
    assert!(receive(frozen).await.done);

    let started = tokio::time::Instant::now();
    engine.set_faults(EngineFaults { slower_percent: 100, ..EngineFaults::default() });
    receive(engine.complete(request("slow", 50)).unwrap()).await;
    let elapsed = started.elapsed().as_millis();
    assert!((2_000..2_050).contains(&elapsed), "{elapsed} ms");
}
