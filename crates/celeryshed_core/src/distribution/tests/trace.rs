//! Replay of a recorded trace against its stated outcome.
//!
//! Lines of the trace: `<milliseconds> <event>`, and after each event the stated actions, as
//! `  -> <action>`. `c<N>` is chunk N, `m` the manifest.

use std::time::Duration;

use celeryshed_base::{ByteCount, ContentDigest, InstanceName, MonoTime};

use super::fleet::{digest, plan, view};
use crate::distribution::{
    ChunkRef, ChunkSource, DesiredVersion, ExternalSource, FetchAction, FetchEvent, FetchFailure,
    FetchOptions, FetchScheduler,
};

const TRACE: &str = include_str!("../../../fixtures/spread/dead_parent.trace");

/// Sidecar whose scheduler was recorded.
const OWN: usize = 4;

const CHUNKS: usize = 4;

fn chunk(name: &str) -> ContentDigest {
    name.strip_prefix('c').map_or(digest(usize::MAX), |index| digest(index.parse().unwrap()))
}

fn name(wanted: &ContentDigest) -> String {
    let index = (0..CHUNKS).find(|index| digest(*index) == *wanted);
    index.map_or("m".to_owned(), |index| format!("c{index}"))
}

fn source(text: &str) -> ChunkSource {
    match text {
        "store" => ChunkSource::External(ExternalSource::Store),
        "origin" => ChunkSource::External(ExternalSource::Origin),
        peer => ChunkSource::Peer(InstanceName::try_from(peer).unwrap()),
    }
}

fn source_name(source: &ChunkSource) -> String {
    match source {
        ChunkSource::External(ExternalSource::Store) => "store".to_owned(),
        ChunkSource::External(ExternalSource::Origin) => "origin".to_owned(),
        ChunkSource::Peer(instance) => instance.to_string(),
    }
}

fn event(words: &[&str]) -> FetchEvent {
    let manifest = digest(usize::MAX);
    match *words {
        ["view", count] => {
            FetchEvent::PlanChanged(plan(OWN, &view(0..count.parse::<usize>().unwrap())))
        }
        ["want"] => {
            let size = ByteCount(100 * CHUNKS as u64);
            FetchEvent::VersionsWanted(vec![DesiredVersion { manifest, size }])
        }
        ["manifest"] => {
            let chunk = |index| ChunkRef { digest: digest(index), size: ByteCount(100) };
            FetchEvent::ManifestRead { manifest, chunks: (0..CHUNKS).map(chunk).collect() }
        }
        ["arrived", item, from] => FetchEvent::ChunkArrived {
            chunk: chunk(item),
            size: ByteCount(100),
            source: source(from),
        },
        ["offered", item, from] => {
            FetchEvent::ChunkOffered { chunk: chunk(item), source: source(from) }
        }
        [failure, item, from] => FetchEvent::FetchFailed {
            chunk: chunk(item),
            source: source(from),
            failure: match failure {
                "corrupt" => FetchFailure::Corrupt,
                "unreachable" => FetchFailure::Unreachable,
                "pending" => FetchFailure::Pending,
                "refused" => FetchFailure::NotWanted,
                other => panic!("unknown event {other}"),
            },
        },
        ["tick"] => FetchEvent::TimerFired,
        _ => panic!("unknown event {words:?}"),
    }
}

fn shown(action: &FetchAction) -> String {
    match action {
        FetchAction::Fetch { chunk, source } => {
            format!("fetch {} {}", name(chunk), source_name(source))
        }
        FetchAction::Offer { chunk, instance } => format!("offer {} {instance}", name(chunk)),
        FetchAction::Cancel { chunk } => format!("cancel {}", name(chunk)),
        FetchAction::Drop { chunk } => format!("drop {}", name(chunk)),
        FetchAction::VersionComplete { .. } => "complete".to_owned(),
        FetchAction::VersionTooLarge { .. } => "too_large".to_owned(),
    }
}

/// Guards against a change of decisions that no other test states: a parent that dies, a chunk
/// that arrives corrupted, and an offer.
#[test]
fn recorded_trace_has_its_stated_outcome() {
    let mut side = FetchScheduler::new(FetchOptions::default(), 1);
    let mut replayed = String::new();
    for line in TRACE.lines() {
        if line.starts_with('#') {
            replayed += &format!("{line}\n");
            continue;
        }
        if line.starts_with("  ->") {
            continue;
        }
        let words: Vec<_> = line.split_whitespace().collect();
        let now = MonoTime::ZERO + Duration::from_millis(words[0].parse().unwrap());
        replayed += &format!("{line}\n");
        for action in side.handle(event(&words[1..]), now) {
            replayed += &format!("  -> {}\n", shown(&action));
        }
    }
    assert_eq!(replayed, TRACE);
}
