//! Slots, shared token rate, prompt processing, prefix cache, priorities and reports.

use std::time::Duration;

use celeryshed_standin::engine::{EngineControl, RawEngineOptions, Rejection};
use celeryshed_wire::{EngineRequest, PriorityClass, prefix_hashes};
use tokio::time::Instant;

use crate::{SEED, raw_options, receive, request, start};

async fn run_all(engine: &EngineControl, requests: Vec<EngineRequest>) -> Duration {
    let started = Instant::now();
    let streams = requests.into_iter().map(|request| engine.complete(request).unwrap());
    let received = streams.map(|pieces| tokio::spawn(receive(pieces)));
    for received in received.collect::<Vec<_>>() {
        assert!(received.await.unwrap().done);
    }
    started.elapsed()
}

/// Guards against an engine that is faster than its rates, which would falsify measurements.
#[tokio::test(start_paused = true)]
async fn streams_share_the_token_rate() {
    // Slots, streams of 100 tokens, expected seconds at 800 tokens/s and 50 tokens/s a stream.
    let cases = [(16, 1, 2.0), (16, 16, 2.0), (32, 32, 4.0), (16, 32, 4.0), (1, 2, 4.0)];
    for (slots, streams, expected) in cases {
        let engine = start(RawEngineOptions { slots, ..raw_options() });
        let requests = (0..streams).map(|n| request(&format!("prompt {n}"), 100)).collect();
        let elapsed = run_all(&engine, requests).await.as_secs_f64();
        // Prompts add a few milliseconds.
        let allowed = expected..expected * 1.05;
        assert!(allowed.contains(&elapsed), "{slots} slots, {streams} streams: {elapsed} s");
        assert_eq!(engine.counts().tokens, streams * 100);
        assert_eq!(engine.counts().finished, streams);
    }
}

async fn first_token_time(engine: &EngineControl, prompt: &str) -> Duration {
    let started = Instant::now();
    let mut pieces = engine.complete(request(prompt, 1)).unwrap();
    pieces.recv().await.unwrap();
    started.elapsed()
}

/// Guards against a prefix cache without effect or without limit.
#[tokio::test(start_paused = true)]
async fn cached_prefixes_shorten_the_first_token() {
    // 1,000 tokens/s: a prompt of 6,400 bytes takes 1.6 s, one token step 20 ms.
    let raw = RawEngineOptions { prefill_tokens_per_s: 1_000, cache_blocks: 150, ..raw_options() };
    let engine = start(raw);
    let (first, other) = ("a".repeat(6_400), "b".repeat(6_400));
    let longer = format!("{first}{}", "c".repeat(640));
    // Prompt and expected milliseconds; the cache holds one prompt and a half.
    let cases = [(&first, 1_620), (&first, 20), (&longer, 180), (&other, 1_620), (&first, 1_620)];
    for (step, (prompt, expected)) in cases.into_iter().enumerate() {
        let elapsed = first_token_time(&engine, prompt).await.as_millis();
        assert!((expected..expected + 5).contains(&elapsed), "step {step}: {elapsed} ms");
    }
    assert_eq!(engine.counts().cached_prompt_tokens, 2 * 1_600);
}

/// Guards against a queue that ignores priorities or has no bound.
#[tokio::test(start_paused = true)]
async fn higher_priorities_start_first() {
    let engine = start(RawEngineOptions { slots: 1, queue_limit: 3, ..raw_options() });
    let running = engine.complete(request("running", 10)).unwrap();
    let order = [PriorityClass::BestEffort, PriorityClass::Contracted, PriorityClass::Booking];
    let mut streams = Vec::new();
    for priority in order {
        let request = EngineRequest { priority, ..request("waiting", 10) };
        streams.push(engine.complete(request).unwrap());
    }
    assert_eq!(engine.complete(request("more", 1)).unwrap_err(), Rejection::QueueFull);
    receive(running).await;
    let ends = streams.into_iter().map(|pieces| {
        tokio::spawn(async move {
            receive(pieces).await;
            Instant::now()
        })
    });
    let mut times = Vec::new();
    for end in ends.collect::<Vec<_>>() {
        times.push(end.await.unwrap());
    }
    assert!(times[0] > times[1] && times[1] > times[2], "{times:?}");
}

/// Guards against a load report that is current, which would hide wrong routing by old loads.
#[tokio::test(start_paused = true)]
async fn load_reports_lag() {
    let engine = start(RawEngineOptions { report_lag_ms: 400, ..raw_options() });
    // The empty load must be older than the lag before it may be superseded.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let _pieces = engine.complete(request("prompt", 1_000)).unwrap();
    assert_eq!(engine.load().unwrap().running, 0);
    tokio::time::sleep(Duration::from_millis(390)).await;
    assert_eq!(engine.load().unwrap().running, 0);
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(engine.load().unwrap().running, 1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let rate = engine.load().unwrap().tokens_per_s;
    assert!((49..=51).contains(&rate), "{rate} tokens/s");
}

/// Guards against cache events that are complete and at once, which the router must not need.
#[tokio::test(start_paused = true)]
async fn events_are_late_and_have_gaps() {
    let raw = RawEngineOptions { event_loss_permille: 300, event_delay_ms: 400, ..raw_options() };
    let engine = start(raw);
    let prompt: String = (0..100).map(|block| format!("{block:064}")).collect();
    first_token_time(&engine, &prompt).await;
    assert_eq!(engine.events(0), []);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let events = engine.events(0);
    let lost = engine.counts().events_lost as usize;
    assert_eq!(events.len() + lost, 100, "seed {SEED}");
    assert!((10..60).contains(&lost), "{lost} of 100 events lost, seed {SEED}");
    let hashes = prefix_hashes(&prompt);
    assert!(events.iter().all(|e| e.stored && e.prefix == hashes[e.sequence as usize]));
    let later = events[50].sequence;
    assert_eq!(engine.events(later), events[50..]);
}
