//! Slots, token rate, prompt processing, prefix cache, priorities, load reports and cache events.

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

/// Guards against an engine that is faster or slower than its token rates. Measurements rely on the
/// rates.
#[tokio::test(start_paused = true)]
async fn streams_share_the_token_rate() {
    // Slots, number of streams of 100 tokens, expected seconds. The engine generates 800 tokens/s
    // and each stream 50 tokens/s or less.
    let cases = [(16, 1, 2.0), (16, 16, 2.0), (32, 32, 4.0), (16, 32, 4.0), (1, 2, 4.0)];
    for (slots, streams, expected) in cases {
        let engine = start(RawEngineOptions { slots, ..raw_options() });
        let requests = (0..streams).map(|n| request(&format!("prompt {n}"), 100)).collect();
        let elapsed = run_all(&engine, requests).await.as_secs_f64();
        // Processing the prompts takes a few milliseconds.
        let expected_range = expected..expected * 1.05;
        assert!(expected_range.contains(&elapsed), "{slots} slots, {streams} streams: {elapsed} s");
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

/// Guards against a prefix cache that doesn't shorten prompt processing or exceeds its capacity.
#[tokio::test(start_paused = true)]
async fn cached_prefixes_shorten_the_first_token() {
    // A prompt of 6,400 bytes is 1,600 tokens, which take 1.6 s at 1,000 tokens/s; one decode step
    // takes 20 ms.
    let raw = RawEngineOptions { prefill_tokens_per_s: 1_000, cache_blocks: 150, ..raw_options() };
    let engine = start(raw);
    let (first, other) = ("a".repeat(6_400), "b".repeat(6_400));
    let longer = format!("{first}{}", "c".repeat(640));
    // Prompt and expected milliseconds to the first token. The cache holds 1.5 prompts.
    let cases = [(&first, 1_620), (&first, 20), (&longer, 180), (&other, 1_620), (&first, 1_620)];
    for (step, (prompt, expected)) in cases.into_iter().enumerate() {
        let elapsed = first_token_time(&engine, prompt).await.as_millis();
        assert!((expected..expected + 5).contains(&elapsed), "step {step}: {elapsed} ms");
    }
    assert_eq!(engine.counts().cached_prompt_tokens, 2 * 1_600);
}

/// Guards against a queue that ignores priorities or its limit.
#[tokio::test(start_paused = true)]
async fn higher_priorities_start_first() {
    let engine = start(RawEngineOptions { slots: 1, queue_limit: 3, ..raw_options() });
    let running = engine.complete(request("running", 10)).unwrap();
    let priorities = [PriorityClass::BestEffort, PriorityClass::Contracted, PriorityClass::Booking];
    let mut streams = Vec::new();
    for priority in priorities {
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

/// Guards against load reports without delay. Current reports would hide routing faults that are
/// caused by outdated loads.
#[tokio::test(start_paused = true)]
async fn load_reports_are_delayed() {
    let engine = start(RawEngineOptions { report_lag_ms: 400, ..raw_options() });
    // The report shows the first load until a load is older than the lag, so the idle load must
    // first reach that age.
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

/// Guards against cache events without delay or gaps. The router must work without complete or
/// current events.
#[tokio::test(start_paused = true)]
async fn events_are_delayed_and_have_gaps() {
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
