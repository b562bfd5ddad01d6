//! Weights, switches of the version, fences and adapters.

use std::time::Duration;

use celeryshed_base::{AdapterName, ContentDigest, FenceNumber};
use celeryshed_standin::engine::{
    CommandOutcome, EngineControl, RawEngineOptions, Rejection, TokenScript,
};
use celeryshed_wire::{
    EngineCommand, EngineCommandKind, EngineRequest, MANIFEST_CHUNK_INDEX, WeightManifest,
};
use tokio::time::Instant;

use crate::{raw_options, receive, request, start, version};

/// A version of three chunks.
pub(crate) struct Weights {
    pub(crate) digest: ContentDigest,
    pub(crate) manifest: Vec<u8>,
    pub(crate) chunks: Vec<Vec<u8>>,
}

pub(crate) fn weights(seed: u8) -> Weights {
    let chunks = vec![vec![seed; 1_000], vec![seed + 1; 1_000], vec![seed + 2; 10]];
    let manifest = WeightManifest {
        model: "sprout".try_into().unwrap(),
        version: "v2".try_into().unwrap(),
        chunk_bytes: 1_000,
        total_bytes: 2_010,
        chunks: chunks.iter().map(|chunk| ContentDigest::of(chunk)).collect(),
    };
    let manifest = celeryshed_wire::encode(&manifest).unwrap().to_vec();
    Weights { digest: ContentDigest::of(&manifest), manifest, chunks }
}

fn put(engine: &EngineControl, weights: &Weights) {
    engine.put_chunk(weights.digest, MANIFEST_CHUNK_INDEX, &weights.manifest).unwrap();
    for (index, chunk) in (0..).zip(&weights.chunks) {
        engine.put_chunk(weights.digest, index, chunk).unwrap();
    }
}

fn load(manifest: ContentDigest, fence: u64) -> EngineCommand {
    EngineCommand {
        fence: FenceNumber(fence),
        kind: EngineCommandKind::Load { manifest, chunks: 3 },
    }
}

fn live(outcome: &Option<CommandOutcome>) -> Option<ContentDigest> {
    match outcome {
        Some(CommandOutcome::Done(reply)) => reply.live,
        other => panic!("{other:?}"),
    }
}

/// Guards against an answer that mixes two versions.
#[tokio::test(start_paused = true)]
async fn running_streams_stay_on_their_version() {
    let engine = start(raw_options());
    let weights = weights(1);
    put(&engine, &weights);
    let old = engine.complete(request("prompt", 200)).unwrap();
    assert_eq!(live(&engine.command(load(weights.digest, 1)).await), Some(weights.digest));
    let new = engine.complete(request("prompt", 50)).unwrap();
    let named = EngineRequest { version: Some(version("v1")), ..request("prompt", 5) };
    let named = engine.complete(named).unwrap();
    let unload = EngineCommandKind::Unload { manifest: version("v1") };
    engine.command(EngineCommand { fence: FenceNumber(1), kind: unload }).await.unwrap();
    for (pieces, digest, tokens) in
        [(old, version("v1"), 200), (new, weights.digest, 50), (named, version("v1"), 5)]
    {
        let received = receive(pieces).await;
        assert!(received.done && received.chunks.iter().all(|chunk| chunk.version == digest));
        assert_eq!(received.text(), TokenScript::new(&digest, None, "prompt").answer(tokens));
    }
    let gone = EngineRequest { version: Some(version("v1")), ..request("prompt", 5) };
    assert!(matches!(engine.complete(gone), Err(Rejection::NotLoaded(_))));
    let switched: Vec<_> = engine.counts().switches.iter().map(|switch| switch.version).collect();
    assert_eq!(switched, [weights.digest]);
}

