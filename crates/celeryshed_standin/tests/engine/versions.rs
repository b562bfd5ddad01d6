//! Weights, switches of the live version, fences and adapters.

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

/// Weights of a version with three chunks.
pub(crate) struct Weights {
    pub(crate) digest: ContentDigest,
    pub(crate) manifest: Vec<u8>,
    pub(crate) chunks: Vec<Vec<u8>>,
}

/// Creates weights whose content depends on `seed`.
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

fn put_weights(engine: &EngineControl, weights: &Weights) {
    engine.put_chunk(weights.digest, MANIFEST_CHUNK_INDEX, &weights.manifest).unwrap();
    for (index, chunk) in (0..).zip(&weights.chunks) {
        engine.put_chunk(weights.digest, index, chunk).unwrap();
    }
}

fn load_command(manifest: ContentDigest, fence: u64) -> EngineCommand {
    EngineCommand {
        fence: FenceNumber(fence),
        kind: EngineCommandKind::Load { manifest, chunks: 3 },
    }
}

fn live_version(outcome: &Option<CommandOutcome>) -> Option<ContentDigest> {
    match outcome {
        Some(CommandOutcome::Done(reply)) => reply.live,
        other => panic!("{other:?}"),
    }
}

/// Guards against a stream that changes its version when another version becomes live or its own
/// version is unloaded. Such an answer would mix two versions.
#[tokio::test(start_paused = true)]
async fn running_streams_stay_on_their_version() {
    let engine = start(raw_options());
    let weights = weights(1);
    put_weights(&engine, &weights);
    let old = engine.complete(request("prompt", 200)).unwrap();
    assert_eq!(
        live_version(&engine.command(load_command(weights.digest, 1)).await),
        Some(weights.digest)
    );
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
    let unloaded = EngineRequest { version: Some(version("v1")), ..request("prompt", 5) };
    assert!(matches!(engine.complete(unloaded), Err(Rejection::NotLoaded(_))));
    let switched: Vec<_> = engine.counts().switches.iter().map(|switch| switch.version).collect();
    assert_eq!(switched, [weights.digest]);
}

/// Guards against a version that becomes live although its weights are incomplete or corrupted.
#[tokio::test(start_paused = true)]
async fn only_verified_versions_are_loaded() {
    let corrupt = |engine: &EngineControl, digest| engine.put_chunk(digest, 1, b"other").unwrap();
    // Damage to the weights, chunks reported as missing, chunks reported as corrupted.
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
        let mut command = load_command(weights.digest, 1);
        match damage {
            "nothing put" => {}
            "chunk 1 corrupted" => {
                put_weights(&engine, &weights);
                corrupt(&engine, weights.digest);
            }
            "chunks missing" => {
                weights.chunks.truncate(1);
                put_weights(&engine, &weights);
            }
            _ => {
                put_weights(&engine, &weights);
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

/// Guards against an engine that checks fences with `checks_fence` off, or ignores them with
/// `checks_fence` on.
#[tokio::test(start_paused = true)]
async fn fences_are_checked_if_enabled() {
    // Value of `checks_fence`, fence of the second command, whether that command is run. The first
    // command has fence 5.
    let cases = [(true, 4, false), (true, 5, true), (true, 6, true), (false, 4, true)];
    for (checks_fence, fence, run) in cases {
        let engine = start(RawEngineOptions { checks_fence, ..raw_options() });
        let (first, second) = (weights(1), weights(10));
        put_weights(&engine, &first);
        put_weights(&engine, &second);
        engine.command(load_command(first.digest, 5)).await.unwrap();
        let outcome = engine.command(load_command(second.digest, fence)).await.unwrap();
        assert_eq!(matches!(outcome, CommandOutcome::Done(_)), run, "fence {fence}");
        let expected = if run { second.digest } else { first.digest };
        assert_eq!(engine.live(), Some(expected), "fence {fence}");
        let counts = engine.counts();
        let stale = u64::from(fence < 5);
        assert_eq!(counts.stale_commands_refused + counts.stale_commands_run, stale);
    }
}

/// Guards against a load whose caller gets no reply, or a reply with a wrong live version, when a
/// second load starts before the first has finished.
#[tokio::test(start_paused = true)]
async fn a_later_load_replaces_the_current_one() {
    let engine = start(raw_options());
    let (first, second) = (weights(1), weights(10));
    put_weights(&engine, &first);
    put_weights(&engine, &second);
    let superseded = engine.command(load_command(first.digest, 1));
    let later = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.command(load_command(second.digest, 2)).await
    };
    let (superseded, later) = tokio::join!(superseded, later);
    assert_eq!(
        (live_version(&superseded), live_version(&later)),
        (Some(version("v1")), Some(second.digest))
    );
    let started = Instant::now();
    put_weights(&engine, &first);
    engine.command(load_command(first.digest, 3)).await;
    assert_eq!(
        live_version(&engine.command(load_command(second.digest, 4)).await),
        Some(second.digest)
    );
    assert_eq!(
        started.elapsed().as_millis(),
        500,
        "a version that is already loaded becomes live without delay"
    );
}

/// Guards against an adapter that loads without delay or is never removed for another one.
#[tokio::test(start_paused = true)]
async fn unloaded_adapters_delay_the_first_token() {
    let engine = start(RawEngineOptions { adapter_slots: 1, ..raw_options() });
    // Adapter and expected milliseconds to the first token. Loading an adapter takes 300 ms and a
    // decode step 20 ms.
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