/// Guards against a switch to weights that are incomplete or corrupted.
#[tokio::test(start_paused = true)]
async fn only_verified_versions_are_loaded() {
    let corrupt = |engine: &EngineControl, digest| engine.put_chunk(digest, 1, b"other").unwrap();
    // What is done to the put version, and the chunks that are then missing and corrupted.
    type Damage<'a> = (&'a str, Vec<u32>, Vec<u32>);
    let cases: [Damage<'_>; 4] = [
        ("nothing put", vec![MANIFEST_CHUNK_INDEX], vec![]),
        ("chunk 1 corrupted", vec![], vec![1]),
        ("chunks missing", vec![1, 2], vec![]),
        ("wrong number of chunks", vec![], vec![]),
    ];
    for (damage, missing, corrupted) in cases {
        let engine = start(raw_options());
        let mut weights = weights(1);
        let mut command = load(weights.digest, 1);
        match damage {
            "nothing put" => {}
            "chunk 1 corrupted" => {
                put(&engine, &weights);
                corrupt(&engine, weights.digest);
            }
            "chunks missing" => {
                weights.chunks.truncate(1);
                put(&engine, &weights);
            }
            _ => {
                put(&engine, &weights);
                let kind = EngineCommandKind::Load { manifest: weights.digest, chunks: 2 };
                command = EngineCommand { kind, ..command };
            }
        }
        match engine.command(command).await {
            Some(CommandOutcome::Failed(failure)) => {
                assert_eq!((failure.missing, failure.corrupted), (missing, corrupted), "{damage}");
            }
            other => panic!("{damage}: {other:?}"),
        }
        assert_eq!(engine.live(), Some(version("v1")), "{damage}");
        assert_eq!(engine.counts().loads_refused, 1, "{damage}");
    }
    let engine = start(raw_options());
    assert!(engine.put_chunk(version("v2"), MANIFEST_CHUNK_INDEX, b"other").is_err());
}

/// Guards against an engine that checks fences when it should ignore them, or the reverse.
#[tokio::test(start_paused = true)]
async fn fences_are_checked_by_setting() {
    // Whether fences are checked, fence of a second command after 5, whether it is run.
    let cases = [(true, 4, false), (true, 5, true), (true, 6, true), (false, 4, true)];
    for (checks_fence, fence, run) in cases {
        let engine = start(RawEngineOptions { checks_fence, ..raw_options() });
        let (first, second) = (weights(1), weights(10));
        put(&engine, &first);
        put(&engine, &second);
        engine.command(load(first.digest, 5)).await.unwrap();
        let outcome = engine.command(load(second.digest, fence)).await.unwrap();
        assert_eq!(matches!(outcome, CommandOutcome::Done(_)), run, "fence {fence}");
        let expected = if run { second.digest } else { first.digest };
        assert_eq!(engine.live(), Some(expected), "fence {fence}");
        let counts = engine.counts();
        let stale = u64::from(fence < 5);
        assert_eq!(counts.stale_commands_refused + counts.stale_commands_run, stale);
    }
}

/// Guards against two loads at once that leave their callers without a true reply.
#[tokio::test(start_paused = true)]
async fn a_later_load_supersedes() {
    let engine = start(raw_options());
    let (first, second) = (weights(1), weights(10));
    put(&engine, &first);
    put(&engine, &second);
    let superseded = engine.command(load(first.digest, 1));
    let later = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.command(load(second.digest, 2)).await
    };
    let (superseded, later) = tokio::join!(superseded, later);
    assert_eq!((live(&superseded), live(&later)), (Some(version("v1")), Some(second.digest)));
    let started = Instant::now();
    put(&engine, &first);
    engine.command(load(first.digest, 3)).await;
    assert_eq!(live(&engine.command(load(second.digest, 4)).await), Some(second.digest));
    assert_eq!(started.elapsed().as_millis(), 500, "a version still loaded is live at once");
}

/// Guards against an adapter that costs nothing to load or is never removed.
#[tokio::test(start_paused = true)]
async fn cold_adapters_delay_the_first_token() {
    let engine = start(RawEngineOptions { adapter_slots: 1, ..raw_options() });
    // Adapter and expected milliseconds to the first token: load 300 ms, one step 20 ms.
    for (adapter, expected) in [("kits", 320), ("kits", 20), ("seeds", 320), ("kits", 320)] {
        let adapter = AdapterName::try_from(adapter).unwrap();
        let started = Instant::now();
        let request = EngineRequest { adapter: Some(adapter.clone()), ..request("prompt", 1) };
        let received = receive(engine.complete(request).unwrap()).await;
        let elapsed = started.elapsed().as_millis();
        assert!((expected..expected + 5).contains(&elapsed), "{adapter}: {elapsed} ms");
        let script = TokenScript::new(&version("v1"), Some(&adapter), "prompt");
        assert_eq!(received.text(), script.answer(1));
    }
}
